// Package oracle judges a run by what clients sent and got and what servers saw, and by what nodes were told. It
// believes nothing that a node says of itself.
package oracle

import (
	"fmt"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// The rules, by the name that a Violation gives.
const (
	Lost     = "lost"     // a request that was taken gets one final answer in time
	Twice    = "twice"    // an unsafe request goes out again only if it is proven that it never ran
	Keyed    = "keyed"    // a keyed one only within its scope and window
	Copies   = "copies"   // no more attempts than allowed, nor a second beside the first where that is not
	Promised = "promised" // a refusal promises that a retry does no harm
	Drained  = "drained"  // nothing new to a server that drains or is gone
	Cold     = "cold"     // no cold server is pushed over
	Phantom  = "phantom"  // nothing arrives that no client sent
	Spoilt   = "spoilt"   // a served answer is one that a server made for this request
	Gone     = "gone"     // nothing begins to go out for a sender that has left
	Crash    = "crash"    // no node's process ends by itself, or fails to start
	Limits   = "limits"   // no node's process holds more memory or descriptors than it may
)

// Rules are the names of all rules.
var Rules = []string{Lost, Twice, Keyed, Copies, Promised, Drained, Cold, Phantom, Spoilt, Gone, Crash, Limits}

// Violation is a rule broken, by which request and how it went.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
	Trace   []string      `json:"trace,omitempty"`
}

// kept is how many violations are kept whole; all are counted. remembered is how long a request that has ended
// is known.
const (
	kept       = 50
	remembered = 30 * time.Second
)

// goneWithin is how long after its sender has left an attempt may still begin. Up to goneChance cases of more in a run
// are chance.
const (
	goneWithin = 100 * time.Millisecond
	goneChance = 2
)

// Oracle is a model.Observer. It belongs to the loop.
type Oracle struct {
	Violations []Violation
	Broken     map[string]int // by rule
	Attempts   int            // that arrived at servers
	Calls      int            // that were sent to nodes

	loop    *sim.Loop
	site    *scenario.Site
	world   *model.World
	calls   map[string]*record
	old     []ended
	told    map[pair]news
	outages [][]outage // by node
	cold    map[int]*warming
	gone    int // attempts that began too long after their sender had left
}

type pair struct{ node, server int }

// news is what a node was last told of a server.
type news struct {
	state   model.State
	at      time.Duration
	serving time.Duration // when it was last told that it serves
}

// outage is a span in which a node's process did not run, or was not sure to.
type outage struct {
	from, to time.Duration // to 0: not over
	why      model.ProcessAct
}

// warming is what a cold server got within the time in which it falls over.
type warming struct {
	boot        time.Duration
	sent        []share
	knew, total time.Duration // of sent
}

// share is a request's work, and whether its node knew of the server's start.
type share struct {
	at, work time.Duration
	knew     bool
}

type ended struct {
	id string
	at time.Duration
}

// record is all that is known of a call.
type record struct {
	call   *model.Call
	end    time.Duration // when it was answered or left; 0: open
	left   bool          // by its sender
	reply  string
	seen   []*sight
	answer bool
}

// sight is an attempt as its server saw it.
type sight struct {
	a       *model.Attempt
	server  int
	at      time.Duration
	outcome model.Outcome
	end     time.Duration // 0: not over
}

// mayHaveRun tells whether the attempt was, at time t, not proven to have never run.
func (s *sight) mayHaveRun(t time.Duration) bool {
	return s.end == 0 || s.end > t || s.outcome != model.TurnedAway
}

// New returns an oracle for a run on the loop. See Watch.
func New(loop *sim.Loop, site *scenario.Site) *Oracle {
	return &Oracle{Broken: map[string]int{}, loop: loop, site: site, calls: map[string]*record{},
		told: map[pair]news{}, outages: make([][]outage, len(site.Nodes)), cold: map[int]*warming{}}
}

