package balancer

import (
	"math"
	"time"
)

// While an endpoint is warming up, all replicas together may send it on average warmupBudgetFraction
// of the attempts that it can handle. The rest is a margin for variance.
const warmupBudgetFraction = 0.67

// slowStart limits the attempts sent to endpoints that are warming up. While enough other endpoints
// are warm, such an endpoint is sampled in proportion to its warm-up fraction. While warm capacity
// is scarce, a budget limits what all replicas together send to it. The budget is derived from the
// number of attempts that a warm endpoint has received from this replica.
type slowStart struct {
	settings *Settings

	// The following values decay with SlowStart.Duration as the time constant, as of updatedAt.
	// They are not updated while warm capacity is scarce, because the reduced load then does not
	// show how much the endpoints can handle.
	sends            float64 // number of attempts sent by this replica
	sendsPerEndpoint float64 // the same, with each attempt divided by the number of ready endpoints
	span             float64 // time that the two counts cover, in ns
	updatedAt        time.Duration

	scarce bool // last result of warmCapacityScarce
}

// warmFraction returns the minimum fraction of its capacity that an endpoint has at the clock time
// now.
func (s *slowStart) warmFraction(e *endpoint, now time.Duration) float64 {
	rule := s.settings.SlowStart
	age := now - e.StartTime
	if e.StartTime <= 0 || age >= rule.Duration {
		return 1
	}
	elapsed := max(0, float64(age)/float64(rule.Duration))
	return rule.InitialFraction + (1-rule.InitialFraction)*elapsed
}

// recordSend records an attempt that is sent while this number of endpoints is ready.
func (s *slowStart) recordSend(now time.Duration, ready int) {
	if !s.scarce {
		s.decay(now)
		s.sends++
		s.sendsPerEndpoint += 1 / float64(max(1, ready))
	}
	s.updatedAt = now
}

// decay applies the decay since updatedAt.
func (s *slowStart) decay(now time.Duration) {
	if s.sends == 0 {
		return
	}
	window := float64(max(1, s.settings.SlowStart.Duration))
	retained := math.Exp(-float64(now-s.updatedAt) / window)
	s.sends *= retained
	s.sendsPerEndpoint *= retained
	s.span = s.span*retained + window*(1-retained)
}

// sampleByWarmup reports true with a probability equal to the endpoint's warm-up fraction. An
// endpoint that is warming up gets one attempt at a time from this replica, because many replicas
// that each send a few attempts would together overload it.
func (b *Balancer) sampleByWarmup(e *endpoint) bool {
	fraction := b.slowStart.warmFraction(e, b.now)
	return fraction == 1 || (e.activeAttempts == 0 && b.random.Float64() < fraction)
}

// warmCapacityScarce reports whether sampling by warm-up fraction would overload endpoints that are
// warming up. It returns false if OverloadWindow is zero.
//
// Sampling divides the attempts of this replica in proportion to the warm-up fractions. An endpoint
// with fraction f receives sends x f / (sum of all fractions), which is more the fewer endpoints are
// warm. It can handle OverloadMultiple x f x sendsPerEndpoint attempts in the same time, because a warm
// endpoint has handled sendsPerEndpoint. Capacity is scarce if the endpoint would receive more than
// warmupBudgetFraction of the attempts that it can handle.
func (b *Balancer) warmCapacityScarce() bool {
	subset, ready := len(b.endpoints.subset), len(b.endpoints.ready)
	rule := b.settings.SlowStart
	capacity := 0.0 // of the whole list, in warm endpoints
	for _, e := range b.endpoints.subset {
		capacity += b.slowStart.warmFraction(e, b.now)
	}
	someWarmingUp := capacity < float64(subset)
	capacity *= float64(ready) / float64(max(1, subset))
	maxSends := warmupBudgetFraction * rule.OverloadMultiple * capacity * b.slowStart.sendsPerEndpoint
	b.slowStart.scarce = someWarmingUp && rule.OverloadWindow > 0 && maxSends < b.slowStart.sends
	return b.slowStart.scarce
}

// withinWarmupBudget reports whether this replica may send another attempt to an endpoint that is
// warming up. It limits what all replicas together send to the endpoint while warm capacity is scarce.
//
// Within OverloadWindow, the endpoint can handle N = OverloadMultiple x fraction x capacity x
// OverloadWindow attempts. In every OverloadWindow, each replica is granted its part of
// warmupBudgetFraction x N. A fraction of an attempt is granted with the corresponding probability.
//
// Any interval of length OverloadWindow overlaps at most two grants of a replica. Replicas measure the
// load that a warm endpoint has handled, not its capacity. If that load was three quarters of the
// capacity, two grants of all replicas are 2 x 0.67 x 0.75 x N = N attempts on average, with a variance
// below N. This holds regardless of the number of replicas and of which of them receive the requests.
func (b *Balancer) withinWarmupBudget(e *endpoint, c *classState) bool {
	if b.now >= e.warmupBudgetUntil {
		window := b.settings.SlowStart.OverloadWindow
		e.warmupBudget = int(warmupBudgetFraction*b.warmupCapacity(e, c) + b.random.Float64())
		e.warmupBudgetUntil = b.now + window
	}
	return e.warmupBudget > 0
}

// warmupCapacity returns how many attempts of this replica an endpoint can handle within
// OverloadWindow while it is warming up. A warm endpoint could handle what this replica has sent to
// it in addition to the attempts of others. A replica that has sent almost nothing assumes that an
// endpoint processes one request at a time for all replicas together. The result is divided by the
// fraction of endpoints in the subset, because only that fraction of the replicas uses the endpoint.
func (b *Balancer) warmupCapacity(e *endpoint, c *classState) float64 {
	rule := b.settings.SlowStart
	window := float64(rule.OverloadWindow)
	capacity := max( // attempts of this replica per ns
		b.slowStart.sendsPerEndpoint/max(b.slowStart.span, window),
		1/(max(1, c.meanLatency)*float64(max(1, b.settings.Replicas))))
	inSubset := float64(len(b.endpoints.subset)) / float64(len(b.endpoints.ready))
	fraction := b.slowStart.warmFraction(e, b.now)
	return rule.OverloadMultiple * fraction * capacity / inSubset * window
}
