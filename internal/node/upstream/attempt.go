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
	// maxHeadBytes is the most that is read of the head of a server's response and any interim responses before it. net/http sets
	// a client no limit, and one endless head would fill the memory.
	maxHeadBytes = 1 << 20
	// maxFramedBytes is the most that is read of a response's body with its framing: chunks may be of a byte each.
	maxFramedBytes = 8 * bodybudget.MaxBodyBytes
)

// Causes with which the context of an attempt ends.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrCancelled = errors.New("cancelled")
)

// Body is the part of a long request's body that is not buffered, which the client sends while the attempt is made.
type Body interface {
	// Consume takes the body for one attempt; false: another has taken it.
	Consume() bool
	// Complete reports whether the last byte was read.
	Complete() bool
	// Broken reports whether it cannot be read to its end.
	Broken() bool
}

// Call is an attempt to be made, and whom it tells how it goes. The functions are called by goroutines of the attempt.
type Call struct {
	Request      *http.Request // with its body
	StreamedBody Body          // the part of its body that is not buffered; nil: all is
	Conditions   Conditions
	// BodySent is called when the last byte of a request with a StreamedBody is written.
	BodySent func()
	// ResponseStarted is called when a long response begins. Whoever reads it calls its Finish.
	ResponseStarted func(*Response)
}

// AttemptResult is how an attempt ended. Body and ContentType belong to a Success whose response was short.
type AttemptResult struct {
	Result      balancer.Result
	Body        []byte
	ContentType string
}

func (r AttemptResult) succeeded() bool { return r.Result == balancer.Success }

// lostBeforeResponse reports whether the attempt ended with its connection, of which not a byte came back.
func (r AttemptResult) lostBeforeResponse(c *conn) bool {
	return r.Result == balancer.Unreachable || r.Result == balancer.ConnectionLost && c.limit.N == maxHeadBytes
}

// Attempt makes a call to an endpoint once and waits for the response until ctx ends. It writes nothing unless the conditions
// hold at the first byte.
func (p *Pool) Attempt(ctx context.Context, e *Endpoint, call Call) AttemptResult {
	r := call.Request
	if r.Host == "" { // HTTP/1.0 clients need not name one, servers want one
		r.Host = e.Addr
	}
	c, err := p.connect(ctx, e, r, call.StreamedBody != nil)
	if err != nil && ctx.Err() == nil {
		return AttemptResult{Result: balancer.Unreachable}
	} else if err != nil {
		return AttemptResult{Result: balancer.NotSent} // the dial took the attempt's time or its reason away
	}
	if result, ok := call.preSendCheck(ctx, e); !ok {
		p.put(e, c) // not a byte was written
		return AttemptResult{Result: result}
	}
	stop := context.AfterFunc(ctx, c.abort) // the end of ctx aborts the connection, and the exchange with it
	var result AttemptResult
	var reusable bool
	if call.StreamedBody == nil {
		result, reusable = p.exchange(ctx, c, call)
	} else {
		result, reusable = p.exchangeLong(ctx, c, call)
	}
	p.adjustMaxReuseIdle(c, result)
	if stop() && reusable {
		p.put(e, c)
	} else {
		p.close(c)
	}
	return result
}

// connect returns a connection for a request; long: not all of its body is buffered.
func (p *Pool) connect(ctx context.Context, e *Endpoint, r *http.Request, long bool) (*conn, error) {
	if (long || !protocolAllowsRetry(r)) && p.reuseIdleLowered() {
		// Servers drop idle connections, and a reset leaves open whether the request ran.
		return p.dial(ctx, e)
	}
	return p.get(ctx, e)
}

// protocolAllowsRetry reports whether the protocol lets a request run twice: it is a GET or carries a key.
func protocolAllowsRetry(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Header.Get(header.IdempotencyKey) != ""
}

// exchange writes one request and reads its response. reusable: the connection can carry another.
func (p *Pool) exchange(ctx context.Context, c *conn, call Call) (result AttemptResult, reusable bool) {
	var message bytes.Buffer
	if err := call.Request.Write(&message); err != nil {
		return AttemptResult{Result: balancer.NotSent}, false
	}
	if _, err := c.Write(message.Bytes()); err != nil {
		// Not all of it was written, so it can't have run.
		if ctx.Err() != nil {
			return AttemptResult{Result: balancer.NotSent}, false
		}
		return AttemptResult{Result: balancer.Unreachable}, false
	}
	p.metrics.AttemptsSent.Add(1)
	c.limit.N = maxHeadBytes
	resp, err := readHead(c.reader, call.Request)
	if err != nil {
		return AttemptResult{Result: unansweredResult(ctx)}, false
	}
	return p.receive(ctx, c, resp, call)
}

// readHead reads the head of a response and skips interim ones. Nobody asked to switch protocols, so 101 is final and means
// nothing.
func readHead(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, r)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// unansweredResult is how an attempt ended that was written and got no complete response.
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

// receive reads the body of a response.
func (p *Pool) receive(ctx context.Context, c *conn, resp *http.Response, call Call) (result AttemptResult, reusable bool) {
	defer resp.Body.Close()
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

// provesUnprocessed reports whether the server says that it has not run the request.
func provesUnprocessed(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(header.Unprocessed) == "1"
}

// discard reads a body that nobody wants; false: it was not read to its end.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, bodybudget.MaxBufferedBytes+1))
	return err == nil && n <= bodybudget.MaxBufferedBytes
}

// receiveOK reads the body of a 200. complete: to its end, and a long one was passed on to its end.
func (p *Pool) receiveOK(ctx context.Context, c *conn, resp *http.Response, call Call) (result AttemptResult, complete bool) {
	release, err := p.budget.Responses.Reserve(ctx, resp.ContentLength)
	if err != nil {
		return AttemptResult{Result: unansweredResult(ctx)}, false
	}
	defer release()
	response := newResponse(resp.Header.Get("Content-Type"), resp.ContentLength, func() { c.Conn.Close() })
	start := func() {
		if response.startStreaming() {
			call.ResponseStarted(response)
		}
	}
	switch {
	case response.Length > bodybudget.MaxBufferedBytes:
		start()
	case response.Length < 0: // it may be long, and then its first bytes are wanted
		defer time.AfterFunc(gatherTimeout, start).Stop()
	}
	err = response.receive(pauseLimitedReader{c.Conn, resp.Body}, start)
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
	return AttemptResult{balancer.Success, response.buffered, response.ContentType}, true
}

// pauseLimitedReader reads a server's body for as long as the server does not pause for maxServerPause.
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
