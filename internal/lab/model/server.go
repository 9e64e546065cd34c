package model

import (
	"math/rand/v2"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// Server is a server: its cores are shared evenly by all that run on it; what exceeds its slots waits, and what
// exceeds its queue is turned away.
type Server struct {
	scenario.Server
	Index int

	world       *World
	rng         *rand.Rand
	up          bool
	starting    bool // it waits for the node beside it
	state       State
	startTime   time.Duration // when it last started; negative: long ago
	running     attemptHeap   // by the work at which they end
	queue       []*Attempt
	usedSlots   int     // phaseRunning and calling: slots in use
	workDone    float64 // work that each running attempt has had since it came, in ns of yardstick
	advancedAt  time.Duration
	finishTimer *sim.Timer
	open        map[*Attempt]struct{}

	hangCount, rejectCount       int
	slowdowns, errorRates        []float64
	overloaded                   bool
	overloadTimer, recoveryTimer *sim.Timer
	offeredWork                  []float64 // work sent in each of the last slices while cold
	offeredAt                    time.Duration
}

func newServer(w *World, i int) *Server {
	sv := w.Site.Servers[i]
	return &Server{Server: sv, Index: i, world: w, rng: scenario.NewRand(w.Site.Seed, "server "+sv.Name), up: true,
		startTime: -time.Hour, open: map[*Attempt]struct{}{}}
}

// IsUp tells whether the server runs.
func (s *Server) IsUp() bool { return s.up }

// IsDraining tells whether it turns new work away as it was told to.
func (s *Server) IsDraining() bool { return s.state == Draining }

// StartTime is when the server last started; negative: long ago.
func (s *Server) StartTime() time.Duration { return s.startTime }

// IsWarmingUp tells whether it still has less than all of its capacity.
func (s *Server) IsWarmingUp() bool { return s.WarmUpFraction() < 1 }

// InFlight is how many attempts it holds.
func (s *Server) InFlight() int { return len(s.open) }
