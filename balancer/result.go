package balancer

import "time"

// recordResult learns from the result of an attempt: the class's latency, the retry budget, and how its
// endpoint does in comparison with the others.
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
		b.limiter.charge(c, latency, b.now) // the endpoint may still be working on it
		b.outliers.recordFailure(e, c, b.now)
	case Overloaded, Unreachable:
		b.recordRejection(e, c)
	case Cancelled:
		if latency > c.overdueAfter() {
			b.recordLatency(e, a.request, latency)
		}
	case NotSent: // it shows nothing
	}
}

// recordRejection limits an endpoint that rejected an attempt to the attempts that it had, for a time that
// doubles with each rejection in a row. Rejections come at once, so the endpoint would else win every pick.
func (b *Balancer) recordRejection(e *endpoint, c *classState) {
	e.rejectionLimit = e.activeAttempts
	jitter := 0.5 + b.random.Float64() // one on the average
	wait := time.Duration(jitter * ejectionLatencies * c.meanLatency)
	e.rejectionLimitUntil = b.now + wait<<e.consecutiveRejections
	e.consecutiveRejections = min(e.consecutiveRejections+1, maxEjectionLevel)
}
