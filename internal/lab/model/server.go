package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// State is what discovery says of a server.
type State int

// States.
const (
	Serving State = iota
	Draining
	Deleted
)

func (s State) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }

// Attempt is a call that has arrived at a server whole.
type Attempt struct {
	Call  *Call
	Node  int           // that sent it
	First time.Duration // when its first byte came
	Fresh bool          // it is the first on its connection
	Done  func(o Outcome, body string)

	server *Server
	phase  phase
	ends   float64 // attained work at which it is done
	index  int     // among the running
	calls  int     // still to make
	leave  func()  // ends the call that it waits for
}

type phase int

const (
	queued phase = iota
	running
	calling // holds its slot and waits for the next tier
	stuck   // taken and never answered
	over
)

// Server is a server: its cores are shared evenly by all that run on it; what exceeds its slots waits, and what
// exceeds its queue is turned away.
type Server struct {
	scenario.Server
	Index int

	w        *World
	rng      *rand.Rand
	up       bool
	starting bool // it waits for the node beside it
	state    State
	boot     time.Duration // when it last started; negative: long ago
	run      attempts      // by the work at which they end
	queue    []*Attempt
	held     int     // running and calling: slots in use
	attained float64 // work that each running attempt has had since it came, in ns of yardstick
	at       time.Duration
	tick     *sim.Timer
	open     map[*Attempt]struct{}

	hangs, refusals int
	slows, errors   []float64
	choked          bool
	chokes, rests   *sim.Timer
	offered         []float64 // work sent in each of the last slices while cold
	offeredAt       time.Duration
}

func newServer(w *World, i int) *Server {
	sv := w.Site.Servers[i]
	return &Server{Server: sv, Index: i, w: w, rng: scenario.Rand(w.Site.Seed, "server "+sv.Name), up: true,
		boot: -time.Hour, open: map[*Attempt]struct{}{}}
}

// Up tells whether the server runs.
func (s *Server) Up() bool { return s.up }

// Drains tells whether it turns new work away as it was told to.
func (s *Server) Drains() bool { return s.state == Draining }

// Boot is when the server last started; negative: long ago.
func (s *Server) Boot() time.Duration { return s.boot }

// Cold tells whether it still has less than all of its capacity.
func (s *Server) Cold() bool { return s.Warmth() < 1 }

// InFlight is how many attempts it holds.
func (s *Server) InFlight() int { return len(s.open) }

// Warmth is the share of its capacity that the server has for its age.
func (s *Server) Warmth() float64 {
	age := s.w.Loop.Now() - s.boot
	if age >= s.ColdFor {
		return 1
	}
	return s.Kind.ColdFrom + (1-s.Kind.ColdFrom)*float64(age)/float64(s.ColdFor)
}

// pace is the work that one running attempt gets in a unit of time.
func (s *Server) pace() float64 {
	p := s.Speed * s.Warmth()
	for _, f := range s.slows {
		p /= f
	}
	if s.choked {
		p /= s.Kind.Choke.Slower
	}
	if n := len(s.run); n > s.Kind.Cores {
		p *= float64(s.Kind.Cores) / float64(n)
	}
	return p
}

// advance reckons what the running attempts have had until now. It comes before every change of the pace.
func (s *Server) advance() {
	now := s.w.Loop.Now()
	if len(s.run) > 0 {
		s.attained += float64(now-s.at) * s.pace()
	}
	s.at = now
}

// plan sets the timer for the next attempt to end. It comes after every change.
func (s *Server) plan() {
	s.w.Loop.Stop(s.tick)
	s.tick = nil
	s.watchLoad()
	if len(s.run) == 0 {
		return
	}
	wait := (s.run[0].ends - s.attained) / s.pace()
	if s.Warmth() < 1 { // the pace changes by itself
		wait = min(wait, float64(warmStep))
	}
	s.tick = s.w.Loop.After(time.Duration(math.Ceil(max(0, wait))), s.finish)
}

