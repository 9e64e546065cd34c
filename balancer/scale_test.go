package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// deploymentSettings returns the settings of several deployments by name. They differ widely, so that
// a decision that assumes a property of one deployment fails in another.
func deploymentSettings() map[string]Settings {
	base := testSettings()

	sevenClasses := base // as in deploy/sites/mombasa-freight.toml
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
		// The window is shorter than the service time.
		{Name: "seal", Effect: WithIdempotencyKey, IdempotencyScope: ScopeCell, IdempotencyWindow: 40 * ms,
			LatencyObjective: 2600 * ms, Deadline: 7 * time.Second, PriorityWeight: 7},
	}
	sevenClasses.PollDiscovery, sevenClasses.PollInterval = true, 8*time.Second
	sevenClasses.MaxAttempts, sevenClasses.Hedging = 3, false
	sevenClasses.SlowStart.Duration = 14 * time.Second
	sevenClasses.SlowStart.OverloadMultiple, sevenClasses.SlowStart.OverloadWindow = 2.5, 1500*ms
	sevenClasses.Replicas = 5

	oneClass := base // as in deploy/sites/tromso-meter.toml
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

	return map[string]Settings{"base": base, "seven classes": sevenClasses, "one class": oneClass,
		"deeper tier": deeperTier, "minimal": minimal}
}

// scaleSettings returns the settings with all durations multiplied by factor.
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

// scheduledEvent is an event with its time. Events at the same time keep the order in which they
// were scheduled.
type scheduledEvent struct {
	at     time.Duration
	number int
	event  Event
}

// eventQueue is a heap of scheduled events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// decision is an action of the Balancer as text, with its time divided by the factor of the scale.
type decision struct {
	at   time.Duration
	what string
}

// matches reports whether two decisions are the same, apart from the rounding of timers.
func (d decision) matches(other decision) bool {
	return d.what == other.what && (d.at-other.at).Abs() <= 10*time.Microsecond
}

// scaledHost drives a Balancer whose durations are multiplied by factor. It schedules events at
// times of scale 1, in whole units, so that the same events occur at every scale. It reports a test
// error for every violation of the settings.
type scaledHost struct {
	t                 *testing.T
	settings          Settings // with durations multiplied by factor
	factor            time.Duration
	b                 *Balancer
	random            *rand.Rand
	queue             eventQueue
	scheduled         int
	requests          map[string]*scaledRequest
	decisions         []decision
	shortestObjective time.Duration // shortest latency objective, at scale 1
}

type scaledRequest struct {
	class      Class
	deadline   time.Duration
	finished   bool
	attempts   int
	executedAt time.Duration // time of the first attempt that may have run; negative if there is none
}

// timeUnit is the unit of scheduled times, at scale 1.
const timeUnit = time.Microsecond

// decisionsAtScale runs a series of requests, results and endpoint lists and returns the decisions.
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
	h.shortestObjective = settings.Classes[0].LatencyObjective
	for _, c := range settings.Classes {
		longest, h.shortestObjective = max(longest, c.Deadline), min(h.shortestObjective, c.LatencyObjective)
	}
	h.scheduleUpdates(longest)
	h.scheduleRequests(settings.Classes, 2*longest)
	for len(h.queue) > 0 {
		h.handle(heap.Pop(&h.queue).(scheduledEvent))
	}
	for id, r := range h.requests {
		if !r.finished {
			t.Errorf("%s of class %s has no final response", id, r.class.Name)
		}
	}
	return h.decisions
}

// scale converts a time of scale 1 to the scale of the host.
func (h *scaledHost) scale(at time.Duration) time.Duration { return at.Truncate(timeUnit) * h.factor }

// schedule adds an event at a time of scale 1 to the queue.
func (h *scaledHost) schedule(at time.Duration, e Event) {
	h.scheduled++
	heap.Push(&h.queue, scheduledEvent{h.scale(at), h.scheduled, e})
}

// scheduleUpdates schedules a cached list, a full one, a failed subscription and a change.
func (h *scaledHost) scheduleUpdates(longest time.Duration) {
	endpoints := testEndpoints(9)
	h.schedule(0, EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints})
	h.schedule(longest/8, EndpointUpdate{Full: true, Endpoints: endpoints})
	h.schedule(longest/4, SubscriptionFailed{})
	changed := append([]Endpoint(nil), endpoints...)
	changed[0].State, changed[1].State = Draining, Removed
	for i := 2; i < 5; i++ {
		changed[i].StartTime = h.scale(longest / 2)
	}
	h.schedule(longest/2, EndpointUpdate{Endpoints: changed})
}

