package rollout

import (
	"errors"
	"fmt"
	"math"
)

// roundingTolerance allows for the floating-point error of a fraction times a number of nodes. Without it, 0.55 of 100 nodes
// would be rounded up to 56, because 0.55*100 is 55.00000000000001.
const roundingTolerance = 1e-9

// Advance starts the next stage of the pending version, which becomes the target of more nodes. The last stage makes it the
// target of all nodes and commits it. Advance fails if [State.CheckReady] returns an error or if the version is halted. stage is
// the number of started stages that the caller has seen, so that a repeated call has no further effect. If only one node has the
// version as its target and that node is out of sync, Advance starts no stage. It makes the version the target of one more node.
func (s *State) Advance(number int64, stage int) error {
	if s.Pending == nil || s.Pending.Number != number {
		if number <= s.Committed.Number {
			return nil // already committed, or superseded by the committed version
		}
		return fmt.Errorf("version %d is not under way", number)
	}
	switch {
	case s.StartedStages > stage:
		return nil
	case s.StartedStages < stage:
		return fmt.Errorf("version %d is at stage %d", number, s.StartedStages)
	case s.HaltReason != "":
		return errors.New("halted: " + s.HaltReason)
	}
	if err := s.CheckReady(); err != nil {
		return err
	}
	if s.onlyTargetedNodeOutOfSync() {
		s.setTargets(s.untargeted(s.nodesInSync()), 1)
		return nil
	}
	s.startStage()
	return nil
}

// startStage makes the pending version the target of the nodes of the next stage. The last stage includes the nodes that are out
// of sync, and commits the version.
func (s *State) startStage() {
	if s.StartedStages == len(s.Pending.Stages)-1 {
		remaining := s.untargeted(s.nodeIDs())
		s.setTargets(remaining, len(remaining))
		s.commit()
		return
	}
	ids := s.nodesInSync()
	remaining := s.untargeted(ids)
	targeted := 0
	for _, id := range ids {
		if s.Nodes[id].TargetVersion == s.Pending.Number {
			targeted++
		}
	}
	want := int(math.Ceil(s.Pending.Stages[s.StartedStages]*float64(len(ids))-roundingTolerance)) - targeted
	s.setTargets(remaining, want)
	s.StartedStages++
}

// commit makes the pending version the committed one and the target of all nodes.
func (s *State) commit() {
	s.Committed, s.Pending, s.StartedStages = *s.Pending, nil, 0
	for _, n := range s.Nodes {
		n.TargetVersion, n.AcknowledgedVersion = s.Committed.Number, 0
	}
}

// setTargets makes the pending version the target of count of the given nodes, evenly spaced in their order.
func (s *State) setTargets(ids []string, count int) {
	for i := range min(max(count, 0), len(ids)) {
		s.Nodes[ids[i*len(ids)/count]].TargetVersion = s.Pending.Number
	}
}

// untargeted returns the given nodes whose target is not the pending version. Nodes whose target is a version that the pending
// rollback undoes come before nodes whose target is the committed version. Within both groups, the given order is kept.
func (s *State) untargeted(ids []string) []string {
	var replaced, committed []string
	for _, id := range ids {
		switch target := s.Nodes[id].TargetVersion; {
		case target <= s.Committed.Number:
			committed = append(committed, id)
		case target != s.Pending.Number:
			replaced = append(replaced, id)
		}
	}
	return append(replaced, committed...)
}

// nodesInSync returns the IDs of the nodes in sync in ascending order.
func (s *State) nodesInSync() []string {
	var ids []string
	for _, id := range s.nodeIDs() {
		if s.Nodes[id].InSync() {
			ids = append(ids, id)
		}
	}
	return ids
}

// CheckReady returns an error that says why the next stage of the pending version cannot start yet, or nil. It does not check
// whether the version is halted.
func (s *State) CheckReady() error {
	if err := s.CheckQuorum(); err != nil {
		return err
	}
	return s.checkTargetedNodes()
}

// checkTargetedNodes checks the nodes whose target is the pending version. It returns an error that names the first one that is
// in sync and not known to run the version, or an error if fewer than half of them are in sync. It returns no error if there is
// only one such node and that node is out of sync; see [State.Advance].
func (s *State) checkTargetedNodes() error {
	if s.StartedStages == 0 {
		return nil
	}
	targeted, running := 0, 0
	for _, id := range s.nodeIDs() {
		n := s.Nodes[id]
		if n.TargetVersion != s.Pending.Number {
			continue
		}
		targeted++
		if !n.InSync() {
			continue
		}
		if !n.Reported || n.RunningVersion != n.TargetVersion {
			return fmt.Errorf("node %s (zone %s) was told version %d and is not known to run it", id, n.Zone, n.TargetVersion)
		}
		running++
	}
	if targeted > 1 && 2*running < targeted {
		return fmt.Errorf("%d of %d nodes that were told version %d are in touch and run it, %d are needed: wait for the others, go back, or declare them gone",
			running, targeted, s.Pending.Number, (targeted+1)/2)
	}
	return nil
}

// onlyTargetedNodeOutOfSync reports whether a stage has started, only one node has the pending version as its target, and that
// node is out of sync. One more node then gets the version, so that the version has run on a node before the next stage starts.
// If that node goes out of sync too, no stage starts until one of the two is in sync again or is decommissioned.
func (s *State) onlyTargetedNodeOutOfSync() bool {
	var targeted []*Node
	for _, n := range s.Nodes {
		if n.TargetVersion == s.Pending.Number {
			targeted = append(targeted, n)
		}
	}
	return s.StartedStages > 0 && len(targeted) == 1 && !targeted[0].InSync()
}
