package node

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/header"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/sentids"
	"umberbank/internal/node/upstream"
)

// deadlineMargin is the part of a client's time left that the node reserves for its own work and the transfer of the response,
// so that the response arrives before the client gives up. At most 1/4 of the time left is reserved.
const deadlineMargin = 20 * time.Millisecond

// request is a client request. The loop owns it, except for the atomics and the fields that the frontend sets before
// accept. deadline, fallbackAt and firstSentAt are clock times.
type request struct {
	id          string // assigned by the node, because correlation IDs of clients may repeat
	className   string
	clientRetry bool          // the client has sent the request before
	costHint    time.Duration // the expected work; zero if unknown
	timeLeft    time.Duration // how long the client waits, from the last byte of the request on
	deadline    time.Duration // when the balancer must have completed the request
	fallbackAt  time.Duration // when the node fails the request if the balancer has not completed it

	// sentAt returns the earliest clock time at which the client can have sent the last byte of the request. It moves on
	// while the client is still sending a streamed body. Any goroutine may call it.
	sentAt func() time.Duration

	outgoing     *http.Request       // the request that is sent to servers
	body         []byte              // the buffered part of the body
	streamedBody *clientconn.Body    // the rest of the body; nil if the whole body is buffered
	response     chan clientResponse // receives the final response; buffered, so that sending never blocks

	maxAttempts int            // from the settings at the time of accept
	class       balancer.Class // from the settings at the time of accept; className is its name
	acceptedAt  time.Duration  // clock time
	firstSentAt time.Duration  // when the first attempt that may have run was sent; zero if there is none

	finished      atomic.Bool // the request is completed or its client has disconnected; set only by the loop
	disconnected  atomic.Bool // the client has disconnected; the loop may not have been notified yet
	connected     func() bool // checks whether the client is still connected; any goroutine may call it
	backlogged    func() bool // checks whether a disconnect may be hidden behind unread bytes; any goroutine may call it
	fallbackTimer *time.Timer // nil if the request was never accepted
	attempts      []*attempt
	idClaim       sentids.Claim // of the correlation ID; zero for an idempotent request
	inFlight      int           // number of attempts that have not ended
}

// clientResponse is the final response to a client.
type clientResponse struct {
	status      int
	body        []byte
	contentType string             // empty for no Content-Type header
	retryAfter  time.Duration      // zero for no Retry-After header
	streamed    *upstream.Response // a response whose body is streamed; nil if body is complete
	rejection   error              // why the request was not accepted; nil if it was
	end         metrics.RequestEnd // why no server's response is sent; empty if one is
}

// accept registers a request from the frontend and passes it to the balancer.
func (l *loop) accept(r *request) {
	// The settings may have changed since the frontend checked the request.
	if err := l.classes.Load().check(r.className, r.outgoing); err != nil {
		r.response <- clientResponse{rejection: err}
		return
	}
	if l.closing {
		l.metrics.CountRequestEnd(metrics.ShuttingDown)
		r.response <- clientResponse{status: http.StatusServiceUnavailable}
		return
	}
	if r.disconnected.Load() {
		return // no client waits for a response
	}
	r.maxAttempts, r.class = l.maxAttempts, (*l.classes.Load())[r.className]
	if !l.claimID(r) {
		l.metrics.CountRequestEnd(metrics.RepeatedID)
		r.response <- clientResponse{status: http.StatusConflict}
		return
	}
	l.lastID++
	r.id = strconv.FormatUint(l.lastID, 10)
	l.requests[r.id] = r
	r.acceptedAt = l.now()
	l.metrics.InFlight.Add(1)
	l.startFallbackTimer(r)
	l.handle(balancer.Request{
		ID:            r.id,
		Class:         r.className,
		Deadline:      r.deadline,
		ClientRetry:   r.clientRetry,
		CostHint:      r.costHint,
		StreamingBody: r.streamedBody != nil,
	})
}

// claimID claims the correlation ID of a request that must not run twice. It returns false if a server may have run, or may
// yet run, an earlier request with that ID.
func (l *loop) claimID(r *request) (ok bool) {
	if r.class.Effect == balancer.Idempotent {
		return true
	}
	r.idClaim, ok = l.sentIDs.Claim(r.outgoing.Header.Get(header.CorrelationID))
	return ok
}

// startFallbackTimer starts the timer that fails a request shortly before its client gives up, in case the balancer does
// not complete it.
func (l *loop) startFallbackTimer(r *request) {
	r.fallbackTimer = l.after(r.fallbackAt-l.now(), func() { l.fallBack(r) })
}