// warmStep is how often the pace of a warming server is reckoned anew.
const warmStep = 50 * time.Millisecond

// finish ends the work of what has had enough.
func (s *Server) finish() {
	s.tick = nil
	s.advance()
	for len(s.run) > 0 && s.run[0].ends <= s.attained+0.5 {
		a := heap.Pop(&s.run).(*Attempt)
		a.phase = calling
		s.next(a)
	}
	s.plan()
}

// Arrive takes an attempt whose last byte has come.
func (s *Server) Arrive(a *Attempt) {
	a.server, a.index = s, -1
	s.w.Observer.Arrived(a, s.Index)
	s.open[a] = struct{}{}
	s.weigh(a)
	if !s.up { // it has just fallen over, or died while the request was on its way
		s.end(a, Reset)
		return
	}
	switch {
	case s.refusals > 0 || s.state != Serving:
		s.end(a, TurnedAway)
	case s.hangs > 0:
		a.phase = stuck
	case s.held < s.Kind.Slots*s.Kind.Cores:
		s.advance()
		s.begin(a)
		s.plan()
	case len(s.queue) < s.Kind.Queue*s.Kind.Cores:
		a.phase = queued
		s.queue = append(s.queue, a)
		s.watchLoad()
	default:
		s.end(a, TurnedAway)
	}
}

// begin puts an attempt on the cores.
func (s *Server) begin(a *Attempt) {
	s.held++
	work := float64(a.Call.Work)
	if s.w.dropped(s.Rack, a.Call) {
		work *= repeatWork
	}
	if a.Fresh {
		work += float64(s.Kind.Handshake)
	}
	a.phase, a.ends = running, s.attained+work
	if mean := s.w.Site.Calls[s.Tier]; mean > 0 {
		a.calls = int(mean)
		if s.rng.Float64() < mean-float64(a.calls) {
			a.calls++
		}
	}
	heap.Push(&s.run, a)
}

// repeatWork is the share of its work that a repeat costs which the rack drops.
const repeatWork = 0.05

// next goes on with an attempt whose own work is done: the next call, or the end.
func (s *Server) next(a *Attempt) {
	if a.calls == 0 {
		failed := s.Kind.ErrorRate
		for _, e := range s.errors {
			failed = 1 - (1-failed)*(1-e)
		}
		if failed > 0 && s.rng.Float64() < failed {
			s.end(a, Errored)
		} else {
			s.end(a, Done)
		}
		return
	}
	a.calls--
	c := s.w.callBelow(a)
	if c == nil {
		s.end(a, Errored)
		return
	}
	s.w.Observer.Sent(c)
	s.w.inCall++
	ended := false
	var leave func()
	var timer *sim.Timer
	close := func() bool { // true once
		first := !ended
		if first {
			ended = true
			s.w.inCall--
			s.w.Loop.Stop(timer)
		}
		return first
	}
	goOn := func(ok bool) {
		a.leave = nil
		if ok {
			s.next(a)
		} else {
			s.end(a, Errored)
		}
	}
	leave = s.w.Backend.Send(c, func(ans Answer) {
		if close() {
			s.w.Observer.Answered(c, ans)
			goOn(ans.Reply == Served)
		}
	})
	a.leave = func() {
		if close() {
			s.w.Observer.Left(c)
			leave()
		}
	}
	if !ended {
		// It waits a little longer than it says, to hear the answer that comes at the last moment.
		timer = s.w.Loop.After(c.Left+2*s.w.Site.Limits.Slack.D(), func() {
			if close() {
				s.w.Observer.Left(c)
				leave()
				goOn(false)
			}
		})
	}
}

