package balancer

import "time"

const (
	// subscribeTimer is the token of the timer for the next Subscribe.
	subscribeTimer = "list"
	// The delay before a Subscribe is random, up to a bound that doubles with each failure. The
	// maximum bound is a fraction of Settings.PollInterval. It leaves time for two tries before the
	// endpoint list of the replica counts as out of date.
	maxBackoffDivisor     = 4
	initialBackoffDivisor = 16 // of the maximum
	maxBackoffDoublings   = 4
)

// subscriber schedules the next request for the endpoint list.
type subscriber struct {
	failures    int           // consecutive failures since the last update
	subscribeAt time.Duration // zero if no Subscribe is scheduled
}

// scheduleSubscribe schedules a Subscribe if discovery requires one. The random delay prevents
// replicas that start, or lose their subscription, at the same time from overloading discovery.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.PollDiscovery {
		return
	}
	maxBound := b.settings.PollInterval / maxBackoffDivisor
	doublings := min(b.discovery.failures, maxBackoffDoublings)
	bound := min(maxBound, maxBound/initialBackoffDivisor<<doublings)
	b.discovery.subscribeAt = b.now + time.Duration(b.random.Float64()*float64(bound)) + 1
	b.emit(SetTimer{At: b.discovery.subscribeAt, Token: subscribeTimer})
}

// subscribeIfDue requests the endpoint list if the timer that fired is the last one that was set.
func (b *Balancer) subscribeIfDue() {
	at := b.discovery.subscribeAt
	if at > 0 && b.now+b.settings.Tick >= at {
		b.discovery.subscribeAt = 0
		b.emit(Subscribe{})
	}
}
