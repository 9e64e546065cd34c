package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A deploy can leave a copy with cold servers only in its subset: while there are warm ones in the list
// it must go there, or all copies that share the cold ones push them over.
func TestWarmEndpointsBeyondSubsetBeforeWarmingUp(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.SlowStart.InitialFraction = 100, 0 })
	list := testEndpoints(40)
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: list})
	cold := map[string]bool{}
	for _, s := range b.endpoints.subset {
		cold[s.ID] = true
	}
	for i := range list {
		if cold[list[i].ID] {
			list[i].StartTime = time.Minute
		}
	}
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: list})
	for i := range 20 {
		for _, s := range sendsOf(b.Handle(time.Minute+time.Duration(i)*ms, Request{ID: fmt.Sprint(i), Class: "get",
			Deadline: 2 * time.Minute})) {
			if cold[s.Endpoint] {
				t.Fatalf("request %d went to a server that started %d ms ago", i, i)
			}
		}
	}
}

// Copies that are left with cold servers alone keep together to what these bear, whichever of them have the requests:
// N and 2 roots of N + 2 within FallFor, N by what a warm server had borne.
func TestWarmupBudgetOverAllReplicas(t *testing.T) {
	for _, copies := range []int{3, 30, 300} {
		rng := rand.New(rand.NewPCG(uint64(copies), 1))
		set := testSettings()
		set.Replicas = copies
		const listed, left, rate = 20, 2, 200.0 // requests a second
		all := testEndpoints(listed)
		var bs []*Balancer
		for i := range copies {
			set.ReplicaIndex = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Full: true, Endpoints: all})
			bs = append(bs, b)
		}
		type end struct {
			at  time.Duration
			b   *Balancer
			out Outcome
		}
		var ends []end
		sent := map[string][]time.Duration{}           // to cold servers
		shrink, over := 10*time.Second, 19*time.Second // by then they are warm
		do := func(b *Balancer, now time.Duration, acts []Action) {
			for _, s := range sendsOf(acts) {
				ends = append(ends, end{now + 100*ms, b, Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: Success, RequestDone: true}})
				if now >= shrink {
					sent[s.Endpoint] = append(sent[s.Endpoint], now)
				}
			}
		}
		for now, n := time.Duration(0), 0; now < over; now += time.Duration(rng.ExpFloat64() / rate * 1e9) {
			for len(ends) > 0 && ends[0].at <= now {
				e := ends[0]
				ends = ends[1:]
				do(e.b, e.at, e.b.Handle(e.at, e.out))
			}
			if shrink > 0 && now >= shrink && n >= 0 {
				for _, b := range bs {
					cold := slices.Clone(all[:left])
					for i := range cold {
						cold[i].StartTime = shrink - time.Second
					}
					do(b, now, b.Handle(now, EndpointUpdate{Full: true, Endpoints: cold}))
				}
				n = -1 << 30
			}
			n++
			// Every third request goes to a tenth of the copies.
			b := bs[rng.IntN(copies)]
			if n%3 == 0 {
				b = bs[rng.IntN(max(1, copies/10))]
			}
			do(b, now, b.Handle(now, Request{ID: fmt.Sprint(copies, "-", now), Class: "get", Deadline: now + 1500*ms}))
		}
		for id, l := range sent {
			for i, from := range l {
				k := i
				for k < len(l) && l[k] < from+set.SlowStart.OverloadWindow {
					k++
				}
				age := float64(from+set.SlowStart.OverloadWindow-shrink+time.Second) / float64(set.SlowStart.Duration)
				warmth := set.SlowStart.InitialFraction + (1-set.SlowStart.InitialFraction)*min(1, age)
				bears := set.SlowStart.OverloadMultiple * warmth * rate / listed / 0.75 * set.SlowStart.OverloadWindow.Seconds()
				if most := bears + 2*math.Sqrt(bears) + 2; float64(k-i) > most {
					t.Fatalf("%d copies sent %d calls to %s within %v of %v, with %.0f at the most", copies, k-i, id, set.SlowStart.OverloadWindow, from, most)
				}
			}
		}
		if len(sent) != left {
			t.Errorf("%d copies: cold servers got %v", copies, sent)
		}
	}
}

// Cold budget: 12 copies send to 6 servers of which one is fresh, at three quarters of capacity.
// What all send it in any FallFor must stay under FallMultiple times what it can do then.
func TestWarmingUpEndpointIsNotOverloaded(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	const copies, capacity = 12, 50.0 // a warm server's calls a second
	list := testEndpoints(6)
	list[2].StartTime = time.Second
	var bs []*Balancer
	for i := range copies {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		bs = append(bs, b)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	var cold []time.Duration
	for i := 0; i < int(0.75*6*capacity*12); i++ {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		b, id := bs[rng.IntN(copies)], fmt.Sprint(i)
		for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			if s.Endpoint == list[2].ID {
				cold = append(cold, now)
			}
			b.Handle(now+20*ms, Outcome{ID: id, Endpoint: s.Endpoint, Result: Success, RequestDone: true})
		}
	}
	if len(cold) < 20 {
		t.Fatalf("the cold server got only %d calls", len(cold))
	}
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at < cold[i]+set.SlowStart.OverloadWindow {
				n++
			}
		}
		grown := float64(cold[i]-time.Second) / float64(set.SlowStart.Duration)
		limit := set.SlowStart.OverloadMultiple * capacity * min(1, set.SlowStart.InitialFraction+(1-set.SlowStart.InitialFraction)*grown) * set.SlowStart.OverloadWindow.Seconds()
		if float64(n) > limit {
			t.Fatalf("%d calls in %v from %v, limit %.0f", n, set.SlowStart.OverloadWindow, cold[i], limit)
		}
	}
}
