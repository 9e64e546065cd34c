package balancer

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"
)

// snapshotFile is what the first version that stored snapshots learned from the events of learned.
const snapshotFile = "testdata/snapshot.json"

// The stored form of a snapshot does not change: the same events give the same bytes, and a stored one is read whole.
func TestStoredSnapshotForm(t *testing.T) {
	stored, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	was, now := learned(t)
	text, err := json.MarshalIndent(was.Snapshot(now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if text = append(text, '\n'); !bytes.Equal(text, stored) {
		t.Errorf("the same events give another snapshot:\n%s", text)
	}
	var m Snapshot
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		t.Fatal(err)
	}
	if err := m.Validate(); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if again = append(again, '\n'); !bytes.Equal(again, stored) {
		t.Errorf("a stored snapshot is read as:\n%s", again)
	}
	b := fresh(t, m, 0, servers(10), nil)
	s := b.servers["s00"]
	if b.recalled == nil || b.window != 100 || s.samples == 0 || s.slow < 0.1 || b.servers["s01"].level == 0 {
		t.Errorf("a stored snapshot is not restored: window %v, %+v", b.window, s)
	}
}

// A snapshot of which every field has a value of its own, with the keys that it is stored under.
func TestSnapshotKeys(t *testing.T) {
	const stored = `{"tier":1,"errors":0.1,"tokens":2,"window":3,"fill":0.4,"calm":0.5,"bare":0.6,` +
		`"classes":[{"name":"c","aim":7,"deadline":80,"mean":9,"dev":10,"cost":11,"longest_try":12}],` +
		`"servers":[{"id":"s","boot":13,"slow":1.4,"samples":15,"level":4,"left":17}]}`
	want := Snapshot{
		Tier: 1, ErrorRate: 0.1, RetryTokens: 2, LimitPerEndpoint: 3, Utilization: 0.4, SlowUtilization: 0.5, BaselineUtilization: 0.6,
		Classes:   []ClassSnapshot{{Name: "c", LatencyObjective: 7, Deadline: 80, MeanLatency: 9, LatencyDeviation: 10, MeanCost: 11, LongestTimeout: 12}},
		Endpoints: []EndpointSnapshot{{ID: "s", StartTime: 13, Slowness: 1.4, LatencySamples: 15, EjectionLevel: 4, EjectionRemaining: 17 * time.Nanosecond}},
	}
	text, err := json.Marshal(want)
	if err != nil || string(text) != stored {
		t.Errorf("%v, stored as %s", err, text)
	}
}
