package balancer

import (
	"fmt"
	"testing"
	"time"
)

// New settings bind the requests that come after them. Those in hand keep their class and attempts, and
// what was learned stays.
func TestReconfigureAppliesToNewRequests(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(8)})
	b.classes.byName["get"].meanLatency, b.limiter.limit = float64(77*ms), 33
	b.endpoints.ready[0].slowness = 0.5
	sent := sendsOf(b.Handle(0, Request{ID: "old", Class: "get", Deadline: 1500 * ms}))[0]
	next := testSettings()
	next.MaxAttempts = 1
	next.Classes[0].Effect = NonIdempotent
	next.Classes[2] = Class{Name: "put", Effect: Idempotent, LatencyObjective: 500 * ms, Deadline: 1500 * ms, PriorityWeight: 1}
	b.Handle(ms, Reconfigure{Settings: next})
	if b.classes.byName["get"].meanLatency != float64(77*ms) || b.limiter.limit != 33 || b.endpoints.ready[0].slowness != 0.5 {
		t.Error("what was learned is lost")
	}
	if again := sendsOf(b.Handle(2*ms, Outcome{ID: "old", Endpoint: sent.Endpoint, Result: Failure})); len(again) != 1 {
		t.Errorf("the request in hand, safe when it came, got %d more attempts", len(again))
	}
	for id, class := range map[string]string{"now unsafe": "get", "new": "put"} {
		s := sendsOf(b.Handle(3*ms, Request{ID: id, Class: class, Deadline: 1500 * ms}))
		if len(s) != 1 {
			t.Fatalf("%s: %d sends", id, len(s))
		}
		if again := sendsOf(b.Handle(4*ms, Outcome{ID: id, Endpoint: s[0].Endpoint, Result: Failure})); len(again) > 0 {
			t.Errorf("%s: a second attempt, of 1", id)
		}
	}
	b.Handle(5*ms, Reconfigure{})
	if b.settings.MaxAttempts != 1 || b.classes.byName["put"] == nil {
		t.Error("settings that make no sense were taken")
	}
}

// What a setting had shown goes with it: a shorter deadline makes no repeats of first tries, and what was learned in
// parts of an aim holds for the aim that is in force.
func TestReconfigureConvertsMeasurements(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	for i := range 20 {
		id := fmt.Sprint(i)
		s := sendsOf(b.Handle(time.Duration(i)*ms, Request{ID: id, Class: "get", Deadline: time.Duration(i)*ms + 1500*ms}))
		b.Handle(time.Duration(i)*ms+100*ms, Outcome{ID: id, Endpoint: s[0].Endpoint, Result: Success, RequestDone: true})
	}
	fill := b.limiter.utilization
	next := testSettings()
	next.Classes[0].LatencyObjective, next.Classes[0].Deadline = 250*ms, 600*ms
	b.Handle(200*ms, Reconfigure{Settings: next})
	if got := b.limiter.utilization / fill; got < 1.99 || got > 2.01 {
		t.Errorf("half the aim: a fill of %.3f became %.3f", fill, b.limiter.utilization)
	}
	b.Handle(200*ms, Request{ID: "first", Class: "get", Deadline: 800 * ms})
	if r := b.requests["first"]; r.clientRetry || r.firstTriedAt != 200*ms {
		t.Errorf("a first try counts as a repeat, its client's first at %v", r.firstTriedAt)
	}
}

// The same events give the same figures to the last bit, however many classes change at once.
func TestReconfigureIsDeterministic(t *testing.T) {
	set := settingsOfDeployments()["seven classes"]
	next := set.scaled(3)
	for i := range next.Classes {
		next.Classes[i].LatencyObjective /= time.Duration(i + 1)
	}
	fills := map[float64]bool{}
	for range 100 {
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		for i := range 50 {
			c := set.Classes[i%len(set.Classes)]
			b.Handle(time.Duration(i)*ms, Request{ID: fmt.Sprint(i), Class: c.Name, Deadline: c.Deadline})
		}
		b.Handle(time.Second, Reconfigure{Settings: next})
		fills[b.limiter.utilization] = true
	}
	if len(fills) != 1 {
		t.Errorf("the same events gave the fills %v", fills)
	}
}
