// Package balancer decides, for one load balancer node, which endpoint serves a request, when a
// failed attempt is retried and when a request is rejected.
//
// It is a pure state machine. The host feeds events to [Balancer.Handle] and carries out the actions
// that it returns, in their order. The package does no I/O, starts no goroutine and reads no clock:
// its only clock is the time given with each event, and its only randomness is the seed given to
// [New], so the same events always give the same actions.
//
// # How a request is decided
//
//   - Admission ([Balancer.Handle] of a [Request]): on the first tier a request waits in the pending
//     queue while the concurrency limit is reached; priority decides who leaves the queue, and
//     whoever waits too long is rejected.
//   - Candidates: the endpoints of this replica's subset that are ready, not ejected, below their
//     limits, and allowed by slow start and by the scope of the idempotency key. Fallbacks widen the
//     choice step by step.
//   - Pick: one candidate is drawn from each half of the shared order, and the one with fewer active
//     attempts wins.
//   - Outcome: the result of an attempt updates latencies, outlier detection, the concurrency limit
//     and the retry budget, and then decides between a retry and a final answer.
//
// A replica, in this package, is one of the nodes that send to the same tier, not one of the registry.
//
// # Concurrency
//
// A Balancer belongs to one goroutine. Balancers share nothing, so different ones may be used at once.
//
// # Invariants
//
//   - Every request gets exactly one final answer: the response of an attempt, a [Reject] or a [Fail].
//   - A [Reject] is given only if no attempt can have had an effect that a retry would repeat.
//   - A request that is not idempotent is never sent again once an attempt may have run; one with an
//     idempotency key only within its key's scope and window.
//   - Attempts go to endpoints that are in the endpoint list and ready.
//   - A request is kept until it is answered and its attempts have ended, an endpoint until it has left
//     the list and its attempts have ended.
//
// # Units
//
// Points in time are durations on the host's clock. Latencies and costs that are averaged are float64
// in nanoseconds. Shares and utilizations are fractions of 1.
package balancer

import (
	"math/rand/v2"
	"time"
)

// seedStream is the second half of the random generator's seed; the host gives the first.
const seedStream = 0x51a7e

// Balancer makes the decisions of one node for the endpoints of one tier. It must be created by New
// and used by one goroutine at a time; see the package comment.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	actions  []Action // of the event in hand

	requests  map[string]*request
	classes   classTable
	endpoints endpointSet
	discovery subscriber
	outliers  outlierDetector
	slowStart slowStart
	limiter   concurrencyLimiter
	queue     pendingQueue
	retries   retryBudget
	restored  *restoredState // nil: nothing, or the endpoint list is complete by now
}

// New returns a Balancer that knows no endpoints yet. The error is a *SettingError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, seedStream)),
		requests: map[string]*request{},
		classes:  newClassTable(settings.Classes),
		outliers: newOutlierDetector(),
		limiter:  newConcurrencyLimiter(),
		retries:  newRetryBudget(),
	}
	b.endpoints = newEndpointSet(&b.settings)
	b.slowStart.settings = &b.settings
	return b, nil
}

// Handle takes one event at the clock time now and returns what the host must do, in order. The time
// must not go back; an earlier one counts as the latest one given.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case EndpointUpdate:
		b.applyUpdate(e)
	case SubscriptionFailed:
		b.discovery.failures++
		b.scheduleSubscribe()
	case Request:
		b.accept(e)
	case Outcome:
		b.endAttempt(e)
	case RequestBodySent:
		b.bodySent(e)
	case ResponseStarted:
		b.startResponse(e)
	case ClientDisconnected:
		b.clientDisconnected(e)
	case TimerFired:
		b.timerFired(e)
	case Reconfigure:
		b.reconfigure(e.Settings)
	case Restore:
		b.restore(e)
	}
	return b.actions
}

// do adds an action to the answer to the event in hand.
func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }
