package balancer

const (
	// retryTokensPerSuccess is what a success adds to the retry budget.
	retryTokensPerSuccess = 0.15
	// retryCost is the cost of a retry; retryCostNotExecuted is that after an attempt that never ran.
	retryCost            = 1.0
	retryCostNotExecuted = 0.1
	// maxRetryTokens is the most that can be saved up.
	maxRetryTokens = 10
	// initialRetryTokens is what a new budget holds.
	initialRetryTokens = maxRetryTokens / 2
)

// retryBudget bounds retries to a share of the successes. Without it the retries of every tier would multiply
// the load of the tiers below.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetryTokens} }

// earn adds the tokens of a success.
func (r *retryBudget) earn() { r.tokens = min(maxRetryTokens, r.tokens+retryTokensPerSuccess) }

// retryOrAnswer decides what follows when no attempt of a request is active: a retry, if the class, the
// budget and the time left allow one, or the final answer.
func (b *Balancer) retryOrAnswer(r *request) {
	cost := r.retryCost()
	timeLeft := float64(r.deadline - b.now)
	tooLate := timeLeft < r.class.meanLatency/2 // an answer in time is not likely
	if tooLate || b.retries.tokens < cost || !b.retryAllowed(r) {
		b.rejectOrFail(r)
		return
	}
	e := b.selectEndpoint(r)
	if e == nil {
		b.rejectOrFail(r)
		return
	}
	b.retries.tokens -= cost
	b.send(r, e)
}

// retryCost is what the next attempt costs.
func (r *request) retryCost() float64 {
	if r.attempts[len(r.attempts)-1].notExecuted {
		return retryCostNotExecuted
	}
	return retryCost
}

// retryAllowed reports whether the class's effect and the number of attempts allow one more now.
func (b *Balancer) retryAllowed(r *request) bool {
	if r.answered || r.responseStarted || len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if !a.notExecuted && !b.mayRepeat(a) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether an attempt which may have run may be repeated now.
func (b *Balancer) mayRepeat(a *attempt) bool {
	c := a.request.class
	switch c.Effect {
	case NonIdempotent:
		return false
	case WithIdempotencyKey:
		return b.now < a.sentAt+c.IdempotencyWindow-2*b.settings.Tick
	}
	return true
}

// inScope reports whether an endpoint shares the idempotency keys of those that may have executed the
// request.
func (r *request) inScope(e *endpoint) bool {
	if r.class.Effect != WithIdempotencyKey {
		return true
	}
	for _, a := range r.attempts {
		if a.notExecuted {
			continue
		}
		if r.class.IdempotencyScope == ScopeZone && a.zone != e.Zone {
			return false
		}
		if r.class.IdempotencyScope == ScopeCell && (a.cell != e.Cell || a.zone != e.Zone) {
			return false
		}
	}
	return true
}

// tried reports whether an attempt of the request has gone to the endpoint before.
func (r *request) tried(e *endpoint) bool {
	for _, a := range r.attempts {
		if a.endpoint == e {
			return true
		}
	}
	return false
}

// rejectable reports whether a Reject may promise that a retry by the client does no harm.
func (r *request) rejectable() bool {
	for _, a := range r.attempts {
		if a.notExecuted {
			continue
		}
		if r.class.Effect == NonIdempotent ||
			r.class.Effect == WithIdempotencyKey && r.class.IdempotencyScope != ScopeAll {
			return false
		}
	}
	return true
}
