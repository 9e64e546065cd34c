package balancer

import "time"

const (
	// subscribeTimer is the token of the timer for the next Subscribe.
	subscribeTimer = "list"
	// The delay before a Subscribe is random, up to a bound. The bound starts at the maximum divided
	// by initialBackoffDivisor and doubles with each failure, up to maxBackoffDoublings times. The
	// maximum is Settings.PollInterval divided by maxBackoffDivisor, which leaves time for two tries
	// within PollInterval.
	maxBackoffDivisor     = 4
	initialBackoffDivisor = 16
	maxBackoffDoublings   = 4
)

// subscriber schedules the next request for the endpoint list.
type subscriber struct {
	failures    int           // failures since the last update that was not cached
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

// subscribeIfDue requests the endpoint list if the scheduled Subscribe is due within one tick.
func (b *Balancer) subscribeIfDue() {
	at := b.discovery.subscribeAt
	if at > 0 && b.now+b.settings.Tick >= at {
		b.discovery.subscribeAt = 0
		b.emit(Subscribe{})
	}
}
