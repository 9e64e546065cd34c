package balancer

import "time"

const (
	// initialLimitPerEndpoint is the concurrency limit before anything is known, for each endpoint of the
	// replica's fair share.
	initialLimitPerEndpoint = 5.0
	// minLimitPerEndpoint is the least concurrency limit, for each endpoint of the replica's fair share.
	minLimitPerEndpoint = 5.0
	// minInFlight is how many attempts may be in flight whatever the limit; a lower limit is kept on the
	// average, by pacing.
	minInFlight = 2.0

	// Bounds on the latency utilization: as such, and as a multiple of the baseline.
	maxUtilization   = 0.6
	maxBaselineRatio = 1.6
	// initialUtilization stands for all three averages before the first answer.
	initialUtilization = maxUtilization / 2

	// An average of the latency utilization moves by gain/n of its difference to a new sample. n is the
	// number of answers that come while one attempt is in flight, and noiseAnswers more to smooth out noise.
	fastUtilizationGain = 2.0
	slowUtilizationGain = 0.5
	noiseAnswers        = 16
	// baselineRecoveryGain is the share of the difference to the utilization by which the baseline rises.
	baselineRecoveryGain = classSmoothing / 16

	// limitIncrease is gained by an answer in good time if the limit is in use, and up to limitRecovery times
	// as much on top while the endpoints are idle; limitDecrease is lost by a late answer. Under a limit of
	// one they count in proportion to it.
	limitIncrease = 0.02
	limitRecovery = 9
	limitDecrease = 0.1
	// limitUsedFraction is the share of the limit at which it counts as in use.
	limitUsedFraction = 0.8
	// maxRestoredMultiple bounds a restored limit to so many times the attempts in flight, once it proves too
	// high.
	maxRestoredMultiple = 2
)