// fallBack fails a request that the balancer has not completed. If the client is still sending the body, so that the
// deadline has moved, it starts the fallback timer again.
func (l *loop) fallBack(r *request) {
	if r.finished.Load() {
		return
	}
	if l.setDeadlines(r); l.now() < r.fallbackAt {
		l.startFallbackTimer(r)
		return
	}
	slog.Error("balancer did not complete a request by its deadline", "request", r.id)
	l.abandon(r, metrics.NoDecision)
}

// setDeadlines sets deadline and fallbackAt of a request. The frontend calls it before accept. The loop calls it again for a
// streamed body, whose client may still be sending.
func (l *loop) setDeadlines(r *request) {
	r.deadline = r.currentDeadline()
	r.fallbackAt = r.deadline + r.reservedTime()/2
}

// currentDeadline returns the clock time by which the balancer must have completed the request, as far as it is known when
// the client has sent its last byte. Any goroutine may call it.
func (r *request) currentDeadline() time.Duration { return r.sentAt() + r.timeLeft - r.reservedTime() }

// reservedTime returns the part of the client's time left that the node reserves; see deadlineMargin.
func (r *request) reservedTime() time.Duration { return min(deadlineMargin, r.timeLeft/4) }

// abandon fails a request without a decision of the balancer, and reports it to the balancer as a client disconnect.
func (l *loop) abandon(r *request, end metrics.RequestEnd) {
	l.finish(r.id, clientResponse{status: http.StatusBadGateway, end: end})
	l.handle(balancer.ClientDisconnected{ID: r.id})
}

// abandonAll fails all unfinished requests and makes accept reject new ones.
func (l *loop) abandonAll() {
	l.closing = true
	for _, r := range l.requests {
		if !r.finished.Load() {
			l.abandon(r, metrics.ShuttingDown)
		}
	}
}

// clientDisconnected marks a request as finished and notifies the balancer that its client has disconnected. It does nothing
// if the request is already finished or was never accepted.
func (l *loop) clientDisconnected(r *request) {
	if r.fallbackTimer != nil && l.markFinished(r) { // without a timer the request was never accepted
		l.metrics.InFlight.Add(-1)
		l.ends.requestEnded(r, metrics.ClientDisconnected, l.now()-r.acceptedAt)
		r.cancelUnsent()
		l.handle(balancer.ClientDisconnected{ID: r.id})
		l.removeIfDone(r)
	}
}

// finish sends the final response of a request, unless the request is finished already.
func (l *loop) finish(id string, resp clientResponse) {
	r := l.requests[id]
	if r != nil && l.markFinished(r) {
		l.metrics.InFlight.Add(-1)
		if resp.end != "" {
			l.ends.requestEnded(r, resp.end, l.now()-r.acceptedAt)
		}
		r.response <- resp
		l.removeIfDone(r)
	}
}

// markFinished marks a request as finished. It returns false if it was finished before.
func (l *loop) markFinished(r *request) bool {
	r.fallbackTimer.Stop()
	return r.finished.CompareAndSwap(false, true)
}

// removeIfDone removes a request that is finished and has no attempt in flight.
func (l *loop) removeIfDone(r *request) {
	if !r.finished.Load() || r.inFlight > 0 {
		return
	}
	delete(l.requests, r.id)
	if r.firstSentAt == 0 {
		l.sentIDs.Release(r.idClaim)
		r.idClaim = sentids.Claim{}
	}
}

// retryDeadline returns the clock time from which no retry may be sent, or zero if there is no limit. After the end of the
// idempotency window servers may run a retry as a new request. The deadline is earlier by a margin for the transfer of the
// retry. It also applies to a retry whose connection is established late.
func (r *request) retryDeadline() time.Duration {
	if r.class.Effect != balancer.WithIdempotencyKey || r.firstSentAt == 0 {
		return 0
	}
	window := r.class.IdempotencyWindow
	return r.firstSentAt + window - min(deadlineMargin, window/4)
}

// maxDisconnectDelay is how long after a disconnect an attempt may still begin, less a margin for the transfer.
const maxDisconnectDelay = 50 * time.Millisecond

// mayHaveLeft reports whether the client can have disconnected for longer than maxDisconnectDelay without a sign: the end of
// the connection may be hidden behind unread bytes, and the request may have been sent that long ago. Any goroutine may call it.
func (l *loop) mayHaveLeft(r *request) bool {
	return l.now()-r.sentAt() > maxDisconnectDelay && r.backlogged()
}

// clientIsWaiting reports whether the request is unfinished and its client connected. Any goroutine may call it.
func (r *request) clientIsWaiting() bool { return !r.finished.Load() && r.connected() }
