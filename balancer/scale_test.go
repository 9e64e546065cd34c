package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// deploymentSettings returns settings that differ wherever an assumption of one deployment could hide.
func deploymentSettings() map[string]Settings {
	base := testSettings()

	sevenClasses := base // like deploy/sites/mombasa-freight.toml
	sevenClasses.Classes = []Class{
		{Name: "track", Effect: Idempotent, IdempotencyScope: ScopeAll,
			LatencyObjective: 700 * ms, Deadline: 1500 * ms, PriorityWeight: 2, LateCredit: 0.2},
		{Name: "track-fleet", Effect: Idempotent, IdempotencyScope: ScopeAll,
			LatencyObjective: 4 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 4, LateCredit: 0.1},
		{Name: "book", Effect: WithIdempotencyKey, IdempotencyScope: ScopeZone, IdempotencyWindow: 5 * time.Second,
			LatencyObjective: 2200 * ms, Deadline: 6 * time.Second, PriorityWeight: 6},
		{Name: "booking", Effect: NonIdempotent, IdempotencyScope: ScopeAll,
			LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 5},
		{Name: "pay", Effect: NonIdempotent, IdempotencyScope: ScopeAll,
			LatencyObjective: 2500 * ms, Deadline: 6 * time.Second, PriorityWeight: 12},
		{Name: "quote", Effect: Idempotent, IdempotencyScope: ScopeAll,
			LatencyObjective: 1200 * ms, Deadline: 3 * time.Second, PriorityWeight: 3, LateCredit: 0.3},
		// Its window is shorter than its work.
		{Name: "seal", Effect: WithIdempotencyKey, IdempotencyScope: ScopeCell, IdempotencyWindow: 40 * ms,
			LatencyObjective: 2600 * ms, Deadline: 7 * time.Second, PriorityWeight: 7},
	}
	sevenClasses.PollDiscovery, sevenClasses.PollInterval = true, 8*time.Second
	sevenClasses.MaxAttempts, sevenClasses.Hedging = 3, false
	sevenClasses.SlowStart.Duration = 14 * time.Second
	sevenClasses.SlowStart.OverloadMultiple, sevenClasses.SlowStart.OverloadWindow = 2.5, 1500*ms
	sevenClasses.Replicas = 5

	oneClass := base // like deploy/sites/tromso-meter.toml
	oneClass.Classes = []Class{{Name: "reading", Effect: NonIdempotent, IdempotencyScope: ScopeAll,
		LatencyObjective: 900 * ms, Deadline: 2500 * ms, PriorityWeight: 1, LateCredit: 0.5}}
	oneClass.Cancellation, oneClass.MaxAttempts = false, 2
	oneClass.SlowStart.Duration = 3 * time.Second
	oneClass.SlowStart.OverloadMultiple, oneClass.SlowStart.OverloadWindow = 4, 3*time.Second
	oneClass.Replicas = 1

	deeperTier := base
	deeperTier.Tier, deeperTier.Replicas = 2, 40
	deeperTier.WeightKind, deeperTier.MaxAttempts = WeightApproximate, 1

	minimal := Settings{Tick: ms, Classes: []Class{
		{Name: "x", Effect: WithIdempotencyKey, IdempotencyScope: ScopeAll, IdempotencyWindow: 20 * ms,
			LatencyObjective: 50 * ms, Deadline: 60 * ms, LateCredit: 1}}}

	return map[string]Settings{"as in the other tests": base, "seven classes": sevenClasses, "one class": oneClass,
		"a deeper tier": deeperTier, "next to nothing": minimal}
}

// scaleSettings returns the settings with every time so many times as long.
func scaleSettings(s Settings, factor int64) Settings {
	times := []*time.Duration{&s.PollInterval, &s.Tick, &s.MaxRetryAfter, &s.SlowStart.Duration,
		&s.SlowStart.OverloadWindow, &s.SnapshotMaxAge}
	s.Classes = append([]Class(nil), s.Classes...)
	for i := range s.Classes {
		c := &s.Classes[i]
		times = append(times, &c.IdempotencyWindow, &c.LatencyObjective, &c.Deadline)
	}
	for _, t := range times {
		*t *= time.Duration(factor)
	}
	return s
}

// plannedEvent is an event at a time; events of one time keep the order in which they were planned.
type plannedEvent struct {
	at     time.Duration
	number int
	event  Event
}

// eventPlan is a heap of planned events, the earliest first.
type eventPlan []plannedEvent

