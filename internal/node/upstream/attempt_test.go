package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/simwire"
)

// A reset at any point of a response yields ConnectionLost. It must not be taken for the end of a
// response of unknown length.
func TestResetDoesNotEndResponse(t *testing.T) {
	t.Parallel()
	for _, sent := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nall of",
		"HTTP/1.0 200 OK\r\n\r\nall of", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nall of\r\n"} {
		read := make(chan struct{})
		addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				io.WriteString(c, sent)
				if sent != "" {
					<-read // a reset discards bytes that the pool has not read
				}
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		p := newTestPool(10)
		dial := p.Dial
		p.Dial = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
			c, err := dial(ctx, addr, timeout)
			return notifyingConn{c, sync.OnceFunc(func() { close(read) })}, err
		}
		if res := attemptWith(t, p, newReadyEndpoint(addr)); res.Result != balancer.ConnectionLost {
			t.Errorf("reset after %q: result %d, want ConnectionLost", sent, res.Result)
		}
	}
}

// notifyingConn calls onRead when bytes are read.
type notifyingConn struct {
	net.Conn
	onRead func()
}

func (c notifyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// serverIdleTimeout is the IdleTimeout in the settings of the tests, after which servers close idle
// connections.
const serverIdleTimeout = time.Minute

// newTestPool returns a pool of at most limit connections.
func newTestPool(limit int) *Pool {
	return NewPool(Options{
		Connections:    simwire.Connections{IdleTimeout: serverIdleTimeout, ConnectTimeout: nodetest.Timeout},
		MaxConnections: limit,
		Metrics:        &metrics.Metrics{},
		Budget:         bodybudget.New(16 << 20),
	})
}

// zeroClock is the clock of conditions whose deadline is never reached.
func zeroClock() time.Duration { return 0 }

func distantDeadline() time.Duration { return time.Hour }

func newReadyEndpoint(addr string) *Endpoint {
	e := NewEndpoint(addr, 0)
	e.SetReady(true)
	return e
}

func keyedRequest(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "/send/1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "app.svc"
	r.Header.Set("Idempotency-Key", "k-1")
	return r
}

// metConditions hold for every attempt to a ready endpoint.
var metConditions = Conditions{Now: zeroClock, Deadline: distantDeadline, Wanted: func() bool { return true }}

func attemptWith(t *testing.T, p *Pool, e *Endpoint) AttemptResult {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(context.Background(), nodetest.Timeout, ErrTimedOut)
	defer cancel()
	return p.Attempt(ctx, e, Call{Request: keyedRequest(t), Conditions: metConditions, ResponseStarted: func(response *Response) {
		go func() {
			_, err := io.Copy(io.Discard, response)
			response.Finish(err)
		}()
	}})
}

func TestResults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		response string
		result   balancer.Result
		reusable bool
	}{
		"served":            {nodetest.OKResponse, balancer.Success, true},
		"interim response":  {"HTTP/1.1 100 Continue\r\n\r\n" + nodetest.OKResponse, balancer.Success, true},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.Success, true},
		"empty":             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balancer.Success, true},
		"closes":            {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
		"leftover bytes":    {nodetest.OKResponse + "HTTP/1.1 200 OK", balancer.Success, false},
		"error":             {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"not found":         {"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"other success":     {"HTTP/1.1 204 No Content\r\n\r\n", balancer.Failure, true},
		"rejected":          {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"unprocessed 504":   {"HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"503 may have run":  {"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"503 says 0":        {"HTTP/1.1 503 E\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"500 unprocessed":   {"HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"nothing":           {"", balancer.ConnectionLost, false},
		"not HTTP":          {"hello\r\n\r\n", balancer.ConnectionLost, false},
		"half a header":     {"HTTP/1.1 200 OK\r\nContent-Le", balancer.ConnectionLost, false},
		"half a body":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", balancer.ConnectionLost, false},
		"half the chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", balancer.ConnectionLost, false},
		"unframed body":     {"HTTP/1.1 200 OK\r\n\r\nall of it", balancer.Success, false},
		"body over 64 KiB":  {"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), balancer.Success, true},
		"body over 32 MiB":  {"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + strings.Repeat("x", 33554433), balancer.ConnectionLost, false},
		"half a long body":  {"HTTP/1.1 200 OK\r\nContent-Length: 65538\r\n\r\n" + strings.Repeat("x", 65537), balancer.ConnectionLost, false},
		"long chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\nTrailer: x\r\n\r\n", balancer.Success, true},
		"body of 64 KiB":    {"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), balancer.Success, true},
		"half an error":     {"HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nhalf", balancer.Failure, false},
		"half rejected":     {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf", balancer.Overloaded, false},
		"unframed and 1.0":  {"HTTP/1.0 200 OK\r\n\r\nall of it", balancer.Success, false},
		"other protocol":    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", balancer.Failure, false},
		"1.0 with a length": {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			addr := nodetest.Listen(t, func(conn net.Conn, r *bufio.Reader) {
				if req, err := http.ReadRequest(r); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					io.WriteString(conn, c.response)
					if c.reusable {
						<-release
					}
				}
			})
			p := newTestPool(10)
			res := attemptWith(t, p, newReadyEndpoint(addr))
			if res.Result != c.result {
				t.Errorf("result %d, want %d", res.Result, c.result)
			}
			want := 0
			if c.reusable {
				want = 1
			}
			if open, idle := p.Connections(); open != want || idle != want {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, want)
			}
			close(release)
		})
	}
}

// If a reused connection breaks after the request was written, the request may have run. Even if it is
// idempotent, only the balancer may decide to send it again.
func TestNoImplicitRetry(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			received.Add(1)
			if i == 1 {
				return // no response to a connection's second request
			}
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	if res := attemptWith(t, p, e); res.Result != balancer.Success {
		t.Fatalf("first: %d", res.Result)
	}
	if res := attemptWith(t, p, e); res.Result != balancer.ConnectionLost {
		t.Errorf("second: result %d, want ConnectionLost", res.Result)
	}
	if n := received.Load(); n != 2 {
		t.Errorf("the server received %d requests, want 2", n)
	}
}

func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := newTestPool(10)
	if res := attemptWith(t, p, newReadyEndpoint(l.Addr().String())); res.Result != balancer.Unreachable {
		t.Errorf("result %d, want Unreachable", res.Result)
	}
	if open, _ := p.Connections(); open != 0 {
		t.Errorf("%d connections are counted as open, want 0", open)
	}
}

// Nothing is written if the request is finished, if the endpoint has become unready, or if the context
// has ended.
func TestNothingWrittenUnlessConditionsHold(t *testing.T) {
	t.Parallel()
	var bytes atomic.Int64
	eof := make(chan struct{}, 10)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytes.Add(n)
		eof <- struct{}{}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	ctx := context.Background()
	if res := p.Attempt(ctx, e, Call{Request: keyedRequest(t), Conditions: Conditions{Now: zeroClock, Deadline: distantDeadline, Wanted: func() bool { return false }}}); res.Result != balancer.NotSent {
		t.Errorf("request finished: result %d, want NotSent", res.Result)
	}
	if _, idle := p.Connections(); idle != 1 {
		t.Error("the new connection was not kept for the next attempt")
	}
	becomeUnready := func() bool { e.SetReady(false); return true }
	if res := p.Attempt(ctx, e, Call{Request: keyedRequest(t), Conditions: Conditions{Now: zeroClock, Deadline: distantDeadline, Wanted: becomeUnready}}); res.Result != balancer.Unreachable {
		t.Errorf("endpoint not ready: result %d, want Unreachable", res.Result)
	}
	nodetest.Wait(t, eof)
	e.SetReady(true)
	ctx, cancel := context.WithCancelCause(ctx)
	cancel(ErrCancelled)
	if res := p.Attempt(ctx, e, Call{Request: keyedRequest(t), Conditions: metConditions}); res.Result != balancer.NotSent {
		t.Errorf("cancelled: result %d, want NotSent", res.Result)
	}
	if n := bytes.Load(); n > 0 {
		t.Errorf("%d bytes written", n)
	}
}

// A timeout or a cancellation ends the attempt and resets its connection, so that bytes in the send
// buffer are not sent later.
func TestTimeoutAndCancelResetConnection(t *testing.T) {
	t.Parallel()
	began, ended := make(chan struct{}, 10), make(chan error, 10)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			began <- struct{}{}
			_, err := io.Copy(io.Discard, r)
			ended <- err
		}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	for cause, want := range map[error]balancer.Result{
		ErrTimedOut: balancer.TimedOut, ErrCancelled: balancer.Cancelled} {
		t.Run(cause.Error(), func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-began
				cancel(cause)
			}()
			if res := p.Attempt(ctx, e, Call{Request: keyedRequest(t), Conditions: metConditions}); res.Result != want {
				t.Errorf("%v: result %d, want %d", cause, res.Result, want)
			}
			if err := nodetest.Wait(t, ended); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v: the server's read ended with %v, want a reset", cause, err)
			}
		})
	}
	if open, _ := p.Connections(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// A server that does not read a request until it times out is the cause of the timeout, and the request has not run.
func TestTimeoutWhileServerDoesNotRead(t *testing.T) {
	t.Parallel()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	addr := nodetest.Listen(t, func(c net.Conn, _ *bufio.Reader) { <-stop })
	p := newTestPool(1)
	dial := p.Dial
	p.Dial = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		c, err := dial(ctx, addr, timeout)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	body := nodetest.Text(8 << 20)
	for cause, want := range map[error]balancer.Result{ErrTimedOut: balancer.Unreachable, ErrCancelled: balancer.NotSent} {
		r, err := http.NewRequest(http.MethodPost, "/send/1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(200*time.Millisecond, func() { cancel(cause) })
		if res := p.Attempt(ctx, newReadyEndpoint(addr), Call{Request: r, Conditions: metConditions}); res.Result != want || res.Phase != Sending {
			t.Errorf("%v: got %v in phase %v, want %v", cause, res.Result, res.Phase, want)
		}
	}
}
