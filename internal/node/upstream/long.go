package upstream

import (
	"context"
	"errors"
	"io"
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

// errNotWanted ends the body of a request that no client waits for any more.
var errNotWanted = errors.New("the request is finished, or its client may have disconnected")

// wantedBody reads the body of a long request. It withholds the last bytes if the request is not wanted
// any more, so that no server runs it. That a client has disconnected may become visible only when the
// whole body has been read, because the end of the connection is behind it.
type wantedBody struct {
	io.ReadCloser
	call Call
}

// Read implements io.Reader.
func (b wantedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.call.StreamedBody.Complete() && !b.call.Conditions.MayComplete() {
		return 0, errNotWanted
	}
	return n, err
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
		return AttemptResult{Result: unsentResult(ctx, resp, call, nil)}, false
	}
	if writeErr := <-wrote; writeErr != nil {
		return AttemptResult{Result: unsentResult(ctx, resp, call, writeErr)}, false
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
	call.Request.Body = wantedBody{call.Request.Body, call}
	err := call.Request.Write(pauseLimitedWriter{c.Conn})
	switch {
	case err == nil:
		p.metrics.AttemptsSent.Add(1)
		call.phase.enter(AwaitingHead)
		call.BodySent()
	case call.StreamedBody.Broken(), errors.Is(err, errNotWanted):
		c.Conn.Close() // an incomplete request gets no response
	default:
		c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	return err
}

// unsentResult returns the result of an attempt whose last byte was not written, so that the request
// cannot have run. writeErr is the error of the write if it has ended.
func unsentResult(ctx context.Context, resp *http.Response, call Call, writeErr error) balancer.Result {
	switch {
	case call.StreamedBody.Broken(), errors.Is(writeErr, errNotWanted):
		return balancer.NotSent // not caused by the server
	case ctx.Err() == nil && resp != nil:
		return balancer.Overloaded // the server responded without reading the whole request
	}
	return unwrittenResult(ctx)
}
