package balancer

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An endpoint that fails immediately has few active attempts and would win every pick without
// ejection.
func TestFastFailuresAreEjected(t *testing.T) {
	for name, result := range map[string]Result{
		"failure": Failure, "unreachable": Unreachable, "connection lost": ConnectionLost,
	} {
		t.Run(name, func(t *testing.T) {
			b := newServingBalancer(t, 10, nil)
			got := sendRequests(b, 600, "get", func(endpoint string) Result {
				if endpoint == "s03" {
					return result
				}
				return Success
			})
			if got["s03"] > 10 {
				t.Errorf("the faulty endpoint got %d of 300 first attempts, want at most 10", got["s03"])
			}
		})
	}
}

// Failures of all endpoints are caused by a shared dependency. Most endpoints must still receive
// attempts.
func TestCommonFailuresEjectFew(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	got := sendRequests(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 endpoints still receive attempts, want at least 8", len(got))
	}
}

// When a process hangs, the only symptom is an overdue attempt while other endpoints respond.
func TestUnresponsiveEndpointSkipped(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	unanswered, now := 0, time.Duration(0)
	for i := range 600 {
		now += 20 * ms
		request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Minute}
		for _, s := range sendsOf(b.Handle(now, request)) {
			if s.Endpoint == "s03" {
				unanswered++
			} else {
				endFirstAttempt(b, now+10*ms, s, Success)
			}
		}
	}
	if unanswered == 0 || unanswered > 6 {
		t.Errorf("the unresponsive endpoint holds %d attempts, want 1 to 6", unanswered)
	}
}

// An overdue attempt makes an endpoint unresponsive only once other endpoints have responded to
// later attempts.
func TestUnresponsiveRequiresResponsesElsewhere(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	first := sendsOf(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0]
	hanging := b.endpoints.byID[first.Endpoint]
	b.Handle(5*time.Second, TimerFired{Token: "x"})
	if b.outliers.unresponsive(hanging, b.now) {
		t.Error("endpoint is unresponsive although no other endpoint has responded")
	}
	now := 5 * time.Second
	second := sendsOf(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	endFirstAttempt(b, now+10*ms, second, Success)
	if second.Endpoint == hanging.ID {
		return
	}
	if !b.outliers.isOutlier(hanging, requestOf(b, "get"), b.now) {
		t.Error("the hanging endpoint is not an outlier")
	}
	if b.outliers.unresponsive(b.endpoints.byID[second.Endpoint], b.now) {
		t.Error("the endpoint that responded is unresponsive")
	}
}

// After an ejection, an endpoint must not be probed with a request that cannot be repeated.
func TestProbeAfterEjectionIsRepeatable(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	e := b.endpoints.byID["s03"]
	e.ejectionLevel, e.ejectedUntil = 1, 0
	b.outliers.addPossibleOutlier(e)
	if got := sendRequests(b, 400, "pay", alwaysSucceed); got["s03"] != 0 {
		t.Errorf("an endpoint received %d non-idempotent requests as probes after its ejection", got["s03"])
	}
	if got := sendRequests(b, 400, "get", alwaysSucceed); got["s03"] == 0 {
		t.Error("the endpoint was never probed")
	}
}

// A small machine is slower without being faulty, so its low weight must not be applied a second
// time as slowness.
func TestLowWeightIsNotSlowness(t *testing.T) {
	for kind, wantSlow := range map[WeightKind]bool{WeightNominal: false, WeightUnknown: true} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			b := newTestBalancer(t, func(s *Settings) { s.WeightKind = kind })
			endpoints := testEndpoints(4)
			for i := range endpoints {
				endpoints[i].Weight = []float64{1, 3}[i/2]
			}
			b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
			for i := range 400 {
				now := time.Duration(i) * time.Second
				request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
				for _, s := range sendsOf(b.Handle(now, request)) {
					latency := time.Duration(120/b.endpoints.byID[s.Endpoint].Weight) * ms
					endFirstAttempt(b, now+latency, s, Success)
				}
			}
			slowness := max(b.endpoints.byID["s00"].slowness, b.endpoints.byID["s01"].slowness)
			if slow := slowness > 0.3; slow != wantSlow {
				t.Errorf("slowness %.2f, want above 0.3: %v", slowness, wantSlow)
			}
		})
	}
}

// Every endpoint is needed under overload, so fewer may be excluded while more requests are shed.
func TestSheddingExcludesFewerEndpoints(t *testing.T) {
	for _, c := range []struct {
		shedRate float64
		want     int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		t.Run(fmt.Sprint("shed rate ", c.shedRate), func(t *testing.T) {
			b := newTestBalancer(t, nil)
			b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(20)})
			for _, e := range b.endpoints.ready[:10] {
				e.ejectedUntil = time.Minute
				b.outliers.addPossibleOutlier(e)
			}
			b.queue.shedRate = c.shedRate
			if got := len(b.excludedEndpoints(requestOf(b, "get"))); got != c.want {
				t.Errorf("got %d excluded endpoints, want %d", got, c.want)
			}
		})
	}
}

