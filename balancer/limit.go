package balancer

import "time"

const (
	// initialLimitPerEndpoint is the initial concurrency limit per endpoint of the replica's fair
	// share.
	initialLimitPerEndpoint = 5.0
	// minLimitPerEndpoint is the minimum concurrency limit per endpoint of the replica's fair
	// share.
	minLimitPerEndpoint = 5.0
	// minInFlight is the number of attempts that may be in flight regardless of the limit. A lower
	// limit is enforced on average, by pacing.
	minInFlight = 2.0

	// Upper bounds of the latency utilization, absolute and as a multiple of the baseline.
	maxUtilization   = 0.6
	maxBaselineRatio = 1.6
	// initialUtilization is the initial value of all three utilization averages.
	initialUtilization = maxUtilization / 2

	// A new sample moves an average of the latency utilization by gain/n of the difference. n is the
	// number of responses that arrive while one attempt is in flight, plus noiseSamples to smooth
	// out noise.
	fastUtilizationGain = 2.0
	slowUtilizationGain = 0.5
	noiseSamples        = 16
	// baselineRecoveryGain is the fraction of the difference to the utilization by which the
	// baseline rises.
	baselineRecoveryGain = classSmoothing / 16

	// While the utilization is within its bound and the limit is in use, each response raises the
	// limit by limitIncrease, and by up to limitRecovery times as much in addition if the endpoints
	// are idle. While the utilization exceeds its bound, each response lowers the limit by
	// limitDecrease. Both amounts are multiplied by the limit if it is below one.
	limitIncrease = 0.02
	limitRecovery = 9
	limitDecrease = 0.1
	// limitUsedFraction is the share of the limit from which the limit counts as in use.
	limitUsedFraction = 0.8
	// maxRestoredMultiple bounds a restored limit to this multiple of the attempts in flight once
	// it proves too high.
	maxRestoredMultiple = 2
)

// concurrencyLimiter limits the attempts in flight so that endpoints are not overloaded. Overloaded
// endpoints remain slow, so excess requests must be queued or rejected here.
//
// It controls the mean latency utilization, which is the latency divided by the latency objective
// of the class. The baseline is the utilization without queueing at the endpoints, as measured
// while they were idle. A fixed bound instead of one relative to the baseline would either admit
// too few slow requests or overload endpoints that serve fast requests.
type concurrencyLimiter struct {
	limit       float64 // attempts in flight; zero until the first endpoint list arrives
	inFlight    int     // attempts being processed by endpoints: body sent, response not started
	unconfirmed bool    // the limit was restored from a snapshot and has not been lowered since

	utilization         float64 // fast moving average
	slowUtilization     float64 // moving average over four times as many responses
	baselineUtilization float64 // minimum of slowUtilization, with slow recovery

	pacing leakyBucket
}

func newConcurrencyLimiter() concurrencyLimiter {
	return concurrencyLimiter{
		utilization:         initialUtilization,
		slowUtilization:     initialUtilization,
		baselineUtilization: initialUtilization,
	}
}

// reached reports whether no further attempt may be started at the clock time now.
func (l *concurrencyLimiter) reached(now time.Duration) bool {
	return float64(l.inFlight) >= max(l.limit, minInFlight) || now < l.pacedUntil()
}

// adjust updates the limit with the latency of a response, a rejection or a timeout. floor is the
// minimum limit.
func (l *concurrencyLimiter) adjust(latency, objective time.Duration, result Result, floor float64) {
	utilization := float64(latency) / float64(objective)
	if result != Success {
		utilization = max(utilization, 1)
	}
	window := l.averagingWindow()
	l.recordUtilization(min(utilization, 1), window)
	l.updateBaseline(floor)

	// Only attempts are sampled. If shed requests lowered the bound, fewer attempts would be sent
	// and more requests shed, and the limit would stay at its floor long after the overload.
	bound := min(maxUtilization, maxBaselineRatio*l.baselineUtilization)
	if l.utilization > bound {
		l.decrease()
	} else if float64(l.inFlight+1) >= limitUsedFraction*l.limit {
		l.increase(bound, window)
	}
	// Requests whose service time takes up much of the objective look like overload. Without the
	// floor, the limit would fall until nothing is sent.
	l.limit = max(l.limit, floor)
}

// averagingWindow returns the number of responses that the utilization averages cover. While a
// restored limit is unconfirmed, it counts only as far as it is in use.
func (l *concurrencyLimiter) averagingWindow() float64 {
	if l.unconfirmed {
		return min(l.limit, float64(l.inFlight)) + noiseSamples
	}
	return l.limit + noiseSamples
}