func (p eventPlan) Len() int { return len(p) }

func (p eventPlan) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].number < p[j].number
}

func (p eventPlan) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *eventPlan) Push(x any) { *p = append(*p, x.(plannedEvent)) }

// Pop implements heap.Interface.
func (p *eventPlan) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// decision is what was decided, and when at the scale 1.
type decision struct {
	at   time.Duration
	what string
}

// matches reports whether two decisions are the same but for the rounding of a timer.
func (d decision) matches(other decision) bool {
	return d.what == other.what && (d.at-other.at).Abs() <= 10*time.Microsecond
}

// scaledHost drives a Balancer whose times are all factor times as long as at the scale 1. It plans in times of the
// scale 1, in whole units, so that at every scale the same happens, and fails the test for what leaves the settings'
// bounds.
type scaledHost struct {
	t         *testing.T
	settings  Settings // scaled
	factor    time.Duration
	b         *Balancer
	random    *rand.Rand
	plan      eventPlan
	planned   int
	requests  map[string]*scaledRequest
	decisions []decision
	shortest  time.Duration // latency objective, at the scale 1
}

type scaledRequest struct {
	class      Class
	deadline   time.Duration
	answered   bool
	attempts   int
	executedAt time.Duration // when the first attempt was sent that may have run; below 0: none was
}

// planUnit is the unit of planned times, at the scale 1.
const planUnit = time.Microsecond

// decisionsAtScale plays a series of requests, results and endpoint lists and returns what was decided.
func decisionsAtScale(t *testing.T, settings Settings, factor int64) []decision {
	t.Helper()
	scaled := scaleSettings(settings, factor)
	b, err := New(scaled, 11)
	if err != nil {
		t.Fatal(err)
	}
	h := &scaledHost{t: t, settings: scaled, factor: time.Duration(factor), b: b,
		random: rand.New(rand.NewPCG(5, 6)), requests: map[string]*scaledRequest{}}
	longest := settings.Classes[0].Deadline
	h.shortest = settings.Classes[0].LatencyObjective
	for _, c := range settings.Classes {
		longest, h.shortest = max(longest, c.Deadline), min(h.shortest, c.LatencyObjective)
	}
	h.planUpdates(longest)
	h.planRequests(settings.Classes, 2*longest)
	for len(h.plan) > 0 {
		h.handle(heap.Pop(&h.plan).(plannedEvent))
	}
	for id, r := range h.requests {
		if !r.answered {
			t.Errorf("%s of %s has no answer", id, r.class.Name)
		}
	}
	return h.decisions
}

// scale converts a time of the scale 1.
func (h *scaledHost) scale(at time.Duration) time.Duration { return at.Truncate(planUnit) * h.factor }

// push plans an event at a time of the scale 1.
func (h *scaledHost) push(at time.Duration, e Event) {
	h.planned++
	heap.Push(&h.plan, plannedEvent{h.scale(at), h.planned, e})
}

// planUpdates plans a cached list, a full one, a failed subscription and a change.
func (h *scaledHost) planUpdates(longest time.Duration) {
	endpoints := testEndpoints(9)
	h.push(0, EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints})
	h.push(longest/8, EndpointUpdate{Full: true, Endpoints: endpoints})
	h.push(longest/4, SubscriptionFailed{})
	changed := append([]Endpoint(nil), endpoints...)
	changed[0].State, changed[1].State = Draining, Removed
	for i := 2; i < 5; i++ {
		changed[i].StartTime = h.scale(longest / 2)
	}
	h.push(longest/2, EndpointUpdate{Endpoints: changed})
}

// planRequests plans 4,000 requests within a time, of classes as they are at the scale 1.
func (h *scaledHost) planRequests(classes []Class, within time.Duration) {
	for i := range 4000 {
		at := time.Duration(h.random.Float64() * float64(within))
		k := h.random.IntN(len(classes))
		id := fmt.Sprint(i)
		r := &scaledRequest{class: h.settings.Classes[k], executedAt: -1,
			deadline: h.scale(at) + h.scale(classes[k].Deadline)}
		h.requests[id] = r
		h.push(at, Request{ID: id, Class: r.class.Name, Deadline: r.deadline})
	}
}

