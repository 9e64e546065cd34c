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

// String returns the state as discovery spells it.
func (s State) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }

// longAgo is the start time of servers that run when the run begins.
const longAgo = -time.Hour

// Server is a server with processor sharing: the attempts that run share its cores evenly. Those beyond its slots queue, and
// those beyond its queue are rejected.
type Server struct {
	scenario.Server
	Index int // in the site's list

	world     *World
	rng       *rand.Rand
	up        bool
	starting  bool // it waits for the node that it owns
	state     State
	startTime time.Duration // negative: before the run
	open      map[*Attempt]struct{}

	// Processor sharing.
	running     attemptHeap
	queue       []*Attempt
	usedSlots   int           // by attempts that run or wait for a downstream call
	workDone    float64       // work that an attempt would have got that has run all the time, in nanoseconds
	advancedAt  time.Duration // when workDone was computed
	finishTimer *sim.Timer    // for the next attempt to finish; nil: none runs

	// Faults; several of a kind may apply at once.
	hangCount, rejectCount int
	slowdowns, errorRates  []float64

	// Overload.
	overloaded                   bool
	overloadTimer, recoveryTimer *sim.Timer
	offeredWork                  []float64     // work sent to it while it warms up, by slices of time, the newest last
	offeredAt                    time.Duration // start of the newest slice
}

func newServer(w *World, index int) *Server {
	spec := w.Site.Servers[index]
	return &Server{
		Server:    spec,
		Index:     index,
		world:     w,
		rng:       scenario.NewRand(w.Site.Seed, "server "+spec.Name),
		up:        true,
		startTime: longAgo,
		open:      map[*Attempt]struct{}{},
	}
}

// IsUp reports whether the server runs.
func (s *Server) IsUp() bool { return s.up }

// IsDraining reports whether the server is draining and rejects new work.
func (s *Server) IsDraining() bool { return s.state == Draining }

// StartTime returns when the server last started; negative: before the run.
func (s *Server) StartTime() time.Duration { return s.startTime }

// IsWarmingUp reports whether the server has less than its full capacity because it started lately.
func (s *Server) IsWarmingUp() bool { return s.WarmUpFraction() < 1 }

// InFlight returns the number of attempts that have not ended.
func (s *Server) InFlight() int { return len(s.open) }

// WarmUpFraction returns the fraction of its capacity that the server has. It rises linearly from the start.
func (s *Server) WarmUpFraction() float64 {
	age := s.world.Loop.Now() - s.startTime
	if age >= s.WarmUpTime {
		return 1
	}
	initial := s.MachineType.InitialCapacity
	return initial + (1-initial)*float64(age)/float64(s.WarmUpTime)
}

// maxSlots returns how many attempts the server processes at once.
func (s *Server) maxSlots() int { return s.MachineType.SlotsPerCore * s.MachineType.Cores }

// maxQueue returns how many attempts wait for a slot at the most.
func (s *Server) maxQueue() int { return s.MachineType.QueuePerCore * s.MachineType.Cores }

// Receive processes an attempt whose last byte has arrived.
func (s *Server) Receive(a *Attempt) {
	a.server, a.index = s, -1
	s.world.Observer.AttemptArrived(a, s.Index)
	s.open[a] = struct{}{}
	s.recordOfferedWork(a)
	if !s.up { // it has crashed just now, or while the call was on its way
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
		s.watchLoad()
	default:
		s.end(a, ServerRejected)
	}
}

// Cancel ends an attempt that its node has cancelled. A running one goes on where cancelling does not stop work.
func (s *Server) Cancel(a *Attempt) {
	switch {
	case a.phase == phaseEnded || a.server == nil:
	case a.phase == phaseRunning && !s.MachineType.CancelStopsWork:
	case a.phase == phaseCalling && !s.MachineType.CancelStopsWork:
	default:
		s.end(a, Abandoned)
	}
}
