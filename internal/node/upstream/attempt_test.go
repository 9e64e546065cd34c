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

// A reset does not end a response, whether or not its length is known, and wherever it strikes.
func TestResetIsNoEnd(t *testing.T) {
	t.Parallel()
	for _, said := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nall of",
		"HTTP/1.0 200 OK\r\n\r\nall of", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nall of\r\n"} {
		read := make(chan struct{})
		addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				io.WriteString(c, said)
				if said != "" {
					<-read // a reset may overtake what nobody has read
				}
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		u := newTestPool(10)
		connect := u.Dial
		u.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			c, err := connect(ctx, addr, within)
			return notifyingConn{c, sync.OnceFunc(func() { close(read) })}, err
		}
		if res := attemptWith(t, u, newReadyEndpoint(addr)); res.Result != balancer.ConnectionLost {
			t.Errorf("after %q: result %d", said, res.Result)
		}
	}
}

// notifyingConn calls a function when its first bytes are read.
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

// serverIdleTimeout is after how long servers close idle connections, by the settings of the tests.
const serverIdleTimeout = time.Minute

// newTestPool returns a pool of one connection.
func newTestPool(limit int) *Pool {
	return NewPool(Options{
		Connections:    simwire.Connections{IdleTimeout: serverIdleTimeout, ConnectTimeout: nodetest.Timeout},
		MaxConnections: limit,
		Metrics:        &metrics.Metrics{},
		Budget:         bodybudget.New(16 << 20),
	})
}

// noTime is the clock of attempts whose conditions have no times.
func noTime() time.Duration { return 0 }

func newReadyEndpoint(addr string) *Endpoint {
	s := NewEndpoint(addr, 0)
	s.SetReady(true)
	return s
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

// noConditions hold for every attempt.
var noConditions = Conditions{Now: noTime, Wanted: func() bool { return true }}

func attemptWith(t *testing.T, u *Pool, s *Endpoint) AttemptResult {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(context.Background(), nodetest.Timeout, ErrTimedOut)
	defer cancel()
	return u.Attempt(ctx, s, Call{Request: keyedRequest(t), Conditions: noConditions, ResponseStarted: func(d *Response) {
		go func() {
			_, err := io.Copy(io.Discard, d)
			d.Finish(err)
		}()
	}})
}

func TestResults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer string
		result balancer.Result
		kept   bool
	}{
		"served":            {nodetest.OKResponse, balancer.Success, true},
		"interim first":     {"HTTP/1.1 100 Continue\r\n\r\n" + nodetest.OKResponse, balancer.Success, true},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.Success, true},
		"empty":             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balancer.Success, true},
		"closes":            {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
		"leftover bytes":    {nodetest.OKResponse + "HTTP/1.1 200 OK", balancer.Success, false},
		"error":             {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"not found":         {"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"other success":     {"HTTP/1.1 204 No Content\r\n\r\n", balancer.Failure, true},
		"rejected":          {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"over already":      {"HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"503 that may run":  {"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"503 says 0":        {"HTTP/1.1 503 E\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"500 unprocessed":   {"HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"nothing":           {"", balancer.ConnectionLost, false},
		"no HTTP":           {"hello\r\n\r\n", balancer.ConnectionLost, false},
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
					io.WriteString(conn, c.answer)
					if c.kept {
						<-release
					}
				}
			})
			u := newTestPool(10)
			res := attemptWith(t, u, newReadyEndpoint(addr))
			if res.Result != c.result {
				t.Errorf("result %d, want %d", res.Result, c.result)
			}
			want := 0
			if c.kept {
				want = 1
			}
			if open, idle := u.Connections(); open != want || idle != want {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, want)
			}
			close(release)
		})
	}
}

// A reused connection that breaks once the request is written is an attempt that may have run: it must not be sent again
// without the balancer, though it is idempotent.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var seen atomic.Int64
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			seen.Add(1)
			if i == 1 {
				return // no answer to a connection's second request
			}
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	u, s := newTestPool(10), newReadyEndpoint(addr)
	if res := attemptWith(t, u, s); res.Result != balancer.Success {
		t.Fatalf("first: %d", res.Result)
	}
	if res := attemptWith(t, u, s); res.Result != balancer.ConnectionLost {
		t.Errorf("second: result %d, want ConnectionLost", res.Result)
	}
	if n := seen.Load(); n != 2 {
		t.Errorf("the server saw %d requests of 2", n)
	}
}

func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	u := newTestPool(10)
	if res := attemptWith(t, u, newReadyEndpoint(l.Addr().String())); res.Result != balancer.Unreachable {
		t.Errorf("result %d", res.Result)
	}
	if open, _ := u.Connections(); open != 0 {
		t.Errorf("%d connections counted", open)
	}
}

// What has changed during a dial is seen before the first byte.
func TestNothingWrittenAfterTheDial(t *testing.T) {
	t.Parallel()
	var bytes atomic.Int64
	eof := make(chan struct{}, 10)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytes.Add(n)
		eof <- struct{}{}
	})
	u, s := newTestPool(10), newReadyEndpoint(addr)
	ctx := context.Background()
	if res := u.Attempt(ctx, s, Call{Request: keyedRequest(t), Conditions: Conditions{Now: noTime, Wanted: func() bool { return false }}}); res.Result != balancer.NotSent {
		t.Errorf("request finished: result %d, want NotSent", res.Result)
	}
	if _, idle := u.Connections(); idle != 1 {
		t.Error("the new connection was not kept for the next attempt")
	}
	gone := func() bool { s.SetReady(false); return true }
	if res := u.Attempt(ctx, s, Call{Request: keyedRequest(t), Conditions: Conditions{Now: noTime, Wanted: gone}}); res.Result != balancer.Unreachable {
		t.Errorf("server gone: result %d, want Unreachable", res.Result)
	}
	nodetest.Wait(t, eof)
	s.SetReady(true)
	ctx, cancel := context.WithCancelCause(ctx)
	cancel(ErrCancelled)
	if res := u.Attempt(ctx, s, Call{Request: keyedRequest(t), Conditions: noConditions}); res.Result != balancer.NotSent {
		t.Errorf("cancelled: result %d, want NotSent", res.Result)
	}
	if n := bytes.Load(); n > 0 {
		t.Errorf("%d bytes written", n)
	}
}

// A timeout or a cancel ends the attempt and resets its connection, so that what has not left this machine never does.
func TestTimeoutAndCancelClose(t *testing.T) {
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
	u, s := newTestPool(10), newReadyEndpoint(addr)
	for cause, want := range map[error]balancer.Result{
		ErrTimedOut: balancer.TimedOut, ErrCancelled: balancer.Cancelled} {
		t.Run(cause.Error(), func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-began
				cancel(cause)
			}()
			if res := u.Attempt(ctx, s, Call{Request: keyedRequest(t), Conditions: noConditions}); res.Result != want {
				t.Errorf("%v: result %d, want %d", cause, res.Result, want)
			}
			if err := nodetest.Wait(t, ended); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v: the server saw %v", cause, err)
			}
		})
	}
	if open, _ := u.Connections(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}
