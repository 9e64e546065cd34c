package replica

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"umberbank/internal/registry/golden"
)

// goFieldPattern matches the Go field in the error for a value of the wrong type. The name of the field may change.
var goFieldPattern = regexp.MustCompile("struct field .* of type")

// The configuration file keeps its keys and its errors for invalid values.
func TestConfigKeysGolden(t *testing.T) {
	const fullConfig = `id = "r1"
dir = "data"
raft = "10.0.0.1:7401"
address = "10.0.0.1:7400"
tick = "50ms"
sync_wait = "wait"
[guard]
share = 0.4
least = 6
window = "4s"
confirm = "16s"
[[peer]]
id = "r1"
raft = "10.0.0.1:7401"
address = "10.0.0.1:7400"
[[peer]]
id = "r2"
raft = "10.0.0.2:7401"
address = "10.0.0.2:7400"
via = "127.0.0.1:9"
`
	path := filepath.Join(t.TempDir(), "r1.toml")
	var out bytes.Buffer
	read := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := ReadConfig(path)
		if err != nil {
			text := strings.ReplaceAll(err.Error(), path, "FILE")
			fmt.Fprintln(&out, goFieldPattern.ReplaceAllString(text, "struct field FIELD of type"))
			return
		}
		writeConfig(&out, c)
	}
	builtIn, err := ReadConfig("")
	if err != nil {
		t.Fatal(err)
	}
	writeConfig(&out, builtIn)
	read(fullConfig)
	read("id = \"r0\"\n")
	for _, c := range [][2]string{{`id = "r1"` + "\ndir", `id = ""` + "\ndir"}, {`"data"`, `""`}, {`"10.0.0.1:7401"`, `"x"`}, {`"10.0.0.1:7400"`, `"x"`}, {`"50ms"`, `"5"`}, {`"50ms"`, `"-1s"`},
		{"0.4", "0.0"}, {"0.4", "1.5"}, {"6", "0"}, {`"4s"`, `"4"`}, {`"16s"`, `""`}, {`id = "r2"`, `id = ""`}, {"[[peer]]\nid = \"r1\"", "[[peer]]\nid = \"r3\""},
		{"tick", "tack"}, {"[guard]\nshare", "[guard]\nchair"}, {"via", "vai"}, {"least = 6", `least = "six"`}, {"[guard]", "[guard"}} {
		fmt.Fprintf(&out, "%q -> %q: ", c[0], c[1])
		read(strings.Replace(fullConfig, c[0], c[1], 1))
	}
	golden.Check(t, "config.golden", out.Bytes())
}

// writeConfig writes the values of a configuration.
func writeConfig(out *bytes.Buffer, c Config) {
	fmt.Fprintf(out, "%s %s %s %s %v %d %q\n", c.ID, c.DataDir, c.RaftAddress, c.ClientAddress, c.Tick, c.SnapshotThreshold, c.SyncDelayFile)
	fmt.Fprintf(out, "%v %d %v %v\n", c.Guard.MaxZoneFraction, c.Guard.MinExpired, c.Guard.Window, c.Guard.ConfirmAfter)
	for _, p := range c.Peers {
		fmt.Fprintf(out, "%s %s %s %q\n", p.ID, p.RaftAddress, p.ClientAddress, p.DialAddress)
	}
}
