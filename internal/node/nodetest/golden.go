package nodetest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update rewrites the golden files. It is for a stored or sent form that changes on purpose.
var update = flag.Bool("update", false, "rewrite the golden files")

// Golden compares got with the file of this name under testdata, byte for byte.
func Golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(text) {
		return
	}
	want, have := strings.Split(string(text), "\n"), strings.Split(got, "\n")
	for i := range max(len(want), len(have)) {
		if w, h := lineAt(want, i), lineAt(have, i); w != h {
			t.Errorf("%s:%d:\n  want %s\n   got %s", path, i+1, w, h)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(none)"
}
