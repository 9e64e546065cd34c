package modelcheck

import (
	"strings"
	"testing"
)

// How many orders there are is known for small programs; of those that differ in steps that commute one is run.
func TestCountsOrders(t *testing.T) {
	for name, c := range map[string]struct {
		body func(x *Execution)
		want int
	}{
		"two threads, two writes each, one object": {func(x *Execution) {
			var n Int64
			for _, name := range []string{"a", "b"} {
				x.Go(name, func() { n.Add(1); n.Add(1) })
			}
		}, 6}, // 4 over 2
		"an object each": {func(x *Execution) {
			var n [3]Int64
			for i := range n {
				x.Go("t", func() { n[i].Add(1); n[i].Add(1) })
			}
		}, 1},
		"readers commute": {func(x *Execution) {
			var n Int64
			for range 3 {
				x.Go("t", func() { n.Load() })
			}
		}, 1},
		"a writer between readers": {func(x *Execution) {
			var n Int64
			x.Go("w", func() { n.Store(1) })
			for range 2 {
				x.Go("r", func() { n.Load() })
			}
		}, 4}, // each reader comes before or after it
		"three in a critical section": {func(x *Execution) {
			var m Mutex
			for range 3 {
				x.Go("t", func() { m.Lock(); m.Unlock() })
			}
		}, 6},
	} {
		if n, failed := Explore(Options{}, c.body); failed != nil || n != c.want {
			t.Errorf("%s: %d schedules (%v), want %d", name, n, failed, c.want)
		}
	}
}

// What small programs do wrong is found, with the schedule that shows it, which replays it.
func TestFindsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		why  string
		body func(x *Execution)
	}{
		"a lost update": {"it is 1", func(x *Execution) {
			var n Int64
			for range 2 {
				x.Go("t", func() { n.Store(n.Load() + 1) })
			}
			x.Finally(func() {
				if v := n.Load(); v != 2 {
					Failf("it is %d", v)
				}
			})
		}},
		"locks in two orders": {"no thread can proceed: a at lock", func(x *Execution) {
			var m, n Mutex
			x.Go("a", func() { m.Lock(); n.Lock(); n.Unlock(); m.Unlock() })
			x.Go("b", func() { n.Lock(); m.Lock(); m.Unlock(); n.Unlock() })
		}},
		"a signal before the wait": {"no thread can proceed: sleeper at wait for", func(x *Execution) {
			var m Mutex
			wake, ready := make(chan struct{}), false
			x.Go("sleeper", func() {
				m.Lock()
				is := ready
				m.Unlock()
				if !is {
					m.Lock()
					c := wake // too late: it may have been closed and replaced
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
		}},
		"a panic": {"index out of range", func(x *Execution) {
			var n Int64
			x.Go("a", func() { n.Add(1) })
			x.Go("b", func() { _ = []int{0}[n.Load()] })
		}},
		"a thread that never ends": {"over 10000 steps", func(x *Execution) {
			var n Int64
			x.Go("a", func() {
				for n.Load() == 0 {
				}
			})
		}},
	} {
		_, failed := Explore(Options{}, c.body)
		if failed == nil || !strings.Contains(failed.Error(), c.why) {
			t.Errorf("%s: %v", name, failed)
			continue
		}
		text := failed.Error()
		line := text[strings.Index(text, ReplayEnv)+len(ReplayEnv)+1:]
		t.Run(name, func(t *testing.T) {
			t.Setenv(ReplayEnv, strings.SplitN(line, "\n", 2)[0])
			if _, again := Explore(Options{}, c.body); again == nil || again.Reason != failed.Reason {
				t.Errorf("replayed: %v, was %v", again, failed.Reason)
			}
		})
	}
}

// A bound on preemptions leaves out orders, and finds what fewer show.
func TestPreemptions(t *testing.T) {
	body := func(x *Execution) {
		var n Int64
		for range 2 {
			x.Go("t", func() { n.Add(1); n.Add(1); n.Add(1) })
		}
	}
	all, _ := Explore(Options{}, body)
	one, _ := Explore(Options{MaxPreemptions: 1}, body)
	if all != 20 || one >= all || one < 2 {
		t.Errorf("%d schedules, %d with one preemption", all, one)
	}
}
