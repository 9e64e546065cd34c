package balancer

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An endpoint that fails at once has few active attempts; without ejection it would win every pick.
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
				t.Errorf("the faulty endpoint got %d of 300 first attempts", got["s03"])
			}
		})
	}
}

// When all endpoints fail alike the fault is in what they depend on: none may be starved of attempts.
func TestCommonFailuresEjectFew(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	got := sendRequests(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 endpoints are still used", len(got))
	}
}

// A process that hangs shows nothing but an overdue attempt while others answer.
func TestUnresponsiveEndpointPassedOver(t *testing.T) {
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
		t.Errorf("the unresponsive endpoint holds %d attempts", unanswered)
	}
}

// An overdue attempt makes an endpoint unresponsive once attempts sent later were answered elsewhere, not before.
func TestUnresponsiveNeedsAnswersElsewhere(t *testing.T) {
	b := newServingBalancer(t, 4, nil)
	first := sendsOf(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0]
	hanging := b.endpoints.byID[first.Endpoint]
	b.Handle(5*time.Second, TimerFired{Token: "x"})
	if b.outliers.unresponsive(hanging, b.now) {
		t.Error("unresponsive although nothing was answered anywhere")
	}
	now := 5 * time.Second
	second := sendsOf(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	endFirstAttempt(b, now+10*ms, second, Success)
	if second.Endpoint == hanging.ID {
		return
	}
	if !b.outliers.isOutlier(hanging, requestOf(b, "get"), b.now) {
		t.Error("the hanging endpoint is no outlier")
	}
	if b.outliers.unresponsive(b.endpoints.byID[second.Endpoint], b.now) {
		t.Error("the endpoint that answered is taken for unresponsive")
	}
}

// After an ejection the first attempt must not be one of a request that cannot be repeated.
func TestTrialAfterEjectionIsRepeatable(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	e := b.endpoints.byID["s03"]
	e.ejectionLevel, e.ejectedUntil = 1, 0
	b.outliers.addSuspect(e)
	if got := sendRequests(b, 400, "pay", alwaysSucceed); got["s03"] != 0 {
		t.Errorf("an endpoint after its ejection got %d requests that are not idempotent", got["s03"])
	}
	if got := sendRequests(b, 400, "get", alwaysSucceed); got["s03"] == 0 {
		t.Error("the endpoint was never tried again")
	}
}

// A small machine is slower without a fault, and must not be drawn less for it once more.
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
				t.Errorf("slowness %.2f, want it above 0.3: %v", slowness, wantSlow)
			}
		})
	}
}

// Under overload every endpoint is needed: the more is shed, the fewer may be excluded.
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
				b.outliers.addSuspect(e)
			}
			b.queue.shedRate = c.shedRate
			if got := len(b.excludedEndpoints(requestOf(b, "get"))); got != c.want {
				t.Errorf("%d excluded, want %d", got, c.want)
			}
		})
	}
}

// Of a short list too an endpoint that fails at once can be excluded; of a list of two, or under overload, not.
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
				t.Errorf("%d excluded, want %d", got, c.want)
			}
		})
	}
}

// Operators see how many endpoints are excluded as outliers, and no more than are.
func TestEjectedCount(t *testing.T) {
	b := newServingBalancer(t, 10, nil)
	if n := b.EjectedCount(0); n != 0 {
		t.Errorf("%d at the start", n)
	}
	for i, e := range b.endpoints.ready[:4] {
		b.outliers.eject(e, b.classes.find("get"), b.now)
		if n := b.EjectedCount(0); n != min(i+1, 2) {
			t.Errorf("%d ejected, %d counted; 2 of 10 may be excluded", i+1, n)
		}
	}
	if n := b.EjectedCount(time.Hour); n != 0 {
		t.Errorf("%d when every ejection is over", n)
	}
}

// activeSend is an attempt whose outcome has not been given yet.
type activeSend struct {
	Send
	attempt int
}

// Whatever happens, the suspects are all endpoints that a scan of the whole list would find, in the same order,
// and none without a reason; and the ready endpoints are in the shared order, each once.
func TestSuspectsAreComplete(t *testing.T) {
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
			checkSuspects(t, b)
			checkSharedOrder(t, b)
		}
	})
}

// drawEvent draws a request, the outcome of an active attempt, or a change of an endpoint; nil: no event.
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

// checkSuspects compares the outliers among the suspects with those of the whole list.
func checkSuspects(t *rapid.T, b *Balancer) {
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
			t.Fatalf("%s: %d found of %d", class, len(got), len(want))
		}
	}
	for _, e := range b.outliers.suspects {
		if e.activeAttempts == 0 && e.ejectionLevel == 0 && b.now >= e.ejectedUntil {
			t.Fatalf("%s is a suspect without a reason", e.ID)
		}
	}
}

// checkSharedOrder compares the ready endpoints with a scan of all that are known.
func checkSharedOrder(t *rapid.T, b *Balancer) {
	ready := 0
	for _, e := range b.endpoints.byID {
		if e.listed && e.State == Ready {
			ready++
		}
	}
	inOrder := slices.IsSortedFunc(b.endpoints.ready, func(x, y *endpoint) int {
		return min(1, 2*b.endpoints.compare(x, y)+1) // equal ones count as out of order
	})
	if !inOrder || ready != len(b.endpoints.ready) {
		t.Fatalf("%d endpoints in order (%v), %d are ready", len(b.endpoints.ready), inOrder, ready)
	}
}
