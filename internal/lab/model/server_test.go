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

// stubBackend is an Observer and a Backend for a server that makes no downstream calls.
type stubBackend struct{ crashes int }

func (*stubBackend) CallSent(*Call)                                {}
func (*stubBackend) ResponseReceived(*Call, Response)              {}
func (*stubBackend) CallAbandoned(*Call)                           {}
func (*stubBackend) AttemptArrived(*Attempt, int)                  {}
func (*stubBackend) AttemptEnded(*Attempt, Outcome)                {}
func (*stubBackend) NodeNotified(int, int, State)                  {}
func (b *stubBackend) ServerCrashed(int)                           { b.crashes++ }
func (*stubBackend) Send(*Call, func(Response)) func()             { panic("the scenario has no downstream tier") }
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

// oneServer is the format of a scenario with one server. Its arguments are the lowest and the highest speed.
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

// testingT is the part of testing.T and rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

func newOneServer(t testingT, speed float64) (*World, *Server, *stubBackend) {
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

// runUntil runs the world on the virtual clock until a time.
func runUntil(t testingT, w *World, until time.Duration) {
	t.Helper()
	if err := w.Loop.RunVirtual(context.Background(), until); err != nil {
		t.Fatal(err)
	}
}

// send schedules the arrival of an attempt and calls ended with its outcome.
func send(w *World, s *Server, at, work time.Duration, ended func(Outcome)) *Attempt {
	a := &Attempt{Call: &Call{ID: fmt.Sprint(at, work), Work: work}}
	a.Done = func(o Outcome, _ string) { ended(o) }
	w.Loop.At(at, func() { s.Receive(a) })
	return a
}

// Each attempt ends exactly once, all work is completed, and two cores do not complete more work than their speed allows.
func TestWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := rapid.Float64Range(0.2, 3).Draw(t, "speed")
		w, s, _ := newOneServer(t, speed)
		ends := map[int]int{}
		var done, total time.Duration
		var last time.Duration
		n := rapid.IntRange(1, 6).Draw(t, "attempts") // at most the number of slots, so that none is rejected
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
			t.Fatalf("completed %v of %v of work, with %d attempts in flight, want all and 0", done, total, s.InFlight())
		}
		shortest := time.Duration(float64(total) / speed / 2)
		if last < shortest-time.Microsecond {
			t.Fatalf("two cores completed %v of work in %v at speed %v", total, last, speed)
		}
	})
}

// Cores are shared evenly: four equal attempts on two cores take twice as long as one attempt, and end at the same time.
func TestProcessorSharing(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	var ends []time.Duration
	for range 4 {
		send(w, s, 0, 100*time.Millisecond, func(Outcome) { ends = append(ends, w.Loop.Now()) })
	}
	runUntil(t, w, time.Second)
	for _, e := range ends {
		if math.Abs(float64(e-200*time.Millisecond)) > float64(time.Microsecond) {
			t.Errorf("attempts ended at %v, want all at 200ms", ends)
		}
	}
}

// With six slots and a queue of four the eleventh attempt is rejected, and a cancelled attempt leaves the queue.
func TestQueueAndCancel(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	count := map[Outcome]int{}
	var queued *Attempt
	for i := range 11 {
		a := send(w, s, time.Duration(i), 100*time.Millisecond, func(o Outcome) { count[o]++ })
		if i == 9 {
			queued = a
		}
	}
	w.Loop.At(time.Millisecond, func() { s.Cancel(queued) })
	runUntil(t, w, 10*time.Second)
	if count[Completed] != 9 || count[ServerRejected] != 1 || count[Abandoned] != 1 {
		t.Errorf("got outcomes %v, want 9 completed, 1 rejected and 1 abandoned", count)
	}
}

// A server becomes overloaded when its load stays above the threshold, and recovers when its load has stayed low.
func TestOverload(t *testing.T) {
	w, s, _ := newOneServer(t, 1)
	for i := range 10 {
		send(w, s, 0, 800*time.Millisecond+time.Duration(i), func(Outcome) {})
	}
	var overloadedRate, recoveredRate float64
	w.Loop.At(2*time.Second, func() { overloadedRate = s.workRate() * float64(len(s.running)) })
	w.Loop.At(29*time.Second, func() { recoveredRate = s.workRate() })
	runUntil(t, w, 30*time.Second)
	if overloadedRate != 0.5 || recoveredRate != 1 {
		t.Errorf("work rate of two cores during overload is %v, want 0.5; of one core after recovery %v, want 1",
			overloadedRate, recoveredRate)
	}
}

// A server that warms up sustains the load that its initial capacity can process, and crashes at five times that load.
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
			t.Errorf("10 ms of work every %v: got %d crashes, and the number is wrong or the server is up after a crash",
				c.interval, backend.crashes)
		}
	}
}
