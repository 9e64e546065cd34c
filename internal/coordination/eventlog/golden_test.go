package eventlog

import (
	"os"
	"path/filepath"
	"testing"

	"umberbank/internal/golden"
)

// TestGoldenEvent guards the format of event logs: the golden file was written by the build of revision f63bdca.
func TestGoldenEvent(t *testing.T) {
	e := golden.RoundTripFull[Event](t, "testdata/event-full.json")
	path := filepath.Join(t.TempDir(), "events")
	log, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(e); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(golden.Read(t, "testdata/event-full.json")) + "\n"; string(text) != want {
		t.Errorf("log line is %q, want %q", text, want)
	}
}
