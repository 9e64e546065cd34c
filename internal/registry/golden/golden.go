// Package golden compares what tests of the registry produce with files under testdata. The files hold the stored and
// sent forms that other versions of the program read and write; -update rewrites them, which is right only for a
// deliberate change of such a form.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files under testdata")

// Check fails the test unless got equals the content of testdata/name.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range max(len(gotLines), len(wantLines)) {
		var g, w []byte
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if !bytes.Equal(g, w) {
			t.Fatalf("%s differs first at line %d:\n got: %s\nwant: %s", path, i+1, g, w)
		}
	}
}

// CopyDir copies a folder under testdata to a temporary one, so that the test may change it.
func CopyDir(t *testing.T, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return to
}
