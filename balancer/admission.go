package balancer

import (
	"slices"
	"time"
)

const (
	// shedSmoothing is the weight of a new sample in the share of requests that are shed.
	shedSmoothing = classSmoothing / 4
	// likelyDeviations is how many mean deviations above the mean latency an answer is still likely to take.
	likelyDeviations = 2
	// minQueueTimeDivisor makes the least time in the queue that fraction of the latency objective.
	minQueueTimeDivisor = 4
)

// pendingQueue holds requests that wait for an attempt, in the order in which they were enqueued.
type pendingQueue struct {
	requests []*request
	shedRate float64 // decayed share of requests that are answered without an attempt
}

// add enqueues a request, unless it is queued already.
func (q *pendingQueue) add(r *request) {
	if !r.queued {
		r.queued = true
		q.requests = append(q.requests, r)
	}
}

// remove takes a request out of the queue, if it is there.
func (q *pendingQueue) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = append(q.requests[:i], q.requests[i+1:]...)
	}
}

// recordShed counts a request that is answered without an attempt.
func (q *pendingQueue) recordShed() { q.shedRate += shedSmoothing * (1 - q.shedRate) }

// recordServed counts a request that gets its first attempt.
func (q *pendingQueue) recordServed() { q.shedRate -= shedSmoothing * q.shedRate }

// admit sends the first attempt of a request, or enqueues the request while none may be sent.
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

// mustQueue reports whether no first attempt may be sent now: no endpoint is ready or, on the first tier,
// the concurrency limit is reached.
func (b *Balancer) mustQueue() bool {
	if len(b.endpoints.ready) == 0 {
		return true
	}
	return b.settings.Tier == 0 && b.limiter.reached(b.now)
}

// enqueue keeps a request pending, or answers it if waiting makes no sense. Its timer makes sure that it is
// answered.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		b.rejectOrFail(r)
		return
	}
	b.queue.add(r)
	b.setRequestTimer(r, b.nextReview(r))
}

// reviewPending answers a request whose time in the queue is over, or tries to dispatch it.
func (b *Balancer) reviewPending(r *request) {
	if r.answered || r.responseStarted || !r.queued {
		return
	}
	if b.now >= b.queueDeadline(r) {
		b.rejectOrFail(r)
		return
	}
	b.dispatchPending()
	if r.queued {
		b.setRequestTimer(r, b.nextReview(r))
	}
}

// nextReview is when a pending request is looked at again, if nothing else happens.
func (b *Balancer) nextReview(r *request) time.Duration {
	deadline := b.queueDeadline(r)
	if paced := b.limiter.pacedUntil(); b.now < paced {
		return min(paced, deadline)
	}
	return deadline
}

// queueDeadline is when a pending request is rejected: when its answer may well miss the latency objective,
// as late answers take the capacity of those in time. While no endpoint is ready, a late answer is the best
// there can be. In any case the client is answered before half of its time is over, while a retry of its own
// still makes sense.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	latest := r.acceptedAt + (r.deadline-r.acceptedAt)/2 - 2*b.settings.Tick
	if len(b.endpoints.ready) == 0 {
		return latest
	}
	c := r.class
	likelyLatency := time.Duration(c.meanLatency + likelyDeviations*c.latencyDeviation)
	wait := max(c.LatencyObjective/minQueueTimeDivisor, c.LatencyObjective-likelyLatency)
	return min(latest, r.firstTriedAt+wait)
}

// dispatchPending sends pending requests while the limit allows it, those of the highest priority first.
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
