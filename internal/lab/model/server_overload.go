package model

import (
	"math"
	"time"

	"umberbank/internal/lab/sim"
)

// offeredWorkSlices is the number of slices of equal length into which Limits.CrashLoadWindow is divided.
const offeredWorkSlices = 20

// updateOverload starts or stops the timers of overload. The server becomes overloaded when its load has stayed above the
// threshold for OnsetDelay. It recovers when its load has stayed below the recovery threshold for RecoveryDelay, or when
// MaxDuration has passed. The timer for MaxDuration is not stopped by an earlier recovery, so it may end a later overload.
func (s *Server) updateOverload() {
	spec := &s.MachineType.Overload
	if spec.Threshold == 0 {
		return
	}
	load := float64(len(s.running)+len(s.queue)) / float64(s.MachineType.Cores)
	s.overloadTimer = s.updateConditionTimer(s.overloadTimer,
		!s.overloaded && load > spec.Threshold, spec.OnsetDelay.Std(), func() {
			s.setOverloaded(true)
			s.world.Loop.After(spec.MaxDuration.Std(), func() { s.setOverloaded(false) })
		})
	s.recoveryTimer = s.updateConditionTimer(s.recoveryTimer,
		s.overloaded && load < spec.RecoveryThreshold, spec.RecoveryDelay.Std(), func() {
			s.setOverloaded(false)
		})
}

// updateConditionTimer starts, keeps or stops a timer that runs f once a condition has held for d. It returns the timer, which is
// nil while the condition does not hold.
func (s *Server) updateConditionTimer(timer *sim.Timer, condition bool, d time.Duration, f func()) *sim.Timer {
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

// recordOfferedWork adds up the work of all attempts that arrive at a server during its warm-up, including rejected ones. It
// crashes the server if the work within Limits.CrashLoadWindow (setting fall_for) exceeds N + 2*sqrt(N) + 2 requests of mean
// work. N is the number of such requests that the server can process in the window at its present capacity, times
// Limits.CrashLoadMultiple (setting fall_multiple). The other terms allow for random variation of the load.
func (s *Server) recordOfferedWork(a *Attempt) {
	limits := &s.world.Site.Limits
	now := s.world.Loop.Now()
	if !s.up || s.startTime < 0 || s.WarmUpTime == 0 || now-s.startTime > s.WarmUpTime {
		s.offeredWork = nil
		return
	}
	s.advanceOfferedWork(now, limits.CrashLoadWindow.Std()/offeredWorkSlices)
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

// advanceOfferedWork moves the window of offered work forward to now, dropping the oldest slices.
func (s *Server) advanceOfferedWork(now, slice time.Duration) {
	if s.offeredWork == nil {
		s.offeredWork, s.newestSliceStart = make([]float64, offeredWorkSlices), now
	}
	for ; now-s.newestSliceStart >= slice; s.newestSliceStart += slice {
		copy(s.offeredWork, s.offeredWork[1:])
		s.offeredWork[offeredWorkSlices-1] = 0
	}
}
