package oracle

import (
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

const (
	// endedCallRetention is how long a call is kept after its end, so that its late attempts can be checked.
	endedCallRetention = 30 * time.Second
	// maxQuotedBytes limits how many bytes of a response body or a call ID a violation quotes.
	maxQuotedBytes = 60
)

// endedCall is an entry of the queue of ended calls, whose records are removed after endedCallRetention.
type endedCall struct {
	id string
	at time.Duration
}

// callRecord is the observed history of a call.
type callRecord struct {
	call      *model.Call
	endedAt   time.Duration // when it was answered or abandoned; zero while it is in flight
	abandoned bool          // whether its sender stopped waiting
	result    string
	attempts  []*observedAttempt
	answered  bool
}

// CallSent records a call that its sender is about to send.
func (o *Oracle) CallSent(c *model.Call) {
	o.Calls++
	o.calls[c.ID] = &callRecord{call: c}
}

// ResponseReceived records the final response to a call and checks the rules for it.
func (o *Oracle) ResponseReceived(c *model.Call, response model.Response) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.result, r.answered = now, response.Result.String(), true
	switch response.Result {
	case model.Served:
		o.checkResponseBody(r, response.Body)
		fallthrough
	case model.Failed:
		o.checkInTime(r, response.SendDelay)
	case model.Rejected:
		o.checkRejection(r)
		o.checkInTime(r, response.SendDelay)
	case model.ConnectionLost:
		if !o.affectedByOutage(c, now) {
			o.recordViolation(RuleLost, r, "the connection ended without a complete response while the node was running")
		}
	}
	o.expireCalls(c.ID, now)
}

// CallAbandoned records that the sender of a call has stopped waiting, before or after the call's deadline.
func (o *Oracle) CallAbandoned(c *model.Call) {
	r := o.calls[c.ID]
	now := o.loop.Now()
	r.endedAt, r.result, r.abandoned = now, "abandoned by its sender", true
	if now > o.deadline(c, now) && !o.affectedByOutage(c, now) {
		o.recordViolation(RuleLost, r, "no response %v after the call was sent, with a timeout of %v", now-c.SentAt, c.Timeout)
	}
	o.expireCalls(c.ID, now)
}

// deadline returns the latest time at which a call's response is in time.
func (o *Oracle) deadline(c *model.Call, now time.Duration) time.Duration {
	return c.SentAt + c.Timeout + o.site.Limits.Slack.Std() + o.loop.StallTime(c.SentAt, now)
}

// checkInTime checks that the response to a call arrived by the call's deadline, extended by sendDelay.
func (o *Oracle) checkInTime(r *callRecord, sendDelay time.Duration) {
	now := o.loop.Now()
	if due := o.deadline(r.call, now) + sendDelay; now > due && !o.affectedByOutage(r.call, now) {
		o.recordViolation(RuleLost, r, "the response arrived %v too late", now-due)
	}
}

// checkResponseBody checks that the response body was produced for this call by a server that completed an attempt of it.
func (o *Oracle) checkResponseBody(r *callRecord, body string) {
	for _, s := range r.attempts {
		if s.endedAt > 0 && s.outcome == model.Completed && body == model.ResponseBody(r.call, o.site.Servers[s.server].Name) {
			return
		}
	}
	o.recordViolation(RuleCorruptResponse, r, "no server produced the response body %q for this call", truncate(body))
}

// truncate shortens a quoted string to maxQuotedBytes and marks it as shortened.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}

// checkRejection checks that a rejected call can be retried safely. That is so if its class is idempotent, if all servers
// recognize its idempotency key, or if none of its attempts can have been processed.
func (o *Oracle) checkRejection(r *callRecord) {
	class := &o.site.Classes[r.call.Class]
	if class.Idempotency == scenario.Idempotent ||
		class.Idempotency == scenario.IdempotentByKey && class.KeyScope == scenario.KeyScopeAll {
		return
	}
	for i, s := range r.attempts {
		if s.mayHaveRun(o.loop.Now()) {
			o.recordViolation(RuleRejection, r, "rejected although attempt %d may have been processed", i)
			return
		}
	}
}

// expireCalls records the end of a call, and removes the calls that ended longer ago than endedCallRetention.
func (o *Oracle) expireCalls(id string, now time.Duration) {
	o.endedCalls = append(o.endedCalls, endedCall{id, now})
	for len(o.endedCalls) > 0 && o.endedCalls[0].at < now-endedCallRetention {
		delete(o.calls, o.endedCalls[0].id)
		o.endedCalls = o.endedCalls[1:]
	}
}
