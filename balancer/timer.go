package balancer

import (
	"strings"
	"time"
)

// requestTimerPrefix begins the token of a request's timer; its ID follows.
const requestTimerPrefix = "r:"

// timerFired does what has come due. A host may round times down, so a timer can come up to a tick early:
// nothing relies on its being late enough, and a review that finds nothing due sets another.
func (b *Balancer) timerFired(e TimerFired) {
	if e.Token == subscribeTimer {
		b.subscribeIfDue()
		return
	}
	id, ok := strings.CutPrefix(e.Token, requestTimerPrefix)
	r := b.requests[id]
	if !ok || r == nil {
		return
	}
	if b.now+b.settings.Tick >= r.timerAt {
		r.timerAt = 0
	}
	b.reviewPending(r)
}

// setRequestTimer asks for a review of a request, unless one comes by then already.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.do(SetTimer{At: at, Token: requestTimerPrefix + r.id})
}
