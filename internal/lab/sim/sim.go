// Package sim runs the lab's model on one goroutine, on the machine's clock or on a virtual one. Functions run
// in the order of their times, those of one time in the order they were planned; nothing else
// touches what they own.
package sim

import (
	"container/heap"
	"context"
	"time"
)

// Loop is a clock with the work planned on it. Its methods but Post and Elapsed belong to the goroutine that
// runs it, or to the one that sets it up before.
type Loop struct {
	now    time.Duration
	seq    uint64
	plan   plan
	posts  chan func()
	done   chan struct{}
	start  time.Time
	events uint64
	stalls []Stall
}

// Stall is a span of real time in which the loop should have run and did not.
type Stall struct{ From, To time.Duration }

// Timer is one function planned.
type Timer struct {
	at    time.Duration
	seq   uint64
	f     func()
	index int // in the plan; -1: not there
}

// New returns a Loop at time 0.
func New() *Loop {
	return &Loop{posts: make(chan func(), 4096), done: make(chan struct{}), start: time.Now()}
}

// Now is the time since the start, as of the function that runs.
func (l *Loop) Now() time.Duration { return l.now }

// Elapsed is the real time since the start. Any goroutine may ask.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.start) }

// Events is how many planned functions have run.
func (l *Loop) Events() uint64 { return l.events }

// At plans f for time t; a time that has passed means as soon as possible.
func (l *Loop) At(t time.Duration, f func()) *Timer {
	l.seq++
	tm := &Timer{at: max(t, l.now), seq: l.seq, f: f}
	heap.Push(&l.plan, tm)
	return tm
}

// After plans f for when d has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now+d, f) }

// Stop takes a timer back; a nil one, or one that has run, is none of its concern.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.plan, t.index)
	}
}

// Post hands the loop a function from another goroutine. It may wait; after the loop's end it drops f.
func (l *Loop) Post(f func()) {
	select {
	case l.posts <- f:
	case <-l.done:
	}
}

// RunVirtual runs all that is planned up to and at time until, without waiting, or until ctx ends.
func (l *Loop) RunVirtual(ctx context.Context, until time.Duration) error {
	for n := 0; len(l.plan) > 0 && l.plan[0].at <= until; n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		l.now = l.plan[0].at
		l.step()
	}
	l.now = until
	return nil
}

// heartbeat is how often the loop looks whether it runs in time, and stalled how late it must be to count.
const (
	heartbeat = 5 * time.Millisecond
	stalled   = 5 * time.Millisecond
)

// RunReal runs what is planned when its time has come, and what is posted, until time until or until ctx
// ends. The clock starts with the call.
func (l *Loop) RunReal(ctx context.Context, until time.Duration) error {
	defer close(l.done)
	l.start = time.Now()
	l.beat()
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		l.now = l.Elapsed()
		if l.now >= until {
			return nil
		}
		for n := 0; n < 256 && len(l.plan) > 0 && l.plan[0].at <= l.now; n++ {
			l.step()
		}
		next := until
		if len(l.plan) > 0 {
			next = min(next, l.plan[0].at)
		}
		wait.Reset(max(0, next-l.Elapsed()))
		select {
		case f := <-l.posts:
			l.now = l.Elapsed()
			f()
		case <-wait.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step runs the first function planned.
func (l *Loop) step() {
	t := heap.Pop(&l.plan).(*Timer)
	l.events++
	t.f()
}

// beat notes when the loop itself was late.
func (l *Loop) beat() {
	planned := l.now + heartbeat
	l.At(planned, func() {
		if now := l.Elapsed(); now-planned > stalled {
			l.stalls = append(l.stalls, Stall{planned, now})
		}
		l.now = l.Elapsed()
		l.beat()
	})
}

// Stalled is how much of the time from one moment to another the loop stood still.
func (l *Loop) Stalled(from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].To > from; i-- {
		sum += max(0, min(to, l.stalls[i].To)-max(from, l.stalls[i].From))
	}
	return sum
}

// plan is a heap by time and order of planning.
type plan []*Timer

func (p plan) Len() int { return len(p) }
func (p plan) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p plan) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}
func (p *plan) Push(x any) {
	t := x.(*Timer)
	t.index = len(*p)
	*p = append(*p, t)
}
func (p *plan) Pop() any {
	old := *p
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*p = old[:len(old)-1]
	t.index = -1
	return t
}
