package nodetest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update makes Golden rewrite the golden files, for intended changes of a stored or sent format.
var update = flag.Bool("update", false, "rewrite the golden files")

// Golden compares got with the named file under testdata, byte for byte. With the flag -update it
// rewrites the file instead.
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
	wantLines, gotLines := strings.Split(string(text), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if w, g := lineAt(wantLines, i), lineAt(gotLines, i); w != g {
			t.Errorf("%s:%d:\n  want %s\n   got %s", path, i+1, w, g)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(none)"
}
