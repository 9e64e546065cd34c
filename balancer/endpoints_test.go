package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestReplicasAgreeOnSharedOrder(t *testing.T) {
	a, b := newTestBalancer(t, nil), newTestBalancer(t, nil)
	l := testEndpoints(7)
	a.Handle(0, EndpointUpdate{Full: true, Endpoints: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: l[i : i+1]})
	}
	for i := range l {
		if a.endpoints.ready[i].ID != b.endpoints.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.endpoints.ready[i].ID, b.endpoints.ready[i].ID)
		}
	}
}

// At full size the copies' subsets must cover all servers about evenly, span the pods, and hold
// servers of both groups; a list no longer than a subset is drawn from whole.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	const copies, fleet = 300, 90
	list := testEndpoints(fleet)
	for i := range list {
		list[i].Cell = i / 6
	}
	drawn := map[string]int{}
	for me := range copies {
		b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = copies, me })
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		right, cells := 0, map[int]int{}
		for _, s := range b.endpoints.subset {
			drawn[s.ID]++
			cells[s.Cell]++
			if s.secondGroup {
				right++
			}
		}
		if len(b.endpoints.subset) != minSubset || right != len(b.endpoints.subset)/2 {
			t.Fatalf("copy %d draws from %d servers, %d of them right", me, len(b.endpoints.subset), right)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("copy %d has %d servers of pod %d", me, n, cell)
			}
		}
	}
	for _, s := range list {
		mean := float64(copies*minSubset) / fleet
		if n := float64(drawn[s.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("server %s is drawn from by %.0f copies, mean %.0f", s.ID, n, mean)
		}
	}
	b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = copies, 7 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: list[:minSubset]})
	if len(b.endpoints.subset) != minSubset {
		t.Errorf("a list of a subset's length is cut to %d", len(b.endpoints.subset))
	}
}

// A server that comes back with a new start time is another one: what was held against it is forgotten.
func TestRestartResetsEndpoint(t *testing.T) {
	b := newTestBalancer(t, nil)
	list := testEndpoints(4)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
	s := b.endpoints.byID["s01"]
	s.ejectedUntil, s.ejectionLevel, s.slowness = time.Hour, 3, 1
	list[1].StartTime = time.Second
	b.Handle(2*time.Second, EndpointUpdate{Endpoints: list[1:2]})
	if s := b.endpoints.byID["s01"]; s.ejectedUntil != 0 || s.ejectionLevel != 0 || s.slowness != 0 {
		t.Errorf("after its restart: %+v", s)
	}
}

// How the cost of a request, and of one server's news, grows with the list.
func BenchmarkEndpointCount(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		start := func() *Balancer {
			bal := newTestBalancer(b, func(s *Settings) { s.Replicas = max(2, n/10) })
			bal.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(n)})
			return bal
		}
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			bal, now := start(), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += ms
				id := fmt.Sprint(i)
				for _, s := range sendsOf(bal.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
					endAttempt(bal, now, id, s, Success)
				}
			}
		})
		b.Run(fmt.Sprintf("news/%d", n), func(b *testing.B) {
			bal, now, list := start(), time.Duration(0), testEndpoints(n)
			for i := 0; b.Loop(); i++ {
				now += ms
				list[0].State = EndpointState(i % 2)
				bal.Handle(now, EndpointUpdate{Endpoints: list[:1]})
			}
		})
	}
}
