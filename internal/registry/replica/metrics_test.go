package replica

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"umberbank/internal/registry/golden"
	"umberbank/internal/registry/state"
)

// readMetrics returns the metrics that a replica exposes.
func readMetrics(t *testing.T, r *Replica) string {
	t.Helper()
	resp, err := http.Get("http://" + r.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Metrics count what has happened, and a write of an unknown kind gets no label of its own.
func TestMetrics(t *testing.T) {
	r, err := startReplica(t, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	write(t, r, register(1), register(2), state.Op{Kind: state.OpRemove, UID: "none"}, state.Op{Kind: "made-up"})
	text := readMetrics(t, r)
	for _, want := range []string{
		"registry_entries 2\n",
		"registry_leads 1\n",
		`registry_writes_total{fault="",kind="register"} 2`,
		`registry_writes_total{fault="not-found",kind="remove"} 1`,
		`registry_writes_total{fault="bad",kind="unknown"} 1`,
		"registry_write_seconds_count",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %q:\n%s", want, text)
		}
	}
}

// Metrics keep their names, types, labels and buckets.
func TestMetricsGolden(t *testing.T) {
	r := startLeader(t, t.TempDir())
	transcript(t, r, setupRequests...)
	transcript(t, r, rejectedWrites...)
	var out bytes.Buffer
	for line := range strings.Lines(readMetrics(t, r)) {
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndexByte(line, ' ')] + "\n" // without the value
		}
		out.WriteString(line)
	}
	golden.Check(t, "metrics.golden", out.Bytes())
}
