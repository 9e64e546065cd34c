package balancer

import "math"

const (
	// minBalancedLimit is the least number of own active attempts at which an endpoint is passed over in
	// favor of others. It is above one so that the pick, not a search for idle endpoints, decides between
	// none and one.
	minBalancedLimit = 2
	// slownessExponent is the power of an endpoint's slowness by which it is drawn less often.
	slownessExponent = 2.0
)

// attemptLimit returns the number of own active attempts at which an endpoint is passed over.
type attemptLimit func(*endpoint) int

// candidates returns the ready endpoints that the next attempt of a request may go to: those within the
// scope of its idempotency key that it has not tried, not excluded as outliers, warm enough and, as long as
// that leaves any, not busier than the others. The replica's subset comes before the whole list. If there is
// no other, a first attempt may go to an idle endpoint that is warming up.
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

// candidateFilter holds what decides whether an endpoint may be drawn for one request.
type candidateFilter struct {
	b            *Balancer
	request      *request
	excluded     map[*endpoint]bool
	scarce       bool // warm capacity is scarce
	beyondSubset bool // endpoints come from the whole list
}

// apply returns the preferred endpoints, and apart from them the idle ones that are warming up and were
// only passed over by their draw.
func (f *candidateFilter) apply(from []*endpoint, limit attemptLimit) (preferred, warmingUp []*endpoint) {
	var skipped []*endpoint // warm, but passed over by their draw
	for _, e := range from {
		if !f.eligible(e, limit) {
			continue
		}
		warm := f.b.slowStart.warmFraction(e, f.b.now) == 1
		if !warm && f.scarce && !f.withinBudget(e) {
			continue
		}
		switch {
		case f.b.drawWarm(e) && f.b.drawByWeight(e):
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

// eligible applies the conditions that no draw decides.
func (f *candidateFilter) eligible(e *endpoint, limit attemptLimit) bool {
	return !f.excluded[e] && e.activeAttempts < limit(e) && f.request.inScope(e) && !f.request.tried(e)
}

// withinBudget reports whether an endpoint which is warming up may be drawn while warm capacity is scarce.
// Beyond the subset none may, because other replicas count on those.
func (f *candidateFilter) withinBudget(e *endpoint) bool {
	return !f.beyondSubset && f.b.withinWarmupBudget(e, f.request.class)
}

// drawByWeight reports true with the probability that makes draws proportional to an endpoint's weight and,
// if its answers take longer than others', to its speed: uniform draws would overload endpoints that are
// small, busy with other work or stalling.
func (b *Balancer) drawByWeight(e *endpoint) bool {
	effectiveWeight := b.endpoints.weight(e) * math.Exp(-slownessExponent*max(0, e.slowness))
	return b.random.Float64()*b.endpoints.maxWeight < effectiveWeight
}

// balancedLimit is just above the subset's mean. Uniform draws now and then meet the same few endpoints
// twice, and attempts of several replicas that coincide there overload them.
func (b *Balancer) balancedLimit(e *endpoint) int {
	mean := b.limiter.inFlight / max(1, len(b.endpoints.subset))
	return min(b.rejectionLimit(e), max(minBalancedLimit, 1+mean))
}

// rejectionLimit is the number at which an endpoint rejected one more a while ago: its queue or its
// connection table, in which other replicas hold idle connections, is full. It is not faulty, so the bound on
// excluded endpoints does not apply.
func (b *Balancer) rejectionLimit(e *endpoint) int {
	if b.now < e.rejectionLimitUntil {
		return e.rejectionLimit
	}
	return math.MaxInt
}

// unlimited is the last resort.
func unlimited(*endpoint) int { return math.MaxInt }
