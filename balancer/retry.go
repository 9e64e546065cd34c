package balancer

import "time"

const (
	// retryTokensPerSuccess is the number of tokens that a success adds to the retry budget.
	retryTokensPerSuccess = 0.15
	// retryCost is the cost of a retry in tokens. retryCostNotExecuted applies after an attempt
	// that was not executed.
	retryCost            = 1.0
	retryCostNotExecuted = 0.1
	// maxRetryTokens is the capacity of the retry budget.
	maxRetryTokens = 10
	// initialRetryTokens is the number of tokens in a new budget.
	initialRetryTokens = maxRetryTokens / 2
)

// retryBudget limits retries to a share of the successes. Without it, the retries of each tier
// would multiply the load on the tiers below.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetryTokens} }

// earn adds the tokens of a success.
func (r *retryBudget) earn() { r.tokens = min(maxRetryTokens, r.tokens+retryTokensPerSuccess) }

// retryOrFinish decides how a request without active attempts continues. It is retried if the
// class, the budget and the time left allow it, and otherwise finished.
func (b *Balancer) retryOrFinish(r *request) {
	cost := r.retryCost()
	timeLeft := float64(r.deadline - b.now)
	tooLate := timeLeft < r.class.meanLatency/2 // a response before the deadline is unlikely
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

// retryCost returns the cost of the next attempt in tokens.
func (r *request) retryCost() float64 {
	if r.attempts[len(r.attempts)-1].notExecuted {
		return retryCostNotExecuted
	}
	return retryCost
}

// retryAllowed reports whether the effect of the class and the number of attempts permit another
// attempt now.
func (b *Balancer) retryAllowed(r *request) bool {
	if r.finished || r.responseStarted || len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if !a.notExecuted && !b.mayRepeat(a) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether an attempt that may have been executed may be repeated now.
func (b *Balancer) mayRepeat(a *attempt) bool {
	c := a.request.class
	switch c.Effect {
	case NonIdempotent:
		return false
	case WithIdempotencyKey:
		return b.beforeKeyExpires(a, b.now)
	}
	return true
}

// beforeKeyExpires reports whether endpoints still know the idempotency key of an attempt when they
// receive an attempt that is sent at the given time.
func (b *Balancer) beforeKeyExpires(a *attempt, sentAt time.Duration) bool {
	return sentAt < a.dispatchedAt+a.request.class.IdempotencyWindow-2*b.settings.Tick
}

// inScope reports whether an endpoint shares the idempotency keys of all endpoints that may have
// executed the request.
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

// tried reports whether an attempt of the request was sent to the endpoint.
func (r *request) tried(e *endpoint) bool {
	for _, a := range r.attempts {
		if a.endpoint == e {
			return true
		}
	}
	return false
}

// rejectable reports whether a Reject may promise the client that a retry is safe.
func (b *Balancer) rejectable(r *request) bool {
	for _, a := range r.attempts {
		if !a.notExecuted && !b.clientMayRepeat(a) {
			return false
		}
	}
	return true
}

// clientMayRepeat reports whether a client may repeat, at any endpoint, an attempt that may have been
// executed. The client sends its retry up to MaxRetryAfter after the Reject, and all endpoints must
// still know the idempotency key then. Without MaxRetryAfter the time of the retry is unknown.
func (b *Balancer) clientMayRepeat(a *attempt) bool {
	c := a.request.class
	switch c.Effect {
	case NonIdempotent:
		return false
	case WithIdempotencyKey:
		latestRetry := b.now + b.settings.MaxRetryAfter
		return c.IdempotencyScope == ScopeAll && latestRetry > b.now && b.beforeKeyExpires(a, latestRetry)
	}
	return true
}
