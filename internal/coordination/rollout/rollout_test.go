package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// site is a State with nodes in sync, so many in each zone, named after it.
func site(t *testing.T, zones string, each int) *State {
	t.Helper()
	s := New()
	for _, z := range zones {
		for i := range each {
			id := fmt.Sprintf("%c%d", z, i)
			s.SetNode(id, string(z), 1, false, Timestamp{Revision: 1})
			if err := s.Report(id, 1, 0, ""); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

// commitVersion proposes a version and starts its stages until it is committed or one cannot start. Only reachable nodes
// answer.
func commitVersion(s *State, stages ...float64) error {
	v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, stages)
	for err == nil && s.Pending != nil {
		if err = answer(s); err == nil {
			err = s.Advance(v.Number, s.Stage)
		}
	}
	return errors.Join(err, answer(s))
}

// answer has every reachable node run its target version, and acknowledge the pending one.
func answer(s *State) error {
	for _, id := range s.nodeIDs() {
		n := s.Nodes[id]
		if n.Unreachable {
			continue
		}
		if err := s.Report(id, n.Incarnation, n.TargetVersion, s.Hashes[n.TargetVersion]); err != nil {
			return err
		}
		if s.Pending == nil {
			continue
		}
		if err := s.Acknowledge(id, n.Incarnation, s.Pending.Number, s.Pending.Hash, ""); err != nil {
			return err
		}
	}
	return nil
}

// setUnreachable makes nodes unreachable.
func setUnreachable(s *State, ids ...string) {
	for _, id := range ids {
		s.SetNode(id, s.Nodes[id].Zone, s.Nodes[id].Incarnation, true, Timestamp{Revision: 9, UnixMS: 1000})
	}
}

// One of 100 nodes becomes unreachable, and 300 versions are committed, while only two hashes are kept for it: by them it is
// still known, when it is reachable again, that it runs what it should not.
func TestUnreachableNodeKeepsTwoHashes(t *testing.T) {
	s := site(t, "abcd", 25)
	for range 5 {
		if err := commitVersion(s, 1); err != nil {
			t.Fatal(err)
		}
	}
	v, err := s.Propose("c6", 5, []float64{1})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range s.nodeIDs() {
		if err := s.Acknowledge(id, 1, v.Number, v.Hash, ""); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Advance(v.Number, 0); err != nil {
		t.Fatal(err)
	}
	setUnreachable(s, "a0")
	for _, id := range s.nodeIDs()[1:] {
		if err := s.Report(id, 1, v.Number, v.Hash); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 300 {
		if err := commitVersion(s, 0.1, 0.5, 1); err != nil {
			t.Fatalf("version %d: %v", i+1, err)
		}
	}
	n := s.Nodes["a0"]
	if s.Committed.Number != 306 || n.RunningVersion != 5 || n.HighestPossible != 6 || *n.OutOfSyncSince != (Timestamp{9, 1000}) {
		t.Errorf("in force %d, and of the dead is known: %+v", s.Committed.Number, n)
	}
	if len(s.Hashes) > 4 || len(s.NeededVersions()) > 2 {
		t.Errorf("hashes of %d versions are kept, contents of %d", len(s.Hashes), len(s.NeededVersions()))
	}
	for number := int64(5); number <= 6; number++ { // rising, as a node runs them
		hash := fmt.Sprint("c", number)
		for _, said := range []string{hash, "another"} {
			if err := s.Report("a0", 1, number, said); err != nil || (n.Violation == "") != (said == hash) || n.InSync() {
				t.Errorf("version %d, %s: %v, %+v", number, said, err, n)
			}
		}
	}
}

// A zone is lost and returns, and the errors say so; the quorum of all nodes is always needed.
func TestLostZone(t *testing.T) {
	s := site(t, "abc", 3)
	for _, c := range []struct {
		what  string
		do    func()
		fails string
	}{
		{"all are there", func() {}, ""},
		{"two of a zone are out", func() { setUnreachable(s, "c0", "c1") }, "zone c: 1 of 3 nodes have acknowledged version 2, 2 are needed"},
		{"it is taken back", func() { noError(t, s.Withdraw(2)) }, "zone c: 1 of 3 nodes have acknowledged version 3"},
		{"the zone is lost", func() { noError(t, s.Withdraw(3)); setUnreachable(s, "c2") }, ""},
		{"one is back, with an old word", func() {
			s.SetNode("c0", "c", 1, false, Timestamp{Revision: 12})
			if err := s.Report("c0", 1, 1, "c1"); err != nil || s.LostZones["c"].Revision != 9 || s.Nodes["c0"].InSync() {
				t.Errorf("%v: lost %v, %+v", err, s.LostZones, s.Nodes["c0"])
			}
			setUnreachable(s, "c0")
		}, ""},
		{"one has caught up, and the zone counts", func() {
			s.SetNode("c0", "c", 1, false, Timestamp{Revision: 13})
			noError(t, s.Report("c0", 1, 5, "c5"))
			if len(s.LostZones) > 0 {
				t.Errorf("lost: %v", s.LostZones)
			}
		}, "zone c: 1 of 3"},
		{"fresh starts of it", func() {
			noError(t, s.Withdraw(6))
			for _, id := range []string{"c1", "c2"} {
				s.SetNode(id, "c", 2, false, Timestamp{Revision: 14})
				if s.Nodes[id].InSync() {
					t.Errorf("a fresh start is in sync: %+v", s.Nodes[id])
				}
				noError(t, s.Report(id, 2, 5, "c5"))
			}
		}, ""},
		{"two zones are lost", func() { setUnreachable(s, "b0", "b1", "b2", "c0", "c1", "c2") }, "3 of 9 nodes have acknowledged version 8, 5 are needed"},
		{"a declared loss", func() {
			noError(t, s.Withdraw(8))
			for _, id := range []string{"b0", "b1", "b2", "c0"} {
				s.Decommission(id)
			}
			if _, is := s.LostZones["b"]; is {
				t.Errorf("a zone without nodes is lost: %v", s.LostZones)
			}
		}, ""},
	} {
		c.do()
		t.Run(c.what, func(t *testing.T) { checkError(t, commitVersion(s, 0.4, 1), c.fails) }) // each step goes on from the one before
	}
}

// If the only node that was started is out of sync, one more is started; when that is out of sync too, or more than half of
// several, the rollout waits until they are back or decommissioned, or it is rolled back.
func TestStartedNodesOutOfSync(t *testing.T) {
	const all = "a0 a1 a2 a3 a4 b0 b1 b2 b3 b4"
	back := func(t *testing.T, s *State, id string) {
		s.SetNode(id, "a", s.Nodes[id].Incarnation, false, Timestamp{})
		noError(t, s.Report(id, s.Nodes[id].Incarnation, 2, "x"))
	}
	for name, c := range map[string]struct {
		fraction float64 // of ten nodes, in the first stage
		then     func(*testing.T, *State)
		targeted string // the nodes with the version as their target after the next call
		fails    string
	}{
		"all run it":      {0.1, func(*testing.T, *State) {}, all, ""},
		"the one goes":    {0.1, func(_ *testing.T, s *State) { setUnreachable(s, "a0") }, "a0 a1", ""},
		"it starts again": {0.1, func(_ *testing.T, s *State) { s.SetNode("a0", "a", 2, false, Timestamp{}) }, "a0 a1", ""},
		"it is back":      {0.1, func(t *testing.T, s *State) { setUnreachable(s, "a0"); back(t, s, "a0") }, all, ""},
		"it is gone":      {0.1, func(_ *testing.T, s *State) { setUnreachable(s, "a0"); s.Decommission("a0") }, all[3:], ""},
		"so does the second": {0.1, func(t *testing.T, s *State) {
			setUnreachable(s, "a0")
			noError(t, s.Advance(2, 1))
			setUnreachable(s, "a1")
		}, "a0 a1", "0 of 2 nodes that were told version 2 are in touch and run it, 1 are needed"},
		"the second is slow": {0.1, func(t *testing.T, s *State) { setUnreachable(s, "a0"); noError(t, s.Advance(2, 1)) }, "a0 a1", "node a1 (zone a) was told version 2 and is not known to run it"},
		"the second runs it": {0.1, func(t *testing.T, s *State) {
			setUnreachable(s, "a0")
			noError(t, s.Advance(2, 1))
			noError(t, s.Report("a1", 1, 2, "x"))
		}, all, ""},
		"one of three goes": {0.3, func(_ *testing.T, s *State) { setUnreachable(s, "a0") }, all, ""},
		"two of three go":   {0.3, func(_ *testing.T, s *State) { setUnreachable(s, "a0", "a3") }, "a0 a3 b1", "1 of 3 nodes that were told version 2 are in touch and run it, 2 are needed"},
		"one of them is back": {0.3, func(t *testing.T, s *State) {
			setUnreachable(s, "a0", "a3")
			back(t, s, "a3")
		}, all, ""},
		"it is taken back": {0.3, func(t *testing.T, s *State) {
			setUnreachable(s, "a0", "a3")
			_, err := s.Rollback()
			noError(t, err)
		}, "a0 a3 b1", "version 2 is not under way"},
	} {
		t.Run(name, func(t *testing.T) {
			s := site(t, "ab", 5)
			startFirstStage(t, s, c.fraction)
			c.then(t, s)
			checkError(t, s.Advance(2, 1), c.fails)
			var targeted []string
			for _, id := range s.nodeIDs() {
				if s.Nodes[id].TargetVersion == 2 {
					targeted = append(targeted, id)
				}
			}
			if got := strings.Join(targeted, " "); got != c.targeted {
				t.Errorf("version 2 is the target of %s, want %s", got, c.targeted)
			}
		})
	}
}

// startFirstStage commits version 1, and starts version 2 on a fraction of all nodes, which run it.
func startFirstStage(t *testing.T, s *State, fraction float64) {
	t.Helper()
	if err := commitVersion(s, 1); err != nil {
		t.Fatal(err)
	}
	v, err := s.Propose("x", 1, []float64{fraction, 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range s.nodeIDs() {
		if err := s.Acknowledge(id, 1, v.Number, "x", ""); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Advance(2, 0); err != nil {
		t.Fatal(err)
	}
	for _, id := range s.nodeIDs() {
		if s.Nodes[id].TargetVersion == 2 {
			noError(t, s.Report(id, 1, 2, "x"))
		}
	}
}

// noError ends the test if err is not nil.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// checkError checks that err contains a text, or is nil if the text is empty.
func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("%v, want %q", err, want)
	}
}

// A State that a build without the fields on synchronization has stored goes on: a node that had reported is in sync, one
// that had not is syncing.
func TestMigrateLegacy(t *testing.T) {
	var s State
	if err := json.Unmarshal([]byte(`{"committed":{"number":3,"hash":"c3","replaces":2,"stages":[1]},"hashes":{"3":"c3"},"highest":3,"nodes":{
		"n0":{"id":"n0","zone":"a","start":1,"known":true,"running":3,"told":3},
		"n1":{"id":"n1","zone":"a","start":1,"running":3,"told":3},
		"n2":{"id":"n2","zone":"b","start":1,"missing":true,"known":true,"running":2,"told":3}}}`), &s); err != nil {
		t.Fatal(err)
	}
	s.MigrateLegacy()
	if n := s.OutOfSync(); len(n) != 2 || n[0].ID != "n1" || n[1].ID != "n2" || n[1].HighestPossible != 3 {
		t.Errorf("out of sync: %+v", n)
	}
	if _, lost := s.LostZones["b"]; !lost || len(s.LostZones) != 1 {
		t.Errorf("lost: %v", s.LostZones)
	}
	c := s.Clone()
	c.MigrateLegacy()
	if d := cmp.Diff(&s, c); d != "" {
		t.Errorf("twice: %s", d)
	}
}

// The life of a version, step by step, and the errors where it cannot go on.
func TestVersionLifecycle(t *testing.T) {
	s := New()
	zones := []string{"a", "a", "a", "b", "b"}
	for i, z := range zones {
		s.SetNode(fmt.Sprint("n", i), z, 1, false, Timestamp{})
	}
	fails := func(err error, want string) {
		t.Helper()
		checkError(t, err, want)
	}
	_, err := s.Propose("x", 0, []float64{1})
	fails(err, "node n0 (zone a) is not known to run version 0")
	for i := range zones {
		fails(s.Report(fmt.Sprint("n", i), 1, 0, ""), "")
	}
	_, err = s.Propose("x", 3, []float64{1})
	fails(err, "version 0 is in force")
	_, err = s.Propose("x", 0, []float64{0.5, 0.4})
	fails(err, "stages[1]")
	v, err := s.Propose("x", 0, []float64{0.4, 1})
	fails(err, "")
	_, err = s.Propose("y", 0, []float64{1})
	fails(err, "under way")
	ack := func(i int) { fails(s.Acknowledge(fmt.Sprint("n", i), 1, v.Number, "x", ""), "") }
	ack(0)
	ack(0) // twice counts once
	ack(3)
	fails(s.Advance(v.Number, 0), "zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed")
	ack(1)
	fails(s.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(s.Acknowledge("n4", 2, v.Number, "x", ""), "start 2")
	fails(s.Acknowledge("n4", 1, v.Number, "z", ""), "not under way")
	ack(4)
	s.SetNode("n4", "b", 1, true, Timestamp{}) // cut off, and no smaller quorum for it
	fails(s.Advance(v.Number, 0), "zone b: 1 of 2")
	s.SetNode("n4", "b", 2, false, Timestamp{}) // a restart: its word is worth nothing
	fails(s.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(s.Acknowledge("n4", 2, v.Number, "x", ""), "node n4 has not caught up with version 0")
	fails(s.Report("n4", 2, 0, ""), "")
	fails(s.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(s.Acknowledge("n4", 2, v.Number, "x", ""), "")
	fails(s.Advance(v.Number, 0), "")
	fails(s.Advance(v.Number, 0), "") // a repeat
	if s.Nodes["n0"].TargetVersion != 1 || s.Stage != 1 {
		t.Errorf("%+v", s)
	}
	fails(s.Advance(v.Number, 1), "node n0 (zone a) was told version 1 and is not known to run it")
	fails(s.Withdraw(1), "only going back")
	fails(s.Report("n1", 1, 1, "x"), "") // it runs what it only acknowledged
	if !strings.Contains(s.HaltReason, "n1 runs version 1, which it was not told to") {
		t.Errorf("halted: %q", s.HaltReason)
	}
	fails(s.Advance(v.Number, 1), "halted: node n1")
	_, err = s.Rollback()
	fails(err, "version 0 is what each node was started with")
	// A way back that is halted cannot be withdrawn, as some run what it takes back, but can be begun anew.
	c := New()
	c.SetNode("n0", "a", 1, false, Timestamp{})
	c.SetNode("n1", "a", 1, false, Timestamp{})
	pass := func() {
		t.Helper()
		for _, id := range c.nodeIDs() {
			fails(c.Report(id, 1, c.Nodes[id].TargetVersion, c.Hashes[c.Nodes[id].TargetVersion]), "")
			if c.Pending != nil {
				fails(c.Acknowledge(id, 1, c.Pending.Number, c.Pending.Hash, ""), "")
			}
		}
	}
	pass()
	_, err = c.Propose("x", 0, []float64{1})
	fails(err, "")
	pass()
	fails(c.Advance(1, 0), "")
	pass()
	_, err = c.Propose("y", 1, []float64{0.5, 1})
	fails(err, "")
	pass()
	fails(c.Advance(2, 0), "")
	_, err = c.Rollback()
	fails(err, "")
	fails(c.Halt("by staff"), "")
	fails(c.Withdraw(3), "itself a way back")
	again, err := c.Rollback()
	fails(err, "")
	pass()
	fails(c.Advance(again.Number, 0), "")
	if c.Committed.Number != 4 || c.Committed.Hash != "x" {
		t.Errorf("in force: %+v", c.Committed)
	}
	fails(s.Acknowledge("n2", 1, 1, "x", "no such class"), "")
	if s.Nodes["n2"].RejectReason == "" {
		t.Error("a refusal is not kept")
	}
}
