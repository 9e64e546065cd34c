package balancer

import (
	"testing"
	"time"
)

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestPendingRequestAnsweredDespiteEarlyTimers(t *testing.T) {
	b := newTestBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * ms})
	for now := time.Duration(0); now < 1000*ms; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*ms, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// A request is held for less than half of its time, with servers that are full and with none.
func TestPendingLessThanHalfOfTimeout(t *testing.T) {
	for _, n := range []int{0, 2} {
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(n)})
		b.limiter.limit, b.limiter.inFlight = 1, minInFlight
		const came, left = 2 * ms, 400 * ms
		var refused time.Duration
		acts := b.Handle(came, Request{ID: "a", Class: "get", Deadline: came + left})
		for len(acts) > 0 && refused == 0 {
			a := acts[0]
			acts = acts[1:]
			switch a := a.(type) {
			case SetTimer:
				acts = append(acts, b.Handle(a.At, TimerFired{Token: a.Token})...)
			case Reject, Fail:
				refused = b.now
			}
		}
		if refused == 0 || refused-came >= left/2 {
			t.Errorf("%d servers: refused after %v of %v", n, refused-came, left)
		}
	}
}

// A refused client is not sent away for long: it would come back when its aim is mostly over.
func TestRejectAdvisesShortRetryAfter(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(2)})
	b.limiter.limit, b.limiter.inFlight = 1, minInFlight
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*ms, r)
	for _, a := range b.Handle(600*ms, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}
