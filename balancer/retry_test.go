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

// A client can retry a rejected request until MaxRetryAfter has passed. A request that may have been executed is not
// rejected if its key may have expired by then, or if the pause of the client is unknown.
func TestIdempotencyWindowLimitsRejects(t *testing.T) {
	for _, c := range []struct {
		failedAt, maxRetryAfter time.Duration
		rejected                bool
	}{
		{600 * ms, 200 * ms, true},
		{700 * ms, 200 * ms, false},
		{899 * ms, 200 * ms, false},
		{1000 * ms, 200 * ms, false},
		{1300 * ms, 200 * ms, false},
		{300 * ms, 0, false},
	} {
		t.Run(fmt.Sprintf("%v of %v", c.failedAt, c.maxRetryAfter), func(t *testing.T) {
			settings := settingsWithSharedKeys()
			settings.MaxAttempts, settings.MaxRetryAfter = 1, c.maxRetryAfter
			b, err := New(settings, 7)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(8)})
			s := sendsOf(b.Handle(0, Request{ID: "k", Class: "put", Deadline: 1500 * ms}))[0]
			actions := endFirstAttempt(b, c.failedAt, s, Failure)
			if _, rejected := actions[0].(Reject); len(actions) != 1 || rejected != c.rejected {
				t.Errorf("got %T%v, want a Reject: %v", actions[0], actions, c.rejected)
			}
		})
	}
}

// The window of an idempotency key starts at the first byte of an attempt, also if its body is streamed.
func TestIdempotencyWindowOfStreamingBody(t *testing.T) {
	b := newServingBalancer(t, 8, func(s *Settings) { *s = settingsWithSharedKeys() })
	s := sendsOf(b.Handle(0, Request{ID: "k", Class: "put", Deadline: 1500 * ms, StreamingBody: true}))[0]
	b.Handle(800*ms, RequestBodySent{ID: "k", Deadline: 2300 * ms})
	if sends := sendsOf(endFirstAttempt(b, 1000*ms, s, Failure)); len(sends) > 0 {
		t.Errorf("got %v 1 s after the first byte, with a window of 0.9 s", sends)
	}
}
