package state

// register puts an instance in place. A process that started later than the one in place takes over with a new token; one
// that started earlier is fenced.
func (s *State) register(op Op) (Result, *Instance) {
	if op.Instance == nil || op.Instance.Validate() != nil {
		return Result{Code: CodeInvalid}, nil
	}
	e := *op.Instance
	if s.mustDrain(&e) {
		e.State = Draining
	}
	old := s.instances[e.UID]
	if old != nil {
		return s.registerAgain(old, e, op.IfModRevision)
	}
	if lost := s.unreachable[e.UID]; lost != nil && lost.StartTimeMS == e.StartTimeMS {
		e.Token, e.WarmUpDeficit = lost.Token, lost.WarmUpDeficit // the same process is reachable again
		return Result{Token: e.Token}, s.put(e)
	}
	return s.registerProcess(e)
}

// registerProcess puts an instance in place with a new token.
func (s *State) registerProcess(e Instance) (Result, *Instance) {
	e.Token, e.WarmUpDeficit = s.revision+1, s.initialWarmUpDeficit(&e)
	return Result{Token: e.Token}, s.put(e)
}

// registerAgain registers an instance e in the place of old.
func (s *State) registerAgain(old *Instance, e Instance, ifModRevision int64) (Result, *Instance) {
	if ifModRevision == Absent {
		return Result{Code: CodeConflict}, nil
	}
	if e.StartTimeMS < old.StartTimeMS {
		return Result{Code: CodeFenced}, nil
	}
	e.Token, e.ModRevision, e.Suspect, e.WarmUpDeficit = old.Token, old.ModRevision, false, old.WarmUpDeficit
	if e == *old {
		return Result{Token: old.Token}, nil
	}
	if e.StartTimeMS == old.StartTimeMS {
		return Result{Token: old.Token}, s.put(e)
	}
	return s.registerProcess(e)
}

// change changes or removes an instance that is there.
func (s *State) change(op Op) (Result, *Instance) {
	old := s.instances[op.UID]
	switch {
	case old == nil:
		return Result{Code: CodeNotFound}, nil
	case op.Token != 0 && op.Token != old.Token:
		return Result{Code: CodeFenced}, nil
	case op.IfModRevision != 0 && op.IfModRevision != old.ModRevision:
		return Result{Code: CodeConflict}, nil
	}
	e := *old
	switch op.Kind {
	case OpRemove, OpExpire:
		byOperator := op.Kind == OpRemove && op.Token == 0
		return Result{Token: e.Token}, s.remove(e, byOperator)
	case OpWarmUp:
		if op.WarmUpDeficit == nil || !(*op.WarmUpDeficit >= 0 && *op.WarmUpDeficit <= e.WarmUpDeficit) {
			return Result{Code: CodeInvalid}, nil
		}
		e.WarmUpDeficit = *op.WarmUpDeficit
	case OpSuspect, OpTrust:
		e.Suspect = op.Kind == OpSuspect
	case OpUpdate:
		if failure := s.update(old, &e, op); failure.Code != "" {
			return failure, nil
		}
	}
	if e == *old {
		return Result{Token: e.Token}, nil
	}
	return Result{Token: e.Token}, s.put(e)
}

// update sets in e what an OpUpdate of old sets.
func (s *State) update(old, e *Instance, op Op) (failure Result) {
	if plan, changing := s.changingRelease(old); changing && op.State == Serving {
		return Result{Code: CodeConflict, Reason: "release " + plan + " is changing it"}
	}
	if op.State != "" {
		e.State = op.State
	}
	if op.Capacity != nil {
		e.Capacity = *op.Capacity
	}
	if op.State == Deleted || e.Validate() != nil {
		return Result{Code: CodeInvalid}
	}
	return Result{}
}

// put puts an instance in place under the next revision.
func (s *State) put(e Instance) *Instance {
	s.revision++
	e.ModRevision = s.revision
	old := s.instances[e.UID]
	s.instances[e.UID] = &e
	s.nodeChanged(old, &e)
	if e.isUnit() {
		delete(s.unreachable, e.UID)
		s.updateUnit(&e)
	}
	return &e
}

// remove removes an instance under the next revision, and returns it with the state Deleted. Unless it is decommissioned,
// a unit counts as unreachable from then on; while no limits are set only nodes do.
func (s *State) remove(e Instance, decommissioned bool) *Instance {
	s.revision++
	e.ModRevision = s.revision
	old := s.instances[e.UID]
	e.State = Deleted
	delete(s.instances, e.UID)
	s.nodeChanged(old, &e)
	switch {
	case !e.isUnit():
	case decommissioned || s.limits == nil && e.Role != RoleNode:
		s.forgetUnit(e.UID)
	default:
		unreachable := e
		unreachable.State = old.State
		s.unreachable[e.UID] = &unreachable
		s.updateUnit(&unreachable)
	}
	return &e
}
