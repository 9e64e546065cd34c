package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"umberbank/internal/coordination/rollout"
	"umberbank/internal/durable"
	"umberbank/internal/registry/state"
)

// storedDir has the snapshots that a node kept under traffic, with servers that were slow, failing and gone.
const storedDir = "testdata/state"

// Snapshots that an earlier process wrote are found, read whole, and written again in the same bytes.
func TestGoldenSnapshots(t *testing.T) {
	t.Parallel()
	dir := t.TempDir() // loading may write beside them
	if err := os.CopyFS(dir, os.DirFS(storedDir)); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "node-*.state"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	newest, err := durable.ReadFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	k := newKeeper(Config{State: State{Dir: dir, Every: time.Second, Age: time.Minute}})
	recalled, found := k.recall(newest.Taken.Add(1500 * time.Millisecond))
	if !found || recalled.Age != 1500*time.Millisecond {
		t.Fatalf("found %v, age %v", found, recalled.Age)
	}
	text, err := json.Marshal(recalled.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, newest.Payload) {
		t.Errorf("read, and written again:\n%s\nwant\n%s", text, newest.Payload)
	}
	words, err := ReadState(newest)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "state.golden", fmt.Sprintf("%s %d %d\n%s\n", newest.Kind, newest.Schema, newest.Seq, words))
}

// The version of settings that an earlier process kept is what the next one starts with, and is kept in the same bytes.
func TestGoldenKeptVersion(t *testing.T) {
	t.Parallel()
	const stored = "testdata/kept-version.json"
	settings := attempts(t, 4)
	content := state.VersionContent{Number: 12, Hash: state.ContentHash(settings), Settings: settings}
	keep := filepath.Join(t.TempDir(), "kept")
	f, err := follow(Following{Name: "n3", Agreed: Agreed{Endpoints: []string{"127.0.0.1:1"}, Keep: keep}, Log: t.Logf,
		Run: func(json.RawMessage) error { return nil }}, kept{})
	if err != nil {
		t.Fatal(err)
	}
	f.activate(content)
	text, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, filepath.Base(stored), string(text))
	cfg, k := withKept(agreedConfig(t, stored))
	if k.Number != 12 || k.Hash != content.Hash || string(k.Settings) != string(settings) || cfg.Settings.MaxAttempts != 4 {
		t.Errorf("read %+v, %d attempts", k, cfg.Settings.MaxAttempts)
	}
}

// The name of the lock under which processes of a node replace each other: two builds of the program must use one.
func TestGoldenLockName(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	l, err := newTurn(dir, "n/3 é")
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	golden(t, "lock-name.golden", files[0].Name()+"\n")
}

var monotonicTime = regexp.MustCompile(` at \d+$`)

// What a node writes of the versions it runs, which the fault-injection tests read.
func TestGoldenVersionLog(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	f, err := follow(Following{Name: "n3", Agreed: Agreed{Endpoints: []string{"127.0.0.1:1"}},
		Log: func(format string, args ...any) {
			fmt.Fprintln(&b, monotonicTime.ReplaceAllString(fmt.Sprintf(format, args...), " at TIME"))
		},
		Run: func(json.RawMessage) error { return nil }}, kept{})
	if err != nil {
		t.Fatal(err)
	}
	f.say("runs", f.running)
	settings := attempts(t, 4)
	f.activate(state.VersionContent{Number: 12, Hash: state.ContentHash(settings), Settings: settings})
	f.reported = 5
	c := &state.NodeSettings{Node: &rollout.Node{Incarnation: 77, Reported: true, RunningVersion: 12}}
	f.note(c, 6)
	c.Node.Unreachable = true
	f.note(c, 7)
	f.say("could run", f.running)
	golden(t, "version-log.golden", b.String())
}
