package model

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// warmUpStep is the longest interval at which the rate of a server that warms up is recomputed.
	warmUpStep = 50 * time.Millisecond
	// duplicateWorkFraction is the fraction of its work that a call costs if checkDuplicate reports it as a duplicate.
	duplicateWorkFraction = 0.05
	// finishTolerance is how much work, in nanoseconds, an attempt may lack when it finishes. It compensates for the rounding of
	// times.
	finishTolerance = 0.5
)

// workRate returns how much work one running attempt completes in a unit of time.
func (s *Server) workRate() float64 {
	rate := s.Speed * s.WarmUpFraction()
	for _, factor := range s.slowdowns {
		rate /= factor
	}
	if s.overloaded {
		rate /= s.MachineType.Overload.Slowdown
	}
	if n := len(s.running); n > s.MachineType.Cores {
		rate *= float64(s.MachineType.Cores) / float64(n)
	}
	return rate
}

// advance updates workDone to the current time. It must be called before any change of the work rate.
func (s *Server) advance() {
	now := s.world.Loop.Now()
	if len(s.running) > 0 {
		s.workDone += float64(now-s.advancedAt) * s.workRate()
	}
	s.advancedAt = now
}

// scheduleFinish sets the timer for the next attempt to finish, and updates the timers of overload. It must be called after any
// change of the work rate.
func (s *Server) scheduleFinish() {
	s.world.Loop.Stop(s.finishTimer)
	s.finishTimer = nil
	s.updateOverload()
	if len(s.running) == 0 {
		return
	}
	wait := (s.running[0].finishesAt - s.workDone) / s.workRate()
	if s.IsWarmingUp() { // the rate changes with time
		wait = min(wait, float64(warmUpStep))
	}
	s.finishTimer = s.world.Loop.After(time.Duration(math.Ceil(max(0, wait))), s.finish)
}

// finish continues the attempts whose own work is complete, and schedules the next call of finish.
func (s *Server) finish() {
	s.finishTimer = nil
	s.advance()
	for len(s.running) > 0 && s.running[0].finishesAt <= s.workDone+finishTolerance {
		a := heap.Pop(&s.running).(*Attempt)
		a.phase = phaseCalling
		s.continueAttempt(a)
	}
	s.scheduleFinish()
}

// begin starts an attempt in a free slot and draws the number of its downstream calls.
func (s *Server) begin(a *Attempt) {
	s.usedSlots++
	work := float64(a.Call.Work)
	if s.world.checkDuplicate(s.Rack, a.Call) {
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

// end ends an attempt in any phase, sends its response, and gives its slot to the next attempt in the queue.
func (s *Server) end(a *Attempt, o Outcome) {
	was := a.phase
	a.phase = phaseEnded
	delete(s.inFlight, a)
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
		body = ResponseBody(a.Call, s.Name)
	}
	if a.Done != nil {
		a.Done(o, body)
	}
	if s.up && (was == phaseRunning || was == phaseCalling) {
		s.dispatchQueue()
	}
}

// dispatchQueue starts attempts from the queue while slots are free.
func (s *Server) dispatchQueue() {
	s.advance()
	for len(s.queue) > 0 && s.usedSlots < s.maxSlots() {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(a)
	}
	s.scheduleFinish()
}
