package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// newSyncedState returns a State in which all nodes are in sync. Each character of zones is the name of a zone.
func newSyncedState(t *testing.T, zones string, nodesPerZone int) *State {
	t.Helper()
	s := New()
	for _, z := range zones {
		for i := range nodesPerZone {
			id := fmt.Sprintf("%c%d", z, i)
			s.SetNode(id, string(z), 1, false, Timestamp{Revision: 1})
			if err := s.Report(id, 1, 0, ""); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

// commitVersion proposes a version and starts its stages until it is committed or a stage cannot start. Only reachable nodes
// report and acknowledge.
func commitVersion(s *State, stages ...float64) error {
	v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, stages)
	for err == nil && s.Pending != nil {
		if err = reportAndAcknowledge(s); err == nil {
			err = s.Advance(v.Number, s.StartedStages)
		}
	}
	return errors.Join(err, reportAndAcknowledge(s))
}

// reportAndAcknowledge makes every reachable node report its target version and acknowledge the pending one.
func reportAndAcknowledge(s *State) error {
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

// setUnreachable makes nodes unreachable, at revision 9 and 1,000 ms.
func setUnreachable(s *State, ids ...string) {
	for _, id := range ids {
		s.SetNode(id, s.Nodes[id].Zone, s.Nodes[id].Incarnation, true, Timestamp{Revision: 9, UnixMS: 1000})
	}
}

// noError fails the test immediately if err is not nil.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// checkError checks that the message of err contains want, or that err is nil if want is empty.
func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("got error %v, want %q", err, want)
	}
}
