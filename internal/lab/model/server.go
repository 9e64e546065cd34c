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
	Call          *Call
	Node          int           // that sent it
	FirstByteAt   time.Duration // when its first byte came
	NewConnection bool          // it is the first on its connection
	Done          func(o Outcome, body string)

	server         *Server
	phase          phase
	finishesAt     float64 // workDone work at which it is done
	index          int     // among the running
	remainingCalls int     // still to make
	abandonCall    func()  // finishesAt the call that it waits for
}

type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseCalling // holds its slot and waits for the next tier
	phaseHanging // taken and never answered
	phaseEnded
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

// WarmUpFraction is the share of its capacity that the server has for its age.
func (s *Server) WarmUpFraction() float64 {
	age := s.world.Loop.Now() - s.startTime
	if age >= s.WarmUpTime {
		return 1
	}
	return s.MachineType.InitialCapacity + (1-s.MachineType.InitialCapacity)*float64(age)/float64(s.WarmUpTime)
}

// pace is the work that one running attempt gets in a unit of time.
func (s *Server) pace() float64 {
	p := s.Speed * s.WarmUpFraction()
	for _, f := range s.slowdowns {
		p /= f
	}
	if s.overloaded {
		p /= s.MachineType.Overload.Slowdown
	}
	if n := len(s.running); n > s.MachineType.Cores {
		p *= float64(s.MachineType.Cores) / float64(n)
	}
	return p
}

// advance reckons what the running attempts have had until now. It comes before every change of the pace.
func (s *Server) advance() {
	now := s.world.Loop.Now()
	if len(s.running) > 0 {
		s.workDone += float64(now-s.advancedAt) * s.pace()
	}
	s.advancedAt = now
}

// scheduleFinish sets the timer for the next attempt to end. It comes after every change.
func (s *Server) scheduleFinish() {
	s.world.Loop.Stop(s.finishTimer)
	s.finishTimer = nil
	s.watchLoad()
	if len(s.running) == 0 {
		return
	}
	wait := (s.running[0].finishesAt - s.workDone) / s.pace()
	if s.WarmUpFraction() < 1 { // the pace changes by itself
		wait = min(wait, float64(warmUpStep))
	}
	s.finishTimer = s.world.Loop.After(time.Duration(math.Ceil(max(0, wait))), s.finish)
}

// warmUpStep is how often the pace of a warming server is reckoned anew.
const warmUpStep = 50 * time.Millisecond

// finish ends the work of what has had enough.
func (s *Server) finish() {
	s.finishTimer = nil
	s.advance()
	for len(s.running) > 0 && s.running[0].finishesAt <= s.workDone+0.5 {
		a := heap.Pop(&s.running).(*Attempt)
		a.phase = phaseCalling
		s.continueAttempt(a)
	}
	s.scheduleFinish()
}

// Arrive takes an attempt whose last byte has come.
func (s *Server) Arrive(a *Attempt) {
	a.server, a.index = s, -1
	s.world.Observer.AttemptArrived(a, s.Index)
	s.open[a] = struct{}{}
	s.recordOfferedWork(a)
	if !s.up { // it has just fallen over, or died while the request was on its way
		s.end(a, ConnectionReset)
		return
	}
	switch {
	case s.rejectCount > 0 || s.state != Serving:
		s.end(a, ServerRejected)
	case s.hangCount > 0:
		a.phase = phaseHanging
	case s.usedSlots < s.MachineType.SlotsPerCore*s.MachineType.Cores:
		s.advance()
		s.begin(a)
		s.scheduleFinish()
	case len(s.queue) < s.MachineType.QueuePerCore*s.MachineType.Cores:
		a.phase = phaseQueued
		s.queue = append(s.queue, a)
		s.watchLoad()
	default:
		s.end(a, ServerRejected)
	}
}

// begin puts an attempt on the cores.
func (s *Server) begin(a *Attempt) {
	s.usedSlots++
	work := float64(a.Call.Work)
	if s.world.isDuplicate(s.Rack, a.Call) {
		work *= duplicateWorkFraction
	}
	if a.NewConnection {
		work += float64(s.MachineType.HandshakeWork)
	}
	a.phase, a.finishesAt = phaseRunning, s.workDone+work
	if mean := s.world.Site.MeanCalls[s.Tier]; mean > 0 {
		a.remainingCalls = int(mean)
		if s.rng.Float64() < mean-float64(a.remainingCalls) {
			a.remainingCalls++
		}
	}
	heap.Push(&s.running, a)
}

