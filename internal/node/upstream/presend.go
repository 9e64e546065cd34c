package upstream

import (
	"context"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/header"
)

// Conditions must hold when the first byte of an attempt is written. They may have changed since the
// balancer decided on the attempt, because a dial can take long and the event loop can be busy. The
// request's class and number of attempts are not among them: they come from the settings at the time
// the request was accepted, and do not change. Times are Unix time as returned by Now.
type Conditions struct {
	Now func() time.Duration
	// Wanted reports whether the request has no final response yet and its client is still connected.
	Wanted func() bool
	// MayComplete reports whether the last bytes of a StreamedBody may be sent, once all of it has been
	// read from the client.
	MayComplete func() bool
	// Deadline returns the time at which the attempt times out. While the client is still sending a
	// StreamedBody, it moves on.
	Deadline func() time.Duration
	// RetryDeadline is the time from which the request must not be sent again, because servers might
	// run it a second time. It is zero if there is no such limit.
	RetryDeadline time.Duration
}

// preSendCheck runs immediately before the first byte of every attempt, including retries, over new and
// reused connections. If ok is false, nothing may be written and the attempt ends with result. All
// conditions for sending must be checked here.
func (c *Call) preSendCheck(ctx context.Context, e *Endpoint) (result balancer.Result, ok bool) {
	deadline := c.Conditions.Deadline()
	now := c.Conditions.Now()
	switch {
	case ctx.Err() != nil, !c.Conditions.Wanted():
		return balancer.NotSent, false
	case c.Conditions.RetryDeadline != 0 && now >= c.Conditions.RetryDeadline:
		return balancer.NotSent, false // the request might run twice
	case now >= deadline:
		return balancer.NotSent, false
	case !e.Ready():
		return balancer.Unreachable, false // it has become draining or was removed from the list
	case c.StreamedBody != nil && !c.StreamedBody.Consume():
		return balancer.NotSent, false // another attempt has read part of the body, so this one could not be completed
	}
	c.Request.Header.Set(header.TimeLeft, header.FormatTimeLeft(deadline-now))
	return 0, true
}
