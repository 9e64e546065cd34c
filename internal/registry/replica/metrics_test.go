package replica

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"umberbank/internal/registry/state"
)

// The figures tell what has happened, and a write of a kind that nobody knows makes none of its own.
func TestMetrics(t *testing.T) {
	r, err := open(t, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	write(t, r, register(1), register(2), state.Op{Kind: state.OpRemove, UID: "none"}, state.Op{Kind: "made-up"})
	resp, err := http.Get("http://" + r.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"registry_entries 2\n", "registry_leads 1\n", `registry_writes_total{fault="",kind="register"} 2`,
		`registry_writes_total{fault="not-found",kind="remove"} 1`, `registry_writes_total{fault="bad",kind="unknown"} 1`, "registry_write_seconds_count"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
}
