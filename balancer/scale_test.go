package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// deploymentSettings differ wherever an assumption of one could hide: their settings, with times at the scale 1.
func deploymentSettings() map[string]Settings {
	class := func(name string, e Effect, scope IdempotencyScope, aim, deadline, window time.Duration, worth, late float64) Class {
		return Class{Name: name, Effect: e, IdempotencyScope: scope, LatencyObjective: aim, Deadline: deadline, IdempotencyWindow: window, PriorityWeight: worth, LateCredit: late}
	}
	base := testSettings()
	seven := base // like deploy/sites/mombasa-freight.toml
	seven.Classes = []Class{class("track", Idempotent, ScopeAll, 700*ms, 1500*ms, 0, 2, 0.2),
		class("track-fleet", Idempotent, ScopeAll, 4*time.Second, 15*time.Second, 0, 4, 0.1),
		class("book", WithIdempotencyKey, ScopeZone, 2200*ms, 6*time.Second, 5*time.Second, 6, 0),
		class("booking", NonIdempotent, ScopeAll, 2*time.Second, 5*time.Second, 0, 5, 0),
		class("pay", NonIdempotent, ScopeAll, 2500*ms, 6*time.Second, 0, 12, 0),
		class("quote", Idempotent, ScopeAll, 1200*ms, 3*time.Second, 0, 3, 0.3),
		class("seal", WithIdempotencyKey, ScopeCell, 2600*ms, 7*time.Second, 40*ms, 7, 0)} // a window shorter than its work
	seven.PollDiscovery, seven.PollInterval, seven.MaxAttempts, seven.Hedging = true, 8*time.Second, 3, false
	seven.SlowStart.Duration, seven.SlowStart.OverloadMultiple, seven.SlowStart.OverloadWindow, seven.Replicas = 14*time.Second, 2.5, 1500*ms, 5
	one := base // like deploy/sites/tromso-meter.toml
	one.Classes = []Class{class("reading", NonIdempotent, ScopeAll, 900*ms, 2500*ms, 0, 1, 0.5)}
	one.Cancellation, one.MaxAttempts, one.SlowStart.Duration, one.SlowStart.OverloadMultiple, one.SlowStart.OverloadWindow = false, 2, 3*time.Second, 4, 3*time.Second
	one.Replicas = 1
	deep := base
	deep.Tier, deep.Replicas, deep.WeightKind, deep.MaxAttempts = 2, 40, WeightApproximate, 1
	bare := Settings{Classes: []Class{class("x", WithIdempotencyKey, ScopeAll, 50*ms, 60*ms, 20*ms, 0, 1)}, Tick: ms}
	return map[string]Settings{"as in the other tests": base, "seven classes": seven, "one class": one, "a deeper tier": deep,
		"next to nothing": bare}
}

// scaled is the settings with every time so many times as long.
func scaleSettings(s Settings, k int64) Settings {
	t := func(d *time.Duration) { *d *= time.Duration(k) }
	s.Classes = append([]Class(nil), s.Classes...)
	for i := range s.Classes {
		c := &s.Classes[i]
		t(&c.IdempotencyWindow)
		t(&c.LatencyObjective)
		t(&c.Deadline)
	}
	for _, d := range []*time.Duration{&s.PollInterval, &s.Tick, &s.MaxRetryAfter, &s.SlowStart.Duration, &s.SlowStart.OverloadWindow, &s.SnapshotMaxAge} {
		t(d)
	}
	return s
}

// plannedEvent is an event at a time; events of one time keep the order in which they were planned.
type plannedEvent struct {
	at     time.Duration
	number int
	event  Event
}

type eventPlan []plannedEvent

func (p eventPlan) Len() int { return len(p) }

func (p eventPlan) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].number < p[j].number
}

func (p eventPlan) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

func (p *eventPlan) Push(x any) { *p = append(*p, x.(plannedEvent)) }

func (p *eventPlan) Pop() any {
	old := *p
	d := old[len(old)-1]
	*p = old[:len(old)-1]
	return d
}

// decision is what was decided, and when at the scale 1.
type decision struct {
	at   time.Duration
	what string
}

// like says that two are the same but for the rounding of a wake.
func (d decision) like(o decision) bool {
	return d.what == o.what && (d.at-o.at).Abs() <= 10*time.Microsecond
}

