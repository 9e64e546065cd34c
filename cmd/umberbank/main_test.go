package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/node/snapshotter"
)

// call runs a command line and returns the exit code and the output.
func call(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// tiny is a scenario that runs within milliseconds on the virtual clock.
const tiny = `name = "tiny"
duration = "2s"
[[tier]]
name = "web"
servers = 2
[[class]]
name = "read"
work = ["5ms", "5ms"]
aim = "1s"
deadline = "2s"
[load]
rate = 50
`

// write writes a file into a new temporary directory and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkCall runs a command line. It checks the exit code, a part of each output, and that errors take at most one line.
func checkCall(t *testing.T, args []string, wantCode int, wantOut, wantErr string) {
	t.Helper()
	code, out, errs := call(args...)
	if code != wantCode || !strings.Contains(out, wantOut) || !strings.Contains(errs, wantErr) || strings.Count(errs, "\n") > 1 {
		t.Errorf("%v: exit code %d, output %q, errors %q", args, code, out, errs)
	}
}

// Commands return the documented exit codes and print errors on one line.
func TestExitCodes(t *testing.T) {
	good := write(t, "good.toml", tiny)
	strict := write(t, "strict.toml", tiny+"[expect]\np99 = \"1ms\"\n")
	bad := write(t, "bad.toml", tiny+"[expect]\nserved = 1\n")
	config := write(t, "bad.json", "{}")
	for _, c := range []struct {
		args      []string
		code      int
		out, errs string
	}{
		{[]string{"lab", "run", good, "--virtual"}, exitOK, "all expectations met", ""},
		{[]string{"lab", "run", strict, "--virtual"}, exitFailed, "NOT HELD p99 of read is", ""},
		{[]string{"lab", "run", bad, "--virtual"}, exitError, "", bad + ":14: expect.served: unknown key\n"},
		{[]string{"lab", "run", good, "--set", "load.rate=-3"}, exitError, "", "load.rate: -3 is not between"},
		{[]string{"lab", "run", filepath.Join(t.TempDir(), "none.toml")}, exitError, "", "no such file"},
		{[]string{"lab", "run", good, "--node", "/bin/false"}, exitError, "", "ended while it started: exit status 1"},
		{[]string{"lab", "check", good, strict}, exitOK, "good.toml: valid: ", ""},
		{[]string{"lab", "check", good, bad}, exitFailed, "bad.toml:14: expect.served: unknown key", ""},
		{[]string{"config", "check", config}, exitFailed, "is no host:port", ""},
		{[]string{"version"}, exitOK, "umberbank ", ""},
		{[]string{"--help"}, exitOK, "Examples:", ""},
		{[]string{"lab", "run", "--help"}, exitOK, "Examples:", ""},
		{[]string{"lab", "fly"}, exitError, "", "fly"},
		{[]string{"lab", "compare", good, good + " load.rate=51", "--virtual", "--seeds", "2"}, exitOK, "too few to tell", ""},
		{[]string{"lab", "compare", good, good + " clients.retries=0", "--virtual", "--seeds", "6", "--within", "0.5"}, exitOK, "6 seeds", ""},
		{[]string{"lab", "compare", good, strings.Replace(good, "good", "x", 1) + " clock=odd"}, exitError, "", "clock must be virtual or real"},
		{[]string{"lab", "compare", good, good + " clock=virtual node=x"}, exitError, "", "node= cannot be combined with the virtual clock"},
		{[]string{"lab", "cost", "--rate=-1"}, exitError, "", "rate: -1 is no number"},
		{[]string{"lab", "cost", "--servers", "31,0"}, exitError, "", "--servers: 0 is below 1"},
		{[]string{"lab", "cost", "--servers", "31,5000"}, exitError, "", "servers: 5000 is not from 1 to 4096"},
		{[]string{"lab", "scale", "--check", good}, exitError, "", "good.toml: there is no table of roles"},
		{[]string{"lab", "scale", "--check", "../../docs/CAPACITY.md"}, exitOK, "follow from its slopes", ""},
		{[]string{"lab", "scale", "--nodes", "0"}, exitError, "", "nodes: 0 is not from 7"},
		{[]string{"lab", "scale", "--nodes", "10001"}, exitError, "", "10001 is not from 7"},
		{[]string{"lab", "scale", "--plays", "0"}, exitError, "", "plays: 0 is not from 1 to 20"},
		{[]string{"lab", "scale", "--plot", filepath.Join(t.TempDir(), "none", "a.svg")}, exitError, "", "no such file"},
		{[]string{"lab", "report", good}, exitError, "", "good.toml: no result of a run"},
	} {
		checkCall(t, c.args, c.code, c.out, c.errs)
	}
}

// lab run --json prints one object with the keys that scripts rely on. The log goes to standard error.
func TestLabRunJSON(t *testing.T) {
	code, out, errs := call("--log-level", "info", "--log-format", "json", "lab", "run", write(t, "f.toml", tiny+"[[fault]]\nkind = \"kill\"\ncount = 1\nfor = \"1s\"\n"), "--virtual", "--json")
	var got map[string]any
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != exitOK {
		t.Fatalf("exit %d, %v: %q", code, err, out)
	}
	for _, key := range []string{"valid", "served_share", "rules_broken", "expect_failed", "loader_late_share", "per_class", "virtual"} {
		if _, ok := got[key]; !ok {
			t.Errorf("key %q missing in %q", key, out)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(errs), "\n") {
		if !json.Valid([]byte(line)) {
			t.Errorf("log line %q is not JSON", line)
		}
	}
	if !strings.Contains(errs, "fault kill begins") {
		t.Errorf("the log does not mention the fault: %q", errs)
	}
}

// The state commands show intact files, report damaged ones, and move them aside without changing them.
func TestStateCommands(t *testing.T) {
	dir := t.TempDir()
	s, err := durable.Open(durable.Options{Dir: dir, Kind: snapshotter.Kind, Schema: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := s.Save([]byte(`{"tier":0,"window":4,"classes":[],"servers":[{"id":"s1","boot":0,"samples":3}]}`), time.Unix(1_800_000_000, 0)); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"+durable.SnapshotSuffix))
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	text, err := os.ReadFile(files[2])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-20] ^= 1
	if err := os.WriteFile(files[2], text, 0o600); err != nil {
		t.Fatal(err)
	}
	none := filepath.Join(dir, "none")
	for _, c := range []struct {
		args      []string
		code      int
		out, errs string
	}{
		{[]string{"state", "verify", files[0], files[1]}, exitOK, "whole: kind node, number 2", ""},
		{[]string{"state", "verify", dir}, exitFailed, files[2] + ": DAMAGED: the checksum does not fit", ""},
		{[]string{"state", "verify", none}, exitError, "", "no such file"},
		{[]string{"state", "inspect", files[1]}, exitOK, `"id": "s1"`, ""},
		{[]string{"state", "inspect", "--json", files[1]}, exitOK, `"taken":"2027-01-15T08:00:00Z"`, ""},
		{[]string{"state", "inspect", files[2]}, exitError, "", files[2] + ": the checksum does not fit"},
		{[]string{"state", "repair", dir}, exitError, "", "another process keeps its state there"},
	} {
		checkCall(t, c.args, c.code, c.out, c.errs)
	}
	s.Close()
	if code, out, errs := call("state", "repair", dir); code != exitOK || !strings.Contains(out, "1 moved; the process will start with the state in "+files[1]) {
		t.Errorf("repair: exit %d, %q, %q", code, out, errs)
	}
	if aside, err := filepath.Glob(filepath.Join(dir, "damaged", "*")); err != nil || len(aside) != 1 {
		t.Errorf("moved aside: %v, %v", aside, err)
	} else if kept, err := os.ReadFile(aside[0]); err != nil || !bytes.Equal(kept, text) {
		t.Errorf("the damaged file was changed by the move: %v", err)
	}
	if code, out, _ := call("state", "verify", dir); code != exitOK {
		t.Errorf("after the repair: exit %d, %q", code, out)
	}
}
