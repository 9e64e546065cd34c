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
	RuleLost            = "lost"     // attempt request that was taken gets one final answer in time
	RuleRepeated        = "twice"    // an unsafe request goes out again only if it is proven that it never ran
	RuleIdempotencyKey  = "keyed"    // attempt keyed one only within its scope and window
	RuleAttemptLimit    = "copies"   // no more attempts than allowed, nor a second beside the first where that is not
	RuleRejection       = "promised" // attempt refusal promises that a retry does no harm
	RuleDraining        = "drained"  // nothing new to a server that drains or is gone
	RuleSlowStart       = "cold"     // no cold server is pushed over
	RuleUnsolicited     = "phantom"  // nothing arrives that no client sent
	RuleCorruptResponse = "spoilt"   // attempt served answer is one that a server made for this request
	RuleDisconnected    = "gone"     // nothing begins to go out for a sender that has left
	RuleCrash           = "crash"    // no node's process ends by itself, or fails to start
	RuleResourceLimit   = "limits"   // no node's process holds more memory or descriptors than it may
)

// Rules are the names of all rules.
var Rules = []string{RuleLost, RuleRepeated, RuleIdempotencyKey, RuleAttemptLimit, RuleRejection, RuleDraining, RuleSlowStart, RuleUnsolicited, RuleCorruptResponse, RuleDisconnected, RuleCrash, RuleResourceLimit}

// Violation is a rule broken, by which request and how it went.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
	Trace   []string      `json:"trace,omitempty"`
}

// maxRecordedViolations is how many violations are kept whole; all are counted. remembered is how long a request that has ended
// is known.
const (
	maxRecordedViolations = 50
	endedCallRetention    = 30 * time.Second
)

// disconnectGrace is how long after its sender has left an attempt may still begin. Up to disconnectTolerance cases of more in a run
// are chance.
const (
	disconnectGrace     = 100 * time.Millisecond
	disconnectTolerance = 2
)

// Oracle is a model.Observer. It belongs to the loop.
type Oracle struct {
	Violations      []Violation
	ViolationCounts map[string]int // by rule
	Attempts        int            // that arrived at servers
	Calls           int            // that were sent to nodes

	loop                *sim.Loop
	site                *scenario.Site
	world               *model.World
	calls               map[string]*callRecord
	endedCalls          []endedCall
	notified            map[nodeServer]notification
	outages             [][]outage // by node
	slowStarts          map[int]*slowStartLoad
	lateAfterDisconnect int // attempts that began too long after their sender had left
}

type nodeServer struct{ node, server int }

// notification is what a node was last told of a server.
type notification struct {
	state     model.State
	at        time.Duration
	servingAt time.Duration // when it was last told that it serves
}

// outage is a span in which a node's process did not run, or was not sure to.
type outage struct {
	from, to time.Duration // to 0: not over
	action   model.ProcessAct
}

// slowStartLoad is what a cold server got within the time in which it falls over.
type slowStartLoad struct {
	startTime       time.Duration
	arrivals        []arrival
	informed, total time.Duration // of sent
}

// arrival is a request's work, and whether its node knew of the server's start.
type arrival struct {
	at, work time.Duration
	informed bool
}

type endedCall struct {
	id string
	at time.Duration
}

// callRecord is all that is known of a call.
type callRecord struct {
	call      *model.Call
	endedAt   time.Duration // when it was answered or left; 0: open
	abandoned bool          // by its sender
	reply     string
	attempts  []*observedAttempt
	answered  bool
}

// observedAttempt is an attempt as its server saw it.
type observedAttempt struct {
	attempt   *model.Attempt
	server    int
	arrivedAt time.Duration
	outcome   model.Outcome
	endedAt   time.Duration // 0: not over
}

// mayHaveRun tells whether the attempt was, at time t, not proven to have never run.
func (s *observedAttempt) mayHaveRun(t time.Duration) bool {
	return s.endedAt == 0 || s.endedAt > t || s.outcome != model.TurnedAway
}