// recordUtilization adds a sample to the fast and the slow average.
func (l *concurrencyLimiter) recordUtilization(sample, window float64) {
	l.utilization += fastUtilizationGain / window * (sample - l.utilization)
	l.slowUtilization += slowUtilizationGain / window * (sample - l.slowUtilization)
}

// updateBaseline lowers the baseline to the slow average. The fast average covers so few responses
// that its minimum is mostly noise. The baseline rises only while this replica sends no more than
// the floor. Above the floor, a higher latency may be caused by the replica's own load, and the
// bound would rise with the overload until all endpoints fail.
func (l *concurrencyLimiter) updateBaseline(floor float64) {
	l.baselineUtilization = min(l.baselineUtilization, l.slowUtilization)
	if l.limit <= floor || floor >= minInFlight && float64(l.inFlight) < floor {
		recovered := l.baselineUtilization + baselineRecoveryGain*(l.utilization-l.baselineUtilization)
		l.baselineUtilization = min(l.slowUtilization, recovered)
	}
}

// decrease lowers the limit after a response while the utilization exceeds its bound.
func (l *concurrencyLimiter) decrease() {
	l.limit -= limitDecrease * min(1, l.limit)
	if l.unconfirmed { // nothing shows that endpoints can handle much more than is in flight
		l.unconfirmed = false
		l.limit = min(l.limit, maxRestoredMultiple*float64(l.inFlight))
	}
}

// increase raises the limit after a response while the utilization is within its bound. The step
// becomes smaller as the utilization approaches the bound, because attempts admitted a moment ago
// affect the utilization only when their responses arrive. The limit rises no faster than the
// averages can follow, which takes many times the latency while few attempts are in flight.
func (l *concurrencyLimiter) increase(bound, window float64) {
	recovery := limitRecovery * l.limit / window * (1 - l.utilization/max(bound, 1e-9))
	l.limit += limitIncrease * min(1, l.limit) * (1 + recovery)
}

// rescaleUtilization multiplies the averages by numerator/denominator when latency objectives
// change.
func (l *concurrencyLimiter) rescaleUtilization(numerator, denominator float64) {
	for _, average := range []*float64{&l.utilization, &l.slowUtilization, &l.baselineUtilization} {
		*average = min(1, *average*numerator/denominator)
	}
}

// leakyBucket paces a replica whose limit is below minInFlight. Its level is the time, in ns, for
// which attempts occupy endpoints beyond what the limit allows. It drains at the rate of the limit.
type leakyBucket struct {
	level     float64 // negative if the replica was idle and may send at once
	updatedAt time.Duration
}

// charge adds the time, in ns, for which an attempt of class c occupies an endpoint. Many replicas
// with one or two attempts each would together overload the endpoints, so a limit below minInFlight
// is enforced on average. A replica that has sent minInFlight attempts at once pauses until its
// limit would have allowed them at their mean latency.
func (l *concurrencyLimiter) charge(c *classState, occupied float64, now time.Duration) {
	leaked := l.limit * float64(now-l.pacing.updatedAt)
	minLevel := -minInFlight * c.meanLatency
	l.pacing.level = max(l.pacing.level-leaked, minLevel) + occupied
	l.pacing.updatedAt = now
	if l.limit >= minInFlight {
		// The number of attempts in flight is decisive at this limit. Earlier charges must not
		// delay attempts after the limit has fallen.
		l.pacing.level = 0
	}
}

// pacedUntil returns the clock time before which pacing allows no further attempt, or zero if the
// limit is not enforced by pacing.
func (l *concurrencyLimiter) pacedUntil() time.Duration {
	if l.limit >= minInFlight {
		return 0
	}
	return l.pacing.updatedAt + time.Duration(l.pacing.level/l.limit)
}

// adjustLimit updates the limit when the wait for an attempt's response ends. Only the first tier
// limits concurrency, because a rejection in a deeper tier would waste the work done in the tiers
// above.
func (b *Balancer) adjustLimit(a *attempt, result Result) {
	switch result {
	case Cancelled, NotSent, Failure, ConnectionLost: // these results do not indicate overload
		return
	}
	if b.settings.Tier > 0 {
		return
	}
	floor := minLimitPerEndpoint * b.endpoints.perReplica()
	b.limiter.adjust(b.now-a.sentAt, a.request.class.LatencyObjective, result, floor)
}

// setInitialLimit sets the initial limit once the number of endpoints is known.
func (b *Balancer) setInitialLimit() {
	perReplica := b.endpoints.perReplica()
	limit := initialLimitPerEndpoint * perReplica
	if b.restored != nil && b.restored.limitPerEndpoint > 0 {
		b.limiter.unconfirmed = true
		limit = max(limit, limit+b.restored.weight*(b.restored.limitPerEndpoint*perReplica-limit))
	}
	b.limiter.limit = limit
}