func (h *scaledHost) handle(e plannedEvent) {
	if outcome, ok := e.event.(Outcome); ok && outcome.RequestDone {
		h.requests[outcome.ID].answered = true
	}
	for _, action := range h.b.Handle(e.at, e.event) {
		switch a := action.(type) {
		case Send:
			h.decide(e.at, "send %s to %s", a.ID, a.Endpoint)
			h.send(e.at, a)
		case Reject:
			h.decide(e.at, "%T %s", a, a.ID)
			h.answer(e.at, a.ID, a.RetryAfter)
		case Fail:
			h.decide(e.at, "%T %s", a, a.ID)
			h.answer(e.at, a.ID, 0)
		case SetTimer:
			if a.At <= e.at {
				h.t.Errorf("a timer for %v, set at %v", a.At, e.at)
			}
			h.push((a.At/h.factor + planUnit).Truncate(planUnit), TimerFired{Token: a.Token})
		case Subscribe:
			h.decide(e.at, "subscribe")
		}
	}
}

// decide notes a decision.
func (h *scaledHost) decide(now time.Duration, format string, args ...any) {
	h.decisions = append(h.decisions, decision{now / h.factor, fmt.Sprintf(format, args...)})
}

// send checks an attempt against the settings and plans its outcome.
func (h *scaledHost) send(now time.Duration, s Send) {
	r := h.requests[s.ID]
	r.attempts++
	switch {
	case r.answered:
		h.t.Errorf("%s is sent after its answer", s.ID)
	case h.settings.MaxAttempts > 0 && r.attempts > h.settings.MaxAttempts:
		h.t.Errorf("%s: attempt %d of %d", s.ID, r.attempts, h.settings.MaxAttempts)
	case s.Timeout > max(r.deadline-now, h.settings.Tick):
		h.t.Errorf("%s: timeout %v with %v left", s.ID, s.Timeout, r.deadline-now)
	case r.executedAt >= 0 && !r.repeatableAt(now):
		h.t.Errorf("%s of %s is sent again %v after it may have run", s.ID, r.class.Name, now-r.executedAt)
	}
	latency := time.Duration(h.random.ExpFloat64() * float64(h.shortest) / 6)
	result := Success
	if h.random.IntN(4) == 0 {
		failures := []Result{Failure, Overloaded, Unreachable, ConnectionLost, TimedOut, NotSent}
		result = failures[h.random.IntN(len(failures))]
	}
	if timeout := s.Timeout / h.factor; latency > timeout {
		latency, result = timeout, TimedOut
	}
	if result != Overloaded && result != Unreachable && result != NotSent && r.executedAt < 0 {
		r.executedAt = now
	}
	h.push(now/h.factor+latency, Outcome{ID: s.ID, Attempt: r.attempts - 1, Endpoint: s.Endpoint, Result: result,
		RequestDone: result == Success})
}

// repeatableAt reports whether a request that may have run may be sent again.
func (r *scaledRequest) repeatableAt(now time.Duration) bool {
	switch r.class.Effect {
	case NonIdempotent:
		return false
	case WithIdempotencyKey:
		return now < r.executedAt+r.class.IdempotencyWindow
	}
	return true
}

// rejectOrFail checks a final answer against the settings.
func (h *scaledHost) answer(now time.Duration, id string, retryAfter time.Duration) {
	r := h.requests[id]
	if r.answered || now > r.deadline+h.settings.Tick || retryAfter > h.settings.MaxRetryAfter {
		h.t.Errorf("%s: answered at %v, due %v, retry after %v", id, now, r.deadline, retryAfter)
	}
	r.answered = true
}

// No decision depends on a time that is not a setting's: with all of them 8 or 64 times as long the same is decided,
// at times so many times as late, and nothing leaves the settings' bounds.
func TestDecisionsScaleWithTheSettings(t *testing.T) {
	for name, settings := range deploymentSettings() {
		t.Run(name, func(t *testing.T) {
			want := decisionsAtScale(t, settings, 1)
			if len(want) < 4000 {
				t.Errorf("%d decisions for 4,000 requests", len(want))
			}
			for _, factor := range []int64{8, 64} {
				compareDecisions(t, factor, decisionsAtScale(t, settings, factor), want)
			}
		})
	}
}

// compareDecisions reports the first decision in which two series differ.
func compareDecisions(t *testing.T, factor int64, got, want []decision) {
	t.Helper()
	for i := range min(len(got), len(want)) {
		if !got[i].matches(want[i]) {
			t.Errorf("%d times as slow: decision %d of %d is %v, want %v", factor, i, len(want), got[i], want[i])
			return
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d times as slow: %d decisions, want %d", factor, len(got), len(want))
	}
}
