// Package sim is an event loop with timers, on the machine's clock or on a virtual one. The functions of timers run one at a
// time on the goroutine that runs the loop, in the order of their times, and those of one time in the order in which they were
// scheduled. What they own needs no locks.
//
// Times are offsets from the start of the run.
package sim

import (
	"context"
	"time"
)

// Loop is a clock with timers. Only Post and Elapsed may be called by any goroutine; all other methods belong to the one that
// runs the loop, or to the one that sets it up before.
type Loop struct {
	now     time.Duration
	timers  timerHeap
	lastSeq uint64
	events  uint64

	// On the machine's clock.
	start  time.Time
	posted chan func()
	done   chan struct{} // closed when the loop has ended
	stalls []Stall
}

// Stall is a span of time in which the loop should have run on the machine's clock and did not.
type Stall struct{ From, To time.Duration }

const (
	// heartbeatInterval is how often the loop checks whether it runs in time.
	heartbeatInterval = 5 * time.Millisecond
	// stallThreshold is how late the check must be to count as a stall.
	stallThreshold = 5 * time.Millisecond
	// postBuffer is how many posted functions may wait for the loop.
	postBuffer = 4096
	// maxBatch is how many timers run before posted functions and the context are looked at again.
	maxBatch = 256
	// contextCheckInterval is after how many timers a loop on the virtual clock looks at the context.
	contextCheckInterval = 4096
)

// New returns a Loop at time 0.
func New() *Loop {
	return &Loop{posted: make(chan func(), postBuffer), done: make(chan struct{}), start: time.Now()}
}

// Now returns the time of the function that runs.
func (l *Loop) Now() time.Duration { return l.now }

// Elapsed returns the machine's time since the start. Any goroutine may call it.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.start) }

// Events returns the number of timers that have run.
func (l *Loop) Events() uint64 { return l.events }

// At schedules f for time t, or for now if t has passed.
func (l *Loop) At(t time.Duration, f func()) *Timer {
	l.lastSeq++
	timer := &Timer{at: max(t, l.now), seq: l.lastSeq, f: f}
	l.timers.push(timer)
	return timer
}

// After schedules f for when d has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now+d, f) }

// Stop stops a timer. It does nothing if the timer is nil, has run or was stopped.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		l.timers.remove(t)
	}
}

// Post makes the loop run f. Any goroutine may call it. It blocks while too many functions wait, and drops f once the loop has
// ended.
func (l *Loop) Post(f func()) {
	select {
	case l.posted <- f:
	case <-l.done:
	}
}

// RunVirtual runs on the virtual clock all timers up to and at time until, without waiting. It returns ctx's error if ctx ends
// before.
func (l *Loop) RunVirtual(ctx context.Context, until time.Duration) error {
	for n := 0; l.timers.dueBy(until); n++ {
		if n%contextCheckInterval == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		l.now = l.timers[0].at
		l.runNext()
	}
	l.now = until
	return nil
}

// RunReal runs timers when their time on the machine's clock has come, and posted functions, until time until. It returns ctx's
// error if ctx ends before. The clock starts with the call.
func (l *Loop) RunReal(ctx context.Context, until time.Duration) error {
	defer close(l.done)
	l.start = time.Now()
	l.scheduleHeartbeat()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		l.now = l.Elapsed()
		if l.now >= until {
			return nil
		}
		for n := 0; n < maxBatch && l.timers.dueBy(l.now); n++ {
			l.runNext()
		}
		next := until
		if len(l.timers) > 0 {
			next = min(next, l.timers[0].at)
		}
		wake.Reset(max(0, next-l.Elapsed()))
		select {
		case f := <-l.posted:
			l.now = l.Elapsed()
			f()
		case <-wake.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runNext runs the function of the first timer.
func (l *Loop) runNext() {
	t := l.timers.pop()
	l.events++
	t.f()
}

// scheduleHeartbeat schedules the next check whether the loop runs in time.
func (l *Loop) scheduleHeartbeat() {
	scheduled := l.now + heartbeatInterval
	l.At(scheduled, func() {
		if now := l.Elapsed(); now-scheduled > stallThreshold {
			l.stalls = append(l.stalls, Stall{scheduled, now})
		}
		l.now = l.Elapsed()
		l.scheduleHeartbeat()
	})
}

// StallTime returns how much of a span of time the loop was stalled.
func (l *Loop) StallTime(from, to time.Duration) time.Duration {
	var sum time.Duration
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].To > from; i-- {
		sum += max(0, min(to, l.stalls[i].To)-max(from, l.stalls[i].From))
	}
	return sum
}
