package node

import (
	"context"
	"time"

	"umberbank/balancer"
)

// clearance is what has to hold as an attempt's first byte is written, whatever held when it was decided: a connection may
// come up late, and the loop be busy. Its class and its number of attempts are those of the settings when the request was
// accepted, and change no more.
type clearance struct {
	clock  clock
	wanted func() bool   // the request is unanswered and its caller there, at this instant
	until  time.Duration // clock time at which the attempt's time is over; 0: it has not begun, and the request tells it already
	window time.Duration // clock time from which on servers may run a repeat anew; 0: this is none
}

// lastLook is asked right before an attempt's first byte, first or further, over a new connection or a used one, and
// nothing else comes between. Not ok: the attempt has ended so, without a byte. Whatever else has to hold at that instant
// belongs here.
func (out *call) lastLook(ctx context.Context, s *server) (why balancer.Result, ok bool) {
	now := out.clear.clock.now()
	switch {
	case ctx.Err() != nil, !out.clear.wanted():
		return balancer.NotSent, false
	case out.clear.window != 0 && now >= out.clear.window:
		return balancer.NotSent, false // it would run twice
	case out.clear.until != 0 && now >= out.clear.until:
		return balancer.NotSent, false
	case !s.usable.Load():
		return balancer.Unreachable, false // the list has named it draining or gone since
	case out.rest != nil && !out.rest.spent.CompareAndSwap(false, true):
		return balancer.NotSent, false // its caller's last byte could never follow
	case out.clear.until != 0:
		out.request.Header.Set("X-Time-Left", timeLeft(out.clear.until-now))
	}
	return 0, true
}
