package balancer

import "math"

const (
	// minBalancedLimit is the minimum of balancedLimit. A limit of one would skip endpoints with a
	// single active attempt before the pick can compare them with idle ones.
	minBalancedLimit = 2
	// The sampling weight of a slow endpoint is divided by its relative latency to the power of
	// slownessExponent.
	slownessExponent = 2.0
)

// attemptLimit returns the number of this replica's active attempts at which an endpoint is
// skipped.
type attemptLimit func(*endpoint) int

// candidates returns the ready endpoints that the next attempt of a request may be sent to. A
// candidate is within the scope of the request's idempotency key, has not been tried by the
// request, is not excluded as an outlier and is sufficiently warm. Endpoints that are busier than
// others are skipped unless no others remain. The replica's subset is preferred to the rest of the
// list. If no endpoint qualifies, a first attempt may be sent to an idle endpoint that is warming
// up.
func (b *Balancer) candidates(r *request) []*endpoint {
	f := candidateFilter{
		b:        b,
		request:  r,
		excluded: b.excludedEndpoints(r),
		scarce:   b.warmCapacityScarce(),
	}
	var warmingUp []*endpoint
	for _, from := range [][]*endpoint{b.endpoints.subset, b.endpoints.ready} {
		for _, limit := range []attemptLimit{b.balancedLimit, b.rejectionLimit, unlimited} {
			preferred, idle := f.apply(from, limit)
			if preferred != nil {
				return preferred
			}
			if warmingUp == nil {
				warmingUp = idle
			}
		}
		f.beyondSubset = true
	}
	return warmingUp
}

// candidateFilter holds the conditions that an endpoint must meet to be a candidate for one
// request.
type candidateFilter struct {
	b            *Balancer
	request      *request
	excluded     map[*endpoint]bool
	scarce       bool // result of warmCapacityScarce
	beyondSubset bool // the endpoints are taken from the whole list
}

// apply returns the endpoints that meet the conditions and are selected by random sampling. If
// sampling selects none, it returns the warm ones that it skipped. For a first attempt, apply also
// returns the idle endpoints that are warming up and were skipped only by sampling.
func (f *candidateFilter) apply(from []*endpoint, limit attemptLimit) (preferred, warmingUp []*endpoint) {
	var skipped []*endpoint // warm, but skipped by random sampling
	for _, e := range from {
		if !f.eligible(e, limit) {
			continue
		}
		warm := f.b.slowStart.warmFraction(e, f.b.now) == 1
		if !warm && f.scarce && !f.withinBudget(e) {
			continue
		}
		switch {
		case f.b.sampleByWarmup(e) && f.b.sampleByWeight(e):
			preferred = append(preferred, e)
		case warm:
			skipped = append(skipped, e)
		case e.activeAttempts == 0 && len(f.request.attempts) == 0:
			warmingUp = append(warmingUp, e)
		}
	}
	if preferred == nil {
		preferred = skipped
	}
	return preferred, warmingUp
}

// eligible reports whether an endpoint meets the conditions that do not depend on random sampling.
func (f *candidateFilter) eligible(e *endpoint, limit attemptLimit) bool {
	return !f.excluded[e] && e.activeAttempts < limit(e) && f.request.inScope(e) && !f.request.tried(e)
}

// withinBudget reports whether an endpoint that is warming up may be used while warm capacity is
// scarce. An endpoint outside the subset may not, because its budget is divided among the replicas
// whose subsets contain it.
func (f *candidateFilter) withinBudget(e *endpoint) bool {
	return !f.beyondSubset && f.b.withinWarmupBudget(e, f.request.class)
}

// sampleByWeight reports whether random sampling selects an endpoint. The probability is proportional
// to the weight of the endpoint. If its latency is higher than expected, the probability is also
// divided by the square of latency / expected latency. Uniform sampling would overload endpoints that
// are small, busy with other work or stalling.
func (b *Balancer) sampleByWeight(e *endpoint) bool {
	effectiveWeight := b.endpoints.weight(e) * math.Exp(-slownessExponent*max(0, e.slowness))
	return b.random.Float64()*b.endpoints.maxWeight < effectiveWeight
}

// balancedLimit returns one more than the number of attempts in flight per endpoint of the subset,
// rounded down. The result is at least minBalancedLimit and at most rejectionLimit. Uniform sampling
// occasionally selects the same few endpoints twice, which overloads them when several replicas do so
// at the same time.
func (b *Balancer) balancedLimit(e *endpoint) int {
	mean := b.limiter.inFlight / max(1, len(b.endpoints.subset))
	return min(b.rejectionLimit(e), max(minBalancedLimit, 1+mean))
}

// rejectionLimit returns the number of active attempts that an endpoint had when it recently
// rejected another one, because its queue is full or its connection table is full of idle
// connections of other replicas. The endpoint is not faulty, so the bound on excluded endpoints does
// not apply. Without a recent rejection there is no limit.
func (b *Balancer) rejectionLimit(e *endpoint) int {
	if b.now < e.rejectionLimitUntil {
		return e.rejectionLimit
	}
	return math.MaxInt
}

// unlimited is the attemptLimit that applies when all endpoints have reached the other limits.
func unlimited(*endpoint) int { return math.MaxInt }
