package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// One of 100 nodes is unreachable while 300 versions are committed. Only two hashes are kept for it. They suffice to detect
// a violation if the node returns and reports one of its possible versions with a wrong hash.
func TestUnreachableNodeKeepsTwoHashes(t *testing.T) {
	s := newSyncedState(t, "abcd", 25)
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
	if s.Committed.Number != 306 || n.RunningVersion != 5 || n.HighestPossibleVersion != 6 || *n.OutOfSyncSince != (Timestamp{9, 1000}) {
		t.Errorf("committed version %d, unreachable node %+v", s.Committed.Number, n)
	}
	if len(s.Hashes) > 4 || len(s.NeededVersions()) > 2 {
		t.Errorf("got %d hashes and %d needed contents, want at most 4 and 2", len(s.Hashes), len(s.NeededVersions()))
	}
	for number := int64(5); number <= 6; number++ { // in ascending order, as a node runs them
		hash := fmt.Sprint("c", number)
		for _, reported := range []string{hash, "another"} {
			if err := s.Report("a0", 1, number, reported); err != nil || (n.Violation == "") != (reported == hash) || n.InSync() {
				t.Errorf("version %d with the hash %s: %v, %+v", number, reported, err, n)
			}
		}
	}
}

// A lost zone is exempt from its own quorum until one of its nodes is in sync again. The quorum of all nodes always applies. Each
// step continues from the state of the previous one.
func TestLostZone(t *testing.T) {
	s := newSyncedState(t, "abc", 3)
	for _, c := range []struct {
		name    string
		change  func()
		wantErr string
	}{
		{"all nodes in sync", func() {}, ""},
		{"two nodes of a zone unreachable", func() { setUnreachable(s, "c0", "c1") }, "zone c: 1 of 3 nodes have acknowledged version 2, 2 are needed"},
		{"version withdrawn", func() { noError(t, s.Withdraw(2)) }, "zone c: 1 of 3 nodes have acknowledged version 3"},
		{"zone lost", func() { noError(t, s.Withdraw(3)); setUnreachable(s, "c2") }, ""},
		{"node reachable again with an old version", func() {
			s.SetNode("c0", "c", 1, false, Timestamp{Revision: 12})
			if err := s.Report("c0", 1, 1, "c1"); err != nil || s.LostZones["c"].Revision != 9 || s.Nodes["c0"].InSync() {
				t.Errorf("%v: lost %v, %+v", err, s.LostZones, s.Nodes["c0"])
			}
			setUnreachable(s, "c0")
		}, ""},
		{"node in sync again, so the zone counts", func() {
			s.SetNode("c0", "c", 1, false, Timestamp{Revision: 13})
			noError(t, s.Report("c0", 1, 5, "c5"))
			if len(s.LostZones) > 0 {
				t.Errorf("lost zones: got %v, want none", s.LostZones)
			}
		}, "zone c: 1 of 3"},
		{"other nodes of the zone restarted", func() {
			noError(t, s.Withdraw(6))
			for _, id := range []string{"c1", "c2"} {
				s.SetNode(id, "c", 2, false, Timestamp{Revision: 14})
				if s.Nodes[id].InSync() {
					t.Errorf("restarted node is in sync before its report: %+v", s.Nodes[id])
				}
				noError(t, s.Report(id, 2, 5, "c5"))
			}
		}, ""},
		{"two zones lost", func() { setUnreachable(s, "b0", "b1", "b2", "c0", "c1", "c2") }, "3 of 9 nodes have acknowledged version 8, 5 are needed"},
		{"lost nodes decommissioned", func() {
			noError(t, s.Withdraw(8))
			for _, id := range []string{"b0", "b1", "b2", "c0"} {
				s.Decommission(id)
			}
			if _, lost := s.LostZones["b"]; lost {
				t.Errorf("zone without nodes counts as lost: %v", s.LostZones)
			}
		}, ""},
	} {
		c.change()
		t.Run(c.name, func(t *testing.T) { checkError(t, commitVersion(s, 0.4, 1), c.wantErr) })
	}
}

