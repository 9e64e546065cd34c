package model

import (
	"slices"

	"umberbank/internal/lab/sim"
)

// ---- What faults do ----

// SetSlowdown makes the server slower by a factor, or takes that off again.
func (s *Server) SetSlowdown(factor float64, on bool) {
	s.advance()
	s.slowdowns = toggle(s.slowdowns, factor, on)
	s.scheduleFinish()
}

// SetErrorRate makes a share of its answers errors, or takes that off again.
func (s *Server) SetErrorRate(share float64, on bool) { s.errorRates = toggle(s.errorRates, share, on) }

func toggle(l []float64, v float64, on bool) []float64 {
	if on {
		return append(l, v)
	}
	if i := slices.Index(l, v); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// SetHanging makes it take requests and answer none. Those that hung stay so.
func (s *Server) SetHanging(on bool) { s.hangCount += sign(on) }

// SetRejecting makes it refuse all work while it is listed as serving.
func (s *Server) SetRejecting(on bool) { s.rejectCount += sign(on) }

func sign(on bool) int {
	if on {
		return 1
	}
	return -1
}

// Stop ends the server. silent: its machine is gone, so nobody is told; else its connections are reset.
func (s *Server) Stop(silent bool) {
	s.starting = false
	if s.up {
		s.fail(silent)
		notice := s.world.Site.Discovery.DetectionDelay.Std()
		boot := s.startTime
		s.world.Loop.After(notice, func() {
			if !s.up && s.startTime == boot {
				s.world.Directory.Publish(s.Index, Deleted)
			}
		})
	}
}

// fail drops all that the server holds.
func (s *Server) fail(silent bool) {
	s.up = false
	for _, t := range []*sim.Timer{s.finishTimer, s.overloadTimer, s.recoveryTimer} {
		s.world.Loop.Stop(t)
	}
	s.finishTimer, s.overloadTimer, s.recoveryTimer, s.overloaded, s.offeredWork = nil, nil, nil, false, nil
	held := make([]*Attempt, 0, len(s.open))
	for a := range s.open {
		held = append(held, a)
	}
	slices.SortFunc(held, func(a, b *Attempt) int {
		if a.Call.ID < b.Call.ID {
			return -1
		}
		return 1
	})
	for _, a := range held {
		if silent {
			a.Done = nil
		}
		s.end(a, ConnectionReset)
	}
	s.running, s.queue, s.usedSlots = nil, nil, 0
	s.world.Backend.ServerDown(s.Index, silent)
	if node := s.world.ownedNode(s.Index); node >= 0 {
		s.world.ControlProcess(node, Kill) // it is stopped and started together with its server
	}
}

// Start brings a server that is down up, cold.
func (s *Server) Start() {
	if s.up || s.starting {
		return
	}
	if node := s.world.ownedNode(s.Index); node >= 0 {
		s.starting = true
		s.world.ControlProcess(node, Start)
		return
	}
	s.becomeReady()
}

// becomeReady makes a server that has started serve.
func (s *Server) becomeReady() {
	s.starting = false
	s.up, s.state, s.startTime, s.advancedAt = true, Serving, s.world.Loop.Now(), s.world.Loop.Now()
	s.world.Backend.ServerUp(s.Index)
	s.world.Directory.Publish(s.Index, Serving)
}

// Drain makes it turn new work away and says so to discovery.
func (s *Server) Drain() {
	if s.up {
		s.state = Draining
		s.world.Directory.Publish(s.Index, Draining)
	}
}
