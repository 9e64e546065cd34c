package virtual

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

// node is a node's process with its Balancer, calls and connections.
type node struct {
	fleet           *Fleet
	index           int
	balancer        Balancer
	persisted       balancer.Snapshot // the last snapshot on its disk, valid if persistedAt is not zero
	persistedAt     time.Duration     // on the node's clock; zero if there is no snapshot
	incarnation     int               // number of starts and kills; an event of an earlier incarnation is dropped
	running         bool
	paused          bool
	deferred        []func() // work to run when the paused process resumes
	queue           []balancer.Event
	dispatching     bool
	nextID          uint64
	calls           map[string]*call
	idleConnections map[int][]time.Duration // by server: the time of the last use of each connection
	discoverySilent bool                    // whether discovery sends nothing to the node
	watchSilent     bool                    // whether its watch is silent and has not been reopened
	excluded        map[int]bool            // servers that discovery does not list as serving
}

// Times of a node's process.
const (
	// processStartTime is how long a process takes to become ready.
	processStartTime = 15 * time.Millisecond
	// shutdownDelay is how long a process continues to operate normally after SIGTERM.
	shutdownDelay = 500 * time.Millisecond
	// shutdownTimeout is how long the process waits for its calls in flight after shutdownDelay.
	shutdownTimeout = 3700 * time.Millisecond
	// shutdownPoll is the interval at which the process checks whether calls are in flight.
	shutdownPoll = 50 * time.Millisecond
)

// epoch is the time on the nodes' clock at which the loop starts. It is large enough that start times before the run are
// positive.
const epoch = 1000 * time.Hour

// run calls do immediately, or when the process resumes if it is paused.
func (n *node) run(do func()) {
	if n.paused {
		n.deferred = append(n.deferred, do)
		return
	}
	do()
}

// start starts the process with the current list of endpoints. It does nothing if the process runs.
func (n *node) start() {
	if n.newProcess() {
		n.applyUpdate(n.fleet.world.Directory.List(n.index), true)
		n.fleet.ready(n.index)
	}
}

// newProcess replaces the node's state by that of a new process. It returns false if a process already runs, or if the Balancer
// cannot be created. In the latter case Fleet.Err returns the error.
func (n *node) newProcess() bool {
	if n.running {
		return false
	}
	w := n.fleet.world
	seed := w.Site.Seed*1_000_003 + uint64(n.index)*7919 + uint64(n.incarnation)
	b, err := n.fleet.newBalancer(n.index, n.fleet.settings(n.index), seed)
	if err != nil {
		n.fleet.err = err
		return false
	}
	n.balancer = b
	n.running, n.paused, n.deferred = true, false, nil
	n.watchSilent = n.discoverySilent
	n.incarnation++
	if w.Site.Snapshots.Enabled {
		if n.persistedAt > 0 {
			b.Handle(n.clock(), balancer.Restore{Snapshot: n.persisted, Age: n.clock() - n.persistedAt})
		}
		n.persistPeriodically(n.incarnation)
	}
	n.calls = map[string]*call{}
	n.idleConnections = map[int][]time.Duration{}
	n.queue = nil
	return true
}

// persistPeriodically stores a snapshot of the Balancer at the scenario's snapshot interval until the process ends.
func (n *node) persistPeriodically(incarnation int) {
	n.fleet.world.Loop.After(n.fleet.world.Site.Snapshots.Interval.Std(), func() {
		if n.incarnation != incarnation {
			return
		}
		n.run(func() { n.persisted, n.persistedAt = n.balancer.Snapshot(n.clock()), n.clock() })
		n.persistPeriodically(incarnation)
	})
}

// kill ends the process. Its clients observe a lost connection. Its attempts are abandoned, and are cancelled at their servers
// after the latency of the link.
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

// terminate shuts the process down gracefully. After shutdownDelay the process ends when no call is in flight, or when
// shutdownTimeout has passed.
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
