package model

import (
	"math"
	"time"

	"umberbank/internal/lab/sim"
)

// offeredWorkSlices is into how many slices the window is cut in which a server that warms up may crash.
const offeredWorkSlices = 20

// watchLoad makes the server overloaded when its load has been too high for long enough, and lets it recover when the load has
// been low for long enough.
func (s *Server) watchLoad() {
	spec := &s.MachineType.Overload
	if spec.Threshold == 0 {
		return
	}
	load := float64(len(s.running)+len(s.queue)) / float64(s.MachineType.Cores)
	s.overloadTimer = s.timerWhile(s.overloadTimer, !s.overloaded && load > spec.Threshold, spec.OnsetDelay.Std(), func() {
		s.setOverloaded(true)
		s.world.Loop.After(spec.MaxDuration.Std(), func() { s.setOverloaded(false) })
	})
	s.recoveryTimer = s.timerWhile(s.recoveryTimer, s.overloaded && load < spec.RecoveryThreshold, spec.RecoveryDelay.Std(), func() {
		s.setOverloaded(false)
	})
}

// timerWhile starts, keeps or stops a timer that runs f once a condition has held for d, and returns it.
func (s *Server) timerWhile(timer *sim.Timer, condition bool, d time.Duration, f func()) *sim.Timer {
	switch {
	case condition && timer == nil:
		return s.world.Loop.After(d, f)
	case !condition && timer != nil:
		s.world.Loop.Stop(timer)
		return nil
	}
	return timer
}

func (s *Server) setOverloaded(on bool) {
	s.advance()
	s.overloaded, s.overloadTimer, s.recoveryTimer = on, nil, nil
	s.scheduleFinish()
}

// recordOfferedWork adds up the work that is sent to a server that warms up, that of rejected attempts too, and crashes the
// server if it is too much for any span of fall_for: more than N + 2*sqrt(N) + 2 requests of mean work, where
// N is fall_multiple times what the server can do in that span and the rest allows for chance.
func (s *Server) recordOfferedWork(a *Attempt) {
	limits := &s.world.Site.Limits
	now := s.world.Loop.Now()
	if !s.up || s.startTime < 0 || s.WarmUpTime == 0 || now-s.startTime > s.WarmUpTime {
		s.offeredWork = nil
		return
	}
	s.moveOfferedWork(now, limits.CrashLoadWindow.Std()/offeredWorkSlices)
	s.offeredWork[offeredWorkSlices-1] += float64(a.Call.Work)
	sum := 0.0
	for _, work := range s.offeredWork {
		sum += work
	}
	mean := float64(s.world.Site.MeanWork(s.Tier))
	n := limits.CrashLoadMultiple * s.Capacity * s.WarmUpFraction() * float64(limits.CrashLoadWindow) / mean
	if sum > (n+2*math.Sqrt(n)+2)*mean {
		s.world.Observer.ServerCrashed(s.Index)
		s.crash(false)
	}
}

// moveOfferedWork moves the window of offered work on to now, in slices of a length.
func (s *Server) moveOfferedWork(now, slice time.Duration) {
	if s.offeredWork == nil {
		s.offeredWork, s.offeredAt = make([]float64, offeredWorkSlices), now
	}
	for ; now-s.offeredAt >= slice; s.offeredAt += slice {
		copy(s.offeredWork, s.offeredWork[1:])
		s.offeredWork[offeredWorkSlices-1] = 0
	}
}
