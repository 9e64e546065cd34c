package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/simwire"
)

// The maximum idle time for reuse follows a raised setting, unless it was lowered because a server
// dropped a connection early.
func TestReuseIdleFollowsSetting(t *testing.T) {
	t.Parallel()
	for _, lowered := range []bool{false, true} {
		p := newTestPool(10)
		if lowered {
			p.lowerMaxReuseIdle(4 * time.Second)
		}
		p.Reconfigure(simwire.Connections{IdleTimeout: time.Hour, ConnectTimeout: time.Second})
		if p.maxReuseIdleLowered() != lowered {
			t.Errorf("lowered before: %v, reuse after up to %v idle, the settings allow %v", lowered, p.maxReuseIdle, p.idleTimeout)
		}
	}
}

// A server may close an idle connection at any time; a request written to it after that would be lost.
func TestServerClosesIdle(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 10)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			io.WriteString(c, nodetest.OKResponse)
			c.Close()
			closed <- struct{}{}
		}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	for range 2 {
		if res := attemptWith(t, p, e); res.Result != balancer.Success {
			t.Fatalf("result %d", res.Result)
		}
		nodetest.Wait(t, closed)
	}
	// CloseStale frees the descriptors of such connections.
	if open, idle := p.Connections(); open != 1 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	p.CloseStale()
	if open, idle := p.Connections(); open != 0 || idle != 0 {
		t.Errorf("after CloseStale %d open, %d idle", open, idle)
	}
}

// Bytes that arrive while a connection is idle must not be taken for the next request's response.
func TestBytesWhileIdle(t *testing.T) {
	t.Parallel()
	more, sent := make(chan struct{}), make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			io.WriteString(c, nodetest.OKResponse)
			if i == 0 {
				if _, open := <-more; open {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
					close(sent)
				}
			}
		}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	attemptWith(t, p, e)
	more <- struct{}{}
	close(more)
	nodetest.Wait(t, sent)
	if res := attemptWith(t, p, e); string(res.Body) != "hi" {
		t.Errorf("got %q", res.Body)
	}
}

// Idle connections are closed before the server would close them, and the most recently used one is
// reused first.
func TestIdlePool(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	p, e := newTestPool(10), newReadyEndpoint(addr)
	ctx := context.Background()
	a, err := p.get(ctx, e)
	if err != nil {
		t.Fatal(err)
	}
	b, err := p.get(ctx, e)
	if err != nil {
		t.Fatal(err)
	}
	p.put(e, a)
	p.put(e, b)
	if c, _ := p.get(ctx, e); c != b {
		t.Error("get did not return the most recently used connection")
	} else {
		p.put(e, c)
	}
	for _, c := range []*conn{a, b} {
		c.idleSince = c.idleSince.Add(-p.idleTimeout)
	}
	if p.idleTimeout >= serverIdleTimeout {
		t.Errorf("idle timeout %v, want less than that of the server", p.idleTimeout)
	}
	if c, err := p.get(ctx, e); err != nil || c == a || c == b {
		t.Errorf("get reused a connection that was idle for too long, or failed: %v", err)
	}
	if open, idle := p.Connections(); open != 1 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// At the limit, an idle connection is closed to open a new one. If none is idle, the attempt fails
// without a dial.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	a, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	b, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	p, ea, eb := newTestPool(1), newReadyEndpoint(a), newReadyEndpoint(b)
	for _, e := range []*Endpoint{ea, eb} {
		if res := attemptWith(t, p, e); res.Result != balancer.Success {
			t.Fatalf("result %d", res.Result)
		}
	}
	c, err := p.get(context.Background(), eb) // the only connection is now in use
	if err != nil {
		t.Fatal(err)
	}
	if res := attemptWith(t, p, ea); res.Result != balancer.Unreachable {
		t.Errorf("at the limit: result %d, want Unreachable", res.Result)
	}
	p.close(c)
	if res := attemptWith(t, p, ea); res.Result != balancer.Success {
		t.Errorf("below the limit again: result %d, want Success", res.Result)
	}
}

// The idle connections to an endpoint that drains are closed, and one that is in use is closed after
// its use.
func TestDrainDropsIdle(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	p, e := newTestPool(10), newReadyEndpoint(addr)
	attemptWith(t, p, e)
	inUse, err := p.get(context.Background(), e)
	if err != nil {
		t.Fatal(err)
	}
	attemptWith(t, p, e)
	e.SetReady(false)
	p.CloseIdle(e)
	p.put(e, inUse)
	if open, idle := p.Connections(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// Once a server has dropped an idle connection early, a request that must not run twice is sent over a
// new connection. Other requests reuse a connection only if it was idle for less than half the idle time
// after which the server dropped the other one. Successes raise the maximum idle time again.
func TestEarlyIdleClose(t *testing.T) {
	t.Parallel()
	var dials atomic.Int64
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		dials.Add(1)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	p, e := newTestPool(10), newReadyEndpoint(addr)
	send := func(method string) {
		t.Helper()
		r, err := http.NewRequest(method, "/order/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		if res := p.Attempt(context.Background(), e, Call{Request: r, Conditions: metConditions}); res.Result != balancer.Success {
			t.Fatalf("%s ended with result %d", method, res.Result)
		}
	}
	send("POST")
	send("POST")
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections, want 1 while idle connections are reused", n)
	}
	p.adjustMaxReuseIdle(&conn{wasIdle: time.Hour, limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if p.currentMaxReuseIdle() != p.idleTimeout {
		t.Errorf("a drop after an hour lowered the maximum to %v of %v", p.currentMaxReuseIdle(), p.idleTimeout)
	}
	p.adjustMaxReuseIdle(&conn{wasIdle: 4 * time.Second, limit: &io.LimitedReader{N: maxHeadBytes - 1}}, AttemptResult{Result: balancer.ConnectionLost})
	p.adjustMaxReuseIdle(&conn{limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if p.currentMaxReuseIdle() != p.idleTimeout {
		t.Errorf("a truncated response or the reset of a new connection lowered the maximum to %v", p.currentMaxReuseIdle())
	}
	p.adjustMaxReuseIdle(&conn{wasIdle: 4 * time.Second, limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if p.currentMaxReuseIdle() != 2*time.Second {
		t.Errorf("a drop after 4 s lowered the maximum to %v, want 2 s", p.currentMaxReuseIdle())
	}
	send("GET")
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections, want 1, because a GET may reuse one that was idle for a short time", n)
	}
	send("POST")
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after a request that must not run twice, want 2", n)
	}
	p.lowerMaxReuseIdle(time.Microsecond) // as after a crash
	if p.currentMaxReuseIdle() != minReuseIdle {
		t.Errorf("a drop after 1 µs lowered the maximum to %v, want minReuseIdle", p.currentMaxReuseIdle())
	}
	for range 1000 {
		p.adjustMaxReuseIdle(&conn{wasIdle: p.idleTimeout}, AttemptResult{Result: balancer.Success})
	}
	if p.currentMaxReuseIdle() != p.idleTimeout {
		t.Errorf("1,000 successes raised the maximum only to %v", p.currentMaxReuseIdle())
	}
}
