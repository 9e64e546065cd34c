// Package golden compares the output of registry tests with files under testdata. The files contain encodings that other
// versions of the program store and send. The flag -update rewrites them, which is correct only for a deliberate change of
// such an encoding.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files under testdata")

// Check fails the test unless got equals the content of testdata/name. With -update it writes got to the file instead.
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
			t.Fatalf("%s: first difference at line %d:\n got: %s\nwant: %s", path, i+1, g, w)
		}
	}
}

// CopyDir copies the directory testdata/name to a temporary directory, which the test may modify, and returns its path.
func CopyDir(t *testing.T, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return to
}
