package balancer

import (
	"testing"
	"time"
)

// Most of the objective of a client's retry has passed, so first tries have priority while capacity
// is scarce.
func TestFirstTriesBeforeClientRetries(t *testing.T) {
	b := newServingBalancer(t, 1, nil)
	b.limiter.limit = 1
	active := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))[0]
	b.Handle(ms, Request{ID: "first try", Class: "get", Deadline: time.Second})
	b.Handle(2*ms, Request{ID: "retry", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes.find("get").LateCredit = 0.5
	b.limiter.inFlight = int(limitFloor(b)) + 2
	b.limiter.limit = float64(b.limiter.inFlight) // the next response makes room for one request
	next := sendsOf(endFirstAttempt(b, 10*ms, active, Success))
	if len(next) == 0 || next[0].ID != "first try" {
		t.Errorf("got %v after a response, want the first try", next)
	}
}
