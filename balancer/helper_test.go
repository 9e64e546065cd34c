package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, IdempotencyScope: ScopeAll,
				LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 1},
			{Name: "post", Effect: WithIdempotencyKey, IdempotencyScope: ScopeCell, IdempotencyWindow: 900 * ms,
				LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent,
				LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalValueWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, Hedging: true, Cancellation: true, Tick: 2 * ms,
		PollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStart: SlowStart{InitialFraction: 0.2, Duration: 10 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}
}

// settingsWithSharedKeys returns the test settings with another class, whose idempotency keys all endpoints share, and with clients
// that retry at most 200 ms after a Reject.
func settingsWithSharedKeys() Settings {
	s := testSettings()
	s.MaxRetryAfter = 200 * ms
	s.Classes = append(s.Classes, Class{Name: "put", Effect: WithIdempotencyKey, IdempotencyScope: ScopeAll,
		IdempotencyWindow: 900 * ms, LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 2})
	return s
}

// newTestBalancer returns a Balancer without endpoints. Its settings are the test settings,
// modified by change unless that is nil.
func newTestBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newServingBalancer returns a Balancer that received a list with this number of endpoints at time
// 0.
func newServingBalancer(t testing.TB, endpoints int, change func(*Settings)) *Balancer {
	t.Helper()
	b := newTestBalancer(t, change)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(endpoints)})
	return b
}

// testEndpoints returns n ready endpoints in two cells, with the IDs s00, s01 and so on.
func testEndpoints(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return endpoints
}

// requestOf returns a request of the class. The request has no attempts.
func requestOf(b *Balancer, class string) *request {
	return &request{class: b.classes.find(class)}
}

// sendsOf returns the Send actions among actions.
func sendsOf(actions []Action) []Send {
	var sends []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			sends = append(sends, s)
		}
	}
	return sends
}

// endFirstAttempt ends the first attempt of a request with this result.
func endFirstAttempt(b *Balancer, now time.Duration, s Send, r Result) []Action {
	return b.Handle(now, Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: r, RequestDone: r == Success})
}

// sendRequests sends n requests one after another. resultOf returns the result of an attempt at an
// endpoint. The returned map contains the number of first attempts per endpoint in the second half
// of the requests.
func sendRequests(b *Balancer, n int, class string, resultOf func(endpoint string) Result) map[string]int {
	firstAttempts := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*ms
		sends := sendsOf(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second}))
		if len(sends) > 0 && i >= n/2 {
			firstAttempts[sends[0].Endpoint]++
		}
		for attempt := 0; attempt < 5 && len(sends) > 0; attempt++ {
			now += 10 * ms
			result := resultOf(sends[0].Endpoint)
			sends = sendsOf(b.Handle(now, Outcome{ID: id, Attempt: attempt, Endpoint: sends[0].Endpoint,
				Result: result, RequestDone: result == Success}))
		}
	}
	return firstAttempts
}

// alwaysSucceed is a resultOf for sendRequests.
func alwaysSucceed(string) Result { return Success }