// Watch lets the oracle ask the world for the true state of servers.
func (o *Oracle) Watch(w *model.World) { o.world = w }

func (o *Oracle) violated(rule string, r *record, detail string, args ...any) {
	o.Broken[rule]++
	if len(o.Violations) >= kept {
		return
	}
	v := Violation{Rule: rule, At: o.loop.Now(), Detail: fmt.Sprintf(detail, args...)}
	if r != nil {
		v.Request, v.Trace = r.call.ID, o.trace(r)
	}
	o.Violations = append(o.Violations, v)
}

// trace words what is known of a call, step by step.
func (o *Oracle) trace(r *record) []string {
	c := r.call
	t := []string{fmt.Sprintf("%v sent to %s as %s, to be answered within %v", c.Sent, o.site.Nodes[c.Node].Name, o.site.Classes[c.Class].Name, c.Left)}
	for i, s := range r.seen {
		line := fmt.Sprintf("%v attempt %d arrived at %s (rack %d) from %s", s.at, i, o.site.Servers[s.server].Name,
			o.site.Servers[s.server].Rack, o.site.Nodes[s.a.Node].Name)
		if s.end > 0 {
			line += fmt.Sprintf(", %v %v", s.end, s.outcome)
		}
		t = append(t, line)
	}
	if r.end > 0 {
		t = append(t, fmt.Sprintf("%v %s", r.end, r.reply))
	}
	return t
}

// RulesBroken is how many times any rule was broken.
func (o *Oracle) RulesBroken() int {
	n := 0
	for _, k := range o.Broken {
		n += k
	}
	return n
}

// ---- Calls ----

// Sent notes a call that is about to be written to its node.
func (o *Oracle) Sent(c *model.Call) {
	o.Calls++
	o.calls[c.ID] = &record{call: c}
}

// Answered notes the final answer to a call.
func (o *Oracle) Answered(c *model.Call, a model.Answer) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.end, r.reply, r.answer = now, a.Reply.String(), true
	switch a.Reply {
	case model.Served:
		o.checkBody(r, a.Body)
		fallthrough
	case model.Failed:
		o.checkTime(r, a.Late)
	case model.Refused:
		o.checkPromise(r)
		o.checkTime(r, a.Late)
	case model.Lost:
		if !o.excused(c, now) {
			o.violated(Lost, r, "its connection ended without a whole answer while the node ran")
		}
	}
	o.forget(c.ID, now)
}

// Left notes that the sender of a call has gone, of itself or because its time was over.
func (o *Oracle) Left(c *model.Call) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.end, r.reply, r.left = now, "its sender left", true
	if now > o.due(c, now) && !o.excused(c, now) {
		o.violated(Lost, r, "no answer %v after it was sent, with %v to answer it", now-c.Sent, c.Left)
	}
	o.forget(c.ID, now)
}

// due is the last moment for a call's answer, as this machine kept time.
func (o *Oracle) due(c *model.Call, now time.Duration) time.Duration {
	return c.Sent + c.Left + o.site.Limits.Slack.D() + o.loop.Stalled(c.Sent, now)
}

func (o *Oracle) checkTime(r *record, late time.Duration) {
	now := o.loop.Now()
	if due := o.due(r.call, now) + late; now > due && !o.excused(r.call, now) {
		o.violated(Lost, r, "answered %v too late", now-due)
	}
}

// checkBody wants an answer that a server made for this very call.
func (o *Oracle) checkBody(r *record, body string) {
	for _, s := range r.seen {
		if s.end > 0 && s.outcome == model.Done && body == model.Body(r.call, o.site.Servers[s.server].Name) {
			return
		}
	}
	o.violated(Spoilt, r, "served with %q, which no server made for it", clip(body))
}

