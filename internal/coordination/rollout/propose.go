package rollout

import (
	"errors"
	"fmt"
)

// Propose makes a version with the given content hash and stages pending, and returns it. The caller may set its BakeMS.
// replaces must be the number of the committed version. Propose fails while another version is pending, while a node in sync
// is not known to run the committed version, if no node is in sync, or if stages do not increase to 1.
func (s *State) Propose(hash string, replaces int64, stages []float64) (*Version, error) {
	if s.Pending != nil {
		return nil, fmt.Errorf("version %d is under way", s.Pending.Number)
	}
	if replaces != s.Committed.Number {
		return nil, fmt.Errorf("it is to replace version %d, and version %d is in force", replaces, s.Committed.Number)
	}
	if err := checkStages(stages); err != nil {
		return nil, err
	}
	if len(s.Nodes) == 0 {
		return nil, errors.New("there is no node")
	}
	if err := s.checkConverged(); err != nil {
		return nil, err
	}
	return s.setPending(hash, replaces, stages), nil
}

// Rollback proposes the committed content as a new version, which replaces the pending one. Its single stage makes it the
// target of all nodes. Rollback fails if no version is pending. It also fails if no stage of the pending version has started,
// except if the pending version is a rollback and the target of some node is still newer than the committed version. It always
// fails while version 0 is committed, because the registry does not have the content of version 0.
func (s *State) Rollback() (*Version, error) {
	if s.Pending == nil || s.StartedStages == 0 && !s.partiallyApplied() {
		return nil, errors.New("no version was told to nodes and not to all")
	}
	if s.Committed.Number == 0 {
		return nil, errors.New("version 0 is what each node was started with, which the registry does not have: halt, mend, and go on, or declare the nodes gone")
	}
	return s.setPending(s.Hashes[s.Committed.Number], s.Pending.Number, []float64{1}), nil
}

// Withdraw drops the pending version with this number. The number is not assigned again. Withdraw fails if a stage of the version
// has started. It also fails if the version is a rollback and the target of some node is still newer than the committed version.
func (s *State) Withdraw(number int64) error {
	switch {
	case s.Pending == nil || s.Pending.Number != number:
		return fmt.Errorf("version %d is not under way", number)
	case s.StartedStages > 0:
		return fmt.Errorf("version %d was told to nodes: only going back undoes it", number)
	case s.partiallyApplied():
		return fmt.Errorf("version %d is itself a way back", number)
	}
	delete(s.Hashes, number)
	s.Pending, s.StartedStages, s.HaltReason = nil, 0, ""
	s.clearAcknowledgements()
	return nil
}

// Halt halts the pending version: no further stage of it starts. If the version is already halted, the first reason is kept.
func (s *State) Halt(reason string) error {
	if s.Pending == nil {
		return errors.New("no version is under way")
	}
	s.haltUnlessHalted(reason)
	return nil
}

// haltUnlessHalted sets the halt reason if there is none.
func (s *State) haltUnlessHalted(reason string) {
	if s.HaltReason == "" {
		s.HaltReason = reason
	}
}

// Converged reports whether no version is pending and every node in sync is known to run the committed one. It is false if there
// are nodes and none is in sync.
func (s *State) Converged() bool { return s.Pending == nil && s.checkConverged() == nil }

// checkConverged returns an error that names the first node in sync that is not known to run the committed version. It also
// returns an error if there are nodes and none is in sync.
func (s *State) checkConverged() error {
	ids := s.nodeIDs()
	inSync := 0
	for _, id := range ids {
		n := s.Nodes[id]
		if !n.InSync() {
			continue
		}
		inSync++
		if !n.Reported || n.RunningVersion != s.Committed.Number {
			return fmt.Errorf("node %s (zone %s) is not known to run version %d: wait for it, or declare it gone", id, n.Zone, s.Committed.Number)
		}
	}
	if inSync == 0 && len(ids) > 0 {
		return fmt.Errorf("no node is in touch: node %s (zone %s) is not known to run version %d",
			ids[0], s.Nodes[ids[0]].Zone, s.Committed.Number)
	}
	return nil
}

// partiallyApplied reports whether any node has a target version that is newer than the committed one.
func (s *State) partiallyApplied() bool {
	for _, n := range s.Nodes {
		if n.TargetVersion > s.Committed.Number {
			return true
		}
	}
	return false
}

// checkStages returns an error unless the fractions are above 0, increase strictly, and end with 1.
func checkStages(stages []float64) error {
	last := 0.0
	for i, fraction := range stages {
		if !(fraction > last && fraction <= 1) {
			return fmt.Errorf("stages[%d]: %v is not between the stage before and 1", i, fraction)
		}
		last = fraction
	}
	if last != 1 {
		return errors.New("stages: the last is not 1, all nodes")
	}
	return nil
}

// setPending makes a version with the next number pending, without started stages, halt reason or acknowledgements.
func (s *State) setPending(hash string, replaces int64, stages []float64) *Version {
	s.HighestNumber++
	s.Pending = &Version{Number: s.HighestNumber, Hash: hash, Replaces: replaces, Stages: stages}
	s.StartedStages, s.HaltReason = 0, ""
	s.Hashes[s.HighestNumber] = hash
	s.clearAcknowledgements()
	return s.Pending
}

// clearAcknowledgements discards the acknowledgements and rejections of the version that was pending.
func (s *State) clearAcknowledgements() {
	for _, n := range s.Nodes {
		n.AcknowledgedVersion, n.RejectReason = 0, ""
	}
}
