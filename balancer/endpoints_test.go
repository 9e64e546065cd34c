package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestReplicasAgreeOnSharedOrder(t *testing.T) {
	const count = 7
	endpoints := testEndpoints(count)
	atOnce := newServingBalancer(t, count, nil)
	oneByOne := newTestBalancer(t, nil)
	for i := count - 1; i >= 0; i-- {
		oneByOne.Handle(0, EndpointUpdate{Endpoints: endpoints[i : i+1]})
	}
	for i := range endpoints {
		if x, y := atOnce.endpoints.ready[i].ID, oneByOne.endpoints.ready[i].ID; x != y {
			t.Fatalf("order differs at index %d: %s and %s", i, x, y)
		}
	}
}

// In a large fleet, the replicas' subsets must cover all endpoints about evenly, span the cells,
// and contain endpoints of both groups.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	const replicas, count = 300, 90
	endpoints := testEndpoints(count)
	for i := range endpoints {
		endpoints[i].Cell = i / 6
	}
	members := map[string]int{}
	for index := range replicas {
		b := newTestBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = replicas, index })
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
		subset, inSecondGroup, cells := b.endpoints.subset, 0, map[int]int{}
		for _, e := range subset {
			members[e.ID]++
			cells[e.Cell]++
			if e.secondGroup {
				inSecondGroup++
			}
		}
		if len(subset) != minSubset || inSecondGroup != len(subset)/2 {
			t.Fatalf("replica %d has %d endpoints, %d in the second group", index, len(subset), inSecondGroup)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("replica %d has %d endpoints of cell %d", index, n, cell)
			}
		}
	}
	for _, e := range endpoints {
		mean := float64(replicas*minSubset) / count
		if n := float64(members[e.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("endpoint %s is in %.0f subsets, mean %.0f", e.ID, n, mean)
		}
	}
	b := newServingBalancer(t, minSubset, func(s *Settings) { s.Replicas, s.ReplicaIndex = replicas, 7 })
	if len(b.endpoints.subset) != minSubset {
		t.Errorf("a list as long as a subset is cut to %d endpoints", len(b.endpoints.subset))
	}
}

// An endpoint with a new start time is a new process, so its history is discarded.
func TestRestartResetsEndpoint(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	e := b.endpoints.byID["s01"]
	e.ejectedUntil, e.ejectionLevel, e.slowness = time.Hour, 3, 1
	restarted := testEndpoints(4)[1:2]
	restarted[0].StartTime = time.Second
	b.Handle(2*time.Second, EndpointUpdate{Endpoints: restarted})
	if e := b.endpoints.byID["s01"]; e.ejectedUntil != 0 || e.ejectionLevel != 0 || e.slowness != 0 {
		t.Errorf("history kept after a restart: %+v", e)
	}
}

// BenchmarkEndpointCount measures how the cost of a request, and of an update of one endpoint,
// grows with the endpoint list.
func BenchmarkEndpointCount(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		replicas := func(s *Settings) { s.Replicas = max(2, n/10) }
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			bal, now := newServingBalancer(b, n, replicas), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += ms
				request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Minute}
				for _, s := range sendsOf(bal.Handle(now, request)) {
					endFirstAttempt(bal, now, s, Success)
				}
			}
		})
		b.Run(fmt.Sprintf("update/%d", n), func(b *testing.B) {
			bal, now, endpoints := newServingBalancer(b, n, replicas), time.Duration(0), testEndpoints(n)
			for i := 0; b.Loop(); i++ {
				now += ms
				endpoints[0].State = EndpointState(i % 2)
				bal.Handle(now, EndpointUpdate{Endpoints: endpoints[:1]})
			}
		})
	}
}
