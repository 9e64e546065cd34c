package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/header"
)

const (
	// maxHeadBytes is the maximum size of the head of a server's response, including the interim
	// responses before it. net/http sets no limit for a client, so an endless head would exhaust the
	// memory.
	maxHeadBytes = 1 << 20
	// maxFramedBytes is the maximum size of a response's body including its framing. A chunk of one
	// byte takes 6 bytes, so a body of MaxBodyBytes fits with chunks of any size.
	maxFramedBytes = 8 * bodybudget.MaxBodyBytes
)

// Causes for which the context of an attempt is cancelled.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrCancelled = errors.New("cancelled")
)

// Body is the part of a request's body that is not buffered. The client sends it while the attempt is in
// progress. A request with such a part is called long.
type Body interface {
	// Consume claims the body for one attempt. It returns false if another attempt has claimed it.
	Consume() bool
	// Complete reports whether the whole body has been read.
	Complete() bool
	// Broken reports whether the body cannot be read to its end.
	Broken() bool
}

// Call describes an attempt and the callbacks that report its progress. Goroutines of the attempt call
// the callbacks.
type Call struct {
	Request      *http.Request // the request to send, with its body
	StreamedBody Body          // the part of the body that is not buffered; nil if the whole body is
	Conditions   Conditions
	// BodySent is called when the last byte of a request with a StreamedBody has been written.
	BodySent func()
	// ResponseStarted is called when the response starts to be streamed, which is at the first byte of
	// its body at the earliest; see Response. The reader of
	// the response must call Finish or Discard.
	ResponseStarted func(*Response)

	phase *phaseTracker // set by Attempt
}

// AttemptResult is the outcome of an attempt. Body and ContentType are set for a Success whose response
// was not streamed.
type AttemptResult struct {
	Result      balancer.Result
	Body        []byte
	ContentType string
	Phase       Phase // during which the attempt ended
}

func (r AttemptResult) succeeded() bool { return r.Result == balancer.Success }

// lostBeforeResponse reports whether the connection c was lost before a byte of the response arrived.
func (r AttemptResult) lostBeforeResponse(c *conn) bool {
	return r.Result == balancer.Unreachable || r.Result == balancer.ConnectionLost && c.limit.N == maxHeadBytes
}

// Attempt sends a call to an endpoint at most once and waits for the response until ctx ends. It writes
// nothing unless the conditions hold right before the first byte.
func (p *Pool) Attempt(ctx context.Context, e *Endpoint, call Call) AttemptResult {
	r := call.Request
	if r.Host == "" { // optional for HTTP/1.0 clients, but servers require it
		r.Host = e.Addr
	}
	c, err := p.connect(ctx, e, r, call.StreamedBody != nil)
	if err != nil && ctx.Err() == nil {
		return AttemptResult{Result: balancer.Unreachable}
	} else if err != nil {
		return AttemptResult{Result: balancer.NotSent} // ctx ended during the dial
	}
	if result, ok := call.preSendCheck(ctx, e); !ok {
		p.put(e, c) // nothing was written
		return AttemptResult{Result: result}
	}
	call.phase = &phaseTracker{}
	call.phase.enter(Sending)
	stop := context.AfterFunc(ctx, c.abort) // aborting the connection also ends the exchange
	var result AttemptResult
	var reusable bool
	if call.StreamedBody == nil {
		result, reusable = p.exchange(ctx, c, call)
	} else {
		result, reusable = p.exchangeLong(ctx, c, call)
	}
	result.Phase = call.phase.current()
	p.adjustMaxReuseIdle(c, result)
	if stop() && reusable {
		p.put(e, c)
	} else {
		p.close(c)
	}
	return result
}

// connect returns a connection for a request. long is true if not all of the request's body is
// buffered.
func (p *Pool) connect(ctx context.Context, e *Endpoint, r *http.Request, long bool) (*conn, error) {
	if (long || !protocolAllowsRetry(r)) && p.maxReuseIdleLowered() {
		// Servers have been dropping idle connections. After a reset it is unknown whether the request
		// ran, and a long request cannot be sent again once a part of its body is consumed.
		return p.dial(ctx, e)
	}
	return p.get(ctx, e)
}

// protocolAllowsRetry reports whether the protocol allows a request to run twice: it is a GET or has an
// idempotency key.
func protocolAllowsRetry(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Header.Get(header.IdempotencyKey) != ""
}

