package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A client retry that is not marked is detected by a timeout that is shorter than that of other
// requests.
func TestShortTimeoutDetectsClientRetry(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * ms})
	b.Handle(5*time.Second, Request{ID: "retry", Class: "get", Deadline: 5*time.Second + 900*ms})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != 0 {
		t.Errorf("first try was detected as a retry: %+v", r)
	}
	// The retry's objective of 500 ms ended 100 ms before it arrived. Without endpoints it is still
	// pending.
	r := b.requests["retry"]
	if r == nil || !r.clientRetry || r.firstTriedAt != 5*time.Second-600*ms {
		t.Errorf("the retry was not detected: %+v", r)
	}
}

// The start of the response determines the result of an attempt, which then no longer counts as in
// flight. A connection lost later counts as a failure of the endpoint; a response that the client
// cancels does not.
func TestResponseStartEndsWait(t *testing.T) {
	for result, wantFailures := range map[Result]int{Success: 0, Cancelled: 0, ConnectionLost: 1} {
		t.Run(fmt.Sprint("result ", result), func(t *testing.T) {
			b := newServingBalancer(t, 4, nil)
			s := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * ms}))[0]
			e, class := b.endpoints.byID[s.Endpoint], b.classes.find("get")
			b.Handle(100*ms, ResponseStarted{ID: "a"})
			if b.limiter.inFlight != 0 || e.activeAttempts != 1 || e.lastSuccess != 100*ms || class.onTime != 1 {
				t.Errorf("response started: %d in flight, %d active, last success at %v, %v on time",
					b.limiter.inFlight, e.activeAttempts, e.lastSuccess, class.onTime)
			}
			mean := class.meanLatency
			actions := b.Handle(time.Hour, Outcome{ID: "a", Endpoint: s.Endpoint, Result: result, RequestDone: true})
			if len(actions) > 0 || e.activeAttempts != 0 || e.consecutiveFailures != wantFailures ||
				b.limiter.inFlight != 0 || len(b.requests) > 0 {
				t.Errorf("ended: %v, %d active, %d failures in a row, want %d", actions, e.activeAttempts,
					e.consecutiveFailures, wantFailures)
			}
			if class.meanLatency != mean {
				t.Error("the mean latency includes the rest of the response")
			}
		})
	}
}

// The latency of a request with a streaming body starts when the body has been sent. Until then the
// endpoint cannot respond, and the attempt is not in flight.
func TestStreamingBodyCountsFromLastByte(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	s := sendsOf(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * ms, StreamingBody: true}))[0]
	e, class := b.endpoints.byID[s.Endpoint], b.classes.find("get")
	if b.limiter.inFlight != 0 || e.activeAttempts != 1 {
		t.Errorf("before the last byte: %d in flight, %d active", b.limiter.inFlight, e.activeAttempts)
	}
	b.outliers.lastSuccess = 5000 * ms
	b.now = 5000 * ms
	if b.outliers.unresponsive(e, b.now) {
		t.Error("an endpoint is unresponsive before it has received the request")
	}
	b.Handle(5000*ms, RequestBodySent{ID: "a", Deadline: 6500 * ms})
	if r := b.requests["a"]; r.deadline != 6500*ms || r.firstTriedAt != 5000*ms || b.limiter.inFlight != 1 {
		t.Errorf("body sent: deadline %v, first tried at %v, %d in flight", r.deadline, r.firstTriedAt,
			b.limiter.inFlight)
	}
	mean := class.meanLatency
	endFirstAttempt(b, 5100*ms, s, Success)
	if class.meanLatency >= mean || b.limiter.inFlight != 0 {
		t.Errorf("the mean latency includes the sending of the body: %v, was %v", class.meanLatency, mean)
	}
}

// An attempt that was not executed is not retried if its streaming body cannot be sent again.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	b.Handle(6000*ms, Request{ID: "b", Class: "get", Deadline: 7500 * ms, StreamingBody: true})
	actions := b.Handle(6010*ms, Outcome{ID: "b", Result: Unreachable, BodyConsumed: true})
	if len(actions) != 1 {
		t.Fatalf("got %v, want one action", actions)
	}
	if _, ok := actions[0].(Reject); !ok {
		t.Errorf("got %v, want a Reject", actions[0])
	}
}
