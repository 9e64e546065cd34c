package state

import (
	"errors"

	"umberbank/internal/coordination/disruption"
)

// Budget returns the disruption budget. The caller must not change it.
func (s *State) Budget() *disruption.Budget { return s.budget }

// Limits returns the limits in force, or nil if none were set.
func (s *State) Limits() *disruption.Limits { return s.limits }

func (s *State) setLimits(op Op) Result {
	if op.Limits == nil || op.Limits.Validate() != nil {
		return Result{Code: CodeInvalid}
	}
	s.revision++
	s.limits = op.Limits
	s.budget.SetLimits(*op.Limits)
	return Result{}
}

// grantPermit grants a permit whose token is the revision of the write. A request with the same holder, incarnation, plan and
// version as the existing permit gets the token of that permit.
func (s *State) grantPermit(op Op) Result {
	before := s.budget.Permit(op.UID)
	p, err := s.budget.Grant(disruption.Permit{
		Unit: op.UID, Incarnation: op.Incarnation, Token: s.revision + 1, Holder: op.Holder, Plan: op.Plan, TargetVersion: op.TargetVersion,
	}, op.ReplacesPlan)
	if err != nil {
		return Result{Code: CodeOverBudget, Reason: err.Error()}
	}
	if p != before {
		s.revision++
	}
	return Result{Token: p.Token}
}

// beginPermit lets the holder of a permit take its unit out of service; a server drains from then on. It succeeds again for
// a permit that has begun, even while the release is halted, because the first result may have been lost.
func (s *State) beginPermit(op Op) (Result, *Instance) {
	p := s.budget.Permit(op.UID)
	hadBegun := p != nil && p.Begun
	if p != nil && !hadBegun && p.Plan != "" && s.records[HaltKeyPrefix+p.Plan] != nil {
		return Result{Code: CodeHalted}, nil
	}
	p, err := s.budget.Begin(op.UID, op.Token)
	switch {
	case errors.Is(err, disruption.ErrUnitRestarted):
		return Result{Code: CodeFenced, Reason: err.Error()}, nil
	case err != nil:
		return Result{Code: CodeNoPermit, Reason: err.Error()}, nil
	case hadBegun:
		return Result{Token: p.Token}, nil
	}
	instance := s.instances[op.UID]
	if instance == nil || instance.Role != "" {
		s.revision++
		return Result{Token: p.Token}, nil
	}
	draining := *instance
	draining.State = Draining
	return Result{Token: p.Token}, s.put(draining)
}

func (s *State) returnPermit(op Op) Result {
	if !s.budget.Return(op.UID, op.Token) {
		return Result{Code: CodeNoPermit}
	}
	s.revision++
	return Result{}
}

// decommission removes a unit that will not return, whether it is reachable or not.
func (s *State) decommission(op Op) (Result, *Instance) {
	if s.instances[op.UID] != nil {
		return s.change(Op{Kind: OpRemove, UID: op.UID})
	}
	if s.unreachable[op.UID] == nil {
		return Result{Code: CodeNotFound}, nil
	}
	s.forgetUnit(op.UID)
	s.revision++
	return Result{}, nil
}

// mustDrain reports whether a server that registers is a process that a permit has taken out of service.
func (s *State) mustDrain(instance *Instance) bool {
	p := s.budget.Permit(instance.UID)
	return p != nil && p.Begun && p.StartTimeMS == instance.StartTimeMS && instance.Role == ""
}

// changingRelease returns the plan of the release that is changing a unit to another version, if any. The unit cannot be set
// to Serving until it runs that version or the release is rolled back.
func (s *State) changingRelease(instance *Instance) (plan string, changing bool) {
	p := s.budget.Permit(instance.UID)
	if p == nil || !p.Begun || p.TargetVersion == "" || p.TargetVersion == instance.Version {
		return "", false
	}
	return p.Plan, true
}
