package upstream

import (
	"context"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/header"
)

// Conditions are what has to hold as an attempt's first byte is written, whatever held when it was decided: a connection may come
// up late, and the event loop be busy. The request's class and number of attempts are no conditions: they are those of the
// settings when it was accepted, and change no more. Times are Unix time as Now gives it.
type Conditions struct {
	Now func() time.Duration
	// Wanted reports whether the request is unanswered and its client connected, at this instant.
	Wanted func() bool
	// Deadline is when the attempt's time is over; 0: it has not begun, and the request's headers say already how long it is.
	Deadline time.Duration
	// RetryDeadline is from when on servers may run a retry of the request anew; 0: the request is no such retry.
	RetryDeadline time.Duration
}

// preSendCheck runs right before an attempt's first byte, first or retry, over a new connection or a used one, and nothing else
// comes between. Not ok: the attempt has ended with result, without a byte. Whatever else has to hold at that instant belongs here.
func (c *Call) preSendCheck(ctx context.Context, e *Endpoint) (result balancer.Result, ok bool) {
	now := c.Conditions.Now()
	switch {
	case ctx.Err() != nil, !c.Conditions.Wanted():
		return balancer.NotSent, false
	case c.Conditions.RetryDeadline != 0 && now >= c.Conditions.RetryDeadline:
		return balancer.NotSent, false // it would run twice
	case c.Conditions.Deadline != 0 && now >= c.Conditions.Deadline:
		return balancer.NotSent, false
	case !e.Ready():
		return balancer.Unreachable, false // the list has named it draining or removed since
	case c.StreamedBody != nil && !c.StreamedBody.Consume():
		return balancer.NotSent, false // its client's last byte could never follow
	case c.Conditions.Deadline != 0:
		c.Request.Header.Set(header.TimeLeft, header.FormatTimeLeft(c.Conditions.Deadline-now))
	}
	return 0, true
}