// concurrencyLimiter bounds the attempts in flight so that endpoints are not overloaded: overloaded ones
// stay slow, so the excess must wait or be rejected here.
//
// It controls the mean latency utilization, which is the latency divided by the class's latency objective.
// The baseline is the utilization by the work alone, without waiting, as seen while the endpoints were idle.
// A fixed bound instead of the baseline would either starve slow work or overload the endpoints of quick
// work.
type concurrencyLimiter struct {
	limit       float64 // attempts in flight; 0: no endpoint list has come yet
	inFlight    int     // attempts that endpoints work on: body sent, response not started
	unconfirmed bool    // the limit was restored from a snapshot and has not proved too high so far

	utilization         float64 // fast average
	slowUtilization     float64 // over four times as many answers
	baselineUtilization float64 // least slowUtilization, forgetting slowly

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

// adjust moves the limit by an answer, or a rejection or timeout, that took latency. floor is the least
// limit.
func (l *concurrencyLimiter) adjust(latency, objective time.Duration, result Result, floor float64) {
	utilization := float64(latency) / float64(objective)
	if result != Success {
		utilization = max(utilization, 1)
	}
	answers := l.answersInFlight()
	l.recordUtilization(min(utilization, 1), answers)
	l.updateBaseline(floor)

	// Only attempts are sampled. If shed requests lowered the bound, less would be sent and more shed, and
	// the limit would stay at its floor long after the overload.
	bound := min(maxUtilization, maxBaselineRatio*l.baselineUtilization)
	if l.utilization > bound {
		l.decrease()
	} else if float64(l.inFlight+1) >= limitUsedFraction*l.limit {
		l.increase(bound, answers)
	}
	// The floor keeps work that fills much of the objective by itself from being taken for overload until
	// nothing is sent.
	l.limit = max(l.limit, floor)
}

// answersInFlight is how many answers come while one attempt is in flight, and some against noise.
func (l *concurrencyLimiter) answersInFlight() float64 {
	if l.unconfirmed {
		return min(l.limit, float64(l.inFlight)) + noiseAnswers
	}
	return l.limit + noiseAnswers
}

// recordUtilization adds a sample to the fast and the slow average.
func (l *concurrencyLimiter) recordUtilization(sample, answers float64) {
	l.utilization += fastUtilizationGain / answers * (sample - l.utilization)
	l.slowUtilization += slowUtilizationGain / answers * (sample - l.slowUtilization)
}

// updateBaseline lowers the baseline to the slow average, as the least of a mean of few answers is mostly
// noise. It rises only while this replica sends no more than the floor: elsewhere a higher latency may be
// the replica's own load, and the bound would rise with the overload until all endpoints fail.
func (l *concurrencyLimiter) updateBaseline(floor float64) {
	l.baselineUtilization = min(l.baselineUtilization, l.slowUtilization)
	if l.limit <= floor || floor >= minInFlight && float64(l.inFlight) < floor {
		recovered := l.baselineUtilization + baselineRecoveryGain*(l.utilization-l.baselineUtilization)
		l.baselineUtilization = min(l.slowUtilization, recovered)
	}
}

// decrease lowers the limit by a late answer.
func (l *concurrencyLimiter) decrease() {
	l.limit -= limitDecrease * min(1, l.limit)
	if l.unconfirmed { // nothing shows that a restored limit bears much more than is in flight now
		l.unconfirmed = false
		l.limit = min(l.limit, maxRestoredMultiple*float64(l.inFlight))
	}
}

// increase raises the limit by an answer in good time, the less the nearer the utilization is to its bound:
// attempts that were admitted a moment ago show only when their answers come. It is no faster than the
// averages can tell, which take many latencies while few attempts are in flight.
func (l *concurrencyLimiter) increase(bound, answers float64) {
	recovery := limitRecovery * l.limit / answers * (1 - l.utilization/max(bound, 1e-9))
	l.limit += limitIncrease * min(1, l.limit) * (1 + recovery)
}

// rescaleUtilization multiplies the averages by numerator/denominator, for other latency objectives.
func (l *concurrencyLimiter) rescaleUtilization(numerator, denominator float64) {
	for _, average := range []*float64{&l.utilization, &l.slowUtilization, &l.baselineUtilization} {
		*average = min(1, *average*numerator/denominator)
	}
}

// leakyBucket paces a replica whose limit is below minInFlight. It holds the time, in ns, that attempts
// occupy endpoints beyond what the limit allows, and leaks at the rate of the limit.
type leakyBucket struct {
	level     float64 // below 0: a replica that was idle may send at once
	updatedAt time.Duration
}

// charge adds time, in ns, that an attempt of class c occupies an endpoint. Many replicas with an attempt or
// two each overload the endpoints together, so a limit below minInFlight is kept on the average: a replica
// that has sent minInFlight attempts at once pauses until its limit would have allowed them for their mean
// latency.
func (l *concurrencyLimiter) charge(c *classState, occupied float64, now time.Duration) {
	leaked := l.limit * float64(now-l.pacing.updatedAt)
	lowest := -minInFlight * c.meanLatency
	l.pacing.level = max(l.pacing.level-leaked, lowest) + occupied
	l.pacing.updatedAt = now
	if l.limit >= minInFlight {
		// The count decides; what was charged then must not stop a replica whose limit shrinks.
		l.pacing.level = 0
	}
}

// pacedUntil is the clock time before which pacing allows no further attempt.
func (l *concurrencyLimiter) pacedUntil() time.Duration {
	if l.limit >= minInFlight {
		return 0
	}
	return l.pacing.updatedAt + time.Duration(l.pacing.level/l.limit)
}

// adjustLimit learns from the end of the wait for an attempt's response. Only the first tier limits
// concurrency: a rejection further down would waste what was done above it.
func (b *Balancer) adjustLimit(a *attempt, result Result) {
	switch result {
	case Cancelled, NotSent, Failure, ConnectionLost: // they show something else than overload
		return
	}
	if b.settings.Tier > 0 {
		return
	}
	floor := minLimitPerEndpoint * b.endpoints.perReplica()
	b.limiter.adjust(b.now-a.sentAt, a.request.class.LatencyObjective, result, floor)
}

// setInitialLimit sets the limit that a Balancer begins with, once it knows how many endpoints there are.
func (b *Balancer) setInitialLimit() {
	perReplica := b.endpoints.perReplica()
	limit := initialLimitPerEndpoint * perReplica
	if b.restored != nil && b.restored.limitPerEndpoint > 0 {
		b.limiter.unconfirmed = true
		limit = max(limit, limit+b.restored.trust*(b.restored.limitPerEndpoint*perReplica-limit))
	}
	b.limiter.limit = limit
}
