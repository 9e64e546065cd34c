package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// limitFloor is the least concurrency limit of b.
func limitFloor(b *Balancer) float64 { return minLimitPerEndpoint * b.endpoints.perReplica() }

// attemptOf returns an attempt of a request of a class, sent at the time 0.
func attemptOf(b *Balancer, class string) *attempt { return &attempt{request: requestOf(b, class)} }

// Under overload the limit must fall, and never below its floor.
func TestLimitFollowsLatency(t *testing.T) {
	for _, c := range []struct {
		latency time.Duration
		grows   bool
	}{{450 * ms, false}, {40 * ms, true}} {
		t.Run(c.latency.String(), func(t *testing.T) {
			b := newServingBalancer(t, 4, nil)
			initial, now := b.limiter.limit, time.Duration(0)
			var active []Send
			for i := range 3000 {
				now += 4 * ms
				request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
				active = append(active, sendsOf(b.Handle(now, request))...)
				for len(active) > 0 && b.requests[active[0].ID].attempts[0].sentAt+c.latency <= now {
					s := active[0]
					active = append(active[1:], sendsOf(endFirstAttempt(b, now, s, Success))...)
				}
			}
			limit := b.limiter.limit
			if limit < limitFloor(b) {
				t.Errorf("limit %.1f below its floor %.1f", limit, limitFloor(b))
			}
			if c.grows && limit <= initial {
				t.Errorf("limit %.1f from %.1f, want growth", limit, initial)
			}
			if !c.grows && limit > limitFloor(b)+1 {
				t.Errorf("limit %.1f after late answers, want about the floor %.1f", limit, limitFloor(b))
			}
		})
	}
}

// Overload is judged by the baseline: an answer at half the latency objective is the work alone where it always
// took so long, and overload where it took an eighth before.
func TestLimitComparesLatencyWithBaseline(t *testing.T) {
	const initial = 40
	limitAfter := func(before, after time.Duration) float64 {
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
		b.limiter.limit = initial
		a := attemptOf(b, "get")
		for i := range 400 {
			b.now, b.limiter.inFlight = before, 5
			if i >= 300 {
				b.now, b.limiter.inFlight = after, initial
			}
			b.adjustLimit(a, Success)
			if i == 300 {
				b.limiter.limit = initial
			}
		}
		return b.limiter.limit
	}
	if slowWork := limitAfter(250*ms, 250*ms); slowWork <= initial {
		t.Errorf("slow work: limit %.1f from %d, want growth", slowWork, initial)
	}
	if overload := limitAfter(60*ms, 250*ms); overload >= initial {
		t.Errorf("overload: limit %.1f from %d, want it lower", overload, initial)
	}
}

// A thousand replicas with one attempt each are an overload: where there are many more replicas than endpoints, a
// replica has less than one attempt in flight on the average, though two may be sent at once after a rest. An
// attempt that timed out counts as well, for the endpoint may still be working on it.
func TestPacingBelowOneAttempt(t *testing.T) {
	const latency, interval, requests = 300 * ms, 25 * ms, 1200
	type timedSend struct {
		Send
		at time.Duration
	}
	for name, result := range map[string]Result{"success": Success, "timed out": TimedOut} {
		t.Run(name, func(t *testing.T) {
			b := newServingBalancer(t, 10, func(s *Settings) { s.Replicas, s.MaxAttempts = 100, 1 })
			var active []timedSend
			var total time.Duration // of the times that attempts were active
			most := 0
			for i := range requests {
				now := time.Duration(i) * interval
				for len(active) > 0 && active[0].at+latency <= now {
					oldest := active[0]
					active = active[1:]
					for _, s := range sendsOf(endFirstAttempt(b, now, oldest.Send, result)) {
						active = append(active, timedSend{s, now})
					}
				}
				request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
				for _, s := range sendsOf(b.Handle(now, request)) {
					active = append(active, timedSend{s, now})
				}
				total += time.Duration(len(active)) * interval
				most = max(most, len(active))
			}
			mean, floor := float64(total)/float64(requests*interval), limitFloor(b)
			if mean > 1.25*floor || mean < 0.25*floor || most < 2 {
				t.Errorf("%.2f attempts active on the average, %d at most, floor of the limit %.2f", mean, most, floor)
			}
		})
	}
}

