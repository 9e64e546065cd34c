package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/header"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/node/upstream"
)

// A disconnect is detected even if the client has sent further bytes after its request. net/http reads one of these bytes
// and then stops reading, so it does not detect the disconnect by itself.
func TestDisconnectAfterPipelinedBytes(t *testing.T) {
	t.Parallel()
	for _, request := range []string{head("GET", "/read/1", ""), head("POST", "/order/1", "Content-Length: 2\r\n") + "ab"} {
		accepted, disconnected := make(chan struct{}), make(chan struct{})
		n := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
			switch e.(type) {
			case balancer.Request:
				close(accepted)
			case balancer.ClientDisconnected:
				close(disconnected)
			}
			return nil
		}))
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, strings.Replace(request, "15000m", "90000m", 1)) // long enough for the whole test
		nodetest.Wait(t, accepted)
		io.WriteString(conn, "\r\nGET")
		conn.Close()
		nodetest.Wait(t, disconnected)
	}
}

// Bytes that a client sends before it has received a response are kept as the beginning of its next request.
func TestPipelinedBytesAreKept(t *testing.T) {
	t.Parallel()
	accepted, respond := make(chan string, 2), make(chan struct{})
	n := newUnstartedNode(t, testConfig("127.0.0.1:1"))
	n.loop.balancer = balancerFunc(func(e balancer.Event) []balancer.Action {
		if r, ok := e.(balancer.Request); ok {
			accepted <- r.ID
			if len(accepted) == 1 {
				go func() {
					<-respond
					n.loop.post(func() { n.loop.finish(r.ID, response503) })
				}()
				return nil
			}
			return []balancer.Action{balancer.Reject{ID: r.ID}}
		}
		return nil
	})
	runNode(t, n)
	conn := nodetest.Dial(t, n.Addr().String())
	next := head("GET", "/read/2", "")
	io.WriteString(conn, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "the first request is accepted", func() bool { return len(accepted) > 0 })
	for i := range len(next) - 1 { // all but the last byte, one at a time
		io.WriteString(conn, next[i:i+1])
	}
	close(respond)
	r := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("response %d: got %+v, %v", i, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		io.WriteString(conn, next[len(next)-1:])
	}
}

// If the client disconnects while the connection for its attempt is dialed, the attempt is not sent, even if the loop is
// blocked and has not handled the disconnect.
func TestDisconnectWhileDialing(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := newUnstartedNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)))
	began, proceed := make(chan struct{}, 1), make(chan struct{})
	delayDials(n, began, proceed)
	runNode(t, n)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	nodetest.Wait(t, began)
	release := blockLoop(t, n)
	conn.Close()
	nodetest.Eventually(t, "the request's handler has returned", func() bool { return n.frontend.conns.Load() == 0 })
	close(proceed)
	nodetest.Eventually(t, "the attempt has ended, and its connection is idle unless a request was sent", func() bool {
		_, idle := n.loop.pool.Connections()
		return idle == 1 || len(got) > 0
	})
	release()
	nodetest.Eventually(t, "the request is removed", func() bool { return callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 }) })
	if len(got) > 0 {
		t.Error("the request was forwarded")
	}
}

// If the client disconnects while part of its long body is unread, no attempt is sent, neither the first nor a retry. The
// unread bytes precede the close on the connection, so the node cannot detect the close by reading alone.
func TestDisconnectWithUnreadBody(t *testing.T) {
	t.Parallel()
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for index := range 2 { // the attempt during whose dial the client disconnects
			sent := make(chan struct{}, 4)
			addr := nodetest.Listen(t, func(_ net.Conn, r *bufio.Reader) {
				if _, err := r.ReadByte(); err == nil {
					sent <- struct{}{}
				}
			})
			n := newUnstartedNode(t, testConfig("127.0.0.1:1", servingEntry("unreachable", "127.0.0.1:1"), servingEntry("s", addr)))
			outcomes := make(chan balancer.Outcome, 4)
			n.loop.balancer = balancerFunc(func(e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: []string{"s", "unreachable"}[index]}}
				case balancer.Outcome:
					if outcomes <- e; e.Attempt < index && !e.BodyConsumed {
						return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
					}
				}
				return nil
			})
			began, proceed := make(chan struct{}), make(chan struct{})
			dial := n.loop.pool.Dial
			n.loop.pool.Dial = func(ctx context.Context, to string, timeout time.Duration) (net.Conn, error) {
				if to != addr {
					return nil, upstream.ErrNoCapacity // so that the first attempt never ran and can be retried
				}
				close(began)
				<-proceed
				return dial(ctx, to, timeout)
			}
			runNode(t, n)
			conn, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			const length = bodybudget.MaxBufferedBytes + 20_000
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: "+strconv.Itoa(length)+"\r\n")+nodetest.Text(length))
			nodetest.Wait(t, began)
			disconnect(conn.(*net.TCPConn))
			close(proceed)
			for range index + 1 {
				nodetest.Wait(t, outcomes)
			}
			if len(sent) > 0 {
				t.Errorf("%s: attempt %d was sent", name, index)
			}
			nodetest.Eventually(t, name+": the connection is released and the request removed", func() bool {
				return n.frontend.conns.Load() == 0 && callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 })
			})
			conn.Close()
		}
	}
}

