package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestPendingRequestAnsweredDespiteEarlyTimers(t *testing.T) {
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
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*ms, next.At-early)
		actions = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// A request is pending for less than half of its time, with endpoints that are full and with none.
func TestPendingLessThanHalfOfTimeout(t *testing.T) {
	const acceptedAt, timeout = 2 * ms, 400 * ms
	for _, endpoints := range []int{0, 2} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			b := newTestBalancer(t, nil)
			b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(endpoints)})
			b.limiter.limit, b.limiter.inFlight = 1, minInFlight
			var answeredAt time.Duration
			actions := b.Handle(acceptedAt, Request{ID: "a", Class: "get", Deadline: acceptedAt + timeout})
			for len(actions) > 0 && answeredAt == 0 {
				action := actions[0]
				actions = actions[1:]
				switch a := action.(type) {
				case SetTimer:
					actions = append(actions, b.Handle(a.At, TimerFired{Token: a.Token})...)
				case Reject, Fail:
					answeredAt = b.now
				}
			}
			if answeredAt == 0 || answeredAt-acceptedAt >= timeout/2 {
				t.Errorf("answered after %v of %v", answeredAt-acceptedAt, timeout)
			}
		})
	}
}

// A rejected client is not told to stay away for long: it would come back when its objective is mostly over.
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
	t.Error("not rejected")
}