// If the only node with the pending version as its target is out of sync, one more node gets the version. If several nodes have
// the version as their target and more than half of them are out of sync, the rollout waits until enough of them are in sync
// again. A rollback ends the wait.
func TestTargetedNodesOutOfSync(t *testing.T) {
	const all = "a0 a1 a2 a3 a4 b0 b1 b2 b3 b4"
	returnInSync := func(t *testing.T, s *State, id string) {
		s.SetNode(id, "a", s.Nodes[id].Incarnation, false, Timestamp{})
		noError(t, s.Report(id, s.Nodes[id].Incarnation, 2, "x"))
	}
	for name, c := range map[string]struct {
		fraction float64 // of ten nodes, in the first stage
		change   func(*testing.T, *State)
		targeted string // nodes with version 2 as their target after the next Advance
		wantErr  string
	}{
		"in sync":         {0.1, func(*testing.T, *State) {}, all, ""},
		"unreachable":     {0.1, func(_ *testing.T, s *State) { setUnreachable(s, "a0") }, "a0 a1", ""},
		"restarted":       {0.1, func(_ *testing.T, s *State) { s.SetNode("a0", "a", 2, false, Timestamp{}) }, "a0 a1", ""},
		"reachable again": {0.1, func(t *testing.T, s *State) { setUnreachable(s, "a0"); returnInSync(t, s, "a0") }, all, ""},
		"decommissioned":  {0.1, func(_ *testing.T, s *State) { setUnreachable(s, "a0"); s.Decommission("a0") }, all[3:], ""},
		"second unreachable": {0.1, func(t *testing.T, s *State) {
			setUnreachable(s, "a0")
			noError(t, s.Advance(2, 1))
			setUnreachable(s, "a1")
		}, "a0 a1", "0 of 2 nodes that were told version 2 are in touch and run it, 1 are needed"},
		"second not reported": {0.1, func(t *testing.T, s *State) { setUnreachable(s, "a0"); noError(t, s.Advance(2, 1)) }, "a0 a1", "node a1 (zone a) was told version 2 and is not known to run it"},
		"second in sync": {0.1, func(t *testing.T, s *State) {
			setUnreachable(s, "a0")
			noError(t, s.Advance(2, 1))
			noError(t, s.Report("a1", 1, 2, "x"))
		}, all, ""},
		"one of three unreachable": {0.3, func(_ *testing.T, s *State) { setUnreachable(s, "a0") }, all, ""},
		"two of three unreachable": {0.3, func(_ *testing.T, s *State) { setUnreachable(s, "a0", "a3") }, "a0 a3 b1", "1 of 3 nodes that were told version 2 are in touch and run it, 2 are needed"},
		"one of them in sync again": {0.3, func(t *testing.T, s *State) {
			setUnreachable(s, "a0", "a3")
			returnInSync(t, s, "a3")
		}, all, ""},
		"rolled back": {0.3, func(t *testing.T, s *State) {
			setUnreachable(s, "a0", "a3")
			_, err := s.Rollback()
			noError(t, err)
		}, "a0 a3 b1", "version 2 is not under way"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSyncedState(t, "ab", 5)
			startFirstStage(t, s, c.fraction)
			c.change(t, s)
			checkError(t, s.Advance(2, 1), c.wantErr)
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

// startFirstStage commits version 1 and starts the first stage of version 2, whose nodes report that they run it.
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

// A State is migrated from a build without the fields that MigrateLegacy sets. Afterwards a reachable node that had reported is
// in sync, a reachable node that had not is syncing, and a zone without a reachable node is lost.
func TestMigrateLegacy(t *testing.T) {
	var s State
	if err := json.Unmarshal([]byte(`{"committed":{"number":3,"hash":"c3","replaces":2,"stages":[1]},"hashes":{"3":"c3"},"highest":3,"nodes":{
		"n0":{"id":"n0","zone":"a","start":1,"known":true,"running":3,"told":3},
		"n1":{"id":"n1","zone":"a","start":1,"running":3,"told":3},
		"n2":{"id":"n2","zone":"b","start":1,"missing":true,"known":true,"running":2,"told":3}}}`), &s); err != nil {
		t.Fatal(err)
	}
	s.MigrateLegacy()
	if n := s.OutOfSync(); len(n) != 2 || n[0].ID != "n1" || n[1].ID != "n2" || n[1].HighestPossibleVersion != 3 {
		t.Errorf("out of sync: %+v", n)
	}
	if _, lost := s.LostZones["b"]; !lost || len(s.LostZones) != 1 {
		t.Errorf("lost zones: got %v, want b", s.LostZones)
	}
	c := s.Clone()
	c.MigrateLegacy()
	if d := cmp.Diff(&s, c); d != "" {
		t.Errorf("the second migration changed the state: %s", d)
	}
}

// A version is proposed, acknowledged, started and halted, with the errors of calls that are not allowed yet. Each step
// continues from the state of the previous one.
func TestVersionLifecycle(t *testing.T) {
	s := New()
	for i, zone := range []string{"a", "a", "a", "b", "b"} {
		s.SetNode(fmt.Sprint("n", i), zone, 1, false, Timestamp{})
	}
	t.Run("proposal", func(t *testing.T) { testProposal(t, s) })
	t.Run("quorum", func(t *testing.T) { testQuorum(t, s) })
	t.Run("stages", func(t *testing.T) { testStages(t, s) })
	t.Run("violation", func(t *testing.T) { testViolation(t, s) })
	t.Run("rejection", func(t *testing.T) {
		noError(t, s.Acknowledge("n2", 1, 1, "x", "no such class"))
		if s.Nodes["n2"].RejectReason == "" {
			t.Error("the reason of the rejection is not recorded")
		}
	})
}

// testProposal checks invalid proposals, and then proposes version 1 with two stages.
func testProposal(t *testing.T, s *State) {
	propose := func(hash string, replaces int64, stages []float64, want string) {
		t.Helper()
		_, err := s.Propose(hash, replaces, stages)
		checkError(t, err, want)
	}
	propose("x", 0, []float64{1}, "node n0 (zone a) is not known to run version 0")
	for _, id := range s.nodeIDs() {
		noError(t, s.Report(id, 1, 0, ""))
	}
	propose("x", 3, []float64{1}, "version 0 is in force")
	propose("x", 0, []float64{0.5, 0.4}, "stages[1]")
	propose("x", 0, []float64{0.4, 1}, "")
	propose("y", 0, []float64{1}, "under way")
}

// testQuorum makes nodes acknowledge version 1 until its first stage can start.
func testQuorum(t *testing.T, s *State) {
	acknowledge := func(id string) {
		t.Helper()
		noError(t, s.Acknowledge(id, 1, 1, "x", ""))
	}
	acknowledge("n0")
	acknowledge("n0") // a repetition counts once
	acknowledge("n3")
	checkError(t, s.Advance(1, 0), "zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed")
	acknowledge("n1")
	checkError(t, s.Advance(1, 0), "zone b: 1 of 2")
	checkError(t, s.Acknowledge("n4", 2, 1, "x", ""), "start 2")
	checkError(t, s.Acknowledge("n4", 1, 1, "z", ""), "not under way")
	acknowledge("n4")
	s.SetNode("n4", "b", 1, true, Timestamp{}) // a partition does not shrink the quorum
	checkError(t, s.Advance(1, 0), "zone b: 1 of 2")
	s.SetNode("n4", "b", 2, false, Timestamp{}) // after a restart, the earlier acknowledgement does not count
	checkError(t, s.Advance(1, 0), "zone b: 1 of 2")
	checkError(t, s.Acknowledge("n4", 2, 1, "x", ""), "node n4 has not caught up with version 0")
	noError(t, s.Report("n4", 2, 0, ""))
	checkError(t, s.Advance(1, 0), "zone b: 1 of 2")
	noError(t, s.Acknowledge("n4", 2, 1, "x", ""))
}

// testStages starts the first stage of version 1, and checks that the second one cannot start yet.
func testStages(t *testing.T, s *State) {
	noError(t, s.Advance(1, 0))
	noError(t, s.Advance(1, 0)) // a repeated call has no effect
	if s.Nodes["n0"].TargetVersion != 1 || s.StartedStages != 1 {
		t.Errorf("the first stage has not started on n0: %+v", s)
	}
	checkError(t, s.Advance(1, 1), "node n0 (zone a) was told version 1 and is not known to run it")
	checkError(t, s.Withdraw(1), "only going back")
}

// testViolation makes a node report version 1, which it has acknowledged but which is not its target.
func testViolation(t *testing.T, s *State) {
	noError(t, s.Report("n1", 1, 1, "x"))
	if !strings.Contains(s.HaltReason, "n1 runs version 1, which it was not told to") {
		t.Errorf("halt reason %q", s.HaltReason)
	}
	checkError(t, s.Advance(1, 1), "halted: node n1")
	_, err := s.Rollback()
	checkError(t, err, "version 0 is what each node was started with")
}

// A halted rollback cannot be withdrawn, because the version that it undoes is still the target of some nodes. Another rollback
// can replace it.
func TestHaltedRollback(t *testing.T) {
	s := New()
	s.SetNode("n0", "a", 1, false, Timestamp{})
	s.SetNode("n1", "a", 1, false, Timestamp{})
	propose := func(hash string, replaces int64, stages ...float64) {
		t.Helper()
		noError(t, reportAndAcknowledge(s))
		_, err := s.Propose(hash, replaces, stages)
		noError(t, err)
		noError(t, reportAndAcknowledge(s))
	}
	propose("x", 0, 1)
	noError(t, s.Advance(1, 0))
	propose("y", 1, 0.5, 1)
	noError(t, s.Advance(2, 0))
	_, err := s.Rollback()
	noError(t, err)
	noError(t, s.Halt("by staff"))
	checkError(t, s.Withdraw(3), "itself a way back")
	again, err := s.Rollback()
	noError(t, err)
	noError(t, reportAndAcknowledge(s))
	noError(t, s.Advance(again.Number, 0))
	if s.Committed.Number != 4 || s.Committed.Hash != "x" {
		t.Errorf("committed version: %+v", s.Committed)
	}
}
