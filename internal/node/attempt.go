package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/header"
	"umberbank/internal/node/upstream"
)

// attempt is one Send action of the balancer. The loop owns it.
type attempt struct {
	request    *request
	index      int           // position in request.attempts
	endpoint   string        // the ID of the endpoint
	sentAt     time.Duration // clock time
	cancel     context.CancelCauseFunc
	timer      *time.Timer // cancels the attempt at its timeout; nil while there is none
	responding bool        // the response of this attempt is being streamed to the client
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
	at := &attempt{request: r, index: len(r.attempts), endpoint: a.Endpoint, sentAt: now, cancel: cancel}
	r.attempts = append(r.attempts, at)
	r.inFlight++
	e := l.endpoints[a.Endpoint]
	if e == nil || !l.maySend(at, timeout) {
		l.queue = append(l.queue, l.end(at, upstream.AttemptResult{Result: balancer.NotSent}))
		return
	}
	call := l.newCall(ctx, at, now+timeout)
	if r.streamedBody == nil {
		at.timer = time.AfterFunc(timeout, func() { cancel(upstream.ErrTimedOut) })
	}
	go func() {
		result := l.pool.Attempt(ctx, e, call)
		l.post(func() { l.handle(l.end(at, result)) })
	}()
}

// maySend reports whether an attempt with the given timeout may be sent.
func (l *loop) maySend(at *attempt, timeout time.Duration) bool {
	r := at.request
	if r.finished.Load() || r.disconnected.Load() {
		return false
	}
	if timeout <= 0 && r.streamedBody == nil {
		return false
	}
	return r.maxAttempts <= 0 || at.index < r.maxAttempts
}

// newCall returns the upstream call of an attempt. deadline is the clock time of its timeout. It is ignored for a streamed
// body, whose deadline starts when its last byte is sent.
func (l *loop) newCall(ctx context.Context, at *attempt, deadline time.Duration) upstream.Call {
	r := at.request
	call := upstream.Call{
		Request:         r.outgoing.Clone(ctx),
		Conditions:      upstream.Conditions{Now: l.now, Wanted: r.clientIsWaiting, Deadline: deadline, RetryDeadline: r.retryDeadline()},
		ResponseStarted: func(response *upstream.Response) { l.post(func() { l.responseStarted(at, response) }) },
	}
	if r.streamedBody == nil {
		if len(r.body) > 0 {
			call.Request.Body = io.NopCloser(bytes.NewReader(r.body))
		}
		return call
	}
	// The deadline starts at the last byte of the body; clientconn.Body limits how slowly the body may arrive.
	call.StreamedBody = r.streamedBody
	call.Conditions.Deadline = 0
	call.Request.Header.Set(header.TimeLeft, header.FormatTimeLeft(r.timeLeft))
	call.Request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.streamedBody))
	call.BodySent = func() { l.post(func() { l.bodySent(at) }) }
	r.fallbackTimer.Stop()
	return call
}

// cancel ends an attempt that the balancer has cancelled.
func (l *loop) cancel(a balancer.Cancel) {
	if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
		r.attempts[a.Attempt].cancel(upstream.ErrCancelled)
	}
}

// bodySent starts the deadline of a request with a streamed body whose last byte has been written to a server.
func (l *loop) bodySent(at *attempt) {
	r := at.request
	at.timer = time.AfterFunc(r.timeLeft, func() { at.cancel(upstream.ErrTimedOut) })
	if r.finished.Load() {
		return
	}
	l.startDeadline(r)
	at.timer.Reset(r.deadline - l.now())
	l.startFallbackTimer(r)
	l.handle(balancer.RequestBodySent{ID: r.id, Attempt: at.index, Deadline: r.deadline})
}

// responseStarted makes a streamed response the final response of its request. It discards the response if the request is
// finished already.
func (l *loop) responseStarted(at *attempt, response *upstream.Response) {
	if !l.markFinished(at.request) {
		at.cancel(upstream.ErrCancelled)
		response.Discard()
		return
	}
	at.responding = true
	at.stopTimer()
	at.request.response <- clientResponse{status: http.StatusOK, contentType: response.ContentType, streamed: response}
	l.handle(balancer.ResponseStarted{ID: at.request.id, Attempt: at.index})
}

// stopTimer stops an attempt's timer, if it has one.
func (at *attempt) stopTimer() {
	if at.timer != nil {
		at.timer.Stop()
	}
}

// end records the end of an attempt and returns the event for the balancer. The first successful attempt completes the
// request.
func (l *loop) end(at *attempt, result upstream.AttemptResult) balancer.Outcome {
	r := at.request
	at.stopTimer()
	at.cancel(nil)
	r.inFlight--
	if at.responding {
		l.metrics.InFlight.Add(-1)
	}
	if r.disconnected.Load() && l.markFinished(r) { // the loop has not handled the disconnect yet; no retry may be sent
		l.metrics.InFlight.Add(-1)
	}
	if mayHaveRun(result.Result) && (r.firstSentAt == 0 || at.sentAt < r.firstSentAt) {
		r.firstSentAt = at.sentAt
	}
	if result.Result == balancer.Success {
		l.finish(r.id, clientResponse{status: http.StatusOK, body: result.Body, contentType: result.ContentType})
	}
	l.removeIfDone(r)
	return balancer.Outcome{
		ID:           r.id,
		Attempt:      at.index,
		Endpoint:     at.endpoint,
		Result:       result.Result,
		Latency:      l.now() - at.sentAt,
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
