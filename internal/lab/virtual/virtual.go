// Package virtual carries calls on the virtual clock, with the decision module in place of node processes. It models
// what the node's sockets do: connections that are kept and opened, the time a message takes, deadlines, and
// a watch of discovery. It does not model the processor time of nodes.
package virtual

import (
	"cmp"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"umberbank/balancer"
	"umberbank/internal/coordination/disruption"
	"umberbank/internal/lab/model"
	"umberbank/internal/lab/sim"
)

// Module decides for one node; balancer.Balancer does.
type Module interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	Snapshot(now time.Duration) balancer.Snapshot
}

// ownDelay is what a node leaves of a caller's time for the way back.
const ownDelay = 20 * time.Millisecond

// startTime is how long a node's process takes to be ready, as measured on real ones.
const startTime = 15 * time.Millisecond

// Fleet is a model.Backend.
type Fleet struct {
	w        *model.World
	settings func(node int) balancer.Settings
	make     func(node int, s balancer.Settings, seed uint64) (Module, error)
	ready    func(node int)
	nodes    []*node
	names    map[string]int // servers
	links    map[[2]int][]*model.Effect
	quiet    map[int]bool // servers whose machine is gone
	down     map[int]bool // servers whose process is gone
	conns    []int        // open at each server
	err      error
}

// node is one node: its module, and what its sockets would hold.
type node struct {
	f       *Fleet
	index   int
	module  Module
	kept    balancer.Snapshot // what its disk has of an earlier process, where there is a disk
	keptAt  time.Duration     // by the node's clock; 0: nothing
	life    int               // counts starts, so that what belongs to an earlier process is known
	up      bool
	paused  bool
	held    []func() // what waits for a paused process
	queue   []balancer.Event
	handing bool
	nextID  uint64
	calls   map[string]*call
	idle    map[int][]time.Duration // connections to each server, by when they were last used
	muted   bool                    // discovery's agent says nothing
	deaf    bool                    // its watch has fallen silent, and it has not asked anew
	barred  map[int]bool            // servers that are not to be sent to by the list
}

// call is a request that the node has taken.
type call struct {
	*model.Call
	id       string
	num      uint64
	done     func(model.Answer)
	deadline time.Duration
	finished bool
	attempts []*attempt
	out      int
}

// attempt is one Send.
type attempt struct {
	c      *call
	n      int
	server int
	sent   time.Duration
	at     *model.Attempt
	timer  *sim.Timer
	over   bool
	kept   bool // its connection can be used again
}

// New returns a fleet of nodes that are not started. ready is called when a node is.
func New(w *model.World, settings func(node int) balancer.Settings, mk func(node int, s balancer.Settings, seed uint64) (Module, error), ready func(int)) *Fleet {
	f := &Fleet{w: w, settings: settings, make: mk, ready: ready, names: map[string]int{}, links: map[[2]int][]*model.Effect{},
		quiet: map[int]bool{}, down: map[int]bool{}, conns: make([]int, len(w.Site.Servers))}
	for i := range w.Site.Servers {
		f.names[w.Site.Servers[i].Name] = i
	}
	for i := range w.Site.Nodes {
		f.nodes = append(f.nodes, &node{f: f, index: i})
	}
	return f
}

// StartAll starts every node at once, ready to serve. The nodes of a tier hold the same list, and what a module makes of
// it depends on nothing else, so they take it side by side; what they do then comes in their order.
func (f *Fleet) StartAll() {
	lists := map[int]balancer.EndpointUpdate{}
	var work errgroup.Group
	work.SetLimit(runtime.GOMAXPROCS(0))
	did := make([][]balancer.Action, len(f.nodes))
	for i, n := range f.nodes {
		tier := f.w.Site.Nodes[i].Tier
		if _, made := lists[tier]; !made {
			lists[tier] = f.list(f.w.Directory.List(i), true)
		}
		if n.prepare() {
			n.barred = map[int]bool{}
			list := lists[tier]
			work.Go(func() error {
				did[i] = n.module.Handle(n.clock(), list)
				return nil
			})
		}
	}
	work.Wait() // none fails
	for i, n := range f.nodes {
		for _, a := range did[i] {
			n.carryOut(a)
		}
		if n.up {
			f.ready(i)
		}
	}
}

// Err is why a module could not be made, if one could not.
func (f *Fleet) Err() error { return f.err }

// ---- model.Backend ----

