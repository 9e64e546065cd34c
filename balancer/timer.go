package balancer

import (
	"strings"
	"time"
)

// requestTimerPrefix is the prefix of the token of a request's timer. The ID of the request
// follows.
const requestTimerPrefix = "r:"

// timerFired handles a timer. A host may round times down, so a timer can fire up to one tick early.
// This is harmless, because a recheck that finds nothing due sets another timer.
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
	b.recheckPending(r)
}

// setRequestTimer sets a timer for a recheck of a request, unless one is set that fires no later.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: requestTimerPrefix + r.id})
}
