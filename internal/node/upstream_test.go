package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"umberbank/balancer"
)

func newTestUpstream(most int) *upstream {
	return newUpstream(testConfig("127.0.0.1:1"), most, &metrics{}, newBudget(defaultBudget))
}

func newServer(addr string) *server {
	s := &server{id: addr, addr: addr}
	s.usable.Store(true)
	return s
}

func keyed(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "/send/1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "app.svc"
	r.Header.Set("Idempotency-Key", "k-1")
	return r
}

// free is the clearance of an attempt of which nothing is asked.
var free = clearance{wanted: func() bool { return true }}

func try(t *testing.T, u *upstream, s *server) result {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(context.Background(), limit, errTimedOut)
	defer cancel()
	return u.attempt(ctx, s, call{request: keyed(t), clear: free, started: func(d *download) {
		go func() {
			_, err := io.Copy(io.Discard, d)
			d.done <- err
		}()
	}})
}

func (u *upstream) counts() (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.idle {
		idle += len(l)
	}
	return u.open, idle
}

func TestEndings(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer string
		ending balancer.Result
		kept   bool
	}{
		"served":            {ok, balancer.Success, true},
		"interim first":     {"HTTP/1.1 100 Continue\r\n\r\n" + ok, balancer.Success, true},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.Success, true},
		"empty":             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balancer.Success, true},
		"closes":            {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
		"leftover bytes":    {ok + "HTTP/1.1 200 OK", balancer.Success, false},
		"error":             {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"not found":         {"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"other success":     {"HTTP/1.1 204 No Content\r\n\r\n", balancer.Failure, true},
		"turned away":       {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
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
		"half turned away":  {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf", balancer.Overloaded, false},
		"unframed and 1.0":  {"HTTP/1.0 200 OK\r\n\r\nall of it", balancer.Success, false},
		"other protocol":    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", balancer.Failure, false},
		"1.0 with a length": {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
	} {
		release := make(chan struct{})
		addr := listen(t, func(conn net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(conn, c.answer)
				if c.kept {
					<-release
				}
			}
		})
		u := newTestUpstream(10)
		res := try(t, u, newServer(addr))
		if res.ending != c.ending {
			t.Errorf("%s: ending %d, want %d", name, res.ending, c.ending)
		}
		want := 0
		if c.kept {
			want = 1
		}
		if open, idle := u.counts(); open != want || idle != want {
			t.Errorf("%s: %d connections open and %d idle, want %d", name, open, idle, want)
		}
		close(release)
	}
}

// A reused connection that breaks once the request is written is an attempt that may have run: it
// must not be sent again behind the module's back, GET or keyed though it be.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var seen atomic.Int64
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			seen.Add(1)
			if i == 1 {
				return // no answer to a connection's second request
			}
			io.WriteString(c, ok)
		}
	})
	u, s := newTestUpstream(10), newServer(addr)
	if res := try(t, u, s); res.ending != balancer.Success {
		t.Fatalf("first: %d", res.ending)
	}
	if res := try(t, u, s); res.ending != balancer.ConnectionLost {
		t.Errorf("second: ending %d, want Broken", res.ending)
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
	u := newTestUpstream(10)
	if res := try(t, u, newServer(l.Addr().String())); res.ending != balancer.Unreachable {
		t.Errorf("ending %d", res.ending)
	}
	if open, _ := u.counts(); open != 0 {
		t.Errorf("%d connections counted", open)
	}
}

// A server may close a connection at any time while it is idle; a request written to it then is lost.
func TestServerClosesIdle(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 10)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, ok)
			c.Close()
			closed <- struct{}{}
		}
	})
	u, s := newTestUpstream(10), newServer(addr)
	for range 2 {
		if res := try(t, u, s); res.ending != balancer.Success {
			t.Fatalf("ending %d", res.ending)
		}
		wait(t, closed)
	}
	// Nor do such connections hold descriptors for long.
	if open, idle := u.counts(); open != 1 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	u.sweepStale()
	if open, idle := u.counts(); open != 0 || idle != 0 {
		t.Errorf("after the sweep %d open, %d idle", open, idle)
	}
}

