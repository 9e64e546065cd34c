package model

import (
	"math/rand/v2"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// State is the state of a server in discovery.
type State int

// States.
const (
	Serving State = iota
	Draining
	Deleted
)

// String returns the state as discovery writes it.
func (s State) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }

// startedBeforeRun is the start time of servers that run when the run begins.
const startedBeforeRun = -time.Hour

// Server simulates a server with processor sharing: running attempts share its cores evenly. Further attempts wait in a queue
// when all slots are used, and are rejected when the queue is full.
type Server struct {
	scenario.Server
	Index int // in Site.Servers

	world     *World
	rng       *rand.Rand
	up        bool
	starting  bool // whether it waits for the node that it owns to become ready
	state     State
	startTime time.Duration // negative if the server started before the run
	inFlight  map[*Attempt]struct{}

	// Processor sharing.
	running     attemptHeap
	queue       []*Attempt
	usedSlots   int           // slots of attempts that run or wait for a downstream call
	workDone    float64       // work in nanoseconds that an attempt would have received if it had always been running
	advancedAt  time.Duration // when workDone was last computed
	finishTimer *sim.Timer    // for the next attempt to finish; nil if no attempt runs

	// Faults. Several of a kind may apply at the same time.
	hangCount, rejectCount int
	slowdowns, errorRates  []float64

	// Overload.
	overloaded                   bool
	overloadTimer, recoveryTimer *sim.Timer
	offeredWork                  []float64     // work received during warm-up, one element for each slice of time, newest last
	newestSliceStart             time.Duration // start of the newest slice of offeredWork
}

func newServer(w *World, index int) *Server {
	spec := w.Site.Servers[index]
	return &Server{
		Server:    spec,
		Index:     index,
		world:     w,
		rng:       scenario.NewRand(w.Site.Seed, "server "+spec.Name),
		up:        true,
		startTime: startedBeforeRun,
		inFlight:  map[*Attempt]struct{}{},
	}
}

// IsUp reports whether the server runs and accepts connections.
func (s *Server) IsUp() bool { return s.up }

// IsDraining reports whether the server is draining and rejects new work.
func (s *Server) IsDraining() bool { return s.state == Draining }

// StartTime returns when the server last started. It is negative if the server started before the run.
func (s *Server) StartTime() time.Duration { return s.startTime }

// IsWarmingUp reports whether the server has less than its full capacity because it started recently.
func (s *Server) IsWarmingUp() bool { return s.WarmUpFraction() < 1 }

// InFlight returns the number of attempts that have not ended.
func (s *Server) InFlight() int { return len(s.inFlight) }

// WarmUpFraction returns the fraction of its full capacity that the server has reached. It rises linearly from the machine type's
// initial capacity to 1 at the end of the warm-up.
func (s *Server) WarmUpFraction() float64 {
	age := s.world.Loop.Now() - s.startTime
	if age >= s.WarmUpTime {
		return 1
	}
	initial := s.MachineType.InitialCapacity
	return initial + (1-initial)*float64(age)/float64(s.WarmUpTime)
}

// maxSlots returns how many attempts the server processes at the same time.
func (s *Server) maxSlots() int { return s.MachineType.SlotsPerCore * s.MachineType.Cores }

// maxQueue returns how many attempts may wait for a slot.
func (s *Server) maxQueue() int { return s.MachineType.QueuePerCore * s.MachineType.Cores }

// Receive processes, queues or rejects an attempt whose last byte has arrived.
func (s *Server) Receive(a *Attempt) {
	a.server, a.index = s, -1
	s.world.Observer.AttemptArrived(a, s.Index)
	s.inFlight[a] = struct{}{}
	s.recordOfferedWork(a)
	if !s.up { // it crashed because of this attempt, or while the call was in transit
		s.end(a, ConnectionReset)
		return
	}
	switch {
	case s.rejectCount > 0 || s.state != Serving:
		s.end(a, ServerRejected)
	case s.hangCount > 0:
		a.phase = phaseHanging
	case s.usedSlots < s.maxSlots():
		s.advance()
		s.begin(a)
		s.scheduleFinish()
	case len(s.queue) < s.maxQueue():
		a.phase = phaseQueued
		s.queue = append(s.queue, a)
		s.updateOverload()
	default:
		s.end(a, ServerRejected)
	}
}

// Cancel ends an attempt that its node has cancelled. If MachineType.CancelStopsWork is false, an attempt that runs or waits for
// a downstream call continues.
func (s *Server) Cancel(a *Attempt) {
	switch {
	case a.phase == phaseEnded || a.server == nil:
	case a.phase == phaseRunning && !s.MachineType.CancelStopsWork:
	case a.phase == phaseCalling && !s.MachineType.CancelStopsWork:
	default:
		s.end(a, Abandoned)
	}
}
