package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Endpoints are sampled in proportion to their weights if these are capacities. Sampling is uniform
// if the list provides no weights, or weights that reflect an earlier load.
func TestSamplingFollowsWeights(t *testing.T) {
	for kind, wantRatio := range map[WeightKind]float64{
		WeightNominal: 3, WeightApproximate: 3, WeightUnknown: 1, WeightLive: 1,
	} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			b := newTestBalancer(t, func(s *Settings) { s.WeightKind = kind })
			endpoints := testEndpoints(8)
			for i := range endpoints {
				endpoints[i].Weight = []float64{1, 3}[i%2]
			}
			b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
			draws := sendRequests(b, 8000, "get", alwaysSucceed)
			byWeight := map[float64]int{}
			for _, e := range endpoints {
				byWeight[e.Weight] += draws[e.ID]
			}
			ratio := float64(byWeight[3]) / float64(byWeight[1])
			if ratio < 0.75*wantRatio || ratio > 1.25*wantRatio {
				t.Errorf("ratio of heavy to light endpoints: got %.2f, want %.0f", ratio, wantRatio)
			}
		})
	}
}

// An endpoint that takes twice as long as the others is sampled less often but not ejected. An
// endpoint that gets expensive requests, as shown by their cost hints, does not count as slow.
func TestSamplingFollowsMeasuredLatency(t *testing.T) {
	const cheap = 10 * ms
	for _, c := range []struct {
		name               string
		costMultiple       time.Duration // cost of one request in ten; zero if all are cheap
		minShare, maxShare float64
	}{
		{"slow endpoint", 0, 0.03, 0.14},
		{"expensive requests", 16, 0.2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newServingBalancer(t, 4, nil)
			draws, total, now := 0, 0, time.Duration(0)
			for i := range 4000 {
				cost := cheap
				if c.costMultiple > 0 && i%40 < 4 {
					cost *= c.costMultiple
				}
				now += time.Second
				request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second, CostHint: cost}
				for _, s := range sendsOf(b.Handle(now, request)) {
					total++
					latency := 100 * ms
					if s.Endpoint == "s03" {
						draws++
						if c.costMultiple == 0 || cost > cheap {
							latency *= 2
						}
					}
					endFirstAttempt(b, now+latency, s, Success)
				}
			}
			if share := float64(draws) / float64(total); share < c.minShare || share > c.maxShare {
				t.Errorf("share of the endpoint: got %.3f, want %.2f to %.2f", share, c.minShare, c.maxShare)
			}
		})
	}
}

// An endpoint with more active attempts than the subset's mean, and at least two, is skipped while
// other endpoints remain. An endpoint with a single active attempt is never skipped, because the pick
// compares it with idle ones.
func TestBusierEndpointsSkipped(t *testing.T) {
	b := newServingBalancer(t, 6, nil)
	for _, c := range []struct {
		name           string
		activeAttempts []int
		want           []int // ranks of the candidates
	}{
		{"two attempts, mean below one", []int{2, 1, 0, 0, 1, 0}, []int{1, 2, 3, 4, 5}},
		{"three attempts, mean above two", []int{3, 2, 2, 1, 2, 3}, []int{1, 2, 3, 4}},
		{"one each", []int{1, 1, 1, 1, 1, 1}, []int{0, 1, 2, 3, 4, 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b.limiter.inFlight = 0
			for i, e := range b.endpoints.ready {
				e.activeAttempts = c.activeAttempts[i]
				b.limiter.inFlight += e.activeAttempts
			}
			var got []int
			for _, e := range b.candidates(requestOf(b, "get")) {
				got = append(got, e.rank)
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("active attempts %v: candidates %v, want %v", c.activeAttempts, got, c.want)
			}
		})
	}
}

// Endpoints whose connection tables are full of connections of other replicas reject immediately.
// An endpoint that rejects an attempt is limited to the other attempts that it has at that time,
// regardless of how many endpoints reject. It is tried again later.
func TestRejectionLimitsEndpoint(t *testing.T) {
	b := newTestBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	full := []string{"s00", "s02", "s03", "s05", "s06", "s08"}
	now, id := ms, 0
	rejections := func(requests int) (count int) {
		for range requests {
			now += 5 * ms
			id++
			sends := sendsOf(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for attempt := 0; len(sends) > 0; attempt++ {
				result := Success
				if slices.Contains(full, sends[0].Endpoint) {
					result = Unreachable
					count++
				}
				now += 2 * ms
				sends = sendsOf(b.Handle(now, Outcome{ID: fmt.Sprint(id), Attempt: attempt,
					Endpoint: sends[0].Endpoint, Result: result, RequestDone: result == Success}))
			}
		}
		return count
	}
	atFirst := rejections(20)
	if atFirst < 5 {
		t.Fatalf("got %d rejections, want at least 5 so that the full endpoints are detected", atFirst)
	}
	if got := rejections(20); got > atFirst/2 {
		t.Errorf("got %d rejections after %d: full endpoints are still used", got, atFirst)
	}
	now += time.Minute
	if rejections(20) == 0 {
		t.Error("full endpoints were never tried again")
	}
}
