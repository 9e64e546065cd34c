package balancer

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A server that errs at once drains its count; without ejection it would win every draw.
func TestFastFailuresAreEjected(t *testing.T) {
	for _, e := range []Result{Failure, Unreachable, ConnectionLost} {
		b := newTestBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
		got := sendRequests(b, 600, "get", func(s string) Result {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// When every server fails alike the trouble is below them: nobody may be starved of calls.
func TestCommonFailuresEjectFew(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	got := sendRequests(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A machine gone quiet shows nothing but an old unanswered call while others answer.
func TestUnresponsiveEndpointPassedOver(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * ms
		for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Endpoint == "s03" {
				stuck++
			} else {
				endAttempt(b, now+10*ms, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// An unanswered call is a sign of silence once calls sent later were answered elsewhere, not before.
func TestUnresponsiveNeedsAnswersElsewhere(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4)})
	stuck := b.endpoints.byID[sendsOf(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0].Endpoint]
	b.Handle(5*time.Second, TimerFired{Token: "x"})
	if b.outliers.unresponsive(stuck, b.now) {
		t.Error("silent although nothing was answered anywhere")
	}
	now := 5 * time.Second
	s := sendsOf(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	endAttempt(b, now+10*ms, "new", s, Success)
	if s.Endpoint != stuck.ID && !b.outliers.isOutlier(stuck, &request{class: b.classes.byName["get"]}, b.now) || b.outliers.unresponsive(b.endpoints.byID[s.Endpoint], b.now) && s.Endpoint != stuck.ID {
		t.Error("the wrong server is taken for silent")
	}
}

// After an ejection the first trial must not be a request that cannot be repeated.
func TestTrialAfterEjectionIsRepeatable(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	s := b.endpoints.byID["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	b.outliers.addSuspect(s)
	if got := sendRequests(b, 400, "pay", func(string) Result { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := sendRequests(b, 400, "get", func(string) Result { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// A small machine is slower by nature: that is no sign of trouble, and no reason to thin its draw twice.
func TestLowWeightIsNotSlowness(t *testing.T) {
	for kind, slow := range map[WeightKind]bool{WeightNominal: false, WeightUnknown: true} {
		b := newTestBalancer(t, func(s *Settings) { s.WeightKind = kind })
		list := testEndpoints(4)
		for i := range list {
			list[i].Weight = []float64{1, 3}[i/2]
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		for i := range 400 {
			now, id := time.Duration(i)*time.Second, fmt.Sprint(i)
			for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				endAttempt(b, now+time.Duration(120/b.endpoints.byID[s.Endpoint].Weight)*ms, id, s, Success)
			}
		}
		if got := max(b.endpoints.byID["s00"].slowness, b.endpoints.byID["s01"].slowness); got > 0.3 != slow {
			t.Errorf("sizes %d: slowness %.2f", kind, got)
		}
	}
}

// In overload every server is missed: the more is shed, the fewer may be ruled out for their health.
func TestSheddingExcludesFewerEndpoints(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newTestBalancer(t, nil)
		b.Handle(ms, EndpointUpdate{Full: true, Endpoints: testEndpoints(20)})
		for _, s := range b.endpoints.ready[:10] {
			s.ejectedUntil = time.Minute
			b.outliers.addSuspect(s)
		}
		b.queue.shedRate = c.shed
		out := len(b.excludedEndpoints(&request{class: b.classes.byName["get"]}))
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// A short list too can spare a server that fails at once; a list of two, or a node in overload, can not.
func TestShortListExcludesOne(t *testing.T) {
	for _, c := range []struct {
		servers int
		shed    float64
		want    int
	}{{4, 0, 1}, {3, 0.4, 1}, {2, 0, 0}, {1, 0, 0}, {4, 0.6, 0}, {10, 0, 2}, {9, 0, 1}} {
		b := newTestBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(c.servers)})
		b.queue.shedRate = c.shed
		for _, s := range b.endpoints.ready {
			b.outliers.eject(s, b.classes.byName["get"], b.now)
		}
		if n := len(b.excludedEndpoints(&request{class: b.classes.byName["get"]})); n != c.want {
			t.Errorf("%d of %d servers are ruled out with %v shed, want %d", n, c.servers, c.shed, c.want)
		}
	}
}

// Operators see how many servers are kept out for their health, and no more than are.
func TestEjectedCount(t *testing.T) {
	b := newTestBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	if n := b.EjectedCount(0); n != 0 {
		t.Errorf("%d avoided at the start", n)
	}
	for i, s := range b.endpoints.ready[:4] {
		b.outliers.eject(s, b.classes.byName["get"], b.now)
		if n := b.EjectedCount(0); n != min(i+1, 2) {
			t.Errorf("%d ejected, %d avoided; 2 of 10 may be", i+1, n)
		}
	}
	if n := b.EjectedCount(time.Hour); n != 0 {
		t.Errorf("%d avoided when every ejection is over", n)
	}
}

// The servers that a pick looks at for their health are all that a look at the whole list would find, in the same
// order, and the ready ones are in the shared order, each once, whatever has happened; and none stays among them for nothing.
func TestSuspectsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testSettings(), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		list := testEndpoints(rapid.IntRange(1, 12).Draw(t, "servers"))
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		type call struct {
			id string
			Send
			n int
		}
		var out []call
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * ms
			var did []Action
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				class := rapid.SampledFrom([]string{"get", "post", "pay"}).Draw(t, "class")
				did = b.Handle(now, Request{ID: fmt.Sprint(i), Class: class, Deadline: now + 1500*ms})
			case 3, 4:
				if len(out) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				c := out[k]
				out = append(out[:k:k], out[k+1:]...)
				e := rapid.SampledFrom([]Result{Success, Failure, TimedOut, ConnectionLost, Overloaded}).Draw(t, "ending")
				did = b.Handle(now, Outcome{ID: c.id, Attempt: c.n, Endpoint: c.Endpoint, Result: e, RequestDone: e == Success})
			case 5:
				k := rapid.IntRange(0, len(list)-1).Draw(t, "server")
				list[k].State = EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				list[k].StartTime += time.Duration(rapid.IntRange(0, 1).Draw(t, "boot"))
				did = b.Handle(now, EndpointUpdate{Endpoints: list[k : k+1]})
			}
			for _, a := range did {
				if s, is := a.(Send); is {
					out = append(out, call{s.ID, s, len(b.requests[s.ID].attempts) - 1})
				}
			}
			for _, class := range []string{"get", "pay"} {
				r := &request{class: b.classes.byName[class]}
				var want []*endpoint
				for _, s := range b.endpoints.ready {
					if b.outliers.isOutlier(s, r, b.now) {
						want = append(want, s)
					}
				}
				sort.SliceStable(want, func(i, j int) bool { return want[i].consecutiveFailures > want[j].consecutiveFailures })
				if got := b.outliers.outliersFor(r, b.now); !slices.Equal(got, want) {
					t.Fatalf("%s: %d found of %d", class, len(got), len(want))
				}
			}
			inOrder := slices.IsSortedFunc(b.endpoints.ready, func(x, y *endpoint) int { return min(1, 2*b.endpoints.compare(x, y)+1) })
			if ready := scanReady(b); !inOrder || len(ready) != len(b.endpoints.ready) {
				t.Fatalf("%d servers in order (%v), %d are ready", len(b.endpoints.ready), inOrder, len(ready))
			}
			for _, s := range b.outliers.suspects {
				if s.activeAttempts == 0 && s.ejectionLevel == 0 && now >= s.ejectedUntil {
					t.Fatalf("%s is watched for nothing", s.ID)
				}
			}
		}
	})
}

// scanReady finds the ready servers among all that are known.
func scanReady(b *Balancer) map[string]bool {
	ready := map[string]bool{}
	for id, s := range b.endpoints.byID {
		if s.listed && s.State == Ready {
			ready[id] = true
		}
	}
	return ready
}