// exchange writes one request and reads its response. reusable reports whether the connection can carry
// another request.
func (p *Pool) exchange(ctx context.Context, c *conn, call Call) (result AttemptResult, reusable bool) {
	var message bytes.Buffer
	if err := call.Request.Write(&message); err != nil {
		return AttemptResult{Result: balancer.NotSent}, false
	}
	if _, err := c.Write(message.Bytes()); err != nil {
		return AttemptResult{Result: unwrittenResult(ctx)}, false
	}
	p.metrics.AttemptsSent.Add(1)
	call.phase.enter(AwaitingHead)
	c.limit.N = maxHeadBytes
	resp, err := readHead(c.reader, call.Request)
	if err != nil {
		return AttemptResult{Result: unansweredResult(ctx)}, false
	}
	return p.receive(ctx, c, resp, call)
}

// unwrittenResult returns the result of an attempt whose write failed or was aborted. The request was not
// written completely, so it cannot have run.
func unwrittenResult(ctx context.Context) balancer.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimedOut) {
		return balancer.NotSent // not caused by the server
	}
	return balancer.Unreachable // the connection broke, or the server did not read the request in time
}

// readHead reads the head of a response and skips interim responses. A 101 is returned as final,
// because no request asks to switch protocols.
func readHead(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, r)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// unansweredResult returns the result of an attempt whose request was written and that got no complete
// response.
func unansweredResult(ctx context.Context) balancer.Result {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return balancer.ConnectionLost
	case errors.Is(cause, ErrTimedOut):
		return balancer.TimedOut
	}
	return balancer.Cancelled
}

// receive reads the body of a response. reusable reports whether the connection can carry another
// request.
func (p *Pool) receive(ctx context.Context, c *conn, resp *http.Response, call Call) (result AttemptResult, reusable bool) {
	defer resp.Body.Close()
	call.phase.enter(ReceivingBody)
	c.limit.N = maxFramedBytes
	complete := false
	switch {
	case resp.StatusCode == http.StatusOK:
		if result, complete = p.receiveOK(ctx, c, resp, call); !complete {
			return result, false
		}
	case provesUnprocessed(resp):
		result.Result = balancer.Overloaded
		complete = discard(resp.Body)
	default:
		result.Result = balancer.Failure
		complete = discard(resp.Body) && resp.StatusCode != http.StatusSwitchingProtocols
	}
	return result, complete && !resp.Close && c.reader.Buffered() == 0
}

// provesUnprocessed reports whether a response states that the server has not run the request.
func provesUnprocessed(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(header.Unprocessed) == "1"
}

// discard reads and discards a body. It returns false if the body was not read to its end, because it
// failed or was longer than bodybudget.MaxBufferedBytes.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, bodybudget.MaxBufferedBytes+1))
	return err == nil && n <= bodybudget.MaxBufferedBytes
}

// receiveOK reads the body of a 200. complete reports whether the whole body was read and, if it was
// streamed, written to the client.
func (p *Pool) receiveOK(ctx context.Context, c *conn, resp *http.Response, call Call) (result AttemptResult, complete bool) {
	release, err := p.budget.Responses.Reserve(ctx, resp.ContentLength)
	if err != nil {
		return AttemptResult{Result: unansweredResult(ctx)}, false
	}
	defer release()
	stop := func() { c.Conn.Close() }
	response := newResponse(resp.Header.Get("Content-Type"), resp.ContentLength, stop, call.ResponseStarted)
	switch {
	case response.Length > bodybudget.MaxBufferedBytes:
		response.allowStreaming()
	case response.Length < 0: // the response may take long, so its first bytes must not be held back until its end
		defer time.AfterFunc(gatherTimeout, response.allowStreaming).Stop()
	}
	err = response.receive(pauseLimitedReader{c.Conn, resp.Body})
	streaming, abandoned := response.state()
	if streaming {
		err = <-response.finished
		_, abandoned = response.state()
	}
	c.SetReadDeadline(time.Time{})
	switch {
	case abandoned:
		return AttemptResult{Result: balancer.Cancelled}, false
	case err != nil:
		return AttemptResult{Result: unansweredResult(ctx)}, false
	case streaming:
		return AttemptResult{Result: balancer.Success}, true
	}
	return AttemptResult{Result: balancer.Success, Body: response.buffered, ContentType: response.ContentType}, true
}

// pauseLimitedReader reads the body of a response, and fails if the server pauses for maxServerPause.
type pauseLimitedReader struct {
	conn net.Conn
	body io.Reader
}

// Read implements io.Reader.
func (r pauseLimitedReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(maxServerPause)); err != nil {
		return 0, err
	}
	return r.body.Read(p)
}
