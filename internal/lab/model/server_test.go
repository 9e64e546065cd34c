package model

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// stubBackend is an Observer and a Backend for a server that calls nobody.
type stubBackend struct{ crashes int }

func (*stubBackend) CallSent(*Call)                                {}
func (*stubBackend) ResponseReceived(*Call, Response)              {}
func (*stubBackend) CallAbandoned(*Call)                           {}
func (*stubBackend) AttemptArrived(*Attempt, int)                  {}
func (*stubBackend) AttemptEnded(*Attempt, Outcome)                {}
func (*stubBackend) NodeNotified(int, int, State)                  {}
func (b *stubBackend) ServerCrashed(int)                           { b.crashes++ }
func (*stubBackend) Send(*Call, func(Response)) func()             { panic("no tier below") }
func (*stubBackend) SendList(int, EndpointList)                    {}
func (*stubBackend) ControlProcess(int, ProcessAction)             {}
func (*stubBackend) MuteWatches(int, bool)                         {}
func (*stubBackend) RequestPermit(int, func(error))                {}
func (*stubBackend) ImpairLinks(_, _ []int, _ *Impairment, _ bool) {}
func (*stubBackend) ServerDown(int, bool)                          {}
func (*stubBackend) PublishState(int, State) bool                  { return false }
func (*stubBackend) SetHeartbeats(int, bool)                       {}
func (*stubBackend) SetReplicaFault([]int, string, bool)           {}
func (*stubBackend) ServerUp(int)                                  {}

// oneServer is a scenario with one server of a given speed.
const oneServer = `nodes = 1
[[tier]]
name = "web"
servers = 1
kind = [{ cores = 2, speed = [%v, %v], slots_per_core = 3, queue_per_core = 2, cold_from = 0.5, cold_for = ["4s", "4s"],
  choke = { at = 2, after = "1s", slower = 4, below = 0.6, rest = "500ms", most = "30s" } }]
[[class]]
name = "read"
work = ["10ms", "10ms"]
aim = "1s"
deadline = "2s"
[load]
rate = 1
`

// failer is a test of package testing or rapid.
type failer interface {
	Helper()
	Fatal(args ...any)
}

func newOneServer(t failer, speed float64) (*World, *Server, *stubBackend) {
	t.Helper()
	s, err := scenario.Parse("one", []byte(fmt.Sprintf(oneServer, speed, speed)), nil)
	if err != nil {
		t.Fatal(err)
	}
	backend := &stubBackend{}
	w := NewWorld(sim.New(), scenario.NewSite(s, 1), backend)
	w.Backend = backend
	return w, w.Servers[0], backend
}

// runUntil runs the world on the virtual clock.
func runUntil(t failer, w *World, until time.Duration) {
	t.Helper()
	if err := w.Loop.RunVirtual(context.Background(), until); err != nil {
		t.Fatal(err)
	}
}

// send lets an attempt arrive at a time and calls ended with its outcome.
func send(w *World, s *Server, at, work time.Duration, ended func(Outcome)) *Attempt {
	a := &Attempt{Call: &Call{ID: fmt.Sprint(at, work), Work: work}}
	a.Done = func(o Outcome, _ string) { ended(o) }
	w.Loop.At(at, func() { s.Receive(a) })
	return a
}

// Whatever arrives, each attempt ends once, no core does more work than it has time for, and none idles while there is work.
func TestWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := rapid.Float64Range(0.2, 3).Draw(t, "speed")
		w, s, _ := newOneServer(t, speed)
		ends := map[int]int{}
		var done, total time.Duration
		var last time.Duration
		n := rapid.IntRange(1, 6).Draw(t, "attempts") // no more than the slots: none is rejected
		for i := range n {
			work := time.Duration(rapid.IntRange(1, 50).Draw(t, "work")) * time.Millisecond
			total += work
			send(w, s, 0, work, func(o Outcome) {
				ends[i]++
				if o == Completed {
					done += work
					last = w.Loop.Now()
				}
			})
		}
		runUntil(t, w, time.Minute)
		for i := range n {
			if ends[i] != 1 {
				t.Fatalf("attempt %d ended %d times", i, ends[i])
			}
		}
		if done != total || s.InFlight() != 0 {
			t.Fatalf("did %v of %v, %d in flight", done, total, s.InFlight())
		}
		shortest := time.Duration(float64(total) / speed / 2)
		if last < shortest-time.Microsecond {
			t.Fatalf("two cores did %v of work in %v at speed %v", total, last, speed)
		}
	})
}

// The cores are shared evenly: four equal attempts on two cores take twice as long as one, and end together.
func TestProcessorSharing(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	var ends []time.Duration
	for range 4 {
		send(w, s, 0, 100*time.Millisecond, func(Outcome) { ends = append(ends, w.Loop.Now()) })
	}
	runUntil(t, w, time.Second)
	for _, e := range ends {
		if math.Abs(float64(e-200*time.Millisecond)) > float64(time.Microsecond) {
			t.Errorf("ends at %v", ends)
		}
	}
}

// Six slots and a queue of four: the eleventh attempt is rejected, and one that is cancelled leaves the queue.
func TestQueueAndCancel(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	count := map[Outcome]int{}
	var waits *Attempt
	for i := range 11 {
		a := send(w, s, time.Duration(i), 100*time.Millisecond, func(o Outcome) { count[o]++ })
		if i == 9 {
			waits = a
		}
	}
	w.Loop.At(time.Millisecond, func() { s.Cancel(waits) })
	runUntil(t, w, 10*time.Second)
	if count[Completed] != 9 || count[ServerRejected] != 1 || count[Abandoned] != 1 {
		t.Errorf("%v", count)
	}
}

// A server becomes overloaded when its load stays above the threshold, and recovers when the load has been low.
func TestOverload(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	for i := range 10 {
		send(w, s, 0, 800*time.Millisecond+time.Duration(i), func(Outcome) {})
	}
	var at2, at30 float64
	w.Loop.At(2*time.Second, func() { at2 = s.workRate() * float64(len(s.running)) })
	w.Loop.At(29*time.Second, func() { at30 = s.workRate() })
	runUntil(t, w, 30*time.Second)
	if at2 != 0.5 || at30 != 1 {
		t.Errorf("two cores do %v when overloaded, want 0.5; one does %v after it has recovered, want 1", at2, at30)
	}
}

// A server that warms up sustains three times what it can do, and crashes at more.
func TestCrashWhileWarmingUp(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		crashes  int
	}{{10 * time.Millisecond, 0}, {2 * time.Millisecond, 1}} {
		w, s, backend := newOneServer(t, 1)
		s.Stop(false)
		s.Start()
		for at := time.Duration(0); at < 3*time.Second; at += c.interval {
			send(w, s, at, 10*time.Millisecond, func(Outcome) {})
		}
		runUntil(t, w, 4*time.Second)
		if backend.crashes != c.crashes || s.IsUp() != (c.crashes == 0) {
			t.Errorf("10 ms of work every %v: %d crashes", c.interval, backend.crashes)
		}
	}
}
