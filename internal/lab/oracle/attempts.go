package oracle

import (
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

// observedAttempt is an attempt as observed at its server.
type observedAttempt struct {
	attempt   *model.Attempt
	server    int
	arrivedAt time.Duration
	outcome   model.Outcome
	endedAt   time.Duration // zero while the attempt is in flight
}

// mayHaveRun reports whether a server may have processed the attempt, by what was observed up to time t. Only an attempt that the
// server has rejected is certain not to have run.
func (s *observedAttempt) mayHaveRun(t time.Duration) bool {
	return s.endedAt == 0 || s.endedAt > t || s.outcome != model.ServerRejected
}

// AttemptArrived records an attempt whose last byte has arrived at a server, and checks the rules for it.
func (o *Oracle) AttemptArrived(a *model.Attempt, server int) {
	o.Attempts++
	now := o.loop.Now()
	o.recordSlowStartLoad(a, server)
	r := o.calls[a.Call.ID]
	if r == nil {
		o.RecordUnsolicited(a.Node, server, a.Call.ID, "no call with this ID was sent, or it ended long ago")
		return
	}
	if a.Node != r.call.Node {
		o.recordViolation(RuleUnsolicited, r, "an attempt came from %s, but the call was sent to another node",
			o.site.Nodes[a.Node].Name)
	}
	r.attempts = append(r.attempts, &observedAttempt{attempt: a, server: server, arrivedAt: now})
	o.checkDraining(r, a, server)
	o.checkRepeatedAttempt(r)
	o.checkDisconnected(r, a)
}

const (
	// disconnectGrace is how long after the disconnect of its client an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// disconnectTolerance is how many attempts of a run may begin after disconnectGrace without a violation.
	disconnectTolerance = 2
)

// checkDisconnected checks RuleDisconnected for an attempt that has arrived.
func (o *Oracle) checkDisconnected(r *callRecord, a *model.Attempt) {
	late := a.FirstByteAt - r.endedAt - o.loop.StallTime(r.endedAt, o.loop.Now())
	if !r.abandoned || late <= disconnectGrace {
		return
	}
	o.lateAfterDisconnect++
	if o.lateAfterDisconnect > disconnectTolerance {
		o.recordViolation(RuleDisconnected, r, "attempt began %v after its client had disconnected; late attempts of the run: %d",
			late, o.lateAfterDisconnect)
	}
}

// RecordUnsolicited records a request that arrived at a server and belongs to no call. reason describes what is wrong
// with the request.
func (o *Oracle) RecordUnsolicited(node, server int, id, reason string) {
	o.recordViolation(RuleUnsolicited, nil, "request %q arrived at %s from %s: %s",
		truncate(id), o.site.Servers[server].Name, o.site.Nodes[node].Name, reason)
}

// checkRepeatedAttempt checks a call's last attempt against the earlier ones.
func (o *Oracle) checkRepeatedAttempt(r *callRecord) {
	class := &o.site.Classes[r.call.Class]
	last := r.attempts[len(r.attempts)-1]
	if n := o.site.Limits.MaxAttempts; len(r.attempts) > n {
		o.recordViolation(RuleAttemptLimit, r, "attempt %d (counted from 0) was sent, with %d attempts allowed",
			len(r.attempts)-1, n)
	}
	for i, s := range r.attempts[:len(r.attempts)-1] {
		if !s.mayHaveRun(last.arrivedAt) {
			continue
		}
		if s.endedAt == 0 && !o.site.Limits.Hedging {
			o.recordViolation(RuleAttemptLimit, r, "sent again while attempt %d was in flight", i)
		}
		switch class.Idempotency {
		case scenario.NonIdempotent:
			o.recordViolation(RuleRepeated, r, "sent again although attempt %d may have been processed", i)
			return
		case scenario.IdempotentByKey:
			if !o.checkIdempotencyKey(r, class, i) {
				return
			}
		}
	}
}

// checkIdempotencyKey checks a call's last attempt against an earlier one that may have run. It returns false for a violation.
func (o *Oracle) checkIdempotencyKey(r *callRecord, class *scenario.Class, earlier int) bool {
	first, last := r.attempts[earlier], r.attempts[len(r.attempts)-1]
	if !o.sameScope(class, first.server, last.server) {
		o.recordViolation(RuleIdempotencyKey, r, "sent outside its key scope (%s) although attempt %d may have been processed",
			class.KeyScope, earlier)
		return false
	}
	gap := last.arrivedAt - first.arrivedAt
	limit := class.KeyWindow.Std() + o.site.Limits.Slack.Std() + o.loop.StallTime(first.arrivedAt, last.arrivedAt)
	if gap > limit {
		o.recordViolation(RuleIdempotencyKey, r, "sent %v after attempt %d, outside its key window of %v",
			gap, earlier, class.KeyWindow.Std())
		return false
	}
	return true
}

// sameScope reports whether two servers share the idempotency keys of a class.
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

// AttemptEnded records the outcome of an attempt. It ignores attempts whose call is no longer recorded.
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