// decisionsAtScale plays a day of requests, endings and lists at a scale and returns what was decided, with the times at the
// scale 1. It fails the test for what leaves the settings' bounds.
func decisionsAtScale(t *testing.T, set Settings, k int64) []decision {
	t.Helper()
	longest, shortest := set.Classes[0].Deadline, set.Classes[0].LatencyObjective
	for _, c := range set.Classes {
		longest, shortest = max(longest, c.Deadline), min(shortest, c.LatencyObjective)
	}
	set = scaleSettings(set, k)
	b, err := New(set, 11)
	if err != nil {
		t.Fatal(err)
	}
	const unit = time.Microsecond
	rng := rand.New(rand.NewPCG(5, 6))
	events := &eventPlan{}
	planned := 0
	push := func(at time.Duration, e Event) { // sentAt the scale 1, in whole units
		planned++
		heap.Push(events, plannedEvent{at.Truncate(unit) * time.Duration(k), planned, e})
	}
	list := testEndpoints(9)
	push(0, EndpointUpdate{Full: true, Cached: true, Endpoints: list})
	push(longest/8, EndpointUpdate{Full: true, Endpoints: list})
	push(longest/4, SubscriptionFailed{})
	changed := append([]Endpoint(nil), list...)
	changed[0].State, changed[1].State = Draining, Removed
	for i := 2; i < 5; i++ {
		changed[i].StartTime = (longest / 2).Truncate(unit) * time.Duration(k)
	}
	push(longest/2, EndpointUpdate{Endpoints: changed})
	type state struct {
		class    Class
		deadline time.Duration
		answered bool
		attempts int
		ran      time.Duration // when the first went out that may have run; under 0: none
	}
	requests := map[string]*state{}
	for i := range 4000 {
		at := time.Duration(rng.Float64() * float64(2*longest))
		c := set.Classes[rng.IntN(len(set.Classes))]
		left := (c.Deadline / time.Duration(k)).Truncate(unit)
		id := fmt.Sprint(i)
		r := &state{class: c, deadline: (at.Truncate(unit) + left) * time.Duration(k), ran: -1}
		requests[id] = r
		push(at, Request{ID: id, Class: c.Name, Deadline: r.deadline})
	}
	var log []decision
	said := func(at time.Duration, format string, args ...any) {
		log = append(log, decision{at, fmt.Sprintf(format, args...)})
	}
	tick := set.Tick
	for events.Len() > 0 {
		d := heap.Pop(events).(plannedEvent)
		now := d.at
		if o, is := d.event.(Outcome); is && o.RequestDone {
			requests[o.ID].answered = true
		}
		for _, a := range b.Handle(now, d.event) {
			one := func(at time.Duration) time.Duration { return at / time.Duration(k) }
			switch a := a.(type) {
			case Send:
				r := requests[a.ID]
				said(one(now), "send %s to %s", a.ID, a.Endpoint)
				r.attempts++
				switch {
				case r.answered:
					t.Errorf("%s is sent after its answer", a.ID)
				case set.MaxAttempts > 0 && r.attempts > set.MaxAttempts:
					t.Errorf("%s: attempt %d of %d", a.ID, r.attempts, set.MaxAttempts)
				case a.Timeout > max(r.deadline-now, tick):
					t.Errorf("%s: waits %v with %v left", a.ID, a.Timeout, r.deadline-now)
				case r.ran >= 0 && (r.class.Effect == NonIdempotent || r.class.Effect == WithIdempotencyKey && now >= r.ran+r.class.IdempotencyWindow):
					t.Errorf("%s of %s is sent again %v after it may have run", a.ID, r.class.Name, now-r.ran)
				}
				took := time.Duration(rng.ExpFloat64() * float64(shortest) / 6)
				ending := Success
				if rng.IntN(4) == 0 {
					ending = []Result{Failure, Overloaded, Unreachable, ConnectionLost, TimedOut, NotSent}[rng.IntN(6)]
				}
				if wait := one(a.Timeout); took > wait { // the host gives it up
					took, ending = wait, TimedOut
				}
				if ending != Overloaded && ending != Unreachable && ending != NotSent && r.ran < 0 {
					r.ran = now
				}
				push(one(now)+took, Outcome{ID: a.ID, Attempt: r.attempts - 1, Endpoint: a.Endpoint, Result: ending, RequestDone: ending == Success})
			case Reject, Fail:
				id, after := "", time.Duration(0)
				if f, is := a.(Fail); is {
					id = f.ID
				} else {
					id, after = a.(Reject).ID, a.(Reject).RetryAfter
				}
				r := requests[id]
				said(one(now), "%T %s", a, id)
				if r.answered || now > r.deadline+tick || after > set.MaxRetryAfter {
					t.Errorf("%s: %T at %v, due %v, come back %v", id, a, now, r.deadline, after)
				}
				r.answered = true
			case SetTimer:
				if a.At <= now {
					t.Errorf("a wake at %v, asked for at %v", a.At, now)
				}
				push((one(a.At) + unit).Truncate(unit), TimerFired{Token: a.Token})
			case Subscribe:
				said(one(now), "subscribe")
			}
		}
	}
	for id, r := range requests {
		if !r.answered {
			t.Errorf("%s of %s has no answer", id, r.class.Name)
		}
	}
	return log
}

// No decision rests on a time that is not a setting's: with all of them eight or sixty-four times as long the same is
// decided, at times so many times as late, and nothing leaves the settings' bounds.
func TestDecisionsScaleWithTheSettings(t *testing.T) {
	for name, set := range deploymentSettings() {
		want := decisionsAtScale(t, set, 1)
		for _, k := range []int64{8, 64} {
			got := decisionsAtScale(t, set, k)
			for i := range max(len(got), len(want)) {
				if i >= len(got) || i >= len(want) || !got[i].like(want[i]) {
					t.Errorf("%s, %d times as slow: decision %d of %d is %v, was %v", name, k, i, len(want),
						append(got, decision{})[min(i, len(got))], append(want, decision{})[min(i, len(want))])
					break
				}
			}
		}
		if len(want) < 4000 {
			t.Errorf("%s: %d decisions for 4,000 requests", name, len(want))
		}
	}
}