// duplicateWorkFraction is the share of its work that a repeat costs which the rack drops.
const duplicateWorkFraction = 0.05

// continueAttempt goes on with an attempt whose own work is done: the next call, or the end.
func (s *Server) continueAttempt(a *Attempt) {
	if a.remainingCalls == 0 {
		failed := s.MachineType.ErrorRate
		for _, e := range s.errorRates {
			failed = 1 - (1-failed)*(1-e)
		}
		if failed > 0 && s.rng.Float64() < failed {
			s.end(a, ServerError)
		} else {
			s.end(a, Completed)
		}
		return
	}
	a.remainingCalls--
	c := s.world.newDownstreamCall(a)
	if c == nil {
		s.end(a, ServerError)
		return
	}
	s.world.Observer.CallSent(c)
	s.world.openServerCalls++
	ended := false
	var leave func()
	var timer *sim.Timer
	close := func() bool { // true once
		first := !ended
		if first {
			ended = true
			s.world.openServerCalls--
			s.world.Loop.Stop(timer)
		}
		return first
	}
	goOn := func(ok bool) {
		a.abandonCall = nil
		if ok {
			s.continueAttempt(a)
		} else {
			s.end(a, ServerError)
		}
	}
	leave = s.world.Backend.Send(c, func(ans Answer) {
		if close() {
			s.world.Observer.CallAnswered(c, ans)
			goOn(ans.Reply == Served)
		}
	})
	a.abandonCall = func() {
		if close() {
			s.world.Observer.CallAbandoned(c)
			leave()
		}
	}
	if !ended {
		// It waits a little longer than it says, to hear the answer that comes at the last moment.
		timer = s.world.Loop.After(c.Timeout+2*s.world.Site.Limits.Slack.Std(), func() {
			if close() {
				s.world.Observer.CallAbandoned(c)
				leave()
				goOn(false)
			}
		})
	}
}

// newDownstreamCall makes the call of an attempt to the next tier; nil: it has no time left.
func (w *World) newDownstreamCall(a *Attempt) *Call {
	s := a.server
	tier := s.Tier + 1
	node := w.ownedNode(s.Index)
	class := &w.Site.Classes[a.Call.Class]
	left := class.Deadline.Std()
	now := w.Loop.Now()
	if w.Site.Limits.PropagateDeadline {
		left = a.Call.SentAt + a.Call.Timeout - now
	}
	if left <= 0 || node < 0 {
		return nil
	}
	w.lastCallID++
	work := float64(a.Call.Work) / w.Site.Tiers[s.Tier].WorkFactor * w.Site.Tiers[tier].WorkFactor
	c := &Call{ID: "t" + strconv.Itoa(tier) + "-" + strconv.FormatUint(w.lastCallID, 10), Class: a.Call.Class, Tier: tier, Node: node,
		Work: time.Duration(work), Timeout: left, SentAt: now}
	if class.Idempotency == "keyed" {
		c.Key = fmt.Sprintf("k%s", c.ID)
	}
	return c
}

// ownedNode is the node that a server calls through; -1: none.
func (w *World) ownedNode(server int) int {
	i, ok := slices.BinarySearchFunc(w.Site.Nodes, server, func(n scenario.Node, server int) int { return n.OwnerServer - server })
	if !ok {
		return -1
	}
	return i
}

// Cancel notes that the node has given an attempt up. What waits is dropped; what runs stops only on some kinds.
func (s *Server) Cancel(a *Attempt) {
	switch {
	case a.phase == phaseEnded || a.server == nil:
	case a.phase == phaseRunning && !s.MachineType.CancelStopsWork:
	case a.phase == phaseCalling && !s.MachineType.CancelStopsWork:
	default:
		s.end(a, Abandoned)
	}
}