// If many clients disconnect before the loop has handled any of their requests, none of the requests is forwarded.
func TestManyClientsDisconnect(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
	cfg.Sockets = 4096
	n := startNode(t, cfg, nil)
	release := blockLoop(t, n)
	const clients = 300
	var conns []net.Conn
	for range clients {
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		conns = append(conns, conn)
	}
	nodetest.Eventually(t, "all requests are queued for the loop", func() bool { return len(n.loop.posted) >= clients })
	for _, c := range conns {
		c.Close()
	}
	nodetest.Eventually(t, "all disconnects are detected", func() bool { return n.frontend.conns.Load() == 0 })
	release()
	nodetest.Eventually(t, "all requests are removed", func() bool {
		return callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 && len(n.loop.posted) == 0 })
	})
	if len(got) > 0 {
		t.Errorf("%d of %d requests were forwarded", len(got), clients)
	}
}

// At the connection limit, an idle connection is closed for a new client. A connection with a request in flight is not.
func TestIdleClientsAreEvicted(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	var first atomic.Bool
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if first.CompareAndSwap(false, true) {
				<-release
			}
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
	cfg.Sockets = reservedDescriptors + 20 // 12 of them for clients
	n := startNode(t, cfg, nil)
	n.frontend.softLimit.Store(1000)
	busy := nodetest.Dial(t, n.Addr().String())
	io.WriteString(busy, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "a request is in flight", first.Load)
	for range n.listener.Limit() - 1 {
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("idle connection: got %+v, %v", resp, err)
		}
	}
	late := nodetest.Dial(t, n.Addr().String())
	io.WriteString(late, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "all other connections are idle", func() bool { return n.frontend.idle.Len() >= n.listener.Limit()-1 })
	n.frontend.idle.SetMinEvictIdle(0) // makes them evictable at once
	if resp, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("new connection: got %+v, %v", resp, err)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("busy connection: got %+v, %v", resp, err)
	}
}

// A retry is not sent on a connection that is established only after the idempotency window of the request: servers could
// run the request again.
func TestRetryPastItsIdempotencyWindow(t *testing.T) {
	t.Parallel()
	failing, _ := nodetest.StubServer(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	other, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	cfg := testConfig("127.0.0.1:1", servingEntry("a", failing), servingEntry("b", other))
	const window = 50 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].IdempotencyWindow = window
	}
	n := newUnstartedNode(t, cfg)
	outcomes := make(chan balancer.Outcome, 2)
	n.loop.balancer = balancerFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "a"}}
		case balancer.Outcome:
			if outcomes <- e; e.Attempt == 0 {
				return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "b"}}
			}
			return []balancer.Action{balancer.Fail{ID: e.ID}}
		}
		return nil
	})
	dial := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		if addr == other {
			time.Sleep(window) // lets the window pass; the test needs the elapsed time, not an event
		}
		return dial(ctx, addr, timeout)
	}
	runNode(t, n)
	r := newRequest(t, n, "POST", "/send/1", "x")
	r.Header.Set("Idempotency-Key", "k")
	if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d", resp.StatusCode)
	}
	if a, b := nodetest.Wait(t, outcomes), nodetest.Wait(t, outcomes); a.Result != balancer.Failure || b.Result != balancer.NotSent || len(got) > 0 {
		t.Errorf("got outcomes %+v, %+v and %d forwarded retries", a, b, len(got))
	}
}

// X-Time-Left is the time left when the head of an attempt is written, not when the balancer sent it: the dial time is
// subtracted, for the first attempt and for retries.
func TestTimeLeftAtTheFirstByte(t *testing.T) {
	t.Parallel()
	const dialTime, initial = 100 * time.Millisecond, 10 * time.Second
	failing, got := nodetest.StubServer(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", true)
	n := newUnstartedNode(t, testConfig("127.0.0.1:1", servingEntry("s", failing)))
	n.loop.balancer = balancerFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.Outcome:
			if e.Attempt == 0 {
				return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
			}
			return []balancer.Action{balancer.Fail{ID: e.ID}}
		}
		return nil
	})
	dial := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		<-time.After(dialTime) // the test needs the elapsed time, not an event
		return dial(ctx, addr, timeout)
	}
	runNode(t, n)
	nodetest.Do(t, newRequest(t, n, "GET", "/read/1", "")) // newRequest sets 10 s
	for i := range 2 {
		timeLeft, err := header.ParseTimeLeft(nodetest.Wait(t, got).Header.Get("X-Time-Left"))
		if limit := initial - time.Duration(i+1)*dialTime; err != nil || timeLeft > limit {
			t.Errorf("attempt %d: got X-Time-Left %v, want at most %v, error %v", i, timeLeft, limit, err)
		}
	}
}

// When a client closes its connection, the balancer is notified, and its Cancel closes the connection of the attempt.
func TestClientDisconnects(t *testing.T) {
	t.Parallel()
	began, closed := make(chan struct{}), make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			close(began)
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := newRequest(t, n, "GET", "/read/1", "").WithContext(ctx)
	go func() { _, _ = http.DefaultTransport.RoundTrip(r) }()
	nodetest.Wait(t, began)
	cancel()
	nodetest.Wait(t, closed)
}

// A client that closes its sending direction counts as disconnected. It must receive no response, and in particular not
// the empty 200 that net/http sends when a handler returns without writing.
func TestClientHalfCloses(t *testing.T) {
	t.Parallel()
	addr := nodetest.Listen(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 60000m\r\n\r\n")
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(nodetest.Timeout))
	if b, err := io.ReadAll(c); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v", b, err)
	}
}
