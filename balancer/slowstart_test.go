package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// During a deployment, all endpoints of a replica's subset can be warming up. While the list has
// warm endpoints, these must be used. Otherwise the replicas that share the subset overload it
// together.
func TestWarmEndpointsOutsideSubsetPreferred(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.SlowStart.InitialFraction = 100, 0 })
	endpoints := testEndpoints(40)
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: endpoints})
	warmingUp := map[string]bool{}
	for _, e := range b.endpoints.subset {
		warmingUp[e.ID] = true
	}
	for i := range endpoints {
		if warmingUp[endpoints[i].ID] {
			endpoints[i].StartTime = time.Minute
		}
	}
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: endpoints})
	for i := range 20 {
		now := time.Minute + time.Duration(i)*ms
		for _, s := range sendsOf(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: 2 * time.Minute})) {
			if warmingUp[s.Endpoint] {
				t.Fatalf("request %d was sent to an endpoint that started %d ms ago", i, i)
			}
		}
	}
}

// replicaSet is a set of Balancers that send to the same endpoints, which respond to every attempt
// with the same latency.
type replicaSet struct {
	balancers []*Balancer
	latency   time.Duration
	outcomes  []pendingOutcome           // in order of time
	sent      map[string][]time.Duration // times of the attempts at each endpoint
}

type pendingOutcome struct {
	at      time.Duration
	b       *Balancer
	outcome Outcome
}

func newReplicaSet(t *testing.T, settings Settings, replicas int, endpoints []Endpoint) *replicaSet {
	t.Helper()
	r := &replicaSet{latency: 100 * ms, sent: map[string][]time.Duration{}}
	for i := range replicas {
		settings.ReplicaIndex = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
		r.balancers = append(r.balancers, b)
	}
	return r
}

// handle passes an event to a Balancer and schedules the outcomes of the attempts that it sends.
func (r *replicaSet) handle(b *Balancer, now time.Duration, e Event) {
	for _, s := range sendsOf(b.Handle(now, e)) {
		outcome := Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: Success, RequestDone: true}
		r.outcomes = append(r.outcomes, pendingOutcome{now + r.latency, b, outcome})
		r.sent[s.Endpoint] = append(r.sent[s.Endpoint], now)
	}
}

// handleOutcomes passes the outcomes that are due at now.
func (r *replicaSet) handleOutcomes(now time.Duration) {
	for len(r.outcomes) > 0 && r.outcomes[0].at <= now {
		o := r.outcomes[0]
		r.outcomes = r.outcomes[1:]
		r.handle(o.b, o.at, o.outcome)
	}
}

// sentWithin returns the number of times within window, starting at index i.
func sentWithin(times []time.Duration, i int, window time.Duration) int {
	n := 0
	for _, at := range times[i:] {
		if at < times[i]+window {
			n++
		}
	}
	return n
}

// When only endpoints that are warming up remain, all replicas together stay within what these can
// handle, regardless of which replicas receive the requests. The limit is N + 2 sqrt(N) + 2
// attempts within OverloadWindow, where N is derived from the load that a warm endpoint handled
// before.
func TestWarmupBudgetOverAllReplicas(t *testing.T) {
	const (
		listed, remaining = 20, 2
		requestRate       = 200.0            // per second, over all replicas
		shrinkAt          = 10 * time.Second // then the list shrinks to endpoints that are warming up
		startedAt         = shrinkAt - time.Second
		end               = 19 * time.Second // the endpoints are warm by then
		utilization       = 0.75             // of the warm endpoints, before shrinkAt
		requestLifetime   = 1500 * ms
	)
	for _, replicas := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(replicas), 1))
			settings := testSettings()
			settings.Replicas = replicas
			endpoints := testEndpoints(listed)
			set := newReplicaSet(t, settings, replicas, endpoints)
			shrunk := false
			now := time.Duration(0)
			for request := 0; now < end; request++ {
				set.handleOutcomes(now)
				if !shrunk && now >= shrinkAt {
					shrunk, request = true, 0
					set.sent = map[string][]time.Duration{}
					warmingUp := slices.Clone(endpoints[:remaining])
					for i := range warmingUp {
						warmingUp[i].StartTime = startedAt
					}
					for _, b := range set.balancers {
						set.handle(b, now, EndpointUpdate{Full: true, Endpoints: slices.Clone(warmingUp)})
					}
				}
				// Every third request is sent to a tenth of the replicas.
				b := set.balancers[rng.IntN(replicas)]
				if request%3 == 0 {
					b = set.balancers[rng.IntN(max(1, replicas/10))]
				}
				set.handle(b, now, Request{ID: fmt.Sprint(now), Class: "get", Deadline: now + requestLifetime})
				now += time.Duration(rng.ExpFloat64() / requestRate * float64(time.Second))
			}
			rule := settings.SlowStart
			for id, times := range set.sent {
				for i, from := range times {
					age := float64(from+rule.OverloadWindow-startedAt) / float64(rule.Duration)
					fraction := rule.InitialFraction + (1-rule.InitialFraction)*min(1, age)
					threshold := rule.OverloadMultiple * fraction * requestRate / listed / utilization *
						rule.OverloadWindow.Seconds()
					limit := threshold + 2*math.Sqrt(threshold) + 2
					if n := sentWithin(times, i, rule.OverloadWindow); float64(n) > limit {
						t.Fatalf("%d attempts at %s within %v of %v, limit %.0f", n, id, rule.OverloadWindow, from, limit)
					}
				}
			}
			if len(set.sent) != remaining {
				t.Errorf("attempts were sent to %d endpoints, want %d", len(set.sent), remaining)
			}
		})
	}
}

// 12 replicas send to 6 endpoints at three quarters of their capacity while one endpoint is warming
// up. In any OverloadWindow, that endpoint must receive fewer attempts than OverloadMultiple times
// its current capacity.
func TestWarmingUpEndpointIsNotOverloaded(t *testing.T) {
	const (
		replicas, count = 12, 6
		capacity        = 50.0 // of a warm endpoint, in attempts per second
		requestRate     = 0.75 * count * capacity
		seconds         = 12
		startedAt       = time.Second
	)
	settings := testSettings()
	settings.Tier = 1
	endpoints := testEndpoints(count)
	endpoints[2].StartTime = startedAt
	var balancers []*Balancer
	for i := range replicas {
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
		balancers = append(balancers, b)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	var sent []time.Duration // to the endpoint that is warming up
	for i := range int(requestRate * seconds) {
		now := startedAt + time.Duration(float64(i)/requestRate*float64(time.Second))
		b := balancers[rng.IntN(replicas)]
		request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
		for _, s := range sendsOf(b.Handle(now, request)) {
			if s.Endpoint == endpoints[2].ID {
				sent = append(sent, now)
			}
			endFirstAttempt(b, now+20*ms, s, Success)
		}
	}
	if len(sent) < 20 {
		t.Fatalf("the endpoint that is warming up received only %d attempts, want at least 20", len(sent))
	}
	rule := settings.SlowStart
	for i, from := range sent {
		age := float64(from-startedAt) / float64(rule.Duration)
		fraction := min(1, rule.InitialFraction+(1-rule.InitialFraction)*age)
		limit := rule.OverloadMultiple * capacity * fraction * rule.OverloadWindow.Seconds()
		if n := sentWithin(sent, i, rule.OverloadWindow); float64(n) > limit {
			t.Fatalf("%d attempts in %v from %v, limit %.0f", n, rule.OverloadWindow, from, limit)
		}
	}
}
