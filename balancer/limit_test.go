package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// In overload the window must shrink, and never under its floor.
func TestLimitFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * ms, false}, {40 * ms, true}} {
		b := newTestBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		start, now := b.limiter.limit, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * ms
			open = append(open, sendsOf(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sentAt+tc.took <= now {
				s := open[0]
				open = append(open[1:], sendsOf(endAttempt(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.limiter.limit > start; grew != tc.grow && tc.grow || b.limiter.limit < minLimitPerEndpoint*b.endpoints.perReplica() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.limiter.limit, start)
		}
		if !tc.grow && b.limiter.limit > minLimitPerEndpoint*b.endpoints.perReplica()+1 {
			t.Errorf("late answers left the window at %.1f", b.limiter.limit)
		}
	}
}

// Crowding is judged against the latency of quiet times: an answer at half the aim is bare work where
// it always was so, and a crowd where it took an eighth before.
func TestLimitComparesLatencyWithBaseline(t *testing.T) {
	window := func(before, after time.Duration) float64 {
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		b.limiter.limit = 40
		a := &attempt{request: &request{class: b.classes.byName["get"]}}
		for i := range 400 {
			b.now, b.limiter.inFlight = before, 5
			if i >= 300 {
				b.now, b.limiter.inFlight = after, 40
			}
			if b.adjustLimit(a, Success); i == 300 {
				b.limiter.limit = 40
			}
		}
		return b.limiter.limit
	}
	if slow, crowded := window(250*ms, 250*ms), window(60*ms, 250*ms); slow <= 40 || crowded >= 40 {
		t.Errorf("window from 40: slow work %.1f, want growth; crowded %.1f, want shrinking", slow, crowded)
	}
}

// A thousand copies with one call each are a crowd: where there are many more copies than servers,
// what a copy has out stays under one on the average, though two may go at once after a rest. A call
// that timed out is held against it as well, for the server may still work on it.
func TestPacingBelowOneAttempt(t *testing.T) {
	for _, end := range []Result{Success, TimedOut} {
		b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.MaxAttempts = 100, 1 })
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
		const took, gap, n = 300 * ms, 25 * ms, 1200
		type call struct {
			Send
			at time.Duration
		}
		var open []call
		var out time.Duration // time that calls were out
		most := 0
		for i := range n {
			now := time.Duration(i) * gap
			for len(open) > 0 && open[0].at+took <= now {
				s := open[0]
				open = open[1:]
				for _, s := range sendsOf(endAttempt(b, now, s.ID, s.Send, end)) {
					open = append(open, call{s, now})
				}
			}
			for _, s := range sendsOf(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
				open = append(open, call{s, now})
			}
			out += time.Duration(len(open)) * gap
			most = max(most, len(open))
		}
		mean := float64(out) / float64(n*gap)
		if limit := minLimitPerEndpoint * b.endpoints.perReplica(); mean > 1.25*limit || mean < 0.25*limit || most < 2 {
			t.Errorf("ending %d: %.2f calls out on the average, %d at most, window floor %.2f", end, mean, most, limit)
		}
	}
}

// What was sent under a wide window is not owed when the fleet shrinks and the window with it: the
// copies of incident i587823 refused nearly all for five seconds.
func TestPacingForgetsHighLimit(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(1)})
	for i := range 400 {
		now := time.Duration(i) * 5 * ms
		b.limiter.limit = 3
		for _, s := range sendsOf(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
			endAttempt(b, now+ms, s.ID, s, Failure) // quicker than the mean that a send owes
		}
	}
	b.limiter.limit = 1
	now := b.now + 100*ms
	if len(sendsOf(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a copy at rest holds a request until %v", b.limiter.pacedUntil()-now)
	}
}

// An answer that broke off says nothing of how crowded the servers are, however soon it came.
func TestLostConnectionsKeepLimit(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	b.limiter.limit = 100
	a := &attempt{request: &request{class: b.classes.byName["get"]}}
	for range 50 {
		b.now, b.limiter.inFlight = 200*ms, int(b.limiter.limit)
		before := b.limiter.utilization
		if b.adjustLimit(a, ConnectionLost); b.limiter.utilization != before {
			t.Fatalf("a broken answer took fill from %.2f to %.2f", before, b.limiter.utilization)
		}
	}
	if b.limiter.limit != 100 {
		t.Errorf("window from 100 to %.1f", b.limiter.limit)
	}
}

// What is shed must not hold the window down: a smaller window sheds more, and the copy would stay at
// its floor long after the crowd has gone. Unevenness does not either: fast and slow machines differ.
func TestSheddingKeepsLimit(t *testing.T) {
	window := func(shed, spread float64) float64 {
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
		b.limiter.limit, b.limiter.utilization = 100, 0.4
		a := &attempt{request: &request{class: b.classes.byName["get"]}}
		for i := range 50 {
			b.queue.shedRate = shed
			for k, s := range b.endpoints.ready {
				s.latencySamples, s.slowness = 5, spread*float64(k%2)
			}
			b.now, b.limiter.inFlight = 200*ms, int(b.limiter.limit)
			if b.adjustLimit(a, Success); b.limiter.utilization < 0.39 {
				t.Fatalf("fill fell to %.2f at answer %d", b.limiter.utilization, i)
			}
		}
		return b.limiter.limit
	}
	for _, spread := range []float64{0, 0.7, 1} {
		if none, much := window(0, spread), window(0.8, spread); none <= 100 || much != none {
			t.Errorf("spread %.1f: window from 100: %.1f with nothing shed, %.1f with much", spread, none, much)
		}
	}
}

// Requests differ, so a mean of few answers wavers; the least of it must not pass for the quiet level,
// or a steady mean looks like a crowd half of the time and holds the window at its floor.
func TestLimitToleratesVariance(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	rng := rand.New(rand.NewPCG(1, 2))
	a := &attempt{request: &request{class: b.classes.byName["get"]}}
	start := b.limiter.limit
	for range 2000 {
		b.now = time.Duration(math.Exp(rng.NormFloat64()) * float64(60*ms))
		b.limiter.inFlight = int(b.limiter.limit)
		b.adjustLimit(a, Success)
	}
	if b.limiter.limit < 4*start {
		t.Errorf("steady uneven work took the window from %.1f to %.1f", start, b.limiter.limit)
	}
}
