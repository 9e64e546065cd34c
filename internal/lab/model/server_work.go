package model

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// WarmUpFraction is the share of its capacity that the server has for its age.
func (s *Server) WarmUpFraction() float64 {
	age := s.world.Loop.Now() - s.startTime
	if age >= s.WarmUpTime {
		return 1
	}
	return s.MachineType.InitialCapacity + (1-s.MachineType.InitialCapacity)*float64(age)/float64(s.WarmUpTime)
}

// pace is the work that one running attempt gets in a unit of time.
func (s *Server) pace() float64 {
	p := s.Speed * s.WarmUpFraction()
	for _, f := range s.slowdowns {
		p /= f
	}
	if s.overloaded {
		p /= s.MachineType.Overload.Slowdown
	}
	if n := len(s.running); n > s.MachineType.Cores {
		p *= float64(s.MachineType.Cores) / float64(n)
	}
	return p
}

// advance reckons what the running attempts have had until now. It comes before every change of the pace.
func (s *Server) advance() {
	now := s.world.Loop.Now()
	if len(s.running) > 0 {
		s.workDone += float64(now-s.advancedAt) * s.pace()
	}
	s.advancedAt = now
}

// scheduleFinish sets the timer for the next attempt to end. It comes after every change.
func (s *Server) scheduleFinish() {
	s.world.Loop.Stop(s.finishTimer)
	s.finishTimer = nil
	s.watchLoad()
	if len(s.running) == 0 {
		return
	}
	wait := (s.running[0].finishesAt - s.workDone) / s.pace()
	if s.WarmUpFraction() < 1 { // the pace changes by itself
		wait = min(wait, float64(warmUpStep))
	}
	s.finishTimer = s.world.Loop.After(time.Duration(math.Ceil(max(0, wait))), s.finish)
}

// warmUpStep is how often the pace of a warming server is reckoned anew.
const warmUpStep = 50 * time.Millisecond

// finish ends the work of what has had enough.
func (s *Server) finish() {
	s.finishTimer = nil
	s.advance()
	for len(s.running) > 0 && s.running[0].finishesAt <= s.workDone+0.5 {
		a := heap.Pop(&s.running).(*Attempt)
		a.phase = phaseCalling
		s.continueAttempt(a)
	}
	s.scheduleFinish()
}

// Arrive takes an attempt whose last byte has come.
func (s *Server) Arrive(a *Attempt) {
	a.server, a.index = s, -1
	s.world.Observer.AttemptArrived(a, s.Index)
	s.open[a] = struct{}{}
	s.recordOfferedWork(a)
	if !s.up { // it has just fallen over, or died while the request was on its way
		s.end(a, ConnectionReset)
		return
	}
	switch {
	case s.rejectCount > 0 || s.state != Serving:
		s.end(a, ServerRejected)
	case s.hangCount > 0:
		a.phase = phaseHanging
	case s.usedSlots < s.MachineType.SlotsPerCore*s.MachineType.Cores:
		s.advance()
		s.begin(a)
		s.scheduleFinish()
	case len(s.queue) < s.MachineType.QueuePerCore*s.MachineType.Cores:
		a.phase = phaseQueued
		s.queue = append(s.queue, a)
		s.watchLoad()
	default:
		s.end(a, ServerRejected)
	}
}

// begin puts an attempt on the cores.
func (s *Server) begin(a *Attempt) {
	s.usedSlots++
	work := float64(a.Call.Work)
	if s.world.isDuplicate(s.Rack, a.Call) {
		work *= duplicateWorkFraction
	}
	if a.NewConnection {
		work += float64(s.MachineType.HandshakeWork)
	}
	a.phase, a.finishesAt = phaseRunning, s.workDone+work
	if mean := s.world.Site.MeanCalls[s.Tier]; mean > 0 {
		a.remainingCalls = int(mean)
		if s.rng.Float64() < mean-float64(a.remainingCalls) {
			a.remainingCalls++
		}
	}
	heap.Push(&s.running, a)
}

// duplicateWorkFraction is the share of its work that a repeat costs which the rack drops.
const duplicateWorkFraction = 0.05

// Cancel notes that the node has given an attempt up. What waits is dropped; what runs stops only on some kinds.
func (s *Server) Cancel(a *Attempt) {
	switch {
	case a.phase == phaseEnded || a.server == nil:
	case a.phase == phaseRunning && !s.MachineType.CancelStopsWork:
	case a.phase == phaseCalling && !s.MachineType.CancelStopsWork:
	default:
		s.end(a, Abandoned)
	}
}

// end takes an attempt out, wherever it stands, and answers it.
func (s *Server) end(a *Attempt, o Outcome) {
	was := a.phase
	a.phase = phaseEnded
	delete(s.open, a)
	switch was {
	case phaseQueued:
		if i := slices.Index(s.queue, a); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case phaseRunning:
		s.advance()
		heap.Remove(&s.running, a.index)
		s.usedSlots--
	case phaseCalling:
		s.usedSlots--
		if a.abandonCall != nil {
			a.abandonCall()
		}
	}
	s.world.Observer.AttemptEnded(a, o)
	body := ""
	if o == Completed {
		body = Body(a.Call, s.Name)
	}
	if a.Done != nil {
		a.Done(o, body)
	}
	if s.up && (was == phaseRunning || was == phaseCalling) {
		s.admit()
	}
}

// admit lets waiting attempts on as slots come free.
func (s *Server) admit() {
	s.advance()
	for len(s.queue) > 0 && s.usedSlots < s.MachineType.SlotsPerCore*s.MachineType.Cores {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(a)
	}
	s.scheduleFinish()
}
