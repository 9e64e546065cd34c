package balancer

import "time"

const (
	// The initial concurrency limit is initialLimitPerEndpoint times the number of ready endpoints
	// per replica.
	initialLimitPerEndpoint = 5.0
	// The minimum concurrency limit is minLimitPerEndpoint times the number of ready endpoints per
	// replica.
	minLimitPerEndpoint = 5.0
	// A limit below minInFlight is enforced on average, by pacing. Up to minInFlight attempts may
	// then be in flight at once.
	minInFlight = 2.0

	// The latency utilization is the latency divided by the latency objective. Its upper bounds are
	// maxUtilization and maxBaselineRatio times the baseline.
	maxUtilization   = 0.6
	maxBaselineRatio = 1.6
	// initialUtilization is the initial value of all three utilization averages.
	initialUtilization = maxUtilization / 2

	// A new sample moves an average of the latency utilization by gain/n of the difference. n is the
	// concurrency limit plus noiseSamples. About as many responses as the limit arrive while one
	// attempt is in flight. noiseSamples smooths out noise.
	fastUtilizationGain = 2.0
	slowUtilizationGain = 0.5
	noiseSamples        = 16
	// baselineRecoveryGain is the fraction of the difference to the utilization by which the
	// baseline rises.
	baselineRecoveryGain = classSmoothing / 16

	// While the utilization is within its bound and the limit is in use, each response raises the
	// limit by limitIncrease. It raises the limit by up to limitRecovery times as much in addition;
	// the addition falls to zero as the utilization reaches its bound. While the utilization exceeds
	// its bound, each response lowers the limit by limitDecrease. All amounts are multiplied by the
	// limit if it is below one.
	limitIncrease = 0.02
	limitRecovery = 9
	limitDecrease = 0.1
	// limitUsedFraction is the share of the limit from which the limit counts as in use.
	limitUsedFraction = 0.8
	// Once the utilization exceeds its bound, a restored limit falls to at most maxRestoredMultiple
	// times the number of attempts in flight.
	maxRestoredMultiple = 2
)

// concurrencyLimiter limits the attempts in flight so that endpoints are not overloaded. Overloaded
// endpoints remain slow, so excess requests must be queued or rejected here.
//
// It controls the mean latency utilization, which is the latency divided by the latency objective
// of the class. The baseline estimates the utilization without queueing at the endpoints; see
// updateBaseline. A fixed bound instead of one relative to the baseline would either admit too few
// slow requests or overload endpoints that serve fast requests.
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

	// Requests that are shed do not change the limit. If they lowered it, fewer attempts would be
	// sent and more requests shed, and the limit would stay at its floor long after the overload.
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

// averagingWindow returns the number by which the gains of the averages are divided. It is the limit
// plus noiseSamples. While a restored limit is unconfirmed, the number of attempts in flight replaces
// a higher limit.
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
// averages can follow. While few attempts are in flight, the averages need many times the latency to
// follow.
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

// leakyBucket paces a replica whose limit is below minInFlight. Its level is the endpoint time, in
// ns, that attempts use in excess of the limit. Each attempt adds the time for which it occupies an
// endpoint. In every ns, the level falls by the limit.
type leakyBucket struct {
	level     float64 // negative if the replica was idle and may send at once
	updatedAt time.Duration
}

// charge adds the time, in ns, for which an attempt of class c occupies an endpoint. Many replicas
// with one or two attempts each would together overload the endpoints, so a limit below minInFlight
// is enforced on average. No first attempt is sent while the level is above zero. An idle replica
// saves the time of up to minInFlight attempts.
func (l *concurrencyLimiter) charge(c *classState, occupied float64, now time.Duration) {
	leaked := l.limit * float64(now-l.pacing.updatedAt)
	minLevel := -minInFlight * c.meanLatency
	l.pacing.level = max(l.pacing.level-leaked, minLevel) + occupied
	l.pacing.updatedAt = now
	if l.limit >= minInFlight {
		// At this limit, the number of attempts in flight is limited directly. Earlier charges must
		// not delay attempts after the limit has fallen.
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
