package balancer

import (
	"testing"
	"time"
)

// A marked repeat is mostly past its aim already: while there is little room, first tries go first.
func TestFirstTriesBeforeClientRetries(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(1)})
	b.limiter.limit = 1
	first := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(ms, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*ms, Request{ID: "repeat", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes.byName["get"].LateCredit = 0.5
	b.limiter.inFlight = int(minLimitPerEndpoint*b.endpoints.perReplica()) + 2
	b.limiter.limit = float64(b.limiter.inFlight) // one comes free by the next answer
	next := sendsOf(endAttempt(b, 10*ms, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}
