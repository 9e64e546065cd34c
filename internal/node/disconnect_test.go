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

// A client that disconnects behind bytes that it sent ahead of its answer is seen to disconnect, though net/http reads one
// of those bytes and then stops reading.
func TestDisconnectBehindBytesAhead(t *testing.T) {
	t.Parallel()
	for _, request := range []string{head("GET", "/read/1", ""), head("POST", "/order/1", "Content-Length: 2\r\n") + "ab"} {
		taken, disconnected := make(chan struct{}), make(chan struct{})
		n := startNode(t, testConfig("127.0.0.1:1"), decisionsFunc(func(e balancer.Event) []balancer.Action {
			switch e.(type) {
			case balancer.Request:
				close(taken)
			case balancer.ClientDisconnected:
				close(disconnected)
			}
			return nil
		}))
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, strings.Replace(request, "15000m", "90000m", 1)) // the node answers by itself only then
		nodetest.Wait(t, taken)
		io.WriteString(conn, "\r\nGET")
		conn.Close()
		nodetest.Wait(t, disconnected)
	}
}

// What a client sends ahead of its answer is its next request.
func TestBytesAheadAreKept(t *testing.T) {
	t.Parallel()
	taken, answer := make(chan string, 2), make(chan struct{})
	n := newNodeFor(t, testConfig("127.0.0.1:1"))
	n.loop.balancer = decisionsFunc(func(e balancer.Event) []balancer.Action {
		if r, is := e.(balancer.Request); is {
			taken <- r.ID
			if len(taken) == 1 {
				go func() {
					<-answer
					n.loop.post(func() { n.loop.finish(r.ID, answer503) })
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
	nodetest.Eventually(t, "the first request", func() bool { return len(taken) > 0 })
	for i := range len(next) - 1 { // all but the last byte, one by one
		io.WriteString(conn, next[i:i+1])
	}
	close(answer)
	r := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("answer %d: %+v, %v", i, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		io.WriteString(conn, next[len(next)-1:])
	}
}

// A client disconnects while the connection of its attempt is dialled: not a byte is written, though the loop is busy and
// does not know yet.
func TestDisconnectWhileDialling(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, nodetest.OK, false)
	n := newNodeFor(t, testConfig("127.0.0.1:1", serving("s", addr)))
	began, gate := make(chan struct{}, 1), make(chan struct{})
	delayDials(n, began, gate)
	runNode(t, n)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	nodetest.Wait(t, began)
	release := holdLoop(t, n)
	conn.Close()
	nodetest.Eventually(t, "its handler has ended", func() bool { return n.frontend.conns.Load() == 0 })
	close(gate)
	nodetest.Eventually(t, "the attempt has ended, its connection idle if it wrote nothing", func() bool {
		_, idle := n.loop.pool.Connections()
		return idle == 1 || len(got) > 0
	})
	release()
	nodetest.Eventually(t, "it is forgotten", func() bool { return callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 }) })
	if len(got) > 0 {
		t.Error("it was forwarded")
	}
}

// A client disconnects behind the unread rest of its long body: no attempt begins, first or retry, though bytes stand
// unread before its close.
func TestDisconnectBehindALongBody(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for first := range 2 { // the attempt that is to begin
			begun := make(chan struct{}, 4)
			addr := nodetest.Listen(t, func(_ net.Conn, r *bufio.Reader) {
				if _, err := r.ReadByte(); err == nil {
					begun <- struct{}{}
				}
			})
			n := newNodeFor(t, testConfig("127.0.0.1:1", serving("away", "127.0.0.1:1"), serving("s", addr)))
			outcomes := make(chan balancer.Outcome, 4)
			n.loop.balancer = decisionsFunc(func(e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: []string{"s", "away"}[first]}}
				case balancer.Outcome:
					if outcomes <- e; e.Attempt < first && !e.BodyConsumed {
						return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
					}
				}
				return nil
			})
			began, gate := make(chan struct{}), make(chan struct{})
			dial := n.loop.pool.Dial
			n.loop.pool.Dial = func(ctx context.Context, to string, within time.Duration) (net.Conn, error) {
				if to != addr {
					return nil, upstream.ErrNoCapacity // so the attempt before never ran
				}
				close(began)
				<-gate
				return dial(ctx, to, within)
			}
			runNode(t, n)
			conn, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			const length = bodybudget.MaxBufferedBytes + 20_000
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: "+strconv.Itoa(length)+"\r\n")+nodetest.Text(length))
			nodetest.Wait(t, began)
			leave(conn.(*net.TCPConn))
			close(gate)
			for range first + 1 {
				nodetest.Wait(t, outcomes)
			}
			if len(begun) > 0 {
				t.Errorf("%s: attempt %d was begun", name, first)
			}
			nodetest.Eventually(t, name+": its place is free and it is forgotten", func() bool {
				return n.frontend.conns.Load() == 0 && callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 })
			})
			conn.Close()
		}
	}
}

