package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/upstream"
)

// attempt is one Send action of the balancer. The loop owns it.
type attempt struct {
	request    *request
	index      int           // position in request.attempts
	endpoint   string        // the ID of the endpoint
	sentAt     time.Duration // clock time at which the loop handled the Send, before the dial
	cancel     context.CancelCauseFunc
	timer      *time.Timer          // cancels the attempt at its deadline; nil if it was never sent
	deadline   func() time.Duration // the clock time at which it times out; any goroutine may call it
	bodySent   bool                 // the last byte of a streamed body has been written
	ended      bool
	responding bool // the response of this attempt is being streamed to the client
}

// send starts an attempt. The balancer receives exactly one Outcome for each Send.
func (l *loop) send(a balancer.Send) {
	r := l.requests[a.ID]
	if r == nil {
		slog.Error("balancer sent an attempt for an unknown request", "request", a.ID)
		return
	}
	now := l.now()
	timeout := r.deadline - now
	if a.Timeout != 0 { // zero means until the deadline
		timeout = min(timeout, a.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := &attempt{request: r, index: len(r.attempts), endpoint: a.Endpoint, sentAt: now, cancel: cancel}
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	e := l.endpoints[a.Endpoint]
	if e == nil || !l.maySend(attempt, timeout) {
		l.events = append(l.events, l.end(attempt, upstream.AttemptResult{Result: balancer.NotSent}))
		return
	}
	l.ends.retrySent(attempt)
	attempt.deadline = constantTime(now + timeout)
	if r.streamedBody != nil {
		attempt.deadline = r.currentDeadline
	}
	call := l.newCall(ctx, attempt)
	l.startAttemptTimer(attempt)
	go func() {
		result := l.pool.Attempt(ctx, e, call)
		l.post(func() { l.handle(l.end(attempt, result)) })
	}()
}

// startAttemptTimer starts the timer that cancels an attempt at its deadline. If the deadline has moved by then, because the
// client is still sending the body, the timer starts again.
func (l *loop) startAttemptTimer(attempt *attempt) {
	attempt.timer = l.after(attempt.deadline()-l.now(), func() {
		switch {
		case attempt.ended || attempt.responding:
		case l.now() < attempt.deadline():
			l.startAttemptTimer(attempt)
		default:
			attempt.cancel(upstream.ErrTimedOut)
		}
	})
}

// maySend reports whether an attempt with the given timeout may be sent.
func (l *loop) maySend(attempt *attempt, timeout time.Duration) bool {
	r := attempt.request
	if r.finished.Load() || r.disconnected.Load() {
		return false
	}
	if timeout <= 0 && r.streamedBody == nil {
		return false
	}
	return r.maxAttempts <= 0 || attempt.index < r.maxAttempts
}

// newCall returns the upstream call of an attempt.
func (l *loop) newCall(ctx context.Context, attempt *attempt) upstream.Call {
	r := attempt.request
	call := upstream.Call{
		Request: r.outgoing.Clone(ctx),
		Conditions: upstream.Conditions{
			Now:           l.now,
			Wanted:        func() bool { return r.clientIsWaiting() && (r.streamedBody != nil || !l.mayHaveLeft(r)) },
			MayComplete:   func() bool { return r.clientIsWaiting() && !l.mayHaveLeft(r) },
			Deadline:      attempt.deadline,
			RetryDeadline: r.retryDeadline(),
		},
		ResponseStarted: func(response *upstream.Response) { l.post(func() { l.responseStarted(attempt, response) }) },
	}
	if r.streamedBody == nil {
		if len(r.body) > 0 {
			call.Request.Body = io.NopCloser(bytes.NewReader(r.body))
		}
		return call
	}
	call.StreamedBody = r.streamedBody
	call.Request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.streamedBody))
	call.BodySent = func() { l.post(func() { l.bodySent(attempt) }) }
	return call
}

// cancel ends an attempt that the balancer has cancelled.
func (l *loop) cancel(a balancer.Cancel) {
	if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
		r.attempts[a.Attempt].cancel(upstream.ErrCancelled)
	}
}

// bodySent reports the final deadline of a request once the last byte of its streamed body has been written to a server.
func (l *loop) bodySent(attempt *attempt) {
	r := attempt.request
	attempt.bodySent = true
	if r.finished.Load() {
		return
	}
	l.setDeadlines(r)
	l.handle(balancer.RequestBodySent{ID: r.id, Attempt: attempt.index, Deadline: r.deadline})
}

// responseStarted makes a streamed response the final response of its request. It discards the response if the request is
// finished already.
func (l *loop) responseStarted(attempt *attempt, response *upstream.Response) {
	if !l.markFinished(attempt.request) {
		attempt.cancel(upstream.ErrCancelled)
		response.Discard()
		return
	}
	attempt.responding = true
	attempt.stopTimer()
	attempt.request.response <- clientResponse{status: http.StatusOK, contentType: response.ContentType, streamed: response}
	l.handle(balancer.ResponseStarted{ID: attempt.request.id, Attempt: attempt.index})
}

// cancelUnsent ends the attempts of a request whose streamed body has not been sent completely, so that no server runs it.
func (r *request) cancelUnsent() {
	if r.streamedBody == nil {
		return
	}
	for _, a := range r.attempts {
		if !a.bodySent {
			a.cancel(upstream.ErrCancelled)
		}
	}
}

// stopTimer stops an attempt's timer, if it has one.
func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// end records the end of an attempt and returns the event for the balancer. The first successful attempt completes the
// request.
func (l *loop) end(attempt *attempt, result upstream.AttemptResult) balancer.Outcome {
	r := attempt.request
	attempt.ended = true
	attempt.stopTimer()
	attempt.cancel(nil)
	r.inFlight--
	l.ends.attemptEnded(attempt, result, l.now()-attempt.sentAt)
	if attempt.responding {
		l.metrics.InFlight.Add(-1)
	}
	if r.disconnected.Load() && l.markFinished(r) { // the loop has not handled the disconnect yet; no retry may be sent
		l.metrics.InFlight.Add(-1)
	}
	if mayHaveRun(result.Result) && (r.firstSentAt == 0 || attempt.sentAt < r.firstSentAt) {
		r.firstSentAt = attempt.sentAt
	}
	if result.Result == balancer.Success {
		l.finish(r.id, clientResponse{status: http.StatusOK, body: result.Body, contentType: result.ContentType})
	}
	l.removeIfDone(r)
	return balancer.Outcome{
		ID:           r.id,
		Attempt:      attempt.index,
		Endpoint:     attempt.endpoint,
		Result:       result.Result,
		Latency:      l.now() - attempt.sentAt,
		RequestDone:  r.finished.Load(),
		BodyConsumed: r.streamedBody != nil && r.streamedBody.Consumed(),
	}
}

// mayHaveRun reports whether a server may have run an attempt with the given result.
func mayHaveRun(result balancer.Result) bool {
	switch result {
	case balancer.Overloaded, balancer.Unreachable, balancer.NotSent:
		return false
	}
	return true
}
