package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Each tier's retries multiply the next one's load: they are earned by successes, and what can be saved
// up is bounded.
func TestRetryBudget(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	sendRequests(b, 2000, "get", func(string) Result { return Success })
	again := 0
	for i := range 200 {
		now, id := b.now+20*ms, fmt.Sprint("bad", i)
		l := sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for k := 0; len(l) > 0; k++ {
			l = sendsOf(b.Handle(now+ms, Outcome{ID: id, Attempt: k, Endpoint: l[0].Endpoint, Result: Failure}))
			again += len(l)
		}
	}
	if again < 5 || again > maxRetryTokens {
		t.Errorf("%d further attempts for 200 failed requests, want %d at the most", again, maxRetryTokens)
	}
}

// A keyed request that may have run is not sent again once its servers may have forgotten it.
func TestIdempotencyWindowLimitsRetries(t *testing.T) {
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{{300 * ms, 1}, {899 * ms, 0}, {1000 * ms, 0}} {
		b := newTestBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(8)})
		s := sendsOf(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * ms}))[0]
		if got := len(sendsOf(endAttempt(b, tc.at, "k", s, Failure))); got != tc.want {
			t.Errorf("failed after %v: sent again %d times, want %d", tc.at, got, tc.want)
		}
	}
}
