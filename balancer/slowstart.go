package balancer

import (
	"math"
	"time"
)

// warmupBudgetFraction is the share that replicas may use, on the average, of the attempts that overload an
// endpoint which is warming up. The rest is for variance.
const warmupBudgetFraction = 0.67

// slowStart limits the attempts at endpoints that are warming up. While enough others are warm, such an
// endpoint is drawn in proportion to its warm-up fraction. While warm capacity is scarce, a budget bounds
// what all replicas together send to it; the budget is reckoned from how many attempts a warm endpoint has
// had from this replica.
type slowStart struct {
	settings *Settings

	// Decayed over about SlowStart.Duration, as of updatedAt. They stand still while warm capacity is
	// scarce: what endpoints are spared then says nothing about what they can bear.
	sends            float64 // attempts sent by this replica
	sendsPerEndpoint float64
	span             float64 // the time that they were sent in, in ns
	updatedAt        time.Duration

	scarce bool // at the last selection; see warmCapacityScarce
}

// warmFraction is the fraction of its capacity that an endpoint surely has at the clock time now.
func (s *slowStart) warmFraction(e *endpoint, now time.Duration) float64 {
	rule := s.settings.SlowStart
	age := now - e.StartTime
	if e.StartTime <= 0 || age >= rule.Duration {
		return 1
	}
	elapsed := max(0, float64(age)/float64(rule.Duration))
	return rule.InitialFraction + (1-rule.InitialFraction)*elapsed
}

// recordSend counts an attempt that is sent while there are so many ready endpoints.
func (s *slowStart) recordSend(now time.Duration, ready int) {
	if !s.scarce {
		s.decay(now)
		s.sends++
		s.sendsPerEndpoint += 1 / float64(max(1, ready))
	}
	s.updatedAt = now
}

// decay lets older attempts fade until now.
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

// drawWarm reports true with the probability of an endpoint's warm-up fraction. While it is warming up it
// gets one own attempt at a time: many replicas that each send a little overload it together.
func (b *Balancer) drawWarm(e *endpoint) bool {
	fraction := b.slowStart.warmFraction(e, b.now)
	return fraction == 1 || (e.activeAttempts == 0 && b.random.Float64() < fraction)
}

// warmCapacityScarce reports whether draws by warm-up fraction would overload endpoints that are warming up.
//
// Within OverloadWindow an endpoint bears N = OverloadMultiple x fraction x capacity x OverloadWindow
// attempts. The capacity that is known of a warm endpoint is what it has had of this replica's attempts. If
// fewer endpoints are warm than when that was measured, one that is warming up gets more than its fraction of
// that; this is accepted up to warmupBudgetFraction x N.
func (b *Balancer) warmCapacityScarce() bool {
	subset, ready := len(b.endpoints.subset), len(b.endpoints.ready)
	rule := b.settings.SlowStart
	capacity := 0.0 // of the list, in warm endpoints
	for _, e := range b.endpoints.subset {
		capacity += b.slowStart.warmFraction(e, b.now)
	}
	someWarmingUp := capacity < float64(subset)
	capacity *= float64(ready) / float64(max(1, subset))
	bearable := warmupBudgetFraction * rule.OverloadMultiple * capacity * b.slowStart.sendsPerEndpoint
	b.slowStart.scarce = someWarmingUp && rule.OverloadWindow > 0 && bearable < b.slowStart.sends
	return b.slowStart.scarce
}

// withinWarmupBudget bounds what all replicas together send to an endpoint that is warming up while warm
// capacity is scarce.
//
// Every OverloadWindow a replica is granted its part of warmupBudgetFraction x N attempts, with N as in
// warmCapacityScarce; a fraction of an attempt is granted with that probability. Any OverloadWindow meets two
// grants at most. Where endpoints were used to three quarters of their capacity, the grants of all replicas
// make N attempts on the average, with a variance under N, however many replicas there are and whichever of
// them have the requests.
func (b *Balancer) withinWarmupBudget(e *endpoint, c *classState) bool {
	if b.now >= e.warmupBudgetUntil {
		window := b.settings.SlowStart.OverloadWindow
		e.warmupBudget = int(warmupBudgetFraction*b.warmupCapacity(e, c) + b.random.Float64())
		e.warmupBudgetUntil = b.now + window
	}
	return e.warmupBudget > 0
}

// warmupCapacity is how many attempts of this replica an endpoint that is warming up bears within
// OverloadWindow. A warm endpoint bore what this replica has sent to it, next to what others sent. A replica
// that has sent hardly anything assumes that an endpoint serves one request at a time for all replicas
// together. As only some replicas have the endpoint in their subset, each of them may use more.
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
