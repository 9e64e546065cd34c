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
	timers timerHeap
	posted chan func()
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
	return &Loop{posted: make(chan func(), 4096), done: make(chan struct{}), start: time.Now()}
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
	heap.Push(&l.timers, tm)
	return tm
}

// After plans f for when d has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now+d, f) }

// Stop takes a timer back; a nil one, or one that has run, is none of its concern.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Post hands the loop a function from another goroutine. It may wait; after the loop's end it drops f.
func (l *Loop) Post(f func()) {
	select {
	case l.posted <- f:
	case <-l.done:
	}
}

// RunVirtual runs all that is planned up to and at time until, without waiting, or until ctx ends.
func (l *Loop) RunVirtual(ctx context.Context, until time.Duration) error {
	for n := 0; len(l.timers) > 0 && l.timers[0].at <= until; n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		l.now = l.timers[0].at
		l.runNext()
	}
	l.now = until
	return nil
}

// heartbeatInterval is how often the loop looks whether it runs in time, and stalled how late it must be to count.
const (
	heartbeatInterval = 5 * time.Millisecond
	stallThreshold    = 5 * time.Millisecond
)

// RunReal runs what is planned when its time has come, and what is posted, until time until or until ctx
// ends. The clock starts with the call.
func (l *Loop) RunReal(ctx context.Context, until time.Duration) error {
	defer close(l.done)
	l.start = time.Now()
	l.scheduleHeartbeat()
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		l.now = l.Elapsed()
		if l.now >= until {
			return nil
		}
		for n := 0; n < 256 && len(l.timers) > 0 && l.timers[0].at <= l.now; n++ {
			l.runNext()
		}
		next := until
		if len(l.timers) > 0 {
			next = min(next, l.timers[0].at)
		}
		wait.Reset(max(0, next-l.Elapsed()))
		select {
		case f := <-l.posted:
			l.now = l.Elapsed()
			f()
		case <-wait.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runNext runs the first function planned.
func (l *Loop) runNext() {
	t := heap.Pop(&l.timers).(*Timer)
	l.events++
	t.f()
}

// scheduleHeartbeat notes when the loop itself was late.
func (l *Loop) scheduleHeartbeat() {
	planned := l.now + heartbeatInterval
	l.At(planned, func() {
		if now := l.Elapsed(); now-planned > stallThreshold {
			l.stalls = append(l.stalls, Stall{planned, now})
		}
		l.now = l.Elapsed()
		l.scheduleHeartbeat()
	})
}

// StallTime is how much of the time from one moment to another the loop stood still.
func (l *Loop) StallTime(from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].To > from; i-- {
		sum += max(0, min(to, l.stalls[i].To)-max(from, l.stalls[i].From))
	}
	return sum
}

// timerHeap is a heap by time and order of planning.
type timerHeap []*Timer

func (p timerHeap) Len() int { return len(p) }
func (p timerHeap) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p timerHeap) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}
func (p *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*p)
	*p = append(*p, t)
}
func (p *timerHeap) Pop() any {
	old := *p
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*p = old[:len(old)-1]
	t.index = -1
	return t
}
