package state

// register adds or replaces an instance. A process that started later than the registered one replaces it and gets a new
// token; a process that started earlier is fenced.
func (s *State) register(op Op) (Result, *Instance) {
	if op.Instance == nil || op.Instance.Validate() != nil {
		return Result{Code: CodeInvalid}, nil
	}
	instance := *op.Instance
	if s.mustDrain(&instance) {
		instance.State = Draining
	}
	old := s.instances[instance.UID]
	if old != nil {
		return s.registerAgain(old, instance, op.IfModRevision)
	}
	if before := s.unreachable[instance.UID]; before != nil && before.StartTimeMS == instance.StartTimeMS {
		instance.Token, instance.WarmUpDeficit = before.Token, before.WarmUpDeficit // the same process is reachable again
		return Result{Token: instance.Token}, s.put(instance)
	}
	return s.registerProcess(instance)
}

// registerProcess stores an instance with a new token.
func (s *State) registerProcess(instance Instance) (Result, *Instance) {
	instance.Token, instance.WarmUpDeficit = s.revision+1, s.initialWarmUpDeficit(&instance)
	return Result{Token: instance.Token}, s.put(instance)
}

// registerAgain registers an instance whose UID is that of the registered instance old.
func (s *State) registerAgain(old *Instance, instance Instance, ifModRevision int64) (Result, *Instance) {
	if ifModRevision == Absent {
		return Result{Code: CodeConflict}, nil
	}
	if instance.StartTimeMS < old.StartTimeMS {
		return Result{Code: CodeFenced}, nil
	}
	instance.Token, instance.ModRevision, instance.Suspect, instance.WarmUpDeficit = old.Token, old.ModRevision, false, old.WarmUpDeficit
	if instance == *old {
		return Result{Token: old.Token}, nil
	}
	if instance.StartTimeMS == old.StartTimeMS {
		return Result{Token: old.Token}, s.put(instance)
	}
	return s.registerProcess(instance)
}

// change updates or removes a registered instance.
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
	instance := *old
	switch op.Kind {
	case OpRemove, OpExpire:
		byOperator := op.Kind == OpRemove && op.Token == 0
		return Result{Token: instance.Token}, s.remove(instance, byOperator)
	case OpWarmUp:
		if op.WarmUpDeficit == nil || !(*op.WarmUpDeficit >= 0 && *op.WarmUpDeficit <= instance.WarmUpDeficit) {
			return Result{Code: CodeInvalid}, nil
		}
		instance.WarmUpDeficit = *op.WarmUpDeficit
	case OpSuspect, OpTrust:
		instance.Suspect = op.Kind == OpSuspect
	case OpUpdate:
		if failure := s.update(old, &instance, op); failure.Code != "" {
			return failure, nil
		}
	}
	if instance == *old {
		return Result{Token: instance.Token}, nil
	}
	return Result{Token: instance.Token}, s.put(instance)
}

// update applies an OpUpdate to instance, which is a copy of the stored instance old. failure is the zero Result on success.
func (s *State) update(old, instance *Instance, op Op) (failure Result) {
	if plan, changing := s.changingRelease(old); changing && op.State == Serving {
		return Result{Code: CodeConflict, Reason: "release " + plan + " is changing it"}
	}
	if op.State != "" {
		instance.State = op.State
	}
	if op.Capacity != nil {
		instance.Capacity = *op.Capacity
	}
	if op.State == Deleted || instance.Validate() != nil {
		return Result{Code: CodeInvalid}
	}
	return Result{}
}

// put stores an instance at the next revision.
func (s *State) put(instance Instance) *Instance {
	s.revision++
	instance.ModRevision = s.revision
	old := s.instances[instance.UID]
	s.instances[instance.UID] = &instance
	s.nodeChanged(old, &instance)
	if instance.isUnit() {
		delete(s.unreachable, instance.UID)
		s.updateUnit(&instance)
	}
	return &instance
}

// remove removes an instance at the next revision and returns it with the state Deleted. A unit that is not decommissioned
// counts as unreachable from then on; while no limits are set, this applies only to nodes.
func (s *State) remove(instance Instance, decommissioned bool) *Instance {
	s.revision++
	instance.ModRevision = s.revision
	old := s.instances[instance.UID]
	instance.State = Deleted
	delete(s.instances, instance.UID)
	s.nodeChanged(old, &instance)
	switch {
	case !instance.isUnit():
	case decommissioned || s.limits == nil && instance.Role != RoleNode:
		s.forgetUnit(instance.UID)
	default:
		unreachable := instance
		unreachable.State = old.State
		s.unreachable[instance.UID] = &unreachable
		s.updateUnit(&unreachable)
	}
	return &instance
}
