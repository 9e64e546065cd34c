package oracle

import (
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

// observedAttempt is an attempt as its server saw it.
type observedAttempt struct {
	attempt   *model.Attempt
	server    int
	arrivedAt time.Duration
	outcome   model.Outcome
	endedAt   time.Duration // 0: in flight
}

// mayHaveRun says whether it was not proven, at time t, that the attempt never ran.
func (s *observedAttempt) mayHaveRun(t time.Duration) bool {
	return s.endedAt == 0 || s.endedAt > t || s.outcome != model.ServerRejected
}

// AttemptArrived records an attempt whose last byte has arrived at a server, and checks it.
func (o *Oracle) AttemptArrived(a *model.Attempt, server int) {
	o.Attempts++
	now := o.loop.Now()
	o.recordSlowStartLoad(a, server)
	r := o.calls[a.Call.ID]
	if r == nil {
		o.RecordUnsolicited(a.Node, server, a.Call.ID, "its call ended long ago or never was")
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

const (
	// disconnectGrace is how long after its client has disconnected an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// disconnectTolerance is how many attempts of a run may begin later than that without a violation.
	disconnectTolerance = 2
)

// checkDisconnected checks that an attempt did not begin after its client had disconnected.
func (o *Oracle) checkDisconnected(r *callRecord, a *model.Attempt) {
	late := a.FirstByteAt - r.endedAt - o.loop.StallTime(r.endedAt, o.loop.Now())
	if !r.abandoned || late <= disconnectGrace {
		return
	}
	o.lateAfterDisconnect++
	if o.lateAfterDisconnect > disconnectTolerance {
		o.recordViolation(RuleDisconnected, r, "sent on %v after its sender had left, the %dth of its kind", late, o.lateAfterDisconnect)
	}
}

// RecordUnsolicited records something that arrived at a server without a client's call.
func (o *Oracle) RecordUnsolicited(node, server int, id, reason string) {
	o.recordViolation(RuleUnsolicited, nil, "request %q at %s from %s: %s",
		truncate(id), o.site.Servers[server].Name, o.site.Nodes[node].Name, reason)
}

// checkRepeatedAttempt checks a call's last attempt against those before it.
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
		if s.endedAt == 0 && !o.site.Limits.Hedging {
			o.recordViolation(RuleAttemptLimit, r, "sent again while attempt %d was out", i)
		}
		switch class.Idempotency {
		case scenario.NonIdempotent:
			o.recordViolation(RuleRepeated, r, "sent again though attempt %d may have run", i)
			return
		case scenario.IdempotentByKey:
			if !o.checkIdempotencyKey(r, class, i) {
				return
			}
		}
	}
}

// checkIdempotencyKey checks a call's last attempt against an earlier one that may have run, and returns false for a violation.
func (o *Oracle) checkIdempotencyKey(r *callRecord, class *scenario.Class, earlier int) bool {
	first, last := r.attempts[earlier], r.attempts[len(r.attempts)-1]
	if !o.sameScope(class, first.server, last.server) {
		o.recordViolation(RuleIdempotencyKey, r, "sent outside its %s though attempt %d may have run", class.KeyScope, earlier)
		return false
	}
	gap := last.arrivedAt - first.arrivedAt
	limit := class.KeyWindow.Std() + o.site.Limits.Slack.Std() + o.loop.StallTime(first.arrivedAt, last.arrivedAt)
	if gap > limit {
		o.recordViolation(RuleIdempotencyKey, r, "sent %v after attempt %d, past its window of %v", gap, earlier, class.KeyWindow.Std())
		return false
	}
	return true
}

// sameScope says whether two servers share the idempotency keys of a class.
func (o *Oracle) sameScope(class *scenario.Class, a, b int) bool {
	x, y := &o.site.Servers[a], &o.site.Servers[b]
	switch class.KeyScope {
	case scenario.KeyScopeAll:
		return true
	case scenario.KeyScopeZone:
		return x.Zone == y.Zone
	}
	return x.Rack == y.Rack
}

// AttemptEnded records the outcome of an attempt.
func (o *Oracle) AttemptEnded(a *model.Attempt, out model.Outcome) {
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
