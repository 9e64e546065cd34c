package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"umberbank/internal/coordination/disruption"
	fleetfaulttest "umberbank/internal/coordination/faulttest"
	"umberbank/internal/coordination/release"
	"umberbank/internal/coordination/rollout"
	"umberbank/internal/lab"
	"umberbank/internal/lab/cost"
	"umberbank/internal/lab/scale"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/bench"
	registryfaulttest "umberbank/internal/registry/faulttest"
	"umberbank/internal/registry/state"
)

// The files under testdata were written by an earlier release. They pin the interface that scripts rely on: commands and flags,
// exit codes, the keys of --json and of the files that commands read.
var update = flag.Bool("update", false, "rewrite the files under testdata")

// golden compares a text with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: output differs from the file; got\n%s", path, got)
	}
}

// commandLine lists every command and flag under each of its names, with the values that it takes.
func commandLine(t *testing.T) []string {
	t.Helper()
	parser, err := kong.New(&cli{}, kong.Name("umberbank"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	var walk func(path string, n *kong.Node)
	walk = func(path string, n *kong.Node) {
		for _, f := range n.Flags {
			for _, name := range append([]string{f.Name}, f.Aliases...) {
				lines = append(lines, fmt.Sprintf("%s --%s %s", path, name, valueForm(f.Value)+hidden(f.Hidden)))
			}
		}
		for i, p := range n.Positional {
			lines = append(lines, fmt.Sprintf("%s argument %d %s", path, i, valueForm(p)))
		}
		for _, c := range n.Children {
			for _, name := range append([]string{c.Name}, c.Aliases...) {
				lines = append(lines, path+" "+name+hidden(c.Hidden))
				walk(path+" "+name, c)
			}
		}
	}
	walk("umberbank", parser.Model.Node)
	slices.Sort(lines)
	return lines
}

func hidden(is bool) string {
	if is {
		return " hidden"
	}
	return ""
}

// valueForm describes the values that a flag or an argument takes.
func valueForm(v *kong.Value) string {
	form := fmt.Sprintf("%s default=%q enum=%q", v.Target.Type(), v.Default, v.Enum)
	if v.Required {
		form += " required"
	}
	if v.Passthrough {
		form += " passthrough"
	}
	if v.IsSlice() {
		form += fmt.Sprintf(" separator=%d", v.Tag.Sep)
	}
	return form
}

// The names of all commands and flags are pinned, and those of earlier releases are still accepted with the same values.
func TestCommandLine(t *testing.T) {
	lines := commandLine(t)
	golden(t, "commands.golden", strings.Join(lines, "\n")+"\n")
	released, err := os.ReadFile(filepath.Join("testdata", "commands-released.golden"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(released)), "\n") {
		if !slices.Contains(lines, line) {
			t.Errorf("no longer accepted, but part of an earlier release: %s", line)
		}
	}
}

func TestExitCodeValues(t *testing.T) {
	good := write(t, "good.toml", tiny)
	missed := write(t, "missed.toml", tiny+"[expect]\np99 = \"1ms\"\n")
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"lab", "run", good, "--virtual"}, 0},
		{[]string{"lab", "run", missed, "--virtual"}, 1},
		{[]string{"lab", "run", filepath.Join(t.TempDir(), "none.toml")}, 2},
		{[]string{"no-such-command"}, 2},
		{[]string{"--help"}, 0},
	} {
		if code, _, _ := call(c.args...); code != c.code {
			t.Errorf("%v: exit code %d, want %d", c.args, code, c.code)
		}
	}
}

// fill sets v, or every exported field in v, to a value other than zero. depth is the current depth of recursion.
func fill(v reflect.Value, depth int) {
	if depth > 8 {
		return
	}
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_800_000_000, 0).UTC()))
		return
	case json.RawMessage:
		v.SetBytes([]byte(`{"raw":1}`))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	case reflect.String:
		v.SetString("text")
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), depth+1)
			}
		}
	}
}

