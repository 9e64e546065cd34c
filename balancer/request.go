package balancer

import "time"

// retryTimeoutFraction is the share of a class's longest timeout below which a request counts as a retry
// by its client.
const retryTimeoutFraction = 0.95

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id              string
	class           *classState
	acceptedAt      time.Duration
	firstTriedAt    time.Duration // when its client first tried, as far as is known
	deadline        time.Duration
	maxAttempts     int     // by the settings when it was accepted; 0 once it cannot be sent again
	costHint        float64 // in ns; 0: none
	clientRetry     bool    // by mark or by its timeout
	bodyPending     bool    // the last byte of its streaming body has not gone out
	queued          bool    // it is in the pending queue
	attempts        []*attempt
	activeAttempts  int
	responseStarted bool
	answered        bool
	timerAt         time.Duration // of the last timer that was set; 0: it came due
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	request         *request
	endpoint        *endpoint
	number          int
	sentAt          time.Duration // of the last byte of a streaming body
	zone            string        // of the endpoint, when it was sent
	cell            int           // likewise
	responseStarted bool
	ended           bool
	notExecuted     bool // it is proven that it never ran
}

// accept takes a client's request in hand. A request whose ID is in hand already is ignored.
func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	r := &request{
		id:           e.ID,
		class:        b.classes.find(e.Class),
		acceptedAt:   b.now,
		firstTriedAt: b.now,
		deadline:     e.Deadline,
		maxAttempts:  max(1, b.settings.MaxAttempts),
		costHint:     float64(e.CostHint),
		clientRetry:  e.ClientRetry,
		bodyPending:  e.StreamingBody,
	}
	b.requests[e.ID] = r
	b.detectClientRetry(r)
	b.classes.recordArrival(r.class)
	b.admit(r)
}

// detectClientRetry finds when the client first tried. Clients give all tries the same timeout unless the
// class's deadline, which runs over all of them, ends sooner: a shorter timeout tells how much is over.
func (b *Balancer) detectClientRetry(r *request) {
	timeout := r.deadline - b.now
	r.class.longestTimeout = max(r.class.longestTimeout, timeout)
	if b.settings.Tier == 0 && float64(timeout) < retryTimeoutFraction*float64(r.class.longestTimeout) {
		r.firstTriedAt = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// send starts the next attempt of a request.
func (b *Balancer) send(r *request, e *endpoint) {
	a := &attempt{
		request:  r,
		endpoint: e,
		number:   len(r.attempts),
		sentAt:   b.now,
		zone:     e.Zone,
		cell:     e.Cell,
	}
	if a.number == 0 {
		b.queue.recordServed()
	}
	r.attempts = append(r.attempts, a)
	r.activeAttempts++
	b.queue.remove(r)
	e.activeAttempts++
	e.warmupBudget--
	b.slowStart.recordSend(b.now, len(b.endpoints.ready))
	if !r.bodyPending { // the endpoint has nothing to do before the last byte
		b.awaitResponse(a)
	}
	b.limiter.charge(r.class, r.class.meanLatency, b.now)
	b.do(Send{ID: r.id, Endpoint: e.ID, Timeout: max(r.deadline-b.now, b.settings.Tick)})
}

// awaitResponse counts an attempt as one that the endpoint works on.
func (b *Balancer) awaitResponse(a *attempt) {
	a.endpoint.awaited = append(a.endpoint.awaited, a)
	b.outliers.addSuspect(a.endpoint)
	b.limiter.inFlight++
}

// bodySent starts the time of a request whose body was streamed.
func (b *Balancer) bodySent(e RequestBodySent) {
	a := b.activeAttempt(e.ID, e.Attempt)
	if a == nil || !a.request.bodyPending {
		return
	}
	r := a.request
	r.firstTriedAt += e.Deadline - r.deadline
	r.bodyPending = false
	r.deadline = e.Deadline
	a.sentAt = b.now
	b.awaitResponse(a)
}

// startResponse judges an attempt by the first bytes of its response: how long the rest takes is up to its
// reader. The request's other attempts are cancelled.
func (b *Balancer) startResponse(e ResponseStarted) {
	a := b.activeAttempt(e.ID, e.Attempt)
	if a == nil || a.responseStarted {
		return
	}
	b.finishAwaiting(a, Success)
	a.responseStarted, a.request.responseStarted = true, true
	for _, other := range a.request.attempts {
		if other != a {
			b.cancel(other)
		}
	}
	b.dispatchPending()
}

// endAttempt applies the outcome of an attempt, and retries or answers the request if no other is active.
func (b *Balancer) endAttempt(e Outcome) {
	a := b.activeAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	a.ended = true
	a.notExecuted = e.Result.provesNotExecuted()
	if e.BodyConsumed {
		r.maxAttempts = 0
	}
	r.activeAttempts--
	a.endpoint.activeAttempts--
	if !a.responseStarted {
		b.finishAwaiting(a, e.Result)
	} else if e.Result == Failure || e.Result == ConnectionLost {
		b.recordResult(a, e.Result)
	}
	b.endpoints.removeUnused(a.endpoint)
	switch {
	case e.RequestDone:
		b.finish(r)
	case !r.answered && r.activeAttempts == 0:
		b.retryOrAnswer(r)
	}
	b.forgetFinished(r)
	b.dispatchPending()
}

// finishAwaiting learns from the end of the wait for a response, and no longer counts the attempt as one that
// the endpoint works on.
func (b *Balancer) finishAwaiting(a *attempt, result Result) {
	// While an endpoint hangs, how long attempts wait there does not show how loaded the others are.
	unresponsive := b.outliers.unresponsive(a.endpoint, b.now)
	if a.endpoint.stopAwaiting(a) {
		if !unresponsive {
			b.adjustLimit(a, result)
		}
		b.limiter.inFlight--
	}
	b.recordResult(a, result)
	r := a.request
	if result == Success && !r.answered && b.now <= r.firstTriedAt+r.class.LatencyObjective {
		r.class.onTime++
	}
}

// activeAttempt finds an attempt that has not ended; nil: there is none.
func (b *Balancer) activeAttempt(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// cancel stops waiting for an attempt, if the host can.
func (b *Balancer) cancel(a *attempt) {
	if !a.ended && b.settings.Cancellation {
		b.do(Cancel{ID: a.request.id, Attempt: a.number})
	}
}

// clientDisconnected ends a request without an answer.
func (b *Balancer) clientDisconnected(e ClientDisconnected) {
	if r := b.requests[e.ID]; r != nil {
		b.finish(r)
	}
}

// rejectOrFail gives a final answer without a response: a Reject where a retry by the client does no harm,
// else a Fail. If a response is being forwarded, it is the answer.
func (b *Balancer) rejectOrFail(r *request) {
	if r.answered || r.responseStarted {
		return
	}
	if len(r.attempts) == 0 {
		b.queue.recordShed()
	}
	if r.rejectable() {
		// A client that is told to stay away for long comes back when its objective is mostly over, and its
		// late answer takes the capacity of one in time. The concurrency limit keeps the load off instead.
		b.do(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.do(Fail{ID: r.id})
	}
	b.finish(r)
}

// finish ends a request and cancels the attempts that are still active.
func (b *Balancer) finish(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.queue.remove(r)
	for _, a := range r.attempts {
		b.cancel(a)
	}
	b.forgetFinished(r)
}

// forgetFinished drops a request that is answered and has no active attempt.
func (b *Balancer) forgetFinished(r *request) {
	if r.answered && r.activeAttempts == 0 {
		delete(b.requests, r.id)
	}
}
