package modelcheck

import (
	"strings"
	"testing"
)

// lockOnce locks a mutex and unlocks it.
func lockOnce(m *Mutex) {
	m.Lock()
	defer m.Unlock()
}

// lockBoth locks the inner mutex while it holds the outer one.
func lockBoth(outer, inner *Mutex) {
	outer.Lock()
	defer outer.Unlock()
	lockOnce(inner)
}

// The number of orders is known for small programs. Of orders that differ only in operations that commute, only one is run.
func TestScheduleCount(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(x *Execution)
		want int
	}{
		{"two threads, two writes each, one object", func(x *Execution) {
			var n Int64
			for _, name := range []string{"a", "b"} {
				x.Go(name, func() { n.Add(1); n.Add(1) })
			}
		}, 6}, // 4 choose 2
		{"one object per thread", func(x *Execution) {
			var n [3]Int64
			for i := range n {
				x.Go("t", func() { n[i].Add(1); n[i].Add(1) })
			}
		}, 1},
		{"readers commute", func(x *Execution) {
			var n Int64
			for range 3 {
				x.Go("t", func() { n.Load() })
			}
		}, 1},
		{"a writer between readers", func(x *Execution) {
			var n Int64
			x.Go("w", func() { n.Store(1) })
			for range 2 {
				x.Go("r", func() { n.Load() })
			}
		}, 4}, // each reader runs before or after the writer
		{"three in a critical section", func(x *Execution) {
			var m Mutex
			for range 3 {
				x.Go("t", func() { lockOnce(&m) })
			}
		}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			if n, failure := Explore(Options{}, c.body); failure != nil || n != c.want {
				t.Errorf("%d schedules (%v), want %d", n, failure, c.want)
			}
		})
	}
}

func lostUpdate(x *Execution) {
	var n Int64
	for range 2 {
		x.Go("t", func() { n.Store(n.Load() + 1) })
	}
	x.Finally(func() {
		if v := n.Load(); v != 2 {
			Failf("the counter is %d", v)
		}
	})
}

func lockOrderInversion(x *Execution) {
	var m, n Mutex
	x.Go("a", func() { lockBoth(&m, &n) })
	x.Go("b", func() { lockBoth(&n, &m) })
}

func lostWakeup(x *Execution) {
	var m Mutex
	wake, ready := make(chan struct{}), false
	x.Go("sleeper", func() {
		m.Lock()
		isReady := ready
		m.Unlock()
		if !isReady {
			m.Lock()
			c := wake // the fault: the channel may have been closed and replaced
			m.Unlock()
			Wait(c)
		}
	})
	x.Go("waker", func() {
		m.Lock()
		ready = true
		close(wake)
		wake = make(chan struct{})
		m.Unlock()
	})
}

func indexOutOfRange(x *Execution) {
	var n Int64
	x.Go("a", func() { n.Add(1) })
	x.Go("b", func() { _ = []int{0}[n.Load()] })
}

func endlessLoop(x *Execution) {
	var n Int64
	x.Go("a", func() {
		for n.Load() == 0 {
		}
	})
}

// Explore finds the faults of small programs, and the reported schedule replays them.
func TestFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		body         func(x *Execution)
	}{
		{"lost update", "the counter is 1", lostUpdate},
		{"lock order inversion", "no thread can proceed: a at lock", lockOrderInversion},
		{"lost wake-up", "no thread can proceed: sleeper at wait for", lostWakeup},
		{"panic", "index out of range", indexOutOfRange},
		{"endless loop", "more than 10000 steps", endlessLoop},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, failure := Explore(Options{}, c.body)
			if failure == nil || !strings.Contains(failure.Error(), c.reason) {
				t.Fatalf("%v, want %q", failure, c.reason)
			}
			_, afterName, _ := strings.Cut(failure.Error(), ReplayEnv+"=")
			schedule, _, _ := strings.Cut(afterName, "\n")
			t.Setenv(ReplayEnv, schedule)
			if _, again := Explore(Options{}, c.body); again == nil || again.Reason != failure.Reason {
				t.Errorf("replay failed with %v, want %v", again, failure.Reason)
			}
		})
	}
}

// A search with MaxPreemptions runs fewer orders, but at least the two that need no preemption.
func TestPreemptionBound(t *testing.T) {
	body := func(x *Execution) {
		var n Int64
		for range 2 {
			x.Go("t", func() { n.Add(1); n.Add(1); n.Add(1) })
		}
	}
	all, _ := Explore(Options{}, body)
	bounded, _ := Explore(Options{MaxPreemptions: 1}, body)
	if all != 20 || bounded >= all || bounded < 2 {
		t.Errorf("%d schedules, %d with at most one preemption", all, bounded)
	}
}