// callBelow makes the call of an attempt to the next tier; nil: it has no time left.
func (w *World) callBelow(a *Attempt) *Call {
	s := a.server
	tier := s.Tier + 1
	node := w.nodeBeside(s.Index)
	class := &w.Site.Classes[a.Call.Class]
	left := class.Deadline.D()
	now := w.Loop.Now()
	if w.Site.Limits.PassTimeLeft {
		left = a.Call.Sent + a.Call.Left - now
	}
	if left <= 0 || node < 0 {
		return nil
	}
	w.calls++
	work := float64(a.Call.Work) / w.Site.Tiers[s.Tier].Work * w.Site.Tiers[tier].Work
	c := &Call{ID: "t" + strconv.Itoa(tier) + "-" + strconv.FormatUint(w.calls, 10), Class: a.Call.Class, Tier: tier, Node: node,
		Work: time.Duration(work), Left: left, Sent: now}
	if class.Effect == "keyed" {
		c.Key = fmt.Sprintf("k%s", c.ID)
	}
	return c
}

// nodeBeside is the node that a server calls through; -1: none.
func (w *World) nodeBeside(server int) int {
	i, ok := slices.BinarySearchFunc(w.Site.Nodes, server, func(n scenario.Node, server int) int { return n.Owner - server })
	if !ok {
		return -1
	}
	return i
}

// Cancel notes that the node has given an attempt up. What waits is dropped; what runs stops only on some kinds.
func (s *Server) Cancel(a *Attempt) {
	switch {
	case a.phase == over || a.server == nil:
	case a.phase == running && !s.Kind.StopsWork:
	case a.phase == calling && !s.Kind.StopsWork:
	default:
		s.end(a, Dropped)
	}
}

// end takes an attempt out, wherever it stands, and answers it.
func (s *Server) end(a *Attempt, o Outcome) {
	was := a.phase
	a.phase = over
	delete(s.open, a)
	switch was {
	case queued:
		if i := slices.Index(s.queue, a); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case running:
		s.advance()
		heap.Remove(&s.run, a.index)
		s.held--
	case calling:
		s.held--
		if a.leave != nil {
			a.leave()
		}
	}
	s.w.Observer.Ended(a, o)
	body := ""
	if o == Done {
		body = Body(a.Call, s.Name)
	}
	if a.Done != nil {
		a.Done(o, body)
	}
	if s.up && (was == running || was == calling) {
		s.admit()
	}
}

// admit lets waiting attempts on as slots come free.
func (s *Server) admit() {
	s.advance()
	for len(s.queue) > 0 && s.held < s.Kind.Slots*s.Kind.Cores {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(a)
	}
	s.plan()
}

// ---- Overload ----

// watchLoad lets a server choke that has held too much for too long, and recover when it has rested.
func (s *Server) watchLoad() {
	c := &s.Kind.Choke
	if c.At == 0 {
		return
	}
	load := float64(len(s.run)+len(s.queue)) / float64(s.Kind.Cores)
	s.chokes = s.while(s.chokes, !s.choked && load > c.At, c.After.D(), func() {
		s.setChoked(true)
		s.w.Loop.After(c.Most.D(), func() { s.setChoked(false) })
	})
	s.rests = s.while(s.rests, s.choked && load < c.Below, c.Rest.D(), func() { s.setChoked(false) })
}

// while keeps a timer that runs f once a condition has held for d.
func (s *Server) while(t *sim.Timer, holds bool, d time.Duration, f func()) *sim.Timer {
	switch {
	case holds && t == nil:
		return s.w.Loop.After(d, f)
	case !holds && t != nil:
		s.w.Loop.Stop(t)
		return nil
	}
	return t
}

func (s *Server) setChoked(on bool) {
	s.advance()
	s.choked, s.chokes, s.rests = on, nil, nil
	s.plan()
}

// slices of the time within which a cold server falls over.
const fallSlices = 20

