package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Hosts round times. A request must be finished by its deadline even if its timers fire slightly
// early.
func TestPendingRequestFinishedDespiteEarlyTimers(t *testing.T) {
	const deadline, early = 1000 * ms, time.Microsecond / 2
	b := newTestBalancer(t, nil)
	actions := b.Handle(0, Request{ID: "a", Class: "get", Deadline: deadline})
	for now := time.Duration(0); now < deadline; {
		var next SetTimer
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v: got neither a final response nor a timer", now)
		}
		now = max(now+2*ms, next.At-early)
		actions = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final response by the deadline")
}

// A request is pending for less than half of its timeout, both when the endpoints are full and when
// there are none.
func TestPendingLessThanHalfOfTimeout(t *testing.T) {
	const acceptedAt, timeout = 2 * ms, 400 * ms
	for _, endpoints := range []int{0, 2} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			b := newTestBalancer(t, nil)
			b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(endpoints)})
			b.limiter.limit, b.limiter.inFlight = 1, minInFlight
			var finishedAt time.Duration
			actions := b.Handle(acceptedAt, Request{ID: "a", Class: "get", Deadline: acceptedAt + timeout})
			for len(actions) > 0 && finishedAt == 0 {
				action := actions[0]
				actions = actions[1:]
				switch a := action.(type) {
				case SetTimer:
					actions = append(actions, b.Handle(a.At, TimerFired{Token: a.Token})...)
				case Reject, Fail:
					finishedAt = b.now
				}
			}
			if finishedAt == 0 || finishedAt-acceptedAt >= timeout/2 {
				t.Errorf("finished after %v of %v", finishedAt-acceptedAt, timeout)
			}
		})
	}
}

// A Reject does not advise a long wait, because the client would then retry when most of its
// objective has passed.
func TestRejectAdvisesShortRetryAfter(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(2)})
	b.limiter.limit, b.limiter.inFlight = 1, minInFlight
	b.Handle(2*ms, Request{ID: "a", Class: "get", Deadline: time.Second})
	for _, a := range b.Handle(600*ms, TimerFired{Token: "r:a"}) {
		if reject, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; reject.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", reject.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("request was not rejected")
}
