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

// Trust in idle connections follows a setting that is raised, unless a server has dropped one early.
func TestTrustFollowsItsSetting(t *testing.T) {
	t.Parallel()
	for _, shaken := range []bool{false, true} {
		u := newTestPool(10)
		if shaken {
			u.lowerMaxReuseIdle(4 * time.Second)
		}
		u.Reconfigure(simwire.Connections{IdleTimeout: time.Hour, ConnectTimeout: time.Second})
		if u.reuseIdleLowered() != shaken {
			t.Errorf("shaken %v: trusted for %v of %v", shaken, u.reuseIdle, u.idleTimeout)
		}
	}
}

// A server may close an idle connection at any time; a request written to it then would be lost.
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
	u, s := newTestPool(10), newReadyEndpoint(addr)
	for range 2 {
		if res := attemptWith(t, u, s); res.Result != balancer.Success {
			t.Fatalf("result %d", res.Result)
		}
		nodetest.Wait(t, closed)
	}
	// Nor do such connections hold descriptors for long.
	if open, idle := u.Connections(); open != 1 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	u.CloseStale()
	if open, idle := u.Connections(); open != 0 || idle != 0 {
		t.Errorf("after the sweep %d open, %d idle", open, idle)
	}
}

// Bytes that come while a connection is idle must not pass for the next request's response.
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
	u, s := newTestPool(10), newReadyEndpoint(addr)
	attemptWith(t, u, s)
	more <- struct{}{}
	close(more)
	nodetest.Wait(t, sent)
	if res := attemptWith(t, u, s); string(res.Body) != "hi" {
		t.Errorf("got %q", res.Body)
	}
}

// Idle connections are closed before the server would close them, and the one used last is used next.
func TestIdlePool(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	u, s := newTestPool(10), newReadyEndpoint(addr)
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
		c.idleSince = c.idleSince.Add(-u.idleTimeout)
	}
	if u.idleTimeout >= serverIdleTimeout {
		t.Errorf("connections idle for %v", u.idleTimeout)
	}
	if c, err := u.get(ctx, s); err != nil || c == a || c == b {
		t.Errorf("reused a connection idle for too long, or %v", err)
	}
	if open, idle := u.Connections(); open != 1 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// At the limit an idle connection is closed for another one, else the attempt fails without a dial.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	a, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	b, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	u, sa, sb := newTestPool(1), newReadyEndpoint(a), newReadyEndpoint(b)
	for _, s := range []*Endpoint{sa, sb} {
		if res := attemptWith(t, u, s); res.Result != balancer.Success {
			t.Fatalf("result %d", res.Result)
		}
	}
	c, err := u.get(context.Background(), sb) // the only one, busy
	if err != nil {
		t.Fatal(err)
	}
	if res := attemptWith(t, u, sa); res.Result != balancer.Unreachable {
		t.Errorf("over the budget: result %d, want Unreachable", res.Result)
	}
	u.close(c)
	if res := attemptWith(t, u, sa); res.Result != balancer.Success {
		t.Errorf("with room again: result %d", res.Result)
	}
}

// The idle connections to an endpoint that drains are not used, and one in use is not put back.
func TestDrainDropsIdle(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	u, s := newTestPool(10), newReadyEndpoint(addr)
	attemptWith(t, u, s)
	busy, err := u.get(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	attemptWith(t, u, s)
	s.SetReady(false)
	u.CloseIdle(s)
	u.put(s, busy)
	if open, idle := u.Connections(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// Once a server has dropped an idle connection early, a request that must not run twice is sent on a new connection, and
// others on none that was idle for nearly as long. Successes raise the limit again.
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
	u, s := newTestPool(10), newReadyEndpoint(addr)
	send := func(method string) {
		t.Helper()
		r, err := http.NewRequest(method, "/order/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		if res := u.Attempt(context.Background(), s, Call{Request: r, Conditions: noConditions}); res.Result != balancer.Success {
			t.Fatalf("%s ended with result %d", method, res.Result)
		}
	}
	send("POST")
	send("POST")
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections while idle ones are trusted", n)
	}
	u.adjustMaxReuseIdle(&conn{wasIdle: time.Hour, limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if u.maxReuseIdle() != u.idleTimeout {
		t.Errorf("a drop after an hour left %v of %v", u.maxReuseIdle(), u.idleTimeout)
	}
	u.adjustMaxReuseIdle(&conn{wasIdle: 4 * time.Second, limit: &io.LimitedReader{N: maxHeadBytes - 1}}, AttemptResult{Result: balancer.ConnectionLost})
	u.adjustMaxReuseIdle(&conn{limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if u.maxReuseIdle() != u.idleTimeout {
		t.Errorf("an answer cut short, or a new connection's reset, left %v", u.maxReuseIdle())
	}
	u.adjustMaxReuseIdle(&conn{wasIdle: 4 * time.Second, limit: &io.LimitedReader{N: maxHeadBytes}}, AttemptResult{Result: balancer.ConnectionLost})
	if u.maxReuseIdle() != 2*time.Second {
		t.Errorf("a drop after 4 s left %v", u.maxReuseIdle())
	}
	send("GET")
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections, though a GET may use one that was idle for a moment", n)
	}
	send("POST")
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after a request that must not run twice, want a new one", n)
	}
	u.lowerMaxReuseIdle(time.Microsecond) // a crash
	if u.maxReuseIdle() != minReuseIdle {
		t.Errorf("a drop after next to no time left %v", u.maxReuseIdle())
	}
	for range 1000 {
		u.adjustMaxReuseIdle(&conn{wasIdle: u.idleTimeout}, AttemptResult{Result: balancer.Success})
	}
	if u.maxReuseIdle() != u.idleTimeout {
		t.Errorf("successes raised the limit of idle reuse to %v only", u.maxReuseIdle())
	}
}