func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// checkPromise wants that a refused call can be repeated without harm.
func (o *Oracle) checkPromise(r *record) {
	class := &o.site.Classes[r.call.Class]
	if class.Effect == "safe" || class.Effect == "keyed" && class.Scope == "all" {
		return
	}
	for i, s := range r.seen {
		if s.mayHaveRun(o.loop.Now()) {
			o.violated(Promised, r, "refused, though attempt %d may have run", i)
			return
		}
	}
}

// forget drops calls that ended long ago.
func (o *Oracle) forget(id string, now time.Duration) {
	o.old = append(o.old, ended{id, now})
	for len(o.old) > 0 && o.old[0].at < now-remembered {
		delete(o.calls, o.old[0].id)
		o.old = o.old[1:]
	}
}

// ---- Attempts ----

// Arrived notes an attempt whose last byte has come to a server.
func (o *Oracle) Arrived(a *model.Attempt, server int) {
	o.Attempts++
	now := o.loop.Now()
	o.checkCold(a, server)
	r := o.calls[a.Call.ID]
	if r == nil {
		o.Stray(a.Node, server, a.Call.ID, "its call ended long ago or never was")
		return
	}
	if a.Node != r.call.Node {
		o.violated(Phantom, r, "it came from %s, which it was not sent to", o.site.Nodes[a.Node].Name)
	}
	r.seen = append(r.seen, &sight{a: a, server: server, at: now})
	o.checkDrained(r, a, server)
	o.checkRepeat(r)
	o.checkGone(r, a)
}

// checkGone wants that no attempt begins for a sender that has left; from the third case on it is a break.
func (o *Oracle) checkGone(r *record, a *model.Attempt) {
	if late := a.First - r.end - o.loop.Stalled(r.end, o.loop.Now()); r.left && late > goneWithin {
		if o.gone++; o.gone > goneChance {
			o.violated(Gone, r, "sent on %v after its sender had left, the %dth of its kind", late, o.gone)
		}
	}
}

// Stray notes something that arrived at a server and that no client sent.
func (o *Oracle) Stray(node, server int, id, why string) {
	o.violated(Phantom, nil, "request %q at %s from %s: %s", clip(id), o.site.Servers[server].Name, o.site.Nodes[node].Name, why)
}

// checkRepeat looks at the last attempt against those before.
func (o *Oracle) checkRepeat(r *record) {
	class := &o.site.Classes[r.call.Class]
	last := r.seen[len(r.seen)-1]
	if n := o.site.Limits.MaxAttempts; len(r.seen) > n {
		o.violated(Copies, r, "attempt %d, with %d allowed", len(r.seen)-1, n)
	}
	for i, s := range r.seen[:len(r.seen)-1] {
		if !s.mayHaveRun(last.at) {
			continue
		}
		if s.end == 0 && !o.site.Limits.SecondCopies {
			o.violated(Copies, r, "sent again while attempt %d was out", i)
		}
		switch class.Effect {
		case "unsafe":
			o.violated(Twice, r, "sent again though attempt %d may have run", i)
			return
		case "keyed":
			if !o.sameScope(class, s.server, last.server) {
				o.violated(Keyed, r, "sent outside its %s though attempt %d may have run", class.Scope, i)
				return
			}
			if gap := last.at - s.at; gap > class.Window.D()+o.site.Limits.Slack.D()+o.loop.Stalled(s.at, last.at) {
				o.violated(Keyed, r, "sent %v after attempt %d, past its window of %v", gap, i, class.Window.D())
				return
			}
		}
	}
}

func (o *Oracle) sameScope(class *scenario.Class, a, b int) bool {
	x, y := &o.site.Servers[a], &o.site.Servers[b]
	switch class.Scope {
	case "all":
		return true
	case "zone":
		return x.Zone == y.Zone
	}
	return x.Rack == y.Rack
}

// Ended notes how an attempt ended.
func (o *Oracle) Ended(a *model.Attempt, out model.Outcome) {
	r := o.calls[a.Call.ID]
	if r == nil {
		return
	}
	for _, s := range r.seen {
		if s.a == a && s.end == 0 {
			s.end, s.outcome = max(o.loop.Now(), 1), out
		}
	}
}

