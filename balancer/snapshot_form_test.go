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
	text, err := json.MarshalIndent(was.Learned(now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if text = append(text, '\n'); !bytes.Equal(text, stored) {
		t.Errorf("the same events give another snapshot:\n%s", text)
	}
	var m Memory
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
	want := Memory{
		Tier: 1, Errors: 0.1, Tokens: 2, Window: 3, Fill: 0.4, Calm: 0.5, Bare: 0.6,
		Classes: []ClassMemory{{Name: "c", Aim: 7, Deadline: 80, Mean: 9, Dev: 10, Cost: 11, LongestTry: 12}},
		Servers: []ServerMemory{{ID: "s", Boot: 13, Slow: 1.4, Samples: 15, Level: 4, Left: 17 * time.Nanosecond}},
	}
	text, err := json.Marshal(want)
	if err != nil || string(text) != stored {
		t.Errorf("%v, stored as %s", err, text)
	}
}