// One endpoint of a short list may be excluded, but none if the list has only two or most requests
// are shed.
func TestShortListExcludesOne(t *testing.T) {
	for _, c := range []struct {
		endpoints int
		shedRate  float64
		want      int
	}{{4, 0, 1}, {3, 0.4, 1}, {2, 0, 0}, {1, 0, 0}, {4, 0.6, 0}, {10, 0, 2}, {9, 0, 1}} {
		t.Run(fmt.Sprintf("%d endpoints, shed rate %v", c.endpoints, c.shedRate), func(t *testing.T) {
			b := newServingBalancer(t, c.endpoints, nil)
			b.queue.shedRate = c.shedRate
			for _, e := range b.endpoints.ready {
				b.outliers.eject(e, b.classes.find("get"), b.now)
			}
			if got := len(b.excludedEndpoints(requestOf(b, "get"))); got != c.want {
				t.Errorf("got %d excluded endpoints, want %d", got, c.want)
			}
		})
	}
}

// EjectedCount returns the number of endpoints that are excluded as outliers, up to the number that
// may be.
func TestEjectedCount(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	if n := b.EjectedCount(0); n != 0 {
		t.Errorf("got %d at the start, want 0", n)
	}
	for i, e := range b.endpoints.ready[:4] {
		b.outliers.eject(e, b.classes.find("get"), b.now)
		if n := b.EjectedCount(0); n != min(i+1, 2) {
			t.Errorf("%d of 10 endpoints ejected: got a count of %d, want as many, but at most 2", i+1, n)
		}
	}
	if n := b.EjectedCount(time.Hour); n != 0 {
		t.Errorf("got %d after the end of all ejections, want 0", n)
	}
}

// activeSend is an attempt whose outcome the Balancer has not received yet.
type activeSend struct {
	Send
	attempt int
}

// After every event, the outliers among possibleOutliers equal those of the whole list, in the same
// order. Every endpoint in possibleOutliers has a reason to be there. The ready endpoints are in the
// shared order without duplicates.
func TestPossibleOutliersAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testSettings(), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		endpoints := testEndpoints(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
		var active []activeSend
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * ms
			event := drawEvent(t, now, fmt.Sprint(i), endpoints, &active)
			if event == nil {
				continue
			}
			for _, s := range sendsOf(b.Handle(now, event)) {
				active = append(active, activeSend{s, len(b.requests[s.ID].attempts) - 1})
			}
			checkPossibleOutliers(t, b)
			checkSharedOrder(t, b)
		}
	})
}

// drawEvent draws a request, the outcome of an active attempt or a change of an endpoint. It
// returns nil if it draws an outcome and no attempt is active.
func drawEvent(t *rapid.T, now time.Duration, id string, endpoints []Endpoint, active *[]activeSend) Event {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0, 1, 2:
		class := rapid.SampledFrom([]string{"get", "post", "pay"}).Draw(t, "class")
		return Request{ID: id, Class: class, Deadline: now + 1500*ms}
	case 3, 4:
		if len(*active) == 0 {
			return nil
		}
		k := rapid.IntRange(0, len(*active)-1).Draw(t, "which")
		s := (*active)[k]
		*active = slices.Delete(*active, k, k+1)
		results := []Result{Success, Failure, TimedOut, ConnectionLost, Overloaded}
		result := rapid.SampledFrom(results).Draw(t, "result")
		return Outcome{ID: s.ID, Attempt: s.attempt, Endpoint: s.Endpoint, Result: result,
			RequestDone: result == Success}
	default:
		k := rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")
		endpoints[k].State = EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
		endpoints[k].StartTime += time.Duration(rapid.IntRange(0, 1).Draw(t, "restart"))
		return EndpointUpdate{Endpoints: endpoints[k : k+1]}
	}
}

// checkPossibleOutliers compares the outliers among possibleOutliers with those of the whole list.
func checkPossibleOutliers(t *rapid.T, b *Balancer) {
	for _, class := range []string{"get", "pay"} {
		r := requestOf(b, class)
		var want []*endpoint
		for _, e := range b.endpoints.ready {
			if b.outliers.isOutlier(e, r, b.now) {
				want = append(want, e)
			}
		}
		sort.SliceStable(want, func(i, j int) bool {
			return want[i].consecutiveFailures > want[j].consecutiveFailures
		})
		if got := b.outliers.outliersFor(r, b.now); !slices.Equal(got, want) {
			t.Fatalf("%s: got %d outliers, want %d in the same order", class, len(got), len(want))
		}
	}
	for _, e := range b.outliers.possibleOutliers {
		if e.activeAttempts == 0 && e.ejectionLevel == 0 && b.now >= e.ejectedUntil {
			t.Fatalf("%s is a possible outlier without a reason", e.ID)
		}
	}
}

// checkSharedOrder compares the ready endpoints with a scan of all known endpoints.
func checkSharedOrder(t *rapid.T, b *Balancer) {
	ready := 0
	for _, e := range b.endpoints.byID {
		if e.listed && e.State == Ready {
			ready++
		}
	}
	inOrder := slices.IsSortedFunc(b.endpoints.ready, func(x, y *endpoint) int {
		return min(1, 2*b.endpoints.compare(x, y)+1) // equal endpoints count as unordered
	})
	if !inOrder || ready != len(b.endpoints.ready) {
		t.Fatalf("%d ready endpoints, sorted: %v, want %d sorted", len(b.endpoints.ready), inOrder, ready)
	}
}
