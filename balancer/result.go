package balancer

import "time"

// recordResult records the result of an attempt in the latency of the class, the retry budget and
// the history of the endpoint. A timeout is also charged to the pacing of the limiter.
func (b *Balancer) recordResult(a *attempt, result Result) {
	e, c := a.endpoint, a.request.class
	latency := float64(b.now - a.sentAt)
	switch result {
	case Success:
		b.retries.earn()
		b.recordLatency(e, a.request, latency)
		c.recordLatency(latency, a.request.costHint)
		b.outliers.recordSuccess(e, b.now)
	case Failure, ConnectionLost:
		b.outliers.recordFailure(e, c, b.now)
	case TimedOut:
		b.limiter.charge(c, latency, b.now) // the endpoint may still be processing the request
		b.outliers.recordFailure(e, c, b.now)
	case Overloaded, Unreachable:
		b.recordRejection(e, c)
	case Cancelled: // the latency so far is a lower bound, which counts only if it is already overdue
		if latency > c.overdueAfter() {
			b.recordLatency(e, a.request, latency)
		}
	case NotSent: // indicates nothing about the endpoint
	}
}

// recordRejection limits an endpoint that rejected an attempt to the attempts that it still has,
// for a duration that doubles with each consecutive rejection. Rejections arrive immediately, so
// the endpoint would otherwise have the fewest active attempts and win every pick.
func (b *Balancer) recordRejection(e *endpoint, c *classState) {
	e.rejectionLimit = e.activeAttempts
	jitter := 0.5 + b.random.Float64() // 1 on average
	wait := time.Duration(jitter * ejectionLatencies * c.meanLatency)
	e.rejectionLimitUntil = b.now + wait<<e.consecutiveRejections
	e.consecutiveRejections = min(e.consecutiveRejections+1, maxEjectionLevel)
}