// encodings returns the encodings of a zero value and of a filled value of a type.
func encodings[T any](t *testing.T, encode func(any) ([]byte, error)) string {
	t.Helper()
	var zero, filled T
	fill(reflect.ValueOf(&filled).Elem(), 0)
	var b strings.Builder
	for _, v := range []*T{&zero, &filled} {
		text, err := encode(v)
		if err != nil {
			t.Fatal(err)
		}
		b.Write(bytes.TrimSpace(text))
		b.WriteString("\n")
	}
	return b.String()
}

func indented(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }

// The JSON objects that commands print or read, with all their keys.
func TestJSONForms(t *testing.T) {
	for name, got := range map[string]string{
		"lab-run.json":            encodings[lab.Result](t, indented),
		"lab-compare.json":        encodings[comparison](t, indented),
		"lab-cost.json":           encodings[cost.Result](t, indented),
		"lab-scale.json":          encodings[scale.Result](t, indented),
		"registry-status.json":    encodings[api.Status](t, indented),
		"registry-get.json":       encodings[api.WatchEvent](t, indented),
		"registry-bench.json":     encodings[bench.Result](t, indented),
		"registry-permits.json":   encodings[bench.PermitResult](t, indented),
		"registry-trial.json":     encodings[registryfaulttest.Result](t, indented),
		"registry-put.json":       encodings[state.Instance](t, indented),
		"fleet-status.json":       encodings[state.CoordinationView](t, indented),
		"fleet-config.json":       encodings[rollout.State](t, indented),
		"fleet-trial.json":        encodings[fleetfaulttest.Result](t, indented),
		"fleet-trial-sum.json":    encodings[fleetFaultTestSummary](t, indented),
		"fleet-trial-config.json": encodings[fleetfaulttest.SettingsResult](t, indented),
		"fleet-config-sum.json":   encodings[settingsFaultTestSummary](t, indented),
		"release-plan.json":       encodings[release.Plan](t, indented),
		"release-progress.json":   encodings[release.Progress](t, indented),
		"state-inspect.json":      encodings[fileReport](t, indented),
	} {
		t.Run(name, func(t *testing.T) { golden(t, filepath.Join("json", name), got) })
	}
}

// The keys of the TOML files that commands read.
func TestTOMLForms(t *testing.T) {
	for name, got := range map[string]string{
		"limits.toml":   encodings[disruption.Limits](t, toml.Marshal),
		"release.toml":  encodings[release.PlanFile](t, toml.Marshal),
		"scenario.toml": encodings[scenario.Scenario](t, toml.Marshal),
	} {
		t.Run(name, func(t *testing.T) { golden(t, filepath.Join("toml", name), got) })
	}
}

// A run on the virtual clock gives exactly the same result as in an earlier release, and lab report reads that release's result.
func TestVirtualRunIsTheSame(t *testing.T) {
	text := tiny + "[[fault]]\nkind = \"kill\"\ncount = 1\nat = \"500ms\"\nfor = \"500ms\"\n"
	code, out, errs := call("lab", "run", write(t, "tiny.toml", text), "--virtual", "--seed", "3", "--json")
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	golden(t, "lab-result.json", out)
	code, out, errs = call("lab", "report", "--json", filepath.Join("testdata", "lab-result.json"))
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	golden(t, "lab-result.json", out)
}

// The output of the state commands for files written by a node, one intact and one damaged.
func TestStateCommandForms(t *testing.T) {
	intact, damaged := "testdata/state/node-0000000000000001.state", "testdata/state/node-0000000000000002.state"
	var b strings.Builder
	for _, args := range [][]string{
		{"state", "inspect", intact},
		{"state", "inspect", "--json", intact},
		{"state", "inspect", damaged},
		{"state", "verify", "testdata/state"},
		{"state", "verify", "--json", "testdata/state"},
	} {
		code, out, errs := call(args...)
		fmt.Fprintf(&b, "$ umberbank %s\n%s%sexit code %d\n", strings.Join(args, " "), out, errs, code)
	}
	golden(t, "state-commands.golden", b.String())
}
