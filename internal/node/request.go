package node

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/upstream"
)

// overhead is the part of a client's time that the node reserves for its own work and the way back, so that the answer arrives before
// the client has given up. Of a short time it reserves no more than 1/4.
const overhead = 20 * time.Millisecond

// request is a client's request. The loop owns it, except for the fields that the frontend sets before accept and for the atomics.
// deadline, fallbackAt and firstSentAt are clock times.
type request struct {
	id           string // ours: a client's id may come twice
	class        string
	clientRetry  bool             // the client has sent it before
	costHint     time.Duration    // the work to expect; 0: not known
	timeLeft     time.Duration    // how long the client waits from the request's last byte on
	deadline     time.Duration    // by which the balancer is to answer
	fallbackAt   time.Duration    // at which the node answers by itself
	outgoing     *http.Request    // what goes to a server
	body         []byte           // as much of it as is buffered
	streamedBody *clientconn.Body // what follows body; nil: nothing
	answer       chan answer      // holds the final answer; never blocks

	maxAttempts int            // by the settings when it was accepted
	settings    balancer.Class // likewise
	firstSentAt time.Duration  // when the first attempt was sent that may have run; 0: none may have

	finished      atomic.Bool // answered, or its client has disconnected; set by the loop alone
	disconnected  atomic.Bool // its client was seen to disconnect; the loop may not know yet
	connected     func() bool // asks, at this instant, whether its client is still there; by any goroutine
	fallbackTimer *time.Timer // nil: it was never accepted
	attempts      []*attempt
	inFlight      int // attempts that have not ended
}

// answer is the final answer to a client.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration      // 0: it says nothing of that
	response    *upstream.Response // not nil: the body, as it comes
	rejection   error              // not nil: the request was not accepted, for this reason
}

// accept takes a request from the frontend.
func (l *loop) accept(r *request) {
	// The settings may have changed since the frontend looked.
	if err := l.classes.Load().check(r.class, r.outgoing.Header); err != nil {
		r.answer <- answer{rejection: err}
		return
	}
	if l.closing {
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	if r.disconnected.Load() {
		return // nobody waits for an answer
	}
	r.maxAttempts, r.settings = l.maxAttempts, (*l.classes.Load())[r.class]
	l.lastID++
	r.id = strconv.FormatUint(l.lastID, 10)
	l.requests[r.id] = r
	l.metrics.InFlight.Add(1)
	l.startFallbackTimer(r)
	l.handle(balancer.Request{
		ID:            r.id,
		Class:         r.class,
		Deadline:      r.deadline,
		ClientRetry:   r.clientRetry,
		CostHint:      r.costHint,
		StreamingBody: r.streamedBody != nil,
	})
}

// startFallbackTimer makes the node fail a request by itself, just before its client gives up, if the balancer never answers it.
func (l *loop) startFallbackTimer(r *request) {
	r.fallbackTimer = l.after(r.fallbackAt-l.now(), func() {
		if !r.finished.Load() {
			slog.Error("no decision by the deadline of a request", "request", r.id)
			l.abandon(r)
		}
	})
}

// startDeadline makes a request's time begin now.
func (l *loop) startDeadline(r *request) {
	reserved := min(overhead, r.timeLeft/4)
	r.deadline = l.now() + r.timeLeft - reserved
	r.fallbackAt = r.deadline + reserved/2
}

// abandon fails a request without the balancer, which is notified that nobody waits for it any more.
func (l *loop) abandon(r *request) {
	l.finish(r.id, answer{status: http.StatusBadGateway})
	l.handle(balancer.ClientDisconnected{ID: r.id})
}

// abandonAll fails whatever is unanswered, and rejects whatever comes from now on.
func (l *loop) abandonAll() {
	l.closing = true
	for _, r := range l.requests {
		if !r.finished.Load() {
			l.abandon(r)
		}
	}
}

// clientDisconnected notes that a client has closed its connection.
func (l *loop) clientDisconnected(r *request) {
	if r.fallbackTimer != nil && l.markFinished(r) { // else it was never accepted
		l.metrics.InFlight.Add(-1)
		l.handle(balancer.ClientDisconnected{ID: r.id})
		l.forget(r)
	}
}

// finish gives a request its final answer, once.
func (l *loop) finish(id string, a answer) {
	r := l.requests[id]
	if r != nil && l.markFinished(r) {
		l.metrics.InFlight.Add(-1)
		r.answer <- a
		l.forget(r)
	}
}

// markFinished makes a request one that is finished; false: it was before.
func (l *loop) markFinished(r *request) bool {
	r.fallbackTimer.Stop()
	return r.finished.CompareAndSwap(false, true)
}

// forget drops a request that is finished and has no attempt in flight.
func (l *loop) forget(r *request) {
	if r.finished.Load() && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// retryDeadline is the clock time from which on the servers may run a retry of the request anew, less the time on the way; 0: there
// is none. A connection that comes up late must not carry it past that.
func (r *request) retryDeadline() time.Duration {
	if r.settings.Effect != balancer.WithIdempotencyKey || r.firstSentAt == 0 {
		return 0
	}
	window := r.settings.IdempotencyWindow
	return r.firstSentAt + window - min(overhead, window/4)
}

// clientIsWaiting reports whether the request is unanswered and its client connected. Any goroutine may call it.
func (r *request) clientIsWaiting() bool { return !r.finished.Load() && r.connected() }
