package model

import (
	"math"
	"time"

	"umberbank/internal/lab/sim"
)

// ---- Overload ----

// watchLoad lets a server choke that has held too much for too long, and recover when it has rested.
func (s *Server) watchLoad() {
	c := &s.MachineType.Overload
	if c.Threshold == 0 {
		return
	}
	load := float64(len(s.running)+len(s.queue)) / float64(s.MachineType.Cores)
	s.overloadTimer = s.timerWhile(s.overloadTimer, !s.overloaded && load > c.Threshold, c.OnsetDelay.Std(), func() {
		s.setOverloaded(true)
		s.world.Loop.After(c.MaxDuration.Std(), func() { s.setOverloaded(false) })
	})
	s.recoveryTimer = s.timerWhile(s.recoveryTimer, s.overloaded && load < c.RecoveryThreshold, c.RecoveryDelay.Std(), func() { s.setOverloaded(false) })
}

// timerWhile keeps a timer that runs f once a condition has held for d.
func (s *Server) timerWhile(t *sim.Timer, holds bool, d time.Duration, f func()) *sim.Timer {
	switch {
	case holds && t == nil:
		return s.world.Loop.After(d, f)
	case !holds && t != nil:
		s.world.Loop.Stop(t)
		return nil
	}
	return t
}

func (s *Server) setOverloaded(on bool) {
	s.advance()
	s.overloaded, s.overloadTimer, s.recoveryTimer = on, nil, nil
	s.scheduleFinish()
}

// slices of the time within which a cold server falls over.
const offeredWorkSlices = 20

// recordOfferedWork adds what is sent to a cold server up, refused attempts too, and pushes it over if that is too much:
// within any span of fall_for more than N requests of mean work, and some for chance: N + 2 roots of N + 2. N is
// fall_multiple times what it can do in that span.
func (s *Server) recordOfferedWork(a *Attempt) {
	l := &s.world.Site.Limits
	now := s.world.Loop.Now()
	if !s.up || s.startTime < 0 || s.WarmUpTime == 0 || now-s.startTime > s.WarmUpTime {
		s.offeredWork = nil
		return
	}
	slice := l.CrashLoadWindow.Std() / offeredWorkSlices
	if s.offeredWork == nil {
		s.offeredWork, s.offeredAt = make([]float64, offeredWorkSlices), now
	}
	for ; now-s.offeredAt >= slice; s.offeredAt += slice {
		copy(s.offeredWork, s.offeredWork[1:])
		s.offeredWork[offeredWorkSlices-1] = 0
	}
	s.offeredWork[offeredWorkSlices-1] += float64(a.Call.Work)
	sum := 0.0
	for _, v := range s.offeredWork {
		sum += v
	}
	mean := float64(s.world.Site.MeanWork(s.Tier))
	if n := l.CrashLoadMultiple * s.Capacity * s.WarmUpFraction() * float64(l.CrashLoadWindow) / mean; sum > (n+2*math.Sqrt(n)+2)*mean {
		s.world.Observer.ServerCrashed(s.Index)
		s.fail(false)
	}
}
