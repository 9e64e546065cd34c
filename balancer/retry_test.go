package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The retries of each tier multiply the load on the next one. They must be earned by successes, and
// the budget must be bounded.
func TestRetryBudget(t *testing.T) {
	b := newServingBalancer(t, 4, func(s *Settings) { s.Tier = 1 })
	sendRequests(b, 2000, "get", alwaysSucceed)
	retries := 0
	for i := range 200 {
		now, id := b.now+20*ms, fmt.Sprint("failing", i)
		sends := sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for attempt := 0; len(sends) > 0; attempt++ {
			sends = sendsOf(b.Handle(now+ms,
				Outcome{ID: id, Attempt: attempt, Endpoint: sends[0].Endpoint, Result: Failure}))
			retries += len(sends)
		}
	}
	if retries < 5 || retries > maxRetryTokens {
		t.Errorf("got %d retries of 200 failed requests, want 5 to %d", retries, maxRetryTokens)
	}
}

// A request with an idempotency key that may have been executed is not retried once the key may
// have expired.
func TestIdempotencyWindowLimitsRetries(t *testing.T) {
	for _, c := range []struct {
		failedAt time.Duration
		want     int
	}{{300 * ms, 1}, {899 * ms, 0}, {1000 * ms, 0}} {
		t.Run(c.failedAt.String(), func(t *testing.T) {
			b := newServingBalancer(t, 8, nil)
			s := sendsOf(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * ms}))[0]
			if got := len(sendsOf(endFirstAttempt(b, c.failedAt, s, Failure))); got != c.want {
				t.Errorf("got %d retries, want %d", got, c.want)
			}
		})
	}
}
