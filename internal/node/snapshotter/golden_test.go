package snapshotter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/node/nodetest"
)

// storedDir has the snapshots that a node saved under traffic, with endpoints that were slow, failing and new.
const storedDir = "testdata"

// Snapshots that an earlier process saved are found, read completely, and encoded again in the same bytes.
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
	k := New(dir, time.Second)
	recalled, found := k.Restore(newest.Taken.Add(1500 * time.Millisecond))
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
	words, err := Describe(newest)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.Golden(t, "described.golden", fmt.Sprintf("%s %d %d\n%s\n", newest.Kind, newest.Schema, newest.Seq, words))
}