// What was sent under a high limit does not delay attempts when the limit falls with the number of endpoints.
func TestPacingForgetsHighLimit(t *testing.T) {
	b := newServingBalancer(t, 1, func(s *Settings) { s.MaxAttempts = 1 })
	for i := range 400 {
		now := time.Duration(i) * 5 * ms
		b.limiter.limit = 3
		request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
		for _, s := range sendsOf(b.Handle(now, request)) {
			endFirstAttempt(b, now+ms, s, Failure) // before the mean latency that a send is charged with
		}
	}
	b.limiter.limit = 1
	now := b.now + 100*ms
	if len(sendsOf(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a replica without active attempts keeps a request pending for %v", b.limiter.pacedUntil()-now)
	}
}

// A lost connection does not show how loaded the endpoints are, however soon it was lost.
func TestLostConnectionsKeepLimit(t *testing.T) {
	const initial = 100
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	b.limiter.limit = initial
	a := attemptOf(b, "get")
	for range 50 {
		b.now, b.limiter.inFlight = 200*ms, int(b.limiter.limit)
		before := b.limiter.utilization
		b.adjustLimit(a, ConnectionLost)
		if b.limiter.utilization != before {
			t.Fatalf("a lost connection took the utilization from %.2f to %.2f", before, b.limiter.utilization)
		}
	}
	if b.limiter.limit != initial {
		t.Errorf("limit %.1f from %d", b.limiter.limit, initial)
	}
}

// Shedding must not hold the limit down: a lower limit sheds more, and the replica would stay at its floor long
// after the overload. Neither must the difference between fast and slow machines.
func TestSheddingKeepsLimit(t *testing.T) {
	const initial = 100
	limitAfter := func(t *testing.T, shedRate, spread float64) float64 {
		t.Helper()
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
		b.limiter.limit, b.limiter.utilization = initial, 0.4
		a := attemptOf(b, "get")
		for i := range 50 {
			b.queue.shedRate = shedRate
			for k, e := range b.endpoints.ready {
				e.latencySamples, e.slowness = 5, spread*float64(k%2)
			}
			b.now, b.limiter.inFlight = 200*ms, int(b.limiter.limit)
			b.adjustLimit(a, Success)
			if b.limiter.utilization < 0.39 {
				t.Fatalf("utilization fell to %.2f at answer %d", b.limiter.utilization, i)
			}
		}
		return b.limiter.limit
	}
	for _, spread := range []float64{0, 0.7, 1} {
		t.Run(fmt.Sprint("spread ", spread), func(t *testing.T) {
			none, much := limitAfter(t, 0, spread), limitAfter(t, 0.8, spread)
			if none <= initial || much != none {
				t.Errorf("limit from %d: %.1f with nothing shed, %.1f with much", initial, none, much)
			}
		})
	}
}

// Requests differ, so a mean of few answers varies; the least of it must not pass for the baseline, or a steady
// mean looks like overload half of the time and holds the limit at its floor.
func TestLimitToleratesVariance(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	rng := rand.New(rand.NewPCG(1, 2))
	a := attemptOf(b, "get")
	initial := b.limiter.limit
	for range 2000 {
		b.now = time.Duration(math.Exp(rng.NormFloat64()) * float64(60*ms))
		b.limiter.inFlight = int(b.limiter.limit)
		b.adjustLimit(a, Success)
	}
	if b.limiter.limit < 4*initial {
		t.Errorf("steady work of uneven cost took the limit from %.1f to %.1f", initial, b.limiter.limit)
	}
}