// scheduleRequests schedules 4,000 requests within a time. classes are the classes at scale 1.
func (h *scaledHost) scheduleRequests(classes []Class, within time.Duration) {
	for i := range 4000 {
		at := time.Duration(h.random.Float64() * float64(within))
		k := h.random.IntN(len(classes))
		id := fmt.Sprint(i)
		r := &scaledRequest{class: h.settings.Classes[k], executedAt: -1,
			deadline: h.scale(at) + h.scale(classes[k].Deadline)}
		h.requests[id] = r
		h.schedule(at, Request{ID: id, Class: r.class.Name, Deadline: r.deadline})
	}
}

func (h *scaledHost) handle(e scheduledEvent) {
	if outcome, ok := e.event.(Outcome); ok && outcome.RequestDone {
		h.requests[outcome.ID].finished = true
	}
	for _, action := range h.b.Handle(e.at, e.event) {
		switch a := action.(type) {
		case Send:
			h.recordDecision(e.at, "send %s to %s", a.ID, a.Endpoint)
			h.send(e.at, a)
		case Reject:
			h.recordDecision(e.at, "%T %s", a, a.ID)
			h.finish(e.at, a.ID, a.RetryAfter)
		case Fail:
			h.recordDecision(e.at, "%T %s", a, a.ID)
			h.finish(e.at, a.ID, 0)
		case SetTimer:
			if a.At <= e.at {
				h.t.Errorf("timer for %v set at %v", a.At, e.at)
			}
			h.schedule((a.At/h.factor + timeUnit).Truncate(timeUnit), TimerFired{Token: a.Token})
		case Subscribe:
			h.recordDecision(e.at, "subscribe")
		}
	}
}

// recordDecision records a decision made at the clock time now.
func (h *scaledHost) recordDecision(now time.Duration, format string, args ...any) {
	h.decisions = append(h.decisions, decision{now / h.factor, fmt.Sprintf(format, args...)})
}

// send checks an attempt against the settings and schedules its outcome.
func (h *scaledHost) send(now time.Duration, s Send) {
	r := h.requests[s.ID]
	r.attempts++
	switch {
	case r.finished:
		h.t.Errorf("%s is sent after its final response", s.ID)
	case h.settings.MaxAttempts > 0 && r.attempts > h.settings.MaxAttempts:
		h.t.Errorf("%s: attempt %d of at most %d", s.ID, r.attempts, h.settings.MaxAttempts)
	case s.Timeout > max(r.deadline-now, h.settings.Tick):
		h.t.Errorf("%s: timeout %v with %v left", s.ID, s.Timeout, r.deadline-now)
	case r.executedAt >= 0 && !r.repeatableAt(now):
		h.t.Errorf("%s of %s sent again %v after it may have run", s.ID, r.class.Name, now-r.executedAt)
	}
	latency := time.Duration(h.random.ExpFloat64() * float64(h.shortestObjective) / 6)
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
	h.schedule(now/h.factor+latency, Outcome{ID: s.ID, Attempt: r.attempts - 1, Endpoint: s.Endpoint, Result: result,
		RequestDone: result == Success})
}

// repeatableAt reports whether a request that may have been executed may be sent again.
func (r *scaledRequest) repeatableAt(now time.Duration) bool {
	switch r.class.Effect {
	case NonIdempotent:
		return false
	case WithIdempotencyKey:
		return now < r.executedAt+r.class.IdempotencyWindow
	}
	return true
}

// finish checks a final response against the settings.
func (h *scaledHost) finish(now time.Duration, id string, retryAfter time.Duration) {
	r := h.requests[id]
	if r.finished || now > r.deadline+h.settings.Tick || retryAfter > h.settings.MaxRetryAfter {
		h.t.Errorf("%s: finished at %v, deadline %v, retry after %v", id, now, r.deadline, retryAfter)
	}
	r.finished = true
}

// No decision depends on a duration that is not in the settings. If all of them are multiplied by 8
// or 64, the decisions are the same at times multiplied by the same factor, and no setting is
// violated.
func TestDecisionsScaleWithTheSettings(t *testing.T) {
	for name, settings := range deploymentSettings() {
		t.Run(name, func(t *testing.T) {
			want := decisionsAtScale(t, settings, 1)
			if len(want) < 4000 {
				t.Errorf("got %d decisions for 4,000 requests, want at least 4,000", len(want))
			}
			for _, factor := range []int64{8, 64} {
				compareDecisions(t, factor, decisionsAtScale(t, settings, factor), want)
			}
		})
	}
}

// compareDecisions reports the first difference between two series of decisions.
func compareDecisions(t *testing.T, factor int64, got, want []decision) {
	t.Helper()
	for i := range min(len(got), len(want)) {
		if !got[i].matches(want[i]) {
			t.Errorf("factor %d: decision %d of %d is %v, want %v", factor, i, len(want), got[i], want[i])
			return
		}
	}
	if len(got) != len(want) {
		t.Errorf("factor %d: got %d decisions, want %d", factor, len(got), len(want))
	}
}
