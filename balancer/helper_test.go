package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, IdempotencyScope: ScopeAll, LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 1},
			{Name: "post", Effect: WithIdempotencyKey, IdempotencyScope: ScopeCell, IdempotencyWindow: 900 * ms, LatencyObjective: 500 * ms,
				Deadline: 1500 * ms, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalValueWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, Hedging: true, Cancellation: true, Tick: 2 * ms,
		PollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStart: SlowStart{InitialFraction: 0.2, Duration: 10 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}
}

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

func testEndpoints(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sendsOf returns the Send actions among acts.
func sendsOf(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

// endAttempt answers the single attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id string, s Send, e Result) []Action {
	return b.Handle(now, Outcome{ID: id, Endpoint: s.Endpoint, Result: e, RequestDone: e == Success})
}

// sendRequests sends n requests one after another; fate decides how attempts at a server end. It
// returns how many first tries each server got in the second half.
func sendRequests(b *Balancer, n int, class string, fate func(server string) Result) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*ms
		for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Endpoint]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Endpoint)
				now += 10 * ms
				again := sendsOf(b.Handle(now, Outcome{ID: id, Attempt: k, Endpoint: s.Endpoint, Result: e, RequestDone: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}
