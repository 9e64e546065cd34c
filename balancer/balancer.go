// Package balancer decides, for one load balancer node, which endpoint serves a request, when a failed
// attempt is retried and when a request is rejected.
//
// It is a pure state machine. The host passes events to [Balancer.Handle] and executes the returned
// actions in order. The package does no I/O, starts no goroutine and reads no clock. Its only time is the
// time passed with each event, and its only source of randomness is the seed passed to [New], so the same
// events always produce the same actions.
//
// # How a request is processed
//
//   - Admission ([Balancer.Handle] of a [Request]): on the first tier, a request waits in the pending
//     queue while the concurrency limit is reached. Requests leave the queue in order of priority, and
//     requests that wait too long are rejected.
//   - Candidates: the endpoints of this replica's subset that are ready, not excluded as outliers, below
//     their attempt limits, and permitted by slow start and by the scope of the idempotency key. If there
//     are none, the attempt limits are relaxed step by step, and then the rest of the endpoint list is
//     considered.
//   - Pick: all replicas sort the endpoints in the same order, the shared order. One candidate is drawn
//     from each half of it, and the one with fewer active attempts is picked.
//   - Outcome: the result of an attempt updates the latency averages, outlier detection, the concurrency
//     limit and the retry budget. If the request has no final response yet, it is retried or finished.
//
// In this package, a replica is one of the nodes that send to the same tier, not a replica of the registry.
//
// # Concurrency
//
// A Balancer must be used by one goroutine at a time. Balancers share no state, so different Balancers may
// be used concurrently.
//
// # Invariants
//
//   - Every request gets exactly one final response, unless its client disconnects. A final response is
//     the response of an attempt, a [Reject] or a [Fail].
//   - A [Reject] is returned only if no attempt may have been executed, if the request is idempotent, or if
//     all endpoints share its idempotency key. It does not depend on the window of the key.
//   - A request that is not idempotent is never sent again once an attempt may have been executed. A
//     request with an idempotency key is sent again only within the scope and the window of the key.
//   - Attempts are sent only to endpoints that are in the endpoint list and ready.
//   - A request is kept until it is finished and its attempts have ended. An endpoint is kept until it has
//     left the list and its attempts have ended.
//
// # Units
//
// Points in time are durations on the host's clock. Average latencies and costs are float64 values in
// nanoseconds. Shares and utilizations are fractions of 1.
package balancer

import (
	"math/rand/v2"
	"time"
)

// seedStream is the second half of the seed of the random number generator. The host provides the
// first half.
const seedStream = 0x51a7e

// Balancer makes the decisions of one node for the endpoints of one tier. It must be created by New
// and used by one goroutine at a time; see the package comment.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	actions  []Action // returned by the current call of Handle

	requests  map[string]*request
	classes   classTable
	endpoints endpointSet
	discovery subscriber
	outliers  outlierDetector
	slowStart slowStart
	limiter   concurrencyLimiter
	queue     pendingQueue
	retries   retryBudget
	restored  *restoredState // nil if no snapshot is restored, or after a complete list that is not cached
}

// New returns a Balancer without endpoints. If the settings are invalid, the error is a
// *SettingError.
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

// Handle processes one event at the clock time now and returns the actions that the host must
// execute, in order. Time must not go backwards: an earlier time is treated as the latest time
// passed so far.
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

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