// Process starts, ends or holds a node.
func (f *Fleet) Process(i int, act model.ProcessAct) {
	n := f.nodes[i]
	switch act {
	case model.Start:
		f.w.Loop.After(startTime, n.start)
	case model.Kill:
		n.kill()
	case model.Terminate:
		n.terminate()
	case model.Pause:
		n.paused = true
	case model.Resume:
		n.paused = false
		held := n.held
		n.held = nil
		for _, do := range held {
			n.run(do)
		}
	}
}

// Send gives a call to its node.
func (f *Fleet) Send(c *model.Call, done func(model.Answer)) func() {
	n := f.nodes[c.Node]
	var taken *call
	gone := false
	f.w.Loop.After(f.hop(), func() {
		if gone {
			return
		}
		if !n.up {
			f.w.Loop.After(f.hop(), func() {
				if !gone {
					done(model.Answer{Reply: model.Unreached})
				}
			})
			return
		}
		life := n.life
		n.run(func() {
			if !gone && n.life == life {
				taken = n.take(c, done)
			}
		})
	})
	return func() {
		gone = true
		if taken != nil {
			n.run(func() { n.left(taken) })
		}
	}
}

// hop is the time from a client, or from a server beside, to a node.
func (f *Fleet) hop() time.Duration { return f.w.Site.Net.Same.D() }

// Tell brings a node news.
func (f *Fleet) Tell(i int, l model.List) {
	n := f.nodes[i]
	if n.up && !n.deaf {
		n.run(func() { n.takeList(l, false) })
	}
}

// A node's sockets give a watch up when it misses a heartbeat by far, and then ask again and again.
const (
	silence  = 2500 * time.Millisecond
	askAgain = 500 * time.Millisecond
)

// Take asks the budget for a permit, with all servers as they are now.
func (f *Fleet) Take(server int, done func(error)) {
	l := disruption.NewBudget()
	l.SetLimits(f.w.Site.BudgetLimits())
	for i, s := range f.w.Servers {
		u := f.w.Site.Unit(i)
		switch {
		case !s.Up():
			u.UnavailableShare, u.Reason = 1, disruption.ReasonUnreachable
		case s.Drains():
			u.UnavailableShare, u.Reason = 1, "draining"
		case s.Cold():
			u.UnavailableShare, u.Reason = 1-s.Warmth(), "cold"
		}
		l.SetUnit(u)
	}
	_, refused := l.Grant(disruption.Permit{Unit: f.w.Site.Servers[server].Name, Incarnation: 1}, "")
	done(refused)
}

// Mute makes a node's watch fall silent.
func (f *Fleet) Mute(i int, on bool) {
	n := f.nodes[i]
	n.muted = on
	if on && !n.deaf {
		n.deaf = true
		f.w.Loop.After(silence, n.askAnew)
	}
}

// askAnew opens a watch in place of a silent one.
func (n *node) askAnew() {
	if n.muted {
		n.f.w.Loop.After(askAgain, n.askAnew)
		return
	}
	n.deaf = false
	n.f.Tell(n.index, n.f.w.Directory.List(n.index))
}

// Links puts effects on links.
func (f *Fleet) Links(nodes, servers []int, e *model.Effect, on bool) {
	for _, n := range nodes {
		for _, s := range servers {
			k := [2]int{n, s}
			l := f.links[k]
			if on {
				f.links[k] = append(l, e)
				if e.Reset {
					f.nodes[n].reset(s)
				}
				continue
			}
			for i, o := range l {
				if o == e {
					f.links[k] = append(l[:i:i], l[i+1:]...)
					break
				}
			}
			if len(f.links[k]) == 0 {
				delete(f.links, k)
			}
		}
	}
}

// ServerDown ends a server's connections.
func (f *Fleet) ServerDown(s int, silent bool) {
	f.down[s], f.quiet[s] = true, silent
	f.conns[s] = 0
	for _, n := range f.nodes {
		delete(n.idle, s)
	}
}

// ServerUp lets connections come again.
func (f *Fleet) ServerUp(s int) { delete(f.down, s); delete(f.quiet, s) }

// Publish has no registry to tell.
func (f *Fleet) Publish(int, model.State) bool { return false }

// Lease has none either.
func (f *Fleet) Lease(int, bool) {}

// Replicas has no replicas.
func (f *Fleet) Replicas([]int, string, bool) {}

// link is what the way between a node and a server does now: the time one message takes each way, and whether it
// arrives.
type link struct {
	there, back         time.Duration
	lostThere, lostBack bool
	refused             bool
}

// message is about the length of a request or an answer, for links that are slow by the byte.
const message = 300

func (f *Fleet) link(n, s int) link {
	base := f.w.Site.Net.Same.D()
	if f.w.Site.Nodes[n].Zone != f.w.Site.Servers[s].Zone {
		base = f.w.Site.Net.Cross.D()
	}
	l := link{there: base, back: base}
	for _, e := range f.links[[2]int{n, s}] {
		more := e.Delay + e.Jitter/2
		if e.Rate > 0 {
			more += message * time.Second / time.Duration(e.Rate)
		}
		if e.There {
			l.there += more
			l.lostThere = l.lostThere || e.Silent
		}
		if e.Back {
			l.back += more
			l.lostBack = l.lostBack || e.Silent
		}
		l.refused = l.refused || e.Refuse
	}
	return l
}

// ---- A node ----

// run does something in the node's process, when that runs.
func (n *node) run(do func()) {
	if n.paused {
		n.held = append(n.held, do)
		return
	}
	do()
}

func (n *node) start() {
	if n.prepare() {
		n.takeList(n.f.w.Directory.List(n.index), true)
		n.f.ready(n.index)
	}
}

// prepare makes a process that knows nothing yet; false: there is one, by the end of another fault, or none can be made.
func (n *node) prepare() bool {
	if n.up {
		return false
	}
	w := n.f.w
	seed := w.Site.Seed*1_000_003 + uint64(n.index)*7919 + uint64(n.life)
	m, err := n.f.make(n.index, n.f.settings(n.index), seed)
	if err != nil {
		n.f.err = err
		return false
	}
	n.module, n.up, n.paused, n.held, n.deaf = m, true, false, nil, n.muted
	n.life++
	if w.Site.State.Keep {
		if n.keptAt > 0 {
			m.Handle(n.clock(), balancer.Restore{Snapshot: n.kept, Age: n.clock() - n.keptAt})
		}
		n.keep(n.life)
	}
	n.calls, n.idle, n.queue = map[string]*call{}, map[int][]time.Duration{}, nil
	return true
}

// keep puts what the module has learned on the disk every now and then, as long as the process lasts.
func (n *node) keep(life int) {
	n.f.w.Loop.After(n.f.w.Site.State.Every.D(), func() {
		if n.life != life {
			return
		}
		n.run(func() { n.kept, n.keptAt = n.module.Snapshot(n.clock()), n.clock() })
		n.keep(life)
	})
}

// kill ends the process: whoever waits for it hears a reset, and its attempts go on without it.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up, n.paused, n.held = false, false, nil
	n.life++
	for _, c := range n.open() {
		for _, a := range c.attempts {
			n.drop(a)
		}
		if !c.finished {
			c.finished = true
			done := c.done
			n.f.w.Loop.After(n.f.hop(), func() { done(model.Answer{Reply: model.Lost}) })
		}
	}
	n.calls = map[string]*call{}
	for s, l := range n.idle {
		n.f.conns[s] -= len(l)
	}
	n.idle = map[int][]time.Duration{}
}

// open are the calls in hand, in the order they came.
func (n *node) open() []*call {
	return slices.SortedFunc(maps.Values(n.calls), func(a, b *call) int { return cmp.Compare(a.num, b.num) })
}

// terminate lets the process answer what it has taken, and end.
func (n *node) terminate() {
	if !n.up {
		return
	}
	life := n.life
	patience := 3700 * time.Millisecond
	n.f.w.Loop.After(500*time.Millisecond, func() {
		var wait func()
		wait = func() {
			if n.life != life {
				return
			}
			if len(n.calls) == 0 || patience <= 0 {
				n.kill()
				return
			}
			patience -= 50 * time.Millisecond
			n.f.w.Loop.After(50*time.Millisecond, wait)
		}
		wait()
	})
}

// clock is the node's: the loop's, with room before the start for what was long ago.
func (n *node) clock() time.Duration { return epoch + n.f.w.Loop.Now() }

// epoch is the nodes' clock at the loop's start.
const epoch = 1000 * time.Hour

// handle gives the module an event, and then those that its own actions caused at once.
func (n *node) handle(e balancer.Event) {
	n.queue = append(n.queue, e)
	if n.handing {
		return
	}
	n.handing = true
	for len(n.queue) > 0 {
		e := n.queue[0]
		n.queue = n.queue[1:]
		for _, a := range n.module.Handle(n.clock(), e) {
			n.carryOut(a)
		}
	}
	n.handing = false
}

func (n *node) carryOut(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Cancel:
		if c := n.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			n.end(c.attempts[a.Attempt], balancer.Cancelled, true, "")
		}
	case balancer.Reject:
		n.finish(a.ID, model.Answer{Reply: model.Refused, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		n.finish(a.ID, model.Answer{Reply: model.Failed})
	case balancer.SetTimer:
		life := n.life
		n.f.w.Loop.At(a.At-epoch, func() {
			n.run(func() {
				if n.life == life {
					n.handle(balancer.TimerFired{Token: a.Token})
				}
			})
		})
	case balancer.Subscribe: // the list is pushed
	}
}

