package rollout

import (
	"errors"
	"fmt"
	"math"
)

// roundingSlack absorbs the error of a fraction times a number of nodes, so that 0.1 of 30 nodes is 3 and not 4.
const roundingSlack = 1e-9

// Advance starts the next stage of the pending version: it becomes the target of more nodes, and with the last stage the
// committed version of all. It fails unless [State.CheckReady] allows the stage, and when the version is halted. stage is
// the number of started stages that the caller has seen, so that a repeated call has no further effect. If the only
// started node is out of sync, the call gives the version to one more node instead and the stage stays.
func (s *State) Advance(number int64, stage int) error {
	if s.Pending == nil || s.Pending.Number != number {
		if number <= s.Committed.Number {
			return nil // committed since
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
	if s.onlyStartedNodeOutOfSync() {
		s.setTargets(s.unstarted(s.nodesInSync()), 1)
		return nil
	}
	s.startStage()
	return nil
}

// startStage gives the pending version to the nodes of the next stage, and commits it with the last one. Nodes out of
// sync get it with the last stage, or when they return after it.
func (s *State) startStage() {
	if s.StartedStages == len(s.Pending.Stages)-1 {
		remaining := s.unstarted(s.nodeIDs())
		s.setTargets(remaining, len(remaining))
		s.commit()
		return
	}
	ids := s.nodesInSync()
	remaining := s.unstarted(ids)
	started := 0
	for _, id := range ids {
		if s.Nodes[id].TargetVersion == s.Pending.Number {
			started++
		}
	}
	want := int(math.Ceil(s.Pending.Stages[s.StartedStages]*float64(len(ids))-roundingSlack)) - started
	s.setTargets(remaining, want)
	s.StartedStages++
}

// commit makes the pending version the committed one.
func (s *State) commit() {
	s.Committed, s.Pending, s.StartedStages = *s.Pending, nil, 0
	for _, n := range s.Nodes {
		n.TargetVersion, n.AcknowledgedVersion = s.Committed.Number, 0
	}
}

// setTargets makes the pending version the target of count of the nodes, evenly along their order.
func (s *State) setTargets(ids []string, count int) {
	for i := range min(max(count, 0), len(ids)) {
		s.Nodes[ids[i*len(ids)/count]].TargetVersion = s.Pending.Number
	}
}

// unstarted returns those of ids whose target is not the pending version: nodes with the version that a rollback replaces
// first, then those with the committed one, each in the given order.
func (s *State) unstarted(ids []string) []string {
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

// CheckReady returns an error that says why the next stage of the pending version cannot start yet.
func (s *State) CheckReady() error {
	if err := s.CheckQuorum(); err != nil {
		return err
	}
	return s.checkStartedNodes()
}

// checkStartedNodes returns an error that names the first started node that is in sync and not known to run the pending
// version, or says that too few of the started nodes run it. A single started node that is out of sync passes; see
// [State.Advance].
func (s *State) checkStartedNodes() error {
	if s.StartedStages == 0 {
		return nil
	}
	started, running := 0, 0
	for _, id := range s.nodeIDs() {
		n := s.Nodes[id]
		if n.TargetVersion != s.Pending.Number {
			continue
		}
		started++
		if !n.InSync() {
			continue
		}
		if !n.Reported || n.RunningVersion != n.TargetVersion {
			return fmt.Errorf("node %s (zone %s) was told version %d and is not known to run it", id, n.Zone, n.TargetVersion)
		}
		running++
	}
	if started > 1 && 2*running < started {
		return fmt.Errorf("%d of %d nodes that were told version %d are in touch and run it, %d are needed: wait for the others, go back, or declare them gone",
			running, started, s.Pending.Number, (started+1)/2)
	}
	return nil
}

// onlyStartedNodeOutOfSync reports whether the stages so far have started a single node, and it is out of sync. What that
// node would have shown, one more node is to show. When two such nodes are out of sync, the rollout waits.
func (s *State) onlyStartedNodeOutOfSync() bool {
	var started []*Node
	for _, n := range s.Nodes {
		if n.TargetVersion == s.Pending.Number {
			started = append(started, n)
		}
	}
	return s.StartedStages > 0 && len(started) == 1 && !started[0].InSync()
}
