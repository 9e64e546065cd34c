package balancer

import "time"

const (
	// subscribeTimer is the token of the timer for the next Subscribe.
	subscribeTimer = "list"
	// The wait before a Subscribe is drawn from up to a fraction of Settings.PollInterval that doubles with
	// each failure. The longest leaves time for two tries before the replica counts as out of date.
	longestSubscribeDivisor = 4
	firstSubscribeDivisor   = 16 // of the longest
	maxSubscribeDoublings   = 4
)

// subscriber says when to ask discovery for the endpoint list next.
type subscriber struct {
	failures    int           // since the last update
	subscribeAt time.Duration // 0: no Subscribe is due
}

// scheduleSubscribe plans a Subscribe, if the endpoint list must be asked for. The random wait keeps
// replicas that start, or lose their subscription, together from overloading discovery.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.PollDiscovery {
		return
	}
	longest := b.settings.PollInterval / longestSubscribeDivisor
	doublings := min(b.discovery.failures, maxSubscribeDoublings)
	wait := min(longest, longest/firstSubscribeDivisor<<doublings)
	b.discovery.subscribeAt = b.now + time.Duration(b.random.Float64()*float64(wait)) + 1
	b.do(SetTimer{At: b.discovery.subscribeAt, Token: subscribeTimer})
}

// subscribeIfDue asks for the endpoint list if the timer that came due is the last one that was set.
func (b *Balancer) subscribeIfDue() {
	at := b.discovery.subscribeAt
	if at > 0 && b.now+b.settings.Tick >= at {
		b.discovery.subscribeAt = 0
		b.do(Subscribe{})
	}
}