// New returns an oracle for a run on the loop. See Watch.
func New(loop *sim.Loop, site *scenario.Site) *Oracle {
	return &Oracle{ViolationCounts: map[string]int{}, loop: loop, site: site, calls: map[string]*callRecord{},
		notified: map[nodeServer]notification{}, outages: make([][]outage, len(site.Nodes)), slowStarts: map[int]*slowStartLoad{}}
}

// SetWorld lets the oracle ask the world for the true state of servers.
func (o *Oracle) SetWorld(w *model.World) { o.world = w }

func (o *Oracle) recordViolation(rule string, r *callRecord, detail string, args ...any) {
	o.ViolationCounts[rule]++
	if len(o.Violations) >= maxRecordedViolations {
		return
	}
	v := Violation{Rule: rule, At: o.loop.Now(), Detail: fmt.Sprintf(detail, args...)}
	if r != nil {
		v.Request, v.Trace = r.call.ID, o.trace(r)
	}
	o.Violations = append(o.Violations, v)
}

// trace words what is known of a call, step by step.
func (o *Oracle) trace(r *callRecord) []string {
	c := r.call
	t := []string{fmt.Sprintf("%v sent to %s as %s, to be answered within %v", c.Sent, o.site.Nodes[c.Node].Name, o.site.Classes[c.Class].Name, c.Left)}
	for i, s := range r.attempts {
		line := fmt.Sprintf("%v attempt %d arrived at %s (rack %d) from %s", s.arrivedAt, i, o.site.Servers[s.server].Name,
			o.site.Servers[s.server].Rack, o.site.Nodes[s.attempt.Node].Name)
		if s.endedAt > 0 {
			line += fmt.Sprintf(", %v %v", s.endedAt, s.outcome)
		}
		t = append(t, line)
	}
	if r.endedAt > 0 {
		t = append(t, fmt.Sprintf("%v %s", r.endedAt, r.reply))
	}
	return t
}

// ViolationCount is how many times any rule was broken.
func (o *Oracle) ViolationCount() int {
	n := 0
	for _, k := range o.ViolationCounts {
		n += k
	}
	return n
}

// ---- Calls ----

// Sent notes a call that is about to be written to its node.
func (o *Oracle) Sent(c *model.Call) {
	o.Calls++
	o.calls[c.ID] = &callRecord{call: c}
}

// Answered notes the final answer to a call.
func (o *Oracle) Answered(c *model.Call, a model.Answer) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.reply, r.answered = now, a.Reply.String(), true
	switch a.Reply {
	case model.Served:
		o.checkResponseBody(r, a.Body)
		fallthrough
	case model.Failed:
		o.checkInTime(r, a.Late)
	case model.Refused:
		o.checkRejection(r)
		o.checkInTime(r, a.Late)
	case model.Lost:
		if !o.excused(c, now) {
			o.recordViolation(RuleLost, r, "its connection ended without a whole answer while the node ran")
		}
	}
	o.expireCalls(c.ID, now)
}

// Left notes that the sender of a call has gone, of itself or because its time was over.
func (o *Oracle) Left(c *model.Call) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.reply, r.abandoned = now, "its sender left", true
	if now > o.deadline(c, now) && !o.excused(c, now) {
		o.recordViolation(RuleLost, r, "no answer %v after it was sent, with %v to answer it", now-c.Sent, c.Left)
	}
	o.expireCalls(c.ID, now)
}

// deadline is the last moment for a call's answer, as this machine kept time.
func (o *Oracle) deadline(c *model.Call, now time.Duration) time.Duration {
	return c.Sent + c.Left + o.site.Limits.Slack.D() + o.loop.Stalled(c.Sent, now)
}

func (o *Oracle) checkInTime(r *callRecord, late time.Duration) {
	now := o.loop.Now()
	if due := o.deadline(r.call, now) + late; now > due && !o.excused(r.call, now) {
		o.recordViolation(RuleLost, r, "answered %v too late", now-due)
	}
}

// checkResponseBody wants an answer that a server made for this very call.
func (o *Oracle) checkResponseBody(r *callRecord, body string) {
	for _, s := range r.attempts {
		if s.endedAt > 0 && s.outcome == model.Done && body == model.Body(r.call, o.site.Servers[s.server].Name) {
			return
		}
	}
	o.recordViolation(RuleCorruptResponse, r, "served with %q, which no server made for it", truncate(body))
}

