package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"umberbank/balancer"
)

// earlyResponseTimeout limits the wait for a response after writing a request has failed. The server may
// have responded before it has read the whole request.
const earlyResponseTimeout = time.Second

// pauseLimitedWriter writes to a server, and fails if the server does not read for maxServerPause.
type pauseLimitedWriter struct{ net.Conn }

// Write implements io.Writer.
func (w pauseLimitedWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(maxServerPause)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// exchangeLong writes a request with a StreamedBody while its client sends it, and reads the response.
// If the response begins before the client has sent the whole body, exchangeLong closes the connection,
// and the result is that of unsentResult.
func (p *Pool) exchangeLong(ctx context.Context, c *conn, call Call) (result AttemptResult, reusable bool) {
	wrote := make(chan error, 1)
	go func() { wrote <- p.writeLong(c, call) }()
	c.limit.N = maxHeadBytes
	resp, err := readHead(c.reader, call.Request)
	if !call.StreamedBody.Complete() || err != nil {
		c.Conn.Close() // stops writeLong if it is still writing
	}
	if !call.StreamedBody.Complete() {
		return AttemptResult{Result: unsentResult(ctx, resp, call)}, false
	}
	if <-wrote != nil {
		return AttemptResult{Result: unsentResult(ctx, resp, call)}, false
	}
	if err != nil {
		return AttemptResult{Result: unansweredResult(ctx)}, false
	}
	c.SetWriteDeadline(time.Time{})
	return p.receive(ctx, c, resp, call)
}

// writeLong writes a request with a StreamedBody. If that fails, it makes the read of the response end
// as well.
func (p *Pool) writeLong(c *conn, call Call) error {
	err := call.Request.Write(pauseLimitedWriter{c.Conn})
	switch {
	case err == nil:
		p.metrics.AttemptsSent.Add(1)
		call.phase.enter(AwaitingHead)
		call.BodySent()
	case call.StreamedBody.Broken():
		c.Conn.Close() // an incomplete request gets no response
	default:
		c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	return err
}

// unsentResult returns the result of an attempt whose last byte was not written, so that the request
// cannot have run.
func unsentResult(ctx context.Context, resp *http.Response, call Call) balancer.Result {
	switch {
	case call.StreamedBody.Broken():
		return balancer.NotSent // not caused by the server
	case errors.Is(context.Cause(ctx), ErrTimedOut):
		return balancer.Unreachable // the server has not read the request in time
	case ctx.Err() != nil:
		return balancer.NotSent // not caused by the server
	case resp != nil:
		return balancer.Overloaded // the server responded without reading the whole request
	}
	return balancer.Unreachable
}
