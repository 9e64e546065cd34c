package balancer

import (
	"testing"
	"time"
)

// An unmarked repeat shows by a deadline shorter than other tries have.
func TestShortTimeoutDetectsClientRetry(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * ms})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*ms})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The repeat's aim of 500 ms ended 100 ms before it came: without a server it is still held.
	r := b.requests["again"]
	if r == nil || !r.clientRetry || r.firstTriedAt != 5*time.Second-600*ms {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// A long answer is judged by its first bytes, and no longer holds the window; what breaks later counts
// against the server, what its reader breaks off does not.
func TestResponseStartEndsWait(t *testing.T) {
	for ending, bad := range map[Result]int{Success: 0, Cancelled: 0, ConnectionLost: 1} {
		b := newTestBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		s := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * ms}))[0]
		srv := b.endpoints.byID[s.Endpoint]
		b.Handle(100*ms, ResponseStarted{ID: "a"})
		if b.limiter.inFlight != 0 || srv.activeAttempts != 1 || srv.lastSuccess != 100*ms || b.classes.byName["get"].onTime != 1 {
			t.Errorf("begun: %d in flight, %d calls, last good at %v", b.limiter.inFlight, srv.activeAttempts, srv.lastSuccess)
		}
		mean := b.classes.byName["get"].meanLatency
		acts := b.Handle(time.Hour, Outcome{ID: "a", Endpoint: s.Endpoint, Result: ending, RequestDone: true})
		if len(acts) > 0 || srv.activeAttempts != 0 || srv.consecutiveFailures != bad || b.limiter.inFlight != 0 || len(b.requests) > 0 {
			t.Errorf("ending %d: %v, %d calls, streak %d", ending, acts, srv.activeAttempts, srv.consecutiveFailures)
		}
		if b.classes.byName["get"].meanLatency != mean {
			t.Error("the time its reader took passes for the server's")
		}
	}
}

// The time of a long request begins when it is taken. Until then its server has nothing to answer and the
// window nothing to hold; what cannot be sent again is not.
func TestStreamingBodyCountsFromLastByte(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	s := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * ms, StreamingBody: true}))[0]
	srv := b.endpoints.byID[s.Endpoint]
	if b.limiter.inFlight != 0 || srv.activeAttempts != 1 {
		t.Errorf("before its last byte: %d in flight, %d calls", b.limiter.inFlight, srv.activeAttempts)
	}
	b.outliers.lastSuccess = 5000 * ms
	b.now = 5000 * ms
	if b.outliers.unresponsive(srv, b.now) {
		t.Error("a server is silent before it has the request")
	}
	b.Handle(5000*ms, RequestBodySent{ID: "a", Deadline: 6500 * ms})
	if r := b.requests["a"]; r.deadline != 6500*ms || r.firstTriedAt != 5000*ms || b.limiter.inFlight != 1 {
		t.Errorf("taken: deadline %v, arrived %v, %d in flight", r.deadline, r.firstTriedAt, b.limiter.inFlight)
	}
	mean := b.classes.byName["get"].meanLatency
	b.Handle(5100*ms, Outcome{ID: "a", Endpoint: s.Endpoint, Result: Success, RequestDone: true})
	if m := b.classes.byName["get"].meanLatency; m >= mean || b.limiter.inFlight != 0 {
		t.Errorf("the time of the body counts as the server's: mean %v after %v", m, mean)
	}

	b.Handle(6000*ms, Request{ID: "b", Class: "get", Deadline: 7500 * ms, StreamingBody: true})
	acts := b.Handle(6010*ms, Outcome{ID: "b", Result: Unreachable, BodyConsumed: true})
	if len(acts) != 1 {
		t.Fatalf("a spent body: %v", acts)
	}
	if _, refused := acts[0].(Reject); !refused {
		t.Errorf("a spent body that never ran: %v", acts[0])
	}
}