// weigh adds what is sent to a cold server up, refused attempts too, and pushes it over if that is too much:
// within any span of fall_for more than N requests of mean work, and some for chance: N + 2 roots of N + 2. N is
// fall_multiple times what it can do in that span.
func (s *Server) weigh(a *Attempt) {
	l := &s.w.Site.Limits
	now := s.w.Loop.Now()
	if !s.up || s.boot < 0 || s.ColdFor == 0 || now-s.boot > s.ColdFor {
		s.offered = nil
		return
	}
	slice := l.FallFor.D() / fallSlices
	if s.offered == nil {
		s.offered, s.offeredAt = make([]float64, fallSlices), now
	}
	for ; now-s.offeredAt >= slice; s.offeredAt += slice {
		copy(s.offered, s.offered[1:])
		s.offered[fallSlices-1] = 0
	}
	s.offered[fallSlices-1] += float64(a.Call.Work)
	sum := 0.0
	for _, v := range s.offered {
		sum += v
	}
	mean := float64(s.w.Site.MeanWork(s.Tier))
	if n := l.FallMultiple * s.Capacity * s.Warmth() * float64(l.FallFor) / mean; sum > (n+2*math.Sqrt(n)+2)*mean {
		s.w.Observer.Fell(s.Index)
		s.fail(false)
	}
}

// ---- What faults do ----

// Slow makes the server slower by a factor, or takes that off again.
func (s *Server) Slow(factor float64, on bool) {
	s.advance()
	s.slows = toggle(s.slows, factor, on)
	s.plan()
}

// Err makes a share of its answers errors, or takes that off again.
func (s *Server) Err(share float64, on bool) { s.errors = toggle(s.errors, share, on) }

func toggle(l []float64, v float64, on bool) []float64 {
	if on {
		return append(l, v)
	}
	if i := slices.Index(l, v); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// Hang makes it take requests and answer none. Those that hung stay so.
func (s *Server) Hang(on bool) { s.hangs += sign(on) }

// TurnAway makes it refuse all work while it is listed as serving.
func (s *Server) TurnAway(on bool) { s.refusals += sign(on) }

func sign(on bool) int {
	if on {
		return 1
	}
	return -1
}

// Down ends the server. silent: its machine is gone, so nobody is told; else its connections are reset.
func (s *Server) Down(silent bool) {
	s.starting = false
	if s.up {
		s.fail(silent)
		notice := s.w.Site.Discovery.Notice.D()
		boot := s.boot
		s.w.Loop.After(notice, func() {
			if !s.up && s.boot == boot {
				s.w.Directory.Change(s.Index, Deleted)
			}
		})
	}
}

// fail drops all that the server holds.
func (s *Server) fail(silent bool) {
	s.up = false
	for _, t := range []*sim.Timer{s.tick, s.chokes, s.rests} {
		s.w.Loop.Stop(t)
	}
	s.tick, s.chokes, s.rests, s.choked, s.offered = nil, nil, nil, false, nil
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
		s.end(a, Reset)
	}
	s.run, s.queue, s.held = nil, nil, 0
	s.w.Backend.ServerDown(s.Index, silent)
	if node := s.w.nodeBeside(s.Index); node >= 0 {
		s.w.Process(node, Kill) // it is stopped and started together with its server
	}
}

// Start brings a server that is down up, cold.
func (s *Server) Start() {
	if s.up || s.starting {
		return
	}
	if node := s.w.nodeBeside(s.Index); node >= 0 {
		s.starting = true
		s.w.Process(node, Start)
		return
	}
	s.begun()
}

// begun makes a server that has started serve.
func (s *Server) begun() {
	s.starting = false
	s.up, s.state, s.boot, s.at = true, Serving, s.w.Loop.Now(), s.w.Loop.Now()
	s.w.Backend.ServerUp(s.Index)
	s.w.Directory.Change(s.Index, Serving)
}

// Drain makes it turn new work away and says so to discovery.
func (s *Server) Drain() {
	if s.up {
		s.state = Draining
		s.w.Directory.Change(s.Index, Draining)
	}
}

// attempts is a heap by the work at which they end.
type attempts []*Attempt

func (h attempts) Len() int { return len(h) }
func (h attempts) Less(i, j int) bool {
	return h[i].ends < h[j].ends || h[i].ends == h[j].ends && h[i].Call.ID < h[j].Call.ID
}
func (h attempts) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *attempts) Push(x any) {
	a := x.(*Attempt)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *attempts) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