func (n *node) take(c *model.Call, done func(model.Answer)) *call {
	w := n.f.w
	n.nextID++
	own := min(ownDelay, c.Left/4)
	k := &call{Call: c, id: strconv.FormatUint(n.nextID, 10), num: n.nextID, done: done, deadline: w.Loop.Now() + c.Left - own}
	n.calls[k.id] = k
	n.handle(balancer.Request{ID: k.id, Class: w.Site.Classes[c.Class].Name, Deadline: epoch + k.deadline, ClientRetry: c.Repeat})
	return k
}

// left notes that a call's sender has closed its connection.
func (n *node) left(c *call) {
	if n.calls[c.id] == c && !c.finished {
		c.finished = true
		n.handle(balancer.ClientDisconnected{ID: c.id})
		n.forget(c)
	}
}

// finish gives a call its final answer, once.
func (n *node) finish(id string, a model.Answer) {
	c := n.calls[id]
	if c == nil || c.finished {
		return
	}
	c.finished = true
	n.f.w.Loop.After(n.f.hop(), func() { c.done(a) })
	n.forget(c)
}

func (n *node) forget(c *call) {
	if c.finished && c.out == 0 {
		delete(n.calls, c.id)
	}
}

// send starts an attempt. Every Send gets exactly one Outcome.
func (n *node) send(s balancer.Send) {
	c := n.calls[s.ID]
	if c == nil {
		return
	}
	f, loop := n.f, n.f.w.Loop
	server, known := f.names[s.Endpoint]
	a := &attempt{c: c, n: len(c.attempts), server: server, sent: loop.Now()}
	c.attempts = append(c.attempts, a)
	c.out++
	timeout := c.deadline - loop.Now()
	if s.Timeout != 0 {
		timeout = min(timeout, s.Timeout)
	}
	if !known || c.finished || timeout <= 0 || n.barred[server] || a.n >= f.w.Site.Limits.MaxAttempts {
		n.end(a, balancer.NotSent, false, "")
		return
	}
	a.timer = loop.After(timeout, func() { n.run(func() { n.end(a, balancer.TimedOut, true, "") }) })
	fresh := !n.takeIdle(server)
	if !fresh {
		n.write(a, false)
		return
	}
	l := f.link(n.index, server)
	s0 := f.w.Servers[server]
	switch {
	case l.refused || f.down[server] && !f.quiet[server]:
		n.later(a, l.there+l.back, func() { n.end(a, balancer.Unreachable, false, "") })
	case f.quiet[server] || l.lostThere || l.lostBack:
		n.later(a, f.w.Site.Limits.Connect.D(), func() { n.end(a, balancer.Unreachable, false, "") })
	case f.conns[server] >= s0.Kind.Connections:
		n.later(a, l.there+l.back, func() { n.end(a, balancer.Unreachable, false, "") })
	default:
		f.conns[server]++
		n.later(a, l.there+l.back, func() { n.write(a, true) })
	}
}

// later goes on with an attempt after a while, unless it has ended by then.
func (n *node) later(a *attempt, d time.Duration, do func()) {
	life := n.life
	n.f.w.Loop.After(d, func() {
		n.run(func() {
			if n.life == life && !a.over {
				do()
			}
		})
	})
}

// write puts an attempt on its connection.
func (n *node) write(a *attempt, fresh bool) {
	f, loop := n.f, n.f.w.Loop
	if n.barred[a.server] {
		n.end(a, balancer.Unreachable, true, "")
		return
	}
	l := f.link(n.index, a.server)
	a.kept = true
	life := n.life
	a.at = &model.Attempt{Call: a.c.Call, Node: n.index, First: loop.Now(), Fresh: fresh}
	a.at.Done = func(o model.Outcome, body string) {
		l := f.link(n.index, a.server)
		if l.lostBack || f.quiet[a.server] {
			return // the answer is lost, the attempt runs into its time
		}
		loop.After(l.back, func() {
			n.run(func() {
				if n.life == life {
					n.end(a, endings[o], o == model.Reset, body)
				}
			})
		})
	}
	if l.lostThere || f.quiet[a.server] {
		a.kept = false
		return
	}
	if f.down[a.server] {
		a.kept = false
		n.later(a, l.back, func() { n.end(a, balancer.ConnectionLost, true, "") })
		return
	}
	at := a.at
	loop.After(l.there, func() {
		if f.quiet[a.server] {
			return
		}
		at.First = loop.Now()
		f.w.Servers[a.server].Arrive(at)
		if a.over { // it was given up on the way
			f.w.Servers[a.server].Cancel(at)
		}
	})
}