func truncate(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// checkRejection wants that a refused call can be repeated without harm.
func (o *Oracle) checkRejection(r *callRecord) {
	class := &o.site.Classes[r.call.Class]
	if class.Effect == "safe" || class.Effect == "keyed" && class.Scope == "all" {
		return
	}
	for i, s := range r.attempts {
		if s.mayHaveRun(o.loop.Now()) {
			o.recordViolation(RuleRejection, r, "refused, though attempt %d may have run", i)
			return
		}
	}
}

// expireCalls drops calls that ended long ago.
func (o *Oracle) expireCalls(id string, now time.Duration) {
	o.endedCalls = append(o.endedCalls, endedCall{id, now})
	for len(o.endedCalls) > 0 && o.endedCalls[0].at < now-endedCallRetention {
		delete(o.calls, o.endedCalls[0].id)
		o.endedCalls = o.endedCalls[1:]
	}
}

// ---- Attempts ----

// Arrived notes an attempt whose last byte has come to a server.
func (o *Oracle) Arrived(a *model.Attempt, server int) {
	o.Attempts++
	now := o.loop.Now()
	o.recordSlowStartLoad(a, server)
	r := o.calls[a.Call.ID]
	if r == nil {
		o.Stray(a.Node, server, a.Call.ID, "its call ended long ago or never was")
		return
	}
	if a.Node != r.call.Node {
		o.recordViolation(RuleUnsolicited, r, "it came from %s, which it was not sent to", o.site.Nodes[a.Node].Name)
	}
	r.attempts = append(r.attempts, &observedAttempt{attempt: a, server: server, arrivedAt: now})
	o.checkDraining(r, a, server)
	o.checkRepeatedAttempt(r)
	o.checkDisconnected(r, a)
}

// checkDisconnected wants that no attempt begins for a sender that has left; from the third case on it is a break.
func (o *Oracle) checkDisconnected(r *callRecord, a *model.Attempt) {
	if late := a.First - r.endedAt - o.loop.Stalled(r.endedAt, o.loop.Now()); r.abandoned && late > disconnectGrace {
		if o.lateAfterDisconnect++; o.lateAfterDisconnect > disconnectTolerance {
			o.recordViolation(RuleDisconnected, r, "sent on %v after its sender had left, the %dth of its kind", late, o.lateAfterDisconnect)
		}
	}
}

// Stray notes something that arrived at a server and that no client sent.
func (o *Oracle) Stray(node, server int, id, why string) {
	o.recordViolation(RuleUnsolicited, nil, "request %q at %s from %s: %s", truncate(id), o.site.Servers[server].Name, o.site.Nodes[node].Name, why)
}

// checkRepeatedAttempt looks at the last attempt against those before.
func (o *Oracle) checkRepeatedAttempt(r *callRecord) {
	class := &o.site.Classes[r.call.Class]
	last := r.attempts[len(r.attempts)-1]
	if n := o.site.Limits.MaxAttempts; len(r.attempts) > n {
		o.recordViolation(RuleAttemptLimit, r, "attempt %d, with %d allowed", len(r.attempts)-1, n)
	}
	for i, s := range r.attempts[:len(r.attempts)-1] {
		if !s.mayHaveRun(last.arrivedAt) {
			continue
		}
		if s.endedAt == 0 && !o.site.Limits.SecondCopies {
			o.recordViolation(RuleAttemptLimit, r, "sent again while attempt %d was out", i)
		}
		switch class.Effect {
		case "unsafe":
			o.recordViolation(RuleRepeated, r, "sent again though attempt %d may have run", i)
			return
		case "keyed":
			if !o.sameScope(class, s.server, last.server) {
				o.recordViolation(RuleIdempotencyKey, r, "sent outside its %s though attempt %d may have run", class.Scope, i)
				return
			}
			if gap := last.arrivedAt - s.arrivedAt; gap > class.Window.D()+o.site.Limits.Slack.D()+o.loop.Stalled(s.arrivedAt, last.arrivedAt) {
				o.recordViolation(RuleIdempotencyKey, r, "sent %v after attempt %d, past its window of %v", gap, i, class.Window.D())
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
	for _, s := range r.attempts {
		if s.attempt == a && s.endedAt == 0 {
			s.endedAt, s.outcome = max(o.loop.Now(), 1), out
		}
	}
}

// ---- Servers ----

// Told notes what a node's discovery holds of a server.
func (o *Oracle) Told(node, server int, st model.State) {
	n := o.notified[nodeServer{node, server}]
	n.state, n.at = st, o.loop.Now()
	if st == model.Serving {
		n.servingAt = n.at
	}
	o.notified[nodeServer{node, server}] = n
}

func (o *Oracle) checkDraining(r *callRecord, a *model.Attempt, server int) {
	n, told := o.notified[nodeServer{a.Node, server}]
	if !told || n.state == model.Serving {
		return
	}
	from := n.at
	for _, out := range o.outages[a.Node] { // attempt process that stood still heard nothing
		from = max(from, out.to)
	}
	late := a.First - from
	if grace := o.site.Limits.DrainWithin.D() + o.site.Limits.Slack.D() + o.loop.Stalled(from, o.loop.Now()); late > grace {
		o.recordViolation(RuleDraining, r, "sent to %s %v after %s was told that it is %s", o.site.Servers[server].Name, late, o.site.Nodes[a.Node].Name, n.state)
	}
}

// recordSlowStartLoad adds up who sent what to a server since it started.
func (o *Oracle) recordSlowStartLoad(a *model.Attempt, server int) {
	if o.world == nil || !o.world.Servers[server].Cold() {
		return
	}
	boot := o.world.Servers[server].Boot()
	w := o.slowStarts[server]
	if w == nil || w.startTime != boot {
		w = &slowStartLoad{startTime: boot}
		o.slowStarts[server] = w
	}
	now := o.loop.Now()
	n := o.notified[nodeServer{a.Node, server}]
	w.add(arrival{now, a.Call.Work, n.servingAt >= boot}, 1)
	w.arrivals = append(w.arrivals, arrival{now, a.Call.Work, n.servingAt >= boot})
	for ; now-w.arrivals[0].at > o.site.Limits.FallFor.D(); w.arrivals = w.arrivals[1:] {
		w.add(w.arrivals[0], -1)
	}
}

func (w *slowStartLoad) add(s arrival, sign time.Duration) {
	w.total += sign * s.work
	if s.informed {
		w.informed += sign * s.work
	}
}

// Fell notes that a cold server was pushed over. It is a break when nodes that knew of its start sent over two thirds of
// what did it.
func (o *Oracle) Fell(server int) {
	w := o.slowStarts[server]
	if w == nil || 3*w.informed <= 2*w.total {
		return
	}
	o.recordViolation(RuleSlowStart, nil, "%s fell over %v after its start; nodes that knew of it had sent %v of %v of work",
		o.site.Servers[server].Name, o.loop.Now()-w.startTime, w.informed.Round(time.Millisecond), w.total.Round(time.Millisecond))
}

// ---- Nodes ----

// Process notes what is done to a node's process: from a kill or a pause on it owes nothing, until it runs again.
func (o *Oracle) Process(node int, act model.ProcessAct) {
	l := o.outages[node]
	open := len(l) > 0 && l[len(l)-1].to == 0
	switch act {
	case model.Kill, model.Pause:
		if !open {
			o.outages[node] = append(l, outage{from: o.loop.Now(), action: act})
		}
	case model.Start, model.Resume:
		if open {
			l[len(l)-1].to = max(o.loop.Now(), 1)
		}
	}
}

// Crashed notes that a node's process has ended by itself, or did not start.
func (o *Oracle) Crashed(node int, why string) {
	o.recordViolation(RuleCrash, nil, "%s: %s", o.site.Nodes[node].Name, why)
}

// Exceeded notes that a node's process holds more than it may.
func (o *Oracle) Exceeded(node int, what string) {
	o.recordViolation(RuleResourceLimit, nil, "%s holds %s", o.site.Nodes[node].Name, what)
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
