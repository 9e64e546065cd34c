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

// storedDir contains snapshots that a node saved under traffic, with slow, failing and new endpoints.
const storedDir = "testdata"

// The newest snapshot that an earlier process saved is found and read completely, and is encoded to the
// same bytes again.
func TestGoldenSnapshots(t *testing.T) {
	t.Parallel()
	dir := t.TempDir() // the test must not change the stored files
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
	s := New(dir, time.Second)
	restored, found := s.Restore(newest.Taken.Add(1500 * time.Millisecond))
	if !found || restored.Age != 1500*time.Millisecond {
		t.Fatalf("found %v, age %v", found, restored.Age)
	}
	text, err := json.Marshal(restored.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, newest.Payload) {
		t.Errorf("the restored snapshot is encoded as\n%s\nwant\n%s", text, newest.Payload)
	}
	description, err := Describe(newest)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.Golden(t, "described.golden", fmt.Sprintf("%s %d %d\n%s\n", newest.Kind, newest.Schema, newest.Seq, description))
}