var endings = map[model.Outcome]balancer.Result{
	model.Done: balancer.Success, model.Errored: balancer.Failure, model.TurnedAway: balancer.Overloaded,
	model.Reset: balancer.ConnectionLost, model.Dropped: balancer.Cancelled,
}

// end notes that an attempt has ended. cut: its connection is of no more use.
func (n *node) end(a *attempt, e balancer.Result, cut bool, body string) {
	if a.over {
		return
	}
	n.drop(a)
	if a.kept && !cut {
		n.idle[a.server] = append(n.idle[a.server], n.f.w.Loop.Now())
	} else if a.kept {
		n.f.conns[a.server] = max(0, n.f.conns[a.server]-1)
	}
	c := a.c
	c.out--
	if e == balancer.Success {
		n.finish(c.id, model.Answer{Reply: model.Served, Body: body})
	}
	n.forget(c)
	n.handle(balancer.Outcome{ID: c.id, Attempt: a.n, Endpoint: n.f.w.Site.Servers[a.server].Name, Result: e,
		Latency: n.f.w.Loop.Now() - a.sent, RequestDone: c.finished})
}

// drop stops waiting for an attempt; its server learns by the closed connection.
func (n *node) drop(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	n.f.w.Loop.Stop(a.timer)
	if a.at != nil {
		l := n.f.link(n.index, a.server)
		at := a.at
		if !l.lostThere {
			n.f.w.Loop.After(l.there, func() { n.f.w.Servers[a.server].Cancel(at) })
		}
	}
}

// takeIdle takes a connection that has stood idle for less than a server bears, if there is one.
func (n *node) takeIdle(server int) bool {
	l := n.idle[server]
	if len(l) == 0 {
		return false
	}
	if fresh := n.f.w.Loop.Now() - n.f.w.Site.Limits.Idle.D()*3/4; l[len(l)-1] < fresh {
		n.f.conns[server] = max(0, n.f.conns[server]-len(l))
		delete(n.idle, server)
		return false
	}
	n.idle[server] = l[:len(l)-1]
	return true
}

// reset breaks the node's connections to a server.
func (n *node) reset(server int) {
	n.f.conns[server] = max(0, n.f.conns[server]-len(n.idle[server]))
	delete(n.idle, server)
	for _, c := range n.open() {
		for _, a := range c.attempts {
			if !a.over && a.server == server && a.at != nil {
				n.end(a, balancer.ConnectionLost, true, "")
			}
		}
	}
}

var states = map[model.State]balancer.EndpointState{
	model.Serving: balancer.Ready, model.Draining: balancer.Draining, model.Deleted: balancer.Removed,
}

// list words a list for the module.
func (f *Fleet) list(l model.List, cached bool) balancer.EndpointUpdate {
	e := balancer.EndpointUpdate{Full: l.All, Cached: cached, Endpoints: make([]balancer.Endpoint, 0, len(l.Entries))}
	for _, t := range l.Entries {
		sv := &f.w.Site.Servers[t.Server]
		s := balancer.Endpoint{ID: sv.Name, Zone: f.w.Site.Zones[sv.Zone].Name, Cell: sv.Rack, State: states[t.State], Weight: sv.Size()}
		if t.Boot >= 0 {
			s.StartTime = epoch + t.Boot
		}
		e.Endpoints = append(e.Endpoints, s)
	}
	return e
}

// takeList applies news: first to what may be sent to, then to the module.
func (n *node) takeList(l model.List, cached bool) {
	if l.All {
		n.barred = map[int]bool{}
		listed := make([]bool, len(n.f.w.Servers))
		for _, t := range l.Entries {
			listed[t.Server] = true
		}
		for s, is := range listed {
			if !is && n.f.w.Servers[s].Tier == n.f.w.Site.Nodes[n.index].Tier {
				n.bar(s)
			}
		}
	}
	for _, t := range l.Entries {
		if t.State == model.Serving {
			delete(n.barred, t.Server)
		} else {
			n.bar(t.Server)
		}
	}
	n.handle(n.f.list(l, cached))
}

// bar keeps a server from being sent to, and drops the connections to it.
func (n *node) bar(server int) {
	n.barred[server] = true
	n.f.conns[server] = max(0, n.f.conns[server]-len(n.idle[server]))
	delete(n.idle, server)
}
