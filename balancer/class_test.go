package balancer

import (
	"fmt"
	"testing"
	"time"
)

// New settings apply to requests that arrive later. Requests accepted earlier keep their class and
// number of attempts, and measurements are kept.
func TestReconfigureAppliesToNewRequests(t *testing.T) {
	b := newServingBalancer(t, 8, nil)
	b.classes.find("get").meanLatency, b.limiter.limit = float64(77*ms), 33
	b.endpoints.ready[0].slowness = 0.5
	accepted := sendsOf(b.Handle(0, Request{ID: "old", Class: "get", Deadline: 1500 * ms}))[0]
	settings := testSettings()
	settings.MaxAttempts = 1
	settings.Classes[0].Effect = NonIdempotent
	settings.Classes[2] = Class{Name: "put", Effect: Idempotent, LatencyObjective: 500 * ms, Deadline: 1500 * ms,
		PriorityWeight: 1}
	b.Handle(ms, Reconfigure{Settings: settings})
	if b.classes.find("get").meanLatency != float64(77*ms) || b.limiter.limit != 33 ||
		b.endpoints.ready[0].slowness != 0.5 {
		t.Error("measurements are lost")
	}
	if retries := sendsOf(endFirstAttempt(b, 2*ms, accepted, Failure)); len(retries) != 1 {
		t.Errorf("got %d retries of a request accepted as idempotent, want 1", len(retries))
	}
	for id, class := range map[string]string{"no longer idempotent": "get", "of a new class": "put"} {
		sends := sendsOf(b.Handle(3*ms, Request{ID: id, Class: class, Deadline: 1500 * ms}))
		if len(sends) != 1 {
			t.Fatalf("%s: got %d attempts, want 1", id, len(sends))
		}
		if retries := sendsOf(endFirstAttempt(b, 4*ms, sends[0], Failure)); len(retries) > 0 {
			t.Errorf("%s: got a second attempt with MaxAttempts 1", id)
		}
	}
	b.Handle(5*ms, Reconfigure{})
	if b.settings.MaxAttempts != 1 || b.classes.byName["put"] == nil {
		t.Error("invalid settings were applied")
	}
}

// Measurements that depend on a setting are converted when it changes. A shorter deadline does not
// make first tries look like retries, and utilizations become fractions of the new latency
// objective.
func TestReconfigureConvertsMeasurements(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	for i := range 20 {
		now := time.Duration(i) * ms
		s := sendsOf(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + 1500*ms}))[0]
		endFirstAttempt(b, now+100*ms, s, Success)
	}
	before := b.limiter.utilization
	settings := testSettings()
	settings.Classes[0].LatencyObjective, settings.Classes[0].Deadline = 250*ms, 600*ms
	b.Handle(200*ms, Reconfigure{Settings: settings})
	if ratio := b.limiter.utilization / before; ratio < 1.99 || ratio > 2.01 {
		t.Errorf("half the objective: utilization changed from %.3f to %.3f", before, b.limiter.utilization)
	}
	b.Handle(200*ms, Request{ID: "first", Class: "get", Deadline: 800 * ms})
	if r := b.requests["first"]; r.clientRetry || r.firstTriedAt != 200*ms {
		t.Errorf("first try was detected as a retry, first tried at %v", r.firstTriedAt)
	}
}

// The same events produce bit-identical floating-point values even if several classes change at
// once.
func TestReconfigureIsDeterministic(t *testing.T) {
	settings := deploymentSettings()["seven classes"]
	changed := scaleSettings(settings, 3)
	for i := range changed.Classes {
		changed.Classes[i].LatencyObjective /= time.Duration(i + 1)
	}
	utilizations := map[float64]bool{}
	for range 100 {
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		for i := range 50 {
			c := settings.Classes[i%len(settings.Classes)]
			b.Handle(time.Duration(i)*ms, Request{ID: fmt.Sprint(i), Class: c.Name, Deadline: c.Deadline})
		}
		b.Handle(time.Second, Reconfigure{Settings: changed})
		utilizations[b.limiter.utilization] = true
	}
	if len(utilizations) != 1 {
		t.Errorf("the same events produced different utilizations: %v", utilizations)
	}
}