// ---- Servers ----

// Told notes what a node's discovery holds of a server.
func (o *Oracle) Told(node, server int, st model.State) {
	n := o.told[pair{node, server}]
	n.state, n.at = st, o.loop.Now()
	if st == model.Serving {
		n.serving = n.at
	}
	o.told[pair{node, server}] = n
}

func (o *Oracle) checkDrained(r *record, a *model.Attempt, server int) {
	n, told := o.told[pair{a.Node, server}]
	if !told || n.state == model.Serving {
		return
	}
	from := n.at
	for _, out := range o.outages[a.Node] { // a process that stood still heard nothing
		from = max(from, out.to)
	}
	late := a.First - from
	if grace := o.site.Limits.DrainWithin.D() + o.site.Limits.Slack.D() + o.loop.Stalled(from, o.loop.Now()); late > grace {
		o.violated(Drained, r, "sent to %s %v after %s was told that it is %s", o.site.Servers[server].Name, late, o.site.Nodes[a.Node].Name, n.state)
	}
}

// checkCold adds up who sent what to a server since it started.
func (o *Oracle) checkCold(a *model.Attempt, server int) {
	if o.world == nil || !o.world.Servers[server].Cold() {
		return
	}
	boot := o.world.Servers[server].Boot()
	w := o.cold[server]
	if w == nil || w.boot != boot {
		w = &warming{boot: boot}
		o.cold[server] = w
	}
	now := o.loop.Now()
	n := o.told[pair{a.Node, server}]
	w.add(share{now, a.Call.Work, n.serving >= boot}, 1)
	w.sent = append(w.sent, share{now, a.Call.Work, n.serving >= boot})
	for ; now-w.sent[0].at > o.site.Limits.FallFor.D(); w.sent = w.sent[1:] {
		w.add(w.sent[0], -1)
	}
}

func (w *warming) add(s share, sign time.Duration) {
	w.total += sign * s.work
	if s.knew {
		w.knew += sign * s.work
	}
}

// Fell notes that a cold server was pushed over. It is a break when nodes that knew of its start sent over two thirds of
// what did it.
func (o *Oracle) Fell(server int) {
	w := o.cold[server]
	if w == nil || 3*w.knew <= 2*w.total {
		return
	}
	o.violated(Cold, nil, "%s fell over %v after its start; nodes that knew of it had sent %v of %v of work",
		o.site.Servers[server].Name, o.loop.Now()-w.boot, w.knew.Round(time.Millisecond), w.total.Round(time.Millisecond))
}

// ---- Nodes ----

// Process notes what is done to a node's process: from a kill or a pause on it owes nothing, until it runs again.
func (o *Oracle) Process(node int, act model.ProcessAct) {
	l := o.outages[node]
	open := len(l) > 0 && l[len(l)-1].to == 0
	switch act {
	case model.Kill, model.Pause:
		if !open {
			o.outages[node] = append(l, outage{from: o.loop.Now(), why: act})
		}
	case model.Start, model.Resume:
		if open {
			l[len(l)-1].to = max(o.loop.Now(), 1)
		}
	}
}

// Crashed notes that a node's process has ended by itself, or did not start.
func (o *Oracle) Crashed(node int, why string) {
	o.violated(Crash, nil, "%s: %s", o.site.Nodes[node].Name, why)
}

// Exceeded notes that a node's process holds more than it may.
func (o *Oracle) Exceeded(node int, what string) {
	o.violated(Limits, nil, "%s holds %s", o.site.Nodes[node].Name, what)
}

// excused tells whether a call's node was killed or stood still at any time while the call was out.
func (o *Oracle) excused(c *model.Call, now time.Duration) bool {
	for _, out := range o.outages[c.Node] {
		if out.from <= now && (out.to == 0 || out.to >= c.Sent) {
			return true
		}
	}
	return false
}
