package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
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
			err = s.Advance(v.Number, s.StartedStages)
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
