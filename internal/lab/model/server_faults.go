package model

import (
	"slices"
	"strings"

	"umberbank/internal/lab/sim"
)

// SetSlowdown makes the server slower by a factor, or ends that.
func (s *Server) SetSlowdown(factor float64, on bool) {
	s.advance()
	s.slowdowns = setPresent(s.slowdowns, factor, on)
	s.scheduleFinish()
}

// SetErrorRate makes a fraction of the responses errors, or ends that.
func (s *Server) SetErrorRate(fraction float64, on bool) {
	s.errorRates = setPresent(s.errorRates, fraction, on)
}

// setPresent adds a value to a list, or removes it once.
func setPresent(list []float64, value float64, present bool) []float64 {
	if present {
		return append(list, value)
	}
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// SetHanging makes the server accept attempts without ever answering them, or ends that. Those that hang stay so.
func (s *Server) SetHanging(on bool) { s.hangCount += countChange(on) }

// SetRejecting makes the server reject all work while discovery lists it as serving, or ends that.
func (s *Server) SetRejecting(on bool) { s.rejectCount += countChange(on) }

// countChange returns by how much a count of faults that apply changes.
func countChange(on bool) int {
	if on {
		return 1
	}
	return -1
}

// Stop stops the server. If silent its machine is gone and nobody is told; else its connections are reset. Discovery lists it as
// deleted once its end is detected.
func (s *Server) Stop(silent bool) {
	s.starting = false
	if !s.up {
		return
	}
	s.crash(silent)
	startTime := s.startTime
	s.world.Loop.After(s.world.Site.Discovery.DetectionDelay.Std(), func() {
		if !s.up && s.startTime == startTime {
			s.world.Directory.Publish(s.Index, Deleted)
		}
	})
}

// crash ends the server and everything in flight, in an order that does not depend on the map's.
func (s *Server) crash(silent bool) {
	s.up = false
	for _, timer := range []*sim.Timer{s.finishTimer, s.overloadTimer, s.recoveryTimer} {
		s.world.Loop.Stop(timer)
	}
	s.finishTimer, s.overloadTimer, s.recoveryTimer = nil, nil, nil
	s.overloaded, s.offeredWork = false, nil
	inFlight := make([]*Attempt, 0, len(s.open))
	for a := range s.open {
		inFlight = append(inFlight, a)
	}
	slices.SortFunc(inFlight, func(a, b *Attempt) int { return strings.Compare(a.Call.ID, b.Call.ID) })
	for _, a := range inFlight {
		if silent {
			a.Done = nil
		}
		s.end(a, ConnectionReset)
	}
	s.running, s.queue, s.usedSlots = nil, nil, 0
	s.world.Backend.ServerDown(s.Index, silent)
	if node := s.world.ownedNode(s.Index); node >= 0 {
		s.world.ControlProcess(node, Kill) // it stops and starts together with its server
	}
}

// Start starts a server that is down. It warms up from its start.
func (s *Server) Start() {
	if s.up || s.starting {
		return
	}
	if node := s.world.ownedNode(s.Index); node >= 0 {
		s.starting = true // becomeReady follows when the node is ready
		s.world.ControlProcess(node, Start)
		return
	}
	s.becomeReady()
}

// becomeReady makes a server that has started serve.
func (s *Server) becomeReady() {
	now := s.world.Loop.Now()
	s.starting = false
	s.up, s.state, s.startTime, s.advancedAt = true, Serving, now, now
	s.world.Backend.ServerUp(s.Index)
	s.world.Directory.Publish(s.Index, Serving)
}

// Drain makes the server reject new work and discovery list it as draining.
func (s *Server) Drain() {
	if s.up {
		s.state = Draining
		s.world.Directory.Publish(s.Index, Draining)
	}
}
