package balancer

import (
	"math"
	"time"
)

// warmupBudgetFraction is the share of an endpoint's overload threshold, see SlowStart, that all
// replicas together may use on average while it is warming up. The rest is a margin for variance.
const warmupBudgetFraction = 0.67

// slowStart limits the attempts sent to endpoints that are warming up. While enough other endpoints
// are warm, such an endpoint is sampled in proportion to its warm-up fraction. While warm capacity
// is scarce, a budget limits what all replicas together send to it. The budget is derived from the
// number of attempts that a warm endpoint has received from this replica.
type slowStart struct {
	settings *Settings

	// The following averages decay with SlowStart.Duration as the time constant, as of updatedAt.
	// They are not updated while warm capacity is scarce, because the reduced load then does not
	// show how much the endpoints can handle.
	sends            float64 // attempts sent by this replica
	sendsPerEndpoint float64
	span             float64 // time within which they were sent, in ns
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
// warming up.
//
// Within OverloadWindow, an endpoint can handle N = OverloadMultiple x fraction x capacity x
// OverloadWindow attempts. The known capacity of a warm endpoint is the number of attempts that it
// has received from this replica. If fewer endpoints are warm than when that was measured, an
// endpoint that is warming up receives more than its fraction of that number. This is accepted up to
// warmupBudgetFraction x N.
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

// withinWarmupBudget limits what all replicas together send to an endpoint that is warming up while
// warm capacity is scarce.
//
// In every OverloadWindow, a replica is granted its share of warmupBudgetFraction x N attempts,
// where N is defined at warmCapacityScarce. A fraction of an attempt is granted with the
// corresponding probability. Any interval of length OverloadWindow overlaps at most two grants. If
// endpoints were used to three quarters of their capacity, the overlapping grants of all replicas
// amount to N attempts on average, with a variance below N, regardless of the number of replicas
// and of which of them receive the requests.
func (b *Balancer) withinWarmupBudget(e *endpoint, c *classState) bool {
	if b.now >= e.warmupBudgetUntil {
		window := b.settings.SlowStart.OverloadWindow
		e.warmupBudget = int(warmupBudgetFraction*b.warmupCapacity(e, c) + b.random.Float64())
		e.warmupBudgetUntil = b.now + window
	}
	return e.warmupBudget > 0
}

// warmupCapacity returns the number of attempts of this replica that an endpoint that is warming up
// can handle within OverloadWindow. A warm endpoint could handle what this replica has sent to it
// in addition to the attempts of others. A replica that has sent almost nothing assumes that an
// endpoint processes one request at a time for all replicas together. Only some replicas have the
// endpoint in their subset, so each of them may use more.
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
