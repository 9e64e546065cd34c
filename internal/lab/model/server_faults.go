package model

import (
	"slices"
	"strings"

	"umberbank/internal/lab/sim"
)

// SetSlowdown divides the server's speed by a factor, or ends that fault.
func (s *Server) SetSlowdown(factor float64, on bool) {
	s.advance()
	s.slowdowns = setPresent(s.slowdowns, factor, on)
	s.scheduleFinish()
}

// SetErrorRate makes a fraction of the responses errors, or ends that fault.
func (s *Server) SetErrorRate(fraction float64, on bool) {
	s.errorRates = setPresent(s.errorRates, fraction, on)
}

// setPresent appends a value to a list, or removes its first occurrence.
func setPresent(list []float64, value float64, present bool) []float64 {
	if present {
		return append(list, value)
	}
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// SetHanging makes the server accept attempts without ever responding, or ends that fault. Attempts that were accepted during the
// fault get no response after it either.
func (s *Server) SetHanging(on bool) { s.hangCount += countChange(on) }

// SetRejecting makes the server reject all new attempts, or ends that fault. Discovery continues to list the server as serving.
func (s *Server) SetRejecting(on bool) { s.rejectCount += countChange(on) }

// countChange returns the change of a fault count: 1 when a fault begins, -1 when it ends.
func countChange(on bool) int {
	if on {
		return 1
	}
	return -1
}

// Stop stops the server. If silent is false, its connections are reset. If silent is true, its machine is down and sends nothing.
// The simulated discovery lists the server as deleted after Discovery.DetectionDelay, unless it has started again by then.
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

// crash ends the server and all attempts in flight. If silent is true, the senders of these attempts get no response. The
// attempts are ended in the order of their call IDs, because the random order of map iteration would make runs with the same
// seed differ.
func (s *Server) crash(silent bool) {
	s.up = false
	for _, timer := range []*sim.Timer{s.finishTimer, s.overloadTimer, s.recoveryTimer} {
		s.world.Loop.Stop(timer)
	}
	s.finishTimer, s.overloadTimer, s.recoveryTimer = nil, nil, nil
	s.overloaded, s.offeredWork = false, nil
	inFlight := make([]*Attempt, 0, len(s.inFlight))
	for a := range s.inFlight {
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
		s.world.ControlProcess(node, Kill) // the node stops and starts together with its server
	}
}

// Start starts a server that is down and begins its warm-up. If the server owns a node, it becomes ready after its node.
func (s *Server) Start() {
	if s.up || s.starting {
		return
	}
	if node := s.world.ownedNode(s.Index); node >= 0 {
		s.starting = true // World.NodeReady calls becomeReady
		s.world.ControlProcess(node, Start)
		return
	}
	s.becomeReady()
}

// becomeReady makes a server that has started accept work, and publishes it as serving.
func (s *Server) becomeReady() {
	now := s.world.Loop.Now()
	s.starting = false
	s.up, s.state, s.startTime, s.advancedAt = true, Serving, now, now
	s.world.Backend.ServerUp(s.Index)
	s.world.Directory.Publish(s.Index, Serving)
}

// Drain makes the server reject new work and publishes it as draining. It does nothing if the server is down.
func (s *Server) Drain() {
	if s.up {
		s.state = Draining
		s.world.Directory.Publish(s.Index, Draining)
	}
}
