package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"umberbank/balancer"
)

// earlyResponseTimeout is how long a server that takes no more of a request may take to say why.
const earlyResponseTimeout = time.Second

// pauseLimitedWriter writes to a server for as long as the server does not pause for maxServerPause.
type pauseLimitedWriter struct{ net.Conn }

// Write implements io.Writer.
func (w pauseLimitedWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(maxServerPause)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// exchangeLong writes a request with a StreamedBody as its client sends it, and reads its response. A server may respond before it has
// read all.
func (p *Pool) exchangeLong(ctx context.Context, c *conn, call Call) (result AttemptResult, reusable bool) {
	wrote := make(chan error, 1)
	go func() { wrote <- p.writeLong(c, call) }()
	c.limit.N = maxHeadBytes
	resp, err := readHead(c.reader, call.Request)
	if !call.StreamedBody.Complete() || err != nil {
		c.Conn.Close() // ends the writing, should it still go on
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

// writeLong writes a request with a StreamedBody, and sees to it that the reading of its response ends if it cannot be written.
func (p *Pool) writeLong(c *conn, call Call) error {
	err := call.Request.Write(pauseLimitedWriter{c.Conn})
	switch {
	case err == nil:
		p.metrics.AttemptsSent.Add(1)
		call.BodySent()
	case call.StreamedBody.Broken():
		c.Conn.Close() // no response can come
	default:
		c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	return err
}

// unsentResult is how an attempt ended whose last byte was not written, so that it can't have run.
func unsentResult(ctx context.Context, resp *http.Response, call Call) balancer.Result {
	switch {
	case ctx.Err() != nil || call.StreamedBody.Broken():
		return balancer.NotSent // not the server's doing
	case resp != nil:
		return balancer.Overloaded // it did not want all of it
	}
	return balancer.Unreachable
}
