package balancer

import "time"

// retryTimeoutFraction is the fraction of a class's longest timeout below which the timeout of a
// request shows that it is a retry by its client.
const retryTimeoutFraction = 0.95

// request is an accepted request. It is kept until it is finished and its attempts have ended.
type request struct {
	id              string
	class           *classState
	acceptedAt      time.Duration
	firstTriedAt    time.Duration // estimated time of the client's first try
	deadline        time.Duration
	maxAttempts     int     // setting at the time of acceptance; zero once the request cannot be sent again
	costHint        float64 // in ns; zero if there is no hint
	clientRetry     bool    // marked by the client, or detected by the timeout
	bodyPending     bool    // the last byte of the streaming body has not been sent
	queued          bool    // it is in the pending queue
	attempts        []*attempt
	activeAttempts  int // at most 1
	responseStarted bool
	finished        bool
	timerAt         time.Duration // time of the last timer that was set; zero once it has fired
}

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	request         *request
	endpoint        *endpoint
	number          int
	dispatchedAt    time.Duration // time of the Send, from which idempotency keys are known
	sentAt          time.Duration // for a streaming body, the time of its last byte
	zone            string        // of the endpoint at the time of sending
	cell            int           // of the endpoint at the time of sending
	responseStarted bool
	ended           bool
	notExecuted     bool // the result proves that the attempt was not executed
}

// accept registers and admits a request. A request whose ID is already registered is ignored.
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

// detectClientRetry estimates when the client first tried. Clients use the same timeout for every
// try unless the deadline of the class, which covers all tries, is earlier. A shorter timeout
// therefore shows how much of the deadline has passed.
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
		request:      r,
		endpoint:     e,
		number:       len(r.attempts),
		dispatchedAt: b.now,
		sentAt:       b.now,
		zone:         e.Zone,
		cell:         e.Cell,
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
	if !r.bodyPending { // the endpoint cannot process the request before the last byte
		b.awaitResponse(a)
	}
	b.limiter.charge(r.class, r.class.meanLatency, b.now)
	b.emit(Send{ID: r.id, Endpoint: e.ID, Timeout: max(r.deadline-b.now, b.settings.Tick)})
}

// awaitResponse counts an attempt as being processed by its endpoint.
func (b *Balancer) awaitResponse(a *attempt) {
	a.endpoint.awaited = append(a.endpoint.awaited, a)
	b.outliers.addPossibleOutlier(a.endpoint)
	b.limiter.inFlight++
}

// bodySent sets the deadline of a request whose streaming body has been sent. The time until then
// does not count as latency. firstTriedAt moves by as much as the deadline, so that this time does not
// count against the latency objective either.
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

// startResponse records the result of an attempt when its response starts, because how long the
// rest takes depends on the client that reads it.
func (b *Balancer) startResponse(e ResponseStarted) {
	a := b.activeAttempt(e.ID, e.Attempt)
	if a == nil || a.responseStarted {
		return
	}
	b.finishAwaiting(a, Success)
	a.responseStarted, a.request.responseStarted = true, true
	// This cancels nothing, because the other attempts of the request have ended.
	for _, other := range a.request.attempts {
		if other != a {
			b.cancel(other)
		}
	}
	b.dispatchPending()
}

// endAttempt applies the outcome of an attempt. If the request has no final response yet, it is
// retried or finished.
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
	case !r.finished && r.activeAttempts == 0:
		b.retryOrFinish(r)
	}
	b.removeFinished(r)
	b.dispatchPending()
}

// finishAwaiting records the result of an attempt whose response is no longer awaited. The attempt
// no longer counts as being processed by its endpoint.
func (b *Balancer) finishAwaiting(a *attempt, result Result) {
	// While an endpoint hangs, the latency of its attempts does not show how loaded the others are.
	unresponsive := b.outliers.unresponsive(a.endpoint, b.now)
	if a.endpoint.stopAwaiting(a) {
		if !unresponsive {
			b.adjustLimit(a, result)
		}
		b.limiter.inFlight--
	}
	b.recordResult(a, result)
	r := a.request
	if result == Success && !r.finished && b.now <= r.firstTriedAt+r.class.LatencyObjective {
		r.class.onTime++
	}
}

// activeAttempt returns the attempt with this number, or nil if there is none or it has ended.
func (b *Balancer) activeAttempt(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// cancel stops waiting for an attempt if the host supports cancellation.
func (b *Balancer) cancel(a *attempt) {
	if !a.ended && b.settings.Cancellation {
		b.emit(Cancel{ID: a.request.id, Attempt: a.number})
	}
}

// clientDisconnected finishes a request without a final response.
func (b *Balancer) clientDisconnected(e ClientDisconnected) {
	if r := b.requests[e.ID]; r != nil {
		b.finish(r)
	}
}

// rejectOrFail finishes a request with a Reject if a retry by the client is safe, otherwise with a
// Fail. It has no effect if the response of an attempt is being forwarded.
func (b *Balancer) rejectOrFail(r *request) {
	if r.finished || r.responseStarted {
		return
	}
	if len(r.attempts) == 0 {
		b.queue.recordShed()
	}
	if b.rejectable(r) {
		// RetryAfter is at most one tick. A client that waits longer retries when most of its
		// objective has passed, and its late response uses capacity that other requests need. The
		// load stays low without a long wait, because of the concurrency limit.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.finish(r)
}

// finish marks a request as finished and cancels its active attempt.
func (b *Balancer) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	b.queue.remove(r)
	for _, a := range r.attempts {
		b.cancel(a)
	}
	b.removeFinished(r)
}

// removeFinished deletes a request that is finished and has no active attempts.
func (b *Balancer) removeFinished(r *request) {
	if r.finished && r.activeAttempts == 0 {
		delete(b.requests, r.id)
	}
}
