package balancer

import (
	"slices"
	"time"
)

const (
	// shedSmoothing is the weight of a new sample in the moving average of the shed rate.
	shedSmoothing = classSmoothing / 4
	// latencyMarginDeviations is the number of mean deviations that are added to the mean latency
	// to estimate how long an attempt is likely to take.
	latencyMarginDeviations = 2
	// The latency objective divided by minQueueTimeDivisor is the minimum of the time limit that
	// queueDeadline derives from the objective.
	minQueueTimeDivisor = 4
)

// pendingQueue holds the requests that wait for their first attempt, in the order in which they
// were enqueued.
type pendingQueue struct {
	requests []*request
	shedRate float64 // moving average of the share of requests that are rejected without an attempt
}

// add enqueues a request unless it is already queued.
func (q *pendingQueue) add(r *request) {
	if !r.queued {
		r.queued = true
		q.requests = append(q.requests, r)
	}
}

// remove removes a request from the queue if it is queued.
func (q *pendingQueue) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = append(q.requests[:i], q.requests[i+1:]...)
	}
}

// recordShed records a request that is rejected without an attempt.
func (q *pendingQueue) recordShed() { q.shedRate += shedSmoothing * (1 - q.shedRate) }

// recordServed records a request that gets its first attempt.
func (q *pendingQueue) recordServed() { q.shedRate -= shedSmoothing * q.shedRate }

// admit sends the first attempt of a request, or enqueues the request if no attempt may be sent
// now.
func (b *Balancer) admit(r *request) {
	if b.mustQueue() {
		b.enqueue(r)
		return
	}
	e := b.selectEndpoint(r)
	if e == nil {
		b.enqueue(r)
		return
	}
	b.send(r, e)
}

// mustQueue reports whether no first attempt may be sent now, either because no endpoint is ready
// or, on the first tier, because the concurrency limit is reached.
func (b *Balancer) mustQueue() bool {
	if len(b.endpoints.ready) == 0 {
		return true
	}
	return b.settings.Tier == 0 && b.limiter.reached(b.now)
}

// enqueue adds a request to the queue and sets a timer that limits its time there. If that time is
// already over, it rejects the request. It never fails the request, because no attempt was sent.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		b.rejectOrFail(r)
		return
	}
	b.queue.add(r)
	b.setRequestTimer(r, b.nextRecheck(r))
}

// recheckPending rejects a queued request whose time in the queue is over. Otherwise it dispatches
// pending requests and, if this request is still queued, sets another timer for it.
func (b *Balancer) recheckPending(r *request) {
	if r.finished || r.responseStarted || !r.queued {
		return
	}
	if b.now >= b.queueDeadline(r) {
		b.rejectOrFail(r)
		return
	}
	b.dispatchPending()
	if r.queued {
		b.setRequestTimer(r, b.nextRecheck(r))
	}
}

// nextRecheck returns the time at which a pending request is checked again if no other event leads
// to its dispatch.
func (b *Balancer) nextRecheck(r *request) time.Duration {
	deadline := b.queueDeadline(r)
	if paced := b.limiter.pacedUntil(); b.now < paced {
		return min(paced, deadline)
	}
	return deadline
}

// queueDeadline returns the time at which a pending request is rejected. A request is rejected once
// its response is likely to miss the latency objective, but not before a quarter of the objective
// has passed since the first try. A late response uses capacity that other requests need to meet their
// objectives.
//
// While no endpoint is ready, the objective does not apply, because a late response is then the best
// possible result. In every case the returned time is before half of the timeout has passed, so that
// the client still has time to retry.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	latest := r.acceptedAt + (r.deadline-r.acceptedAt)/2 - 2*b.settings.Tick
	if len(b.endpoints.ready) == 0 {
		return latest
	}
	c := r.class
	likelyLatency := time.Duration(c.meanLatency + latencyMarginDeviations*c.latencyDeviation)
	wait := max(c.LatencyObjective/minQueueTimeDivisor, c.LatencyObjective-likelyLatency)
	return min(latest, r.firstTriedAt+wait)
}

// dispatchPending sends pending requests in descending order of priority while the concurrency
// limit allows it.
func (b *Balancer) dispatchPending() {
	for tries := len(b.queue.requests); tries > 0; tries-- {
		if len(b.queue.requests) == 0 || b.mustQueue() {
			return
		}
		r := b.highestPriority(b.queue.requests)
		e := b.selectEndpoint(r)
		if e == nil {
			return
		}
		b.send(r, e)
	}
}
