package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// limitFloor returns the minimum concurrency limit of b.
func limitFloor(b *Balancer) float64 { return minLimitPerEndpoint * b.endpoints.perReplica() }

// attemptOf returns an attempt of a request of a class, sent at time 0.
func attemptOf(b *Balancer, class string) *attempt { return &attempt{request: requestOf(b, class)} }

// The limit must fall under overload, but not below its floor.
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
				t.Errorf("limit %.1f is below its floor %.1f", limit, limitFloor(b))
			}
			if c.grows && limit <= initial {
				t.Errorf("limit %.1f, want above the initial %.1f", limit, initial)
			}
			if !c.grows && limit > limitFloor(b)+1 {
				t.Errorf("limit %.1f after late responses, want about the floor %.1f", limit, limitFloor(b))
			}
		})
	}
}

// Overload is relative to the baseline. A latency of half the objective is normal for requests that
// always took that long, and indicates overload if they took an eighth of the objective before.
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
		t.Errorf("slow requests: limit %.1f, want above the initial %d", slowWork, initial)
	}
	if overload := limitAfter(60*ms, 250*ms); overload >= initial {
		t.Errorf("overload: limit %.1f, want below the initial %d", overload, initial)
	}
}

// One attempt of each of 100 replicas would overload 10 endpoints. If there are many more replicas
// than endpoints, a replica has less than one attempt in flight on average, but may send two at once
// after an idle period. An attempt that timed out counts as well, because the endpoint may still be
// processing it.
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
			var total time.Duration // total time for which attempts were active
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
				t.Errorf("%.2f active attempts on average, %d at most, limit floor %.2f", mean, most, floor)
			}
		})
	}
}

// Attempts sent under a high limit do not delay others after the limit has fallen below minInFlight.
func TestPacingIgnoresChargesAtHighLimit(t *testing.T) {
	b := newServingBalancer(t, 1, func(s *Settings) { s.MaxAttempts = 1 })
	for i := range 400 {
		now := time.Duration(i) * 5 * ms
		b.limiter.limit = 3
		request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
		for _, s := range sendsOf(b.Handle(now, request)) {
			endFirstAttempt(b, now+ms, s, Failure) // sooner than the mean latency that is charged for a Send
		}
	}
	b.limiter.limit = 1
	now := b.now + 100*ms
	if len(sendsOf(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a replica without active attempts holds a request for %v", b.limiter.pacedUntil()-now)
	}
}

// A lost connection does not indicate the load of the endpoints, regardless of when it was lost.
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
			t.Fatalf("lost connection changed the utilization from %.2f to %.2f", before, b.limiter.utilization)
		}
	}
	if b.limiter.limit != initial {
		t.Errorf("limit %.1f, want the initial %d", b.limiter.limit, initial)
	}
}

// Shedding must not lower the limit, because a lower limit sheds more requests and the replica
// would stay at its floor long after the overload. Different speeds of endpoints must not lower it
// either.
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
				t.Fatalf("utilization fell to %.2f at response %d", b.limiter.utilization, i)
			}
		}
		return b.limiter.limit
	}
	for _, spread := range []float64{0, 0.7, 1} {
		t.Run(fmt.Sprint("spread ", spread), func(t *testing.T) {
			none, much := limitAfter(t, 0, spread), limitAfter(t, 0.8, spread)
			if none <= initial || much != none {
				t.Errorf("limit from %d: %.1f with nothing shed, %.1f at shed rate 0.8", initial, none, much)
			}
		})
	}
}

// The cost of requests varies, and so does a mean over few responses. Its minimum must not become
// the baseline. Otherwise a steady mean looks like overload half of the time and keeps the limit at
// its floor.
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
		t.Errorf("steady load with varying cost changed the limit from %.1f to %.1f", initial, b.limiter.limit)
	}
}
