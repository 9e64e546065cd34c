package oracle

import (
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

const (
	// endedCallRetention is how long a call is known after its end, so that late attempts of it can be judged.
	endedCallRetention = 30 * time.Second
	// maxQuotedBytes bounds what a violation quotes of an answer or an id.
	maxQuotedBytes = 60
)

// endedCall is an entry of the queue of calls to forget.
type endedCall struct {
	id string
	at time.Duration
}

// callRecord is the history of a call.
type callRecord struct {
	call      *model.Call
	endedAt   time.Duration // when it was answered or abandoned; 0: in flight
	abandoned bool          // by its client
	reply     string
	attempts  []*observedAttempt
	answered  bool
}

// CallSent records a call that its client is about to send.
func (o *Oracle) CallSent(c *model.Call) {
	o.Calls++
	o.calls[c.ID] = &callRecord{call: c}
}

// ResponseReceived records the final answer to a call and checks it.
func (o *Oracle) ResponseReceived(c *model.Call, a model.Response) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.reply, r.answered = now, a.Result.String(), true
	switch a.Result {
	case model.Served:
		o.checkResponseBody(r, a.Body)
		fallthrough
	case model.Failed:
		o.checkInTime(r, a.SendDelay)
	case model.Rejected:
		o.checkRejection(r)
		o.checkInTime(r, a.SendDelay)
	case model.ConnectionLost:
		if !o.excused(c, now) {
			o.recordViolation(RuleLost, r, "its connection ended without a whole answer while the node ran")
		}
	}
	o.expireCalls(c.ID, now)
}

// CallAbandoned records that the client of a call has disconnected, before or at its deadline.
func (o *Oracle) CallAbandoned(c *model.Call) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.reply, r.abandoned = now, "its sender left", true
	if now > o.deadline(c, now) && !o.excused(c, now) {
		o.recordViolation(RuleLost, r, "no answer %v after it was sent, with %v to answer it", now-c.SentAt, c.Timeout)
	}
	o.expireCalls(c.ID, now)
}

// deadline returns the last time for a call's answer.
func (o *Oracle) deadline(c *model.Call, now time.Duration) time.Duration {
	return c.SentAt + c.Timeout + o.site.Limits.Slack.Std() + o.loop.StallTime(c.SentAt, now)
}

// checkInTime checks that a call was answered by its deadline, put off by late.
func (o *Oracle) checkInTime(r *callRecord, late time.Duration) {
	now := o.loop.Now()
	if due := o.deadline(r.call, now) + late; now > due && !o.excused(r.call, now) {
		o.recordViolation(RuleLost, r, "answered %v too late", now-due)
	}
}

// checkResponseBody checks that a server made the answer for this call.
func (o *Oracle) checkResponseBody(r *callRecord, body string) {
	for _, s := range r.attempts {
		if s.endedAt > 0 && s.outcome == model.Completed && body == model.ResponseBody(r.call, o.site.Servers[s.server].Name) {
			return
		}
	}
	o.recordViolation(RuleCorruptResponse, r, "served with %q, which no server made for it", truncate(body))
}

// truncate shortens what a violation quotes.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}

// checkRejection checks that a rejected call can be retried without harm.
func (o *Oracle) checkRejection(r *callRecord) {
	class := &o.site.Classes[r.call.Class]
	if class.Idempotency == scenario.Idempotent || class.Idempotency == scenario.IdempotentByKey && class.KeyScope == scenario.KeyScopeAll {
		return
	}
	for i, s := range r.attempts {
		if s.mayHaveRun(o.loop.Now()) {
			o.recordViolation(RuleRejection, r, "refused, though attempt %d may have run", i)
			return
		}
	}
}

// expireCalls notes the end of a call, and forgets calls whose end is longer ago than endedCallRetention.
func (o *Oracle) expireCalls(id string, now time.Duration) {
	o.endedCalls = append(o.endedCalls, endedCall{id, now})
	for len(o.endedCalls) > 0 && o.endedCalls[0].at < now-endedCallRetention {
		delete(o.calls, o.endedCalls[0].id)
		o.endedCalls = o.endedCalls[1:]
	}
}
