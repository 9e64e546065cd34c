package virtual

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

// node is a node's process: its Balancer, its calls and its connections.
type node struct {
	fleet           *Fleet
	index           int
	balancer        Balancer
	persisted       balancer.Snapshot // the last snapshot on its disk, where it has one
	persistedAt     time.Duration     // by the node's clock; 0: no snapshot
	incarnation     int               // counts starts and kills: what an earlier process scheduled is dropped
	running         bool
	paused          bool
	deferred        []func() // work that waits for a paused process
	queue           []balancer.Event
	dispatching     bool
	nextID          uint64
	calls           map[string]*call
	idleConnections map[int][]time.Duration // by server, with the time of their last use
	discoverySilent bool                    // discovery's agent sends nothing
	watchSilent     bool                    // its watch is silent and not yet reopened
	excluded        map[int]bool            // servers that the last update does not list as serving
}

// Times of a node's process.
const (
	// processStartTime is how long a process takes to be ready.
	processStartTime = 15 * time.Millisecond
	// shutdownDelay is how long a process that is told to end goes on as before.
	shutdownDelay = 500 * time.Millisecond
	// shutdownTimeout is how long after that it waits for the calls it has accepted.
	shutdownTimeout = 3700 * time.Millisecond
	// shutdownPoll is the interval at which it checks them.
	shutdownPoll = 50 * time.Millisecond
)

// epoch is the time of the nodes' clock when the loop starts. It leaves room for start times before that.
const epoch = 1000 * time.Hour

// run calls do in the node's process: at once, or when a paused process resumes.
func (n *node) run(do func()) {
	if n.paused {
		n.deferred = append(n.deferred, do)
		return
	}
	do()
}

// start starts the process with the present endpoints.
func (n *node) start() {
	if n.newProcess() {
		n.applyUpdate(n.fleet.world.Directory.List(n.index), true)
		n.fleet.ready(n.index)
	}
}

// newProcess replaces the node's state by that of a fresh process. It returns false if a process runs already, or if its
// Balancer cannot be made; Fleet.Err has the reason then.
func (n *node) newProcess() bool {
	if n.running {
		return false
	}
	w := n.fleet.world
	seed := w.Site.Seed*1_000_003 + uint64(n.index)*7919 + uint64(n.incarnation)
	m, err := n.fleet.newBalancer(n.index, n.fleet.settings(n.index), seed)
	if err != nil {
		n.fleet.err = err
		return false
	}
	n.balancer = m
	n.running, n.paused, n.deferred = true, false, nil
	n.watchSilent = n.discoverySilent
	n.incarnation++
	if w.Site.Snapshots.Enabled {
		if n.persistedAt > 0 {
			m.Handle(n.clock(), balancer.Restore{Snapshot: n.persisted, Age: n.clock() - n.persistedAt})
		}
		n.persistPeriodically(n.incarnation)
	}
	n.calls = map[string]*call{}
	n.idleConnections = map[int][]time.Duration{}
	n.queue = nil
	return true
}

// persistPeriodically stores a snapshot of the Balancer at the interval of the scenario, until the process ends.
func (n *node) persistPeriodically(incarnation int) {
	n.fleet.world.Loop.After(n.fleet.world.Site.Snapshots.Interval.Std(), func() {
		if n.incarnation != incarnation {
			return
		}
		n.run(func() { n.persisted, n.persistedAt = n.balancer.Snapshot(n.clock()), n.clock() })
		n.persistPeriodically(incarnation)
	})
}

// kill ends the process: its clients see a reset, and its attempts run on at their servers.
func (n *node) kill() {
	if !n.running {
		return
	}
	n.running, n.paused, n.deferred = false, false, nil
	n.incarnation++
	for _, c := range n.openCalls() {
		for _, a := range c.attempts {
			n.abandonAttempt(a)
		}
		if !c.finished {
			c.finished = true
			done := c.done
			n.fleet.world.Loop.After(n.fleet.localLatency(), func() { done(model.Response{Result: model.ConnectionLost}) })
		}
	}
	n.calls = map[string]*call{}
	for s, l := range n.idleConnections {
		n.fleet.openConnections[s] -= len(l)
	}
	n.idleConnections = map[int][]time.Duration{}
}

// openCalls returns the calls in flight in the order of their arrival.
func (n *node) openCalls() []*call {
	return slices.SortedFunc(maps.Values(n.calls), func(a, b *call) int { return cmp.Compare(a.sequence, b.sequence) })
}

// terminate shuts the process down gracefully: it ends when all calls have been answered, or after shutdownTimeout.
func (n *node) terminate() {
	if !n.running {
		return
	}
	incarnation := n.incarnation
	remaining := shutdownTimeout
	var poll func()
	poll = func() {
		if n.incarnation != incarnation {
			return
		}
		if len(n.calls) == 0 || remaining <= 0 {
			n.kill()
			return
		}
		remaining -= shutdownPoll
		n.fleet.world.Loop.After(shutdownPoll, poll)
	}
	n.fleet.world.Loop.After(shutdownDelay, poll)
}

// clock returns the time of the node's clock.
func (n *node) clock() time.Duration { return epoch + n.fleet.world.Loop.Now() }
