// Package sim provides an event loop with timers, on the machine's clock or on a virtual clock. The functions of timers run one
// at a time on the goroutine that runs the loop, in the order of their times. Functions with equal times run in the order in
// which they were scheduled. Data that only these functions use needs no locks.
//
// Times are offsets from the start of the run.
package sim

import (
	"context"
	"time"
)

// Loop is a clock with timers. Post and Elapsed may be called from any goroutine. All other methods may be called only from the
// goroutine that runs the loop, or before the loop runs.
type Loop struct {
	now     time.Duration
	timers  timerHeap
	lastSeq uint64
	events  uint64

	// Used on the machine's clock only.
	start  time.Time
	posted chan func()
	done   chan struct{} // closed when the loop has ended
	stalls []Stall
}

// Stall is a period in which the loop did not run although a timer was due on the machine's clock.
type Stall struct{ From, To time.Duration }

const (
	// heartbeatInterval is the interval at which the loop checks whether it is delayed.
	heartbeatInterval = 5 * time.Millisecond
	// stallThreshold is the delay of a check above which it counts as a stall.
	stallThreshold = 5 * time.Millisecond
	// postBuffer is how many posted functions may wait for the loop before Post blocks.
	postBuffer = 4096
	// maxBatch is how many timers run before the loop checks posted functions and the context again.
	maxBatch = 256
	// contextCheckInterval is the number of timers after which a loop on the virtual clock checks the context again.
	contextCheckInterval = 4096
)

// New returns a Loop at time 0.
func New() *Loop {
	return &Loop{posted: make(chan func(), postBuffer), done: make(chan struct{}), start: time.Now()}
}

// Now returns the loop's time for the function that currently runs.
func (l *Loop) Now() time.Duration { return l.now }

// Elapsed returns the time since the start on the machine's clock. Any goroutine may call it.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.start) }

// Events returns the number of timers that have run.
func (l *Loop) Events() uint64 { return l.events }

// At schedules f to run at time t, or at the current time if t has passed.
func (l *Loop) At(t time.Duration, f func()) *Timer {
	l.lastSeq++
	timer := &Timer{at: max(t, l.now), seq: l.lastSeq, f: f}
	l.timers.push(timer)
	return timer
}

// After schedules f to run after the duration d.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now+d, f) }

// Stop stops a timer. It does nothing if the timer is nil, has run or was stopped.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		l.timers.remove(t)
	}
}

// Post passes f to a loop on the machine's clock, which runs it. Any goroutine may call Post. It blocks while postBuffer
// functions wait, and drops f after the loop has ended.
func (l *Loop) Post(f func()) {
	select {
	case l.posted <- f:
	case <-l.done:
	}
}

// RunVirtual runs all timers with times up to and including until on the virtual clock, without waiting. It returns ctx.Err() if
// ctx is done before the last of them has run.
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

// RunReal runs timers at their times on the machine's clock, and posted functions, until time until. It returns ctx.Err() if ctx
// is done first. The clock starts at zero when RunReal is called.
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

// runNext removes the earliest timer and runs its function.
func (l *Loop) runNext() {
	t := l.timers.pop()
	l.events++
	t.f()
}

// scheduleHeartbeat schedules the next check for a delay of the loop. The check records a Stall if it runs more than
// stallThreshold late.
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

// StallTime returns for how long the loop was stalled between two times. It is always zero on the virtual clock.
func (l *Loop) StallTime(from, to time.Duration) time.Duration {
	var sum time.Duration
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].To > from; i-- {
		sum += max(0, min(to, l.stalls[i].To)-max(from, l.stalls[i].From))
	}
	return sum
}
