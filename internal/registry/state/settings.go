package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"umberbank/internal/coordination/rollout"
)

// Rollout returns the rollout of the nodes' settings. The caller must not change it.
func (s *State) Rollout() *rollout.State { return s.rollout }

// Settings returns the content of a version, or nil if it is not kept.
func (s *State) Settings(number int64) json.RawMessage { return s.settings[number] }

// ContentHash returns the hash that identifies the content of a version. It covers the exact text, white space included.
func ContentHash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// applyRollout applies a write that concerns versions of the nodes' settings. The token of the result is a version number: for
// OpPropose and OpRollback that of the proposed version, for OpAdvance that of the committed version, and otherwise zero.
func (s *State) applyRollout(op Op) Result {
	if op.Kind == OpPropose && !op.hasValidValue() {
		return Result{Code: CodeInvalid}
	}
	token, err := s.dispatchRollout(op)
	if err != nil {
		return Result{Code: CodeNotReady, Reason: err.Error()}
	}
	s.revision++
	needed := s.rollout.NeededVersions()
	maps.DeleteFunc(s.settings, func(number int64, _ json.RawMessage) bool { return !needed[number] })
	return Result{Token: token}
}

func (s *State) dispatchRollout(op Op) (token int64, err error) {
	switch op.Kind {
	case OpPropose:
		return s.propose(op)
	case OpRollback:
		return s.proposeRollback()
	case OpAcknowledge:
		return 0, s.rollout.Acknowledge(op.UID, op.Token, op.Number, op.Hash, op.RejectReason)
	case OpReport:
		return 0, s.rollout.Report(op.UID, op.Token, op.Number, op.Hash)
	case OpAdvance:
		err := s.rollout.Advance(op.Number, op.Stage)
		return s.rollout.Committed.Number, err
	case OpWithdraw:
		return 0, s.rollout.Withdraw(op.Number)
	case OpHalt:
		return 0, s.rollout.Halt(op.Holder)
	}
	return 0, nil
}

func (s *State) propose(op Op) (number int64, err error) {
	version, err := s.rollout.Propose(ContentHash(op.Value), op.Replaces, op.Stages)
	if err != nil {
		return 0, err
	}
	version.BakeMS = op.BakeMS
	s.settings[version.Number] = op.Value
	return version.Number, nil
}

func (s *State) proposeRollback() (number int64, err error) {
	content := s.settings[s.rollout.Committed.Number]
	version, err := s.rollout.Rollback()
	if err != nil {
		return 0, err
	}
	s.settings[version.Number] = content
	return version.Number, nil
}