// Bytes that come while a connection is idle would pass for the next request's answer.
func TestBytesWhileIdle(t *testing.T) {
	t.Parallel()
	more, sent := make(chan struct{}), make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, ok)
			if i == 0 {
				if _, open := <-more; open {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
					close(sent)
				}
			}
		}
	})
	u, s := newTestUpstream(10), newServer(addr)
	try(t, u, s)
	more <- struct{}{}
	close(more)
	wait(t, sent)
	if res := try(t, u, s); string(res.body) != "hi" {
		t.Errorf("got %q", res.body)
	}
}

// Ours are closed before the server would close them, and the one used last is used next.
func TestIdlePool(t *testing.T) {
	t.Parallel()
	addr, _ := stub(t, ok, false)
	u, s := newTestUpstream(10), newServer(addr)
	ctx := context.Background()
	a, err := u.get(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	b, err := u.get(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	u.put(s, a)
	u.put(s, b)
	if c, _ := u.get(ctx, s); c != b {
		t.Error("not the connection used last")
	} else {
		u.put(s, c)
	}
	for _, c := range []*conn{a, b} {
		c.since = c.since.Add(-u.idleFor)
	}
	if u.idleFor >= testConfig("").Conns.IdleTimeout {
		t.Errorf("connections idle for %v", u.idleFor)
	}
	if c, err := u.get(ctx, s); err != nil || c == a || c == b {
		t.Errorf("reused a connection idle for too long, or %v", err)
	}
	if open, idle := u.counts(); open != 1 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// A dial takes time: what has changed meanwhile is seen before the first byte.
func TestNothingWrittenAfterTheDial(t *testing.T) {
	t.Parallel()
	var bytes atomic.Int64
	eof := make(chan struct{}, 10)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytes.Add(n)
		eof <- struct{}{}
	})
	u, s := newTestUpstream(10), newServer(addr)
	ctx := context.Background()
	if res := u.attempt(ctx, s, call{request: keyed(t), clear: clearance{wanted: func() bool { return false }}}); res.ending != balancer.NotSent {
		t.Errorf("request finished: ending %d, want Void", res.ending)
	}
	if _, idle := u.counts(); idle != 1 {
		t.Error("the new connection was not kept for the next attempt")
	}
	gone := func() bool { s.usable.Store(false); return true }
	if res := u.attempt(ctx, s, call{request: keyed(t), clear: clearance{wanted: gone}}); res.ending != balancer.Unreachable {
		t.Errorf("server gone: ending %d, want Unreachable", res.ending)
	}
	wait(t, eof)
	s.usable.Store(true)
	ctx, cancel := context.WithCancelCause(ctx)
	cancel(errWithdrawn)
	if res := u.attempt(ctx, s, call{request: keyed(t), clear: free}); res.ending != balancer.NotSent {
		t.Errorf("cancelled: ending %d, want Void", res.ending)
	}
	if n := bytes.Load(); n > 0 {
		t.Errorf("%d bytes written", n)
	}
}

// A timeout or a cancel ends the attempt and resets its connection, so that what has not left this machine never does.
func TestTimeoutAndCancelClose(t *testing.T) {
	t.Parallel()
	began, ended := make(chan struct{}, 10), make(chan error, 10)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			began <- struct{}{}
			_, err := io.Copy(io.Discard, r)
			ended <- err
		}
	})
	u, s := newTestUpstream(10), newServer(addr)
	for cause, want := range map[error]balancer.Result{
		errTimedOut: balancer.TimedOut, errWithdrawn: balancer.Cancelled} {
		ctx, cancel := context.WithCancelCause(context.Background())
		go func() {
			<-began
			cancel(cause)
		}()
		if res := u.attempt(ctx, s, call{request: keyed(t), clear: free}); res.ending != want {
			t.Errorf("%v: ending %d, want %d", cause, res.ending, want)
		}
		if err := wait(t, ended); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v: the server saw %v", cause, err)
		}
	}
	if open, _ := u.counts(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// With no descriptor left an idle connection makes room, else the attempt fails without a dial.
func TestConnectionBudget(t *testing.T) {
	t.Parallel()
	a, _ := stub(t, ok, false)
	b, _ := stub(t, ok, false)
	u, sa, sb := newTestUpstream(1), newServer(a), newServer(b)
	for _, s := range []*server{sa, sb} {
		if res := try(t, u, s); res.ending != balancer.Success {
			t.Fatalf("ending %d", res.ending)
		}
	}
	c, err := u.get(context.Background(), sb) // the only one, busy
	if err != nil {
		t.Fatal(err)
	}
	if res := try(t, u, sa); res.ending != balancer.Unreachable {
		t.Errorf("over the budget: ending %d, want Unreachable", res.ending)
	}
	u.close(c)
	if res := try(t, u, sa); res.ending != balancer.Success {
		t.Errorf("with room again: ending %d", res.ending)
	}
}

// A server that drains gets none of its idle connections used, nor a busy one put back.
func TestDrainDropsIdle(t *testing.T) {
	t.Parallel()
	addr, _ := stub(t, ok, false)
	u, s := newTestUpstream(10), newServer(addr)
	try(t, u, s)
	busy, err := u.get(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	try(t, u, s)
	s.usable.Store(false)
	u.dropIdle(s)
	u.put(s, busy)
	if open, idle := u.counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

func TestTimeLeftRoundTrip(t *testing.T) {
	for _, d := range []time.Duration{time.Microsecond, 1500 * time.Millisecond} {
		if got, err := parseTimeLeft(timeLeft(d)); err != nil || got != d {
			t.Errorf("%v: %v, %v", d, got, err)
		}
	}
}

// An endless head must not fill the memory: the attempt ends broken, long before its time is out.
func TestEndlessHead(t *testing.T) {
	t.Parallel()
	const most = 256 << 20
	wrote := make(chan int, 1)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		n, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := "X-Pad: " + strings.Repeat("x", 8<<10) + "\r\n"
		for n < most {
			k, err := io.WriteString(c, line)
			n += k
			if err != nil {
				break
			}
		}
		wrote <- n
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	if resp, _ := do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if n := wait(t, wrote); n >= most {
		t.Errorf("all of %d bytes were read", n)
	}
}

// Servers that drop idle connections early: once one did, a request that must not run twice goes out on a
// new connection, and others on none that stood idle for nearly as long. Answers bring the trust back.
func TestEarlyIdleClose(t *testing.T) {
	t.Parallel()
	var dials atomic.Int64
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		dials.Add(1)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, ok)
		}
	})
	u, s := newTestUpstream(10), newServer(addr)
	send := func(method string) {
		t.Helper()
		r, err := http.NewRequest(method, "/order/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		if res := u.attempt(context.Background(), s, call{request: r, clear: free}); res.ending != balancer.Success {
			t.Fatalf("%s ended with %d", method, res.ending)
		}
	}
	send("POST")
	send("POST")
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections while idle ones are trusted", n)
	}
	u.learn(&conn{idled: time.Hour, limit: &io.LimitedReader{N: maxAnswer}}, result{ending: balancer.ConnectionLost})
	if u.trust() != u.idleFor {
		t.Errorf("a drop after an hour left %v of %v", u.trust(), u.idleFor)
	}
	u.learn(&conn{idled: 4 * time.Second, limit: &io.LimitedReader{N: maxAnswer - 1}}, result{ending: balancer.ConnectionLost})
	u.learn(&conn{limit: &io.LimitedReader{N: maxAnswer}}, result{ending: balancer.ConnectionLost})
	if u.trust() != u.idleFor {
		t.Errorf("an answer cut short, or a new connection's reset, left %v", u.trust())
	}
	u.learn(&conn{idled: 4 * time.Second, limit: &io.LimitedReader{N: maxAnswer}}, result{ending: balancer.ConnectionLost})
	if u.trust() != 2*time.Second {
		t.Errorf("a drop after 4 s left %v", u.trust())
	}
	send("GET")
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections, though a GET may use one that was idle for a moment", n)
	}
	send("POST")
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after a request that must not run twice, want a new one", n)
	}
	u.distrust(time.Microsecond) // a crash
	if u.trust() != trustLeast {
		t.Errorf("a drop after next to no time left %v", u.trust())
	}
	for range 1000 {
		u.learn(&conn{idled: u.idleFor}, result{ending: balancer.Success})
	}
	if u.trust() != u.idleFor {
		t.Errorf("answers brought trust back to %v only", u.trust())
	}
}