// Many clients disconnect at once, before the loop has handled any of their requests: none of the requests is forwarded.
func TestManyClientsDisconnect(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, nodetest.OK, false)
	cfg := testConfig("127.0.0.1:1", serving("s", addr))
	cfg.Sockets = 4096
	n := startNode(t, cfg, nil)
	release := holdLoop(t, n)
	const crowd = 300
	var conns []net.Conn
	for range crowd {
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		conns = append(conns, conn)
	}
	nodetest.Eventually(t, "all wait for the loop", func() bool { return len(n.loop.events) >= crowd })
	for _, c := range conns {
		c.Close()
	}
	nodetest.Eventually(t, "all are seen to go", func() bool { return n.frontend.conns.Load() == 0 })
	release()
	nodetest.Eventually(t, "all are forgotten", func() bool {
		return callOnLoop(t, n, func() bool { return len(n.loop.requests) == 0 && len(n.loop.events) == 0 })
	})
	if len(got) > 0 {
		t.Errorf("%d of %d were forwarded", len(got), crowd)
	}
}

// When all connections are in use, idle ones are closed for a new client; one with a request in flight is not.
func TestIdleClientsAreEvicted(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	var first atomic.Bool
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if first.CompareAndSwap(false, true) {
				<-hold
			}
			io.WriteString(c, nodetest.OK)
		}
	})
	cfg := testConfig("127.0.0.1:1", serving("s", addr))
	cfg.Sockets = reservedDescriptors + 20 // 12 for clients
	n := startNode(t, cfg, nil)
	n.frontend.softLimit.Store(1000)
	working := nodetest.Dial(t, n.Addr().String())
	io.WriteString(working, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "one at work", first.Load)
	for range n.listener.Limit() - 1 {
		conn := nodetest.Dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("%+v, %v", resp, err)
		}
	}
	late := nodetest.Dial(t, n.Addr().String())
	io.WriteString(late, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "all others are idle", func() bool { return n.frontend.idle.Len() >= n.listener.Limit()-1 })
	n.frontend.idle.SetMinEvictIdle(0) // as if they had been for long
	if resp, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
	close(hold)
	if resp, err := http.ReadResponse(bufio.NewReader(working), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("at work: %+v, %v", resp, err)
	}
}

// A connection that is established only after the idempotency window of a request carries no retry of it.
func TestRetryPastItsIdempotencyWindow(t *testing.T) {
	t.Parallel()
	failing, _ := nodetest.Stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	other, got := nodetest.Stub(t, nodetest.OK, false)
	cfg := testConfig("127.0.0.1:1", serving("a", failing), serving("b", other))
	const window = 50 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].IdempotencyWindow = window
	}
	n := newNodeFor(t, cfg)
	outcomes := make(chan balancer.Outcome, 2)
	n.loop.balancer = decisionsFunc(func(e balancer.Event) []balancer.Action {
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
	connect := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		if addr == other {
			time.Sleep(window) // until it is over: a fact of time, nothing is waited for
		}
		return connect(ctx, addr, within)
	}
	runNode(t, n)
	r := newRequest(t, n, "POST", "/send/1", "x")
	r.Header.Set("Idempotency-Key", "k")
	if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if a, b := nodetest.Wait(t, outcomes), nodetest.Wait(t, outcomes); a.Result != balancer.Failure || b.Result != balancer.NotSent || len(got) > 0 {
		t.Errorf("outcomes %+v, %+v, %d forwarded", a, b, len(got))
	}
}

// X-Time-Left is what is left when the head of an attempt is written, not when the attempt was decided: the time of the
// dial is subtracted, for the first attempt and for retries.
func TestTimeLeftAtTheFirstByte(t *testing.T) {
	t.Parallel()
	const late, given = 100 * time.Millisecond, 10 * time.Second
	failing, got := nodetest.Stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", true)
	n := newNodeFor(t, testConfig("127.0.0.1:1", serving("s", failing)))
	n.loop.balancer = decisionsFunc(func(e balancer.Event) []balancer.Action {
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
	connect := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		<-time.After(late) // a fact of time, nothing is waited for
		return connect(ctx, addr, within)
	}
	runNode(t, n)
	nodetest.Do(t, newRequest(t, n, "GET", "/read/1", "")) // which gives 10 s
	for i := range 2 {
		timeLeft, err := header.ParseTimeLeft(nodetest.Wait(t, got).Header.Get("X-Time-Left"))
		if most := given - time.Duration(i+1)*late; err != nil || timeLeft > most {
			t.Errorf("attempt %d tells %v, at most %v are left, %v", i, timeLeft, most, err)
		}
	}
}

// The balancer are notified of a client that closes its connection, and their cancel closes the connection of the attempt.
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
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := newRequest(t, n, "GET", "/read/1", "").WithContext(ctx)
	go func() { _, _ = http.DefaultTransport.RoundTrip(r) }()
	nodetest.Wait(t, began)
	cancel()
	nodetest.Wait(t, closed)
}

// A client that ends its sending has disconnected too. It must get no answer at all, least of all the empty 200 that
// net/http makes of a handler that wrote nothing.
func TestClientHalfCloses(t *testing.T) {
	t.Parallel()
	addr := nodetest.Listen(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 60000m\r\n\r\n")
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(nodetest.Limit))
	if b, err := io.ReadAll(c); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v", b, err)
	}
}