// end takes an attempt out, wherever it stands, and answers it.
func (s *Server) end(a *Attempt, o Outcome) {
	was := a.phase
	a.phase = phaseEnded
	delete(s.open, a)
	switch was {
	case phaseQueued:
		if i := slices.Index(s.queue, a); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case phaseRunning:
		s.advance()
		heap.Remove(&s.running, a.index)
		s.usedSlots--
	case phaseCalling:
		s.usedSlots--
		if a.abandonCall != nil {
			a.abandonCall()
		}
	}
	s.world.Observer.AttemptEnded(a, o)
	body := ""
	if o == Completed {
		body = Body(a.Call, s.Name)
	}
	if a.Done != nil {
		a.Done(o, body)
	}
	if s.up && (was == phaseRunning || was == phaseCalling) {
		s.admit()
	}
}

// admit lets waiting attempts on as slots come free.
func (s *Server) admit() {
	s.advance()
	for len(s.queue) > 0 && s.usedSlots < s.MachineType.SlotsPerCore*s.MachineType.Cores {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(a)
	}
	s.scheduleFinish()
}

// ---- Overload ----

// watchLoad lets a server choke that has held too much for too long, and recover when it has rested.
func (s *Server) watchLoad() {
	c := &s.MachineType.Overload
	if c.Threshold == 0 {
		return
	}
	load := float64(len(s.running)+len(s.queue)) / float64(s.MachineType.Cores)
	s.overloadTimer = s.timerWhile(s.overloadTimer, !s.overloaded && load > c.Threshold, c.OnsetDelay.Std(), func() {
		s.setOverloaded(true)
		s.world.Loop.After(c.MaxDuration.Std(), func() { s.setOverloaded(false) })
	})
	s.recoveryTimer = s.timerWhile(s.recoveryTimer, s.overloaded && load < c.RecoveryThreshold, c.RecoveryDelay.Std(), func() { s.setOverloaded(false) })
}

// timerWhile keeps a timer that runs f once a condition has held for d.
func (s *Server) timerWhile(t *sim.Timer, holds bool, d time.Duration, f func()) *sim.Timer {
	switch {
	case holds && t == nil:
		return s.world.Loop.After(d, f)
	case !holds && t != nil:
		s.world.Loop.Stop(t)
		return nil
	}
	return t
}

func (s *Server) setOverloaded(on bool) {
	s.advance()
	s.overloaded, s.overloadTimer, s.recoveryTimer = on, nil, nil
	s.scheduleFinish()
}

// slices of the time within which a cold server falls over.
const offeredWorkSlices = 20

// recordOfferedWork adds what is sent to a cold server up, refused attempts too, and pushes it over if that is too much:
// within any span of fall_for more than N requests of mean work, and some for chance: N + 2 roots of N + 2. N is
// fall_multiple times what it can do in that span.
func (s *Server) recordOfferedWork(a *Attempt) {
	l := &s.world.Site.Limits
	now := s.world.Loop.Now()
	if !s.up || s.startTime < 0 || s.WarmUpTime == 0 || now-s.startTime > s.WarmUpTime {
		s.offeredWork = nil
		return
	}
	slice := l.CrashLoadWindow.Std() / offeredWorkSlices
	if s.offeredWork == nil {
		s.offeredWork, s.offeredAt = make([]float64, offeredWorkSlices), now
	}
	for ; now-s.offeredAt >= slice; s.offeredAt += slice {
		copy(s.offeredWork, s.offeredWork[1:])
		s.offeredWork[offeredWorkSlices-1] = 0
	}
	s.offeredWork[offeredWorkSlices-1] += float64(a.Call.Work)
	sum := 0.0
	for _, v := range s.offeredWork {
		sum += v
	}
	mean := float64(s.world.Site.MeanWork(s.Tier))
	if n := l.CrashLoadMultiple * s.Capacity * s.WarmUpFraction() * float64(l.CrashLoadWindow) / mean; sum > (n+2*math.Sqrt(n)+2)*mean {
		s.world.Observer.ServerCrashed(s.Index)
		s.fail(false)
	}
}

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

// attemptHeap is a heap by the work at which they end.
type attemptHeap []*Attempt

func (h attemptHeap) Len() int { return len(h) }
func (h attemptHeap) Less(i, j int) bool {
	return h[i].finishesAt < h[j].finishesAt || h[i].finishesAt == h[j].finishesAt && h[i].Call.ID < h[j].Call.ID
}
func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *attemptHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
