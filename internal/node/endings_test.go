package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/simwire"
)

// What has to hold at the instant in which something ends: docs/endings.md. Each test holds one side and lets go in a
// stated order.

// eventually asks again and again until ok says yes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// onLoop is what f says on the node's loop.
func onLoop[T any](t *testing.T, n *Node, f func() T) T {
	t.Helper()
	said := make(chan T, 1)
	n.loop.post(func() { said <- f() })
	return wait(t, said)
}

// holdLoop keeps the node's loop busy until release is called.
func holdLoop(t *testing.T, n *Node) (release func()) {
	t.Helper()
	held, busy := make(chan struct{}), make(chan struct{})
	n.loop.post(func() { close(busy); <-held })
	wait(t, busy)
	return func() { close(held) }
}

// gatedDials makes the node's connections come up only once gate is closed; each tells began first.
func gatedDials(n *Node, began, gate chan struct{}) {
	dial := n.loop.upstream.connect
	n.loop.upstream.connect = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		began <- struct{}{}
		<-gate
		return dial(ctx, addr, within)
	}
}

// newNodeFor is a node that does not run yet.
func newNodeFor(t *testing.T, cfg Config) *Node {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A caller that goes behind bytes that it sent ahead of its answer is seen to go, though net/http reads one of those
// bytes and looks no more.
func TestGoneBehindBytesAhead(t *testing.T) {
	t.Parallel()
	for _, request := range []string{head("GET", "/read/1", ""), head("POST", "/order/1", "Content-Length: 2\r\n") + "ab"} {
		taken, gone := make(chan struct{}), make(chan struct{})
		n := startNode(t, testConfig("127.0.0.1:1"), moduleFunc(func(e balancer.Event) []balancer.Action {
			switch e.(type) {
			case balancer.Request:
				close(taken)
			case balancer.ClientDisconnected:
				close(gone)
			}
			return nil
		}))
		conn := dial(t, n.Addr().String())
		io.WriteString(conn, strings.Replace(request, "15000m", "90000m", 1)) // the node answers by itself only then
		wait(t, taken)
		io.WriteString(conn, "\r\nGET")
		conn.Close()
		wait(t, gone)
	}
}

// What a caller sends ahead of its answer is its next request all the same.
func TestBytesAheadAreKept(t *testing.T) {
	t.Parallel()
	taken, answer := make(chan string, 2), make(chan struct{})
	n := newNodeFor(t, testConfig("127.0.0.1:1"))
	n.loop.module = moduleFunc(func(e balancer.Event) []balancer.Action {
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
	conn := dial(t, n.Addr().String())
	next := head("GET", "/read/2", "")
	io.WriteString(conn, head("GET", "/read/1", ""))
	eventually(t, "the first request", func() bool { return len(taken) > 0 })
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
		io.Copy(io.Discard, resp.Body)
		io.WriteString(conn, next[len(next)-1:])
	}
}

var answer503 = answer{status: http.StatusServiceUnavailable}

// A caller that goes while its attempt's connection comes up has gone: not a byte is written, though the loop is busy
// and has not heard.
func TestGoneWhileDialling(t *testing.T) {
	t.Parallel()
	addr, got := stub(t, ok, false)
	n := newNodeFor(t, testConfig("127.0.0.1:1", serving("s", addr)))
	began, gate := make(chan struct{}, 1), make(chan struct{})
	gatedDials(n, began, gate)
	runNode(t, n)
	conn := dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	wait(t, began)
	release := holdLoop(t, n)
	conn.Close()
	eventually(t, "its handler has ended", func() bool { return n.front.conns.Load() == 0 })
	close(gate)
	eventually(t, "the attempt has ended, its connection idle if it wrote nothing", func() bool {
		_, idle := n.loop.upstream.counts()
		return idle == 1 || len(got) > 0
	})
	release()
	eventually(t, "it is forgotten", func() bool { return onLoop(t, n, func() bool { return len(n.loop.requests) == 0 }) })
	if len(got) > 0 {
		t.Error("it was sent on")
	}
}

// A caller that goes behind the rest of its long body, which nobody reads between attempts, has gone: no attempt begins,
// first or further, though its bytes stand unread before its close.
func TestGoneBehindALongBody(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for first := range 2 { // the attempt that is to begin
			heard := make(chan struct{}, 4)
			addr := listen(t, func(_ net.Conn, r *bufio.Reader) {
				if _, err := r.ReadByte(); err == nil {
					heard <- struct{}{}
				}
			})
			n := newNodeFor(t, testConfig("127.0.0.1:1", serving("away", "127.0.0.1:1"), serving("s", addr)))
			outcomes := make(chan balancer.Outcome, 4)
			n.loop.module = moduleFunc(func(e balancer.Event) []balancer.Action {
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
			dial := n.loop.upstream.connect
			n.loop.upstream.connect = func(ctx context.Context, to string, within time.Duration) (net.Conn, error) {
				if to != addr {
					return nil, errNoRoom // so the attempt before never ran
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
			const length = maxBody + 20_000
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: "+strconv.Itoa(length)+"\r\n")+text(length))
			wait(t, began)
			leave(conn.(*net.TCPConn))
			close(gate)
			for range first + 1 {
				wait(t, outcomes)
			}
			if len(heard) > 0 {
				t.Errorf("%s: attempt %d was begun", name, first)
			}
			eventually(t, name+": its place is free and it is forgotten", func() bool {
				return n.front.conns.Load() == 0 && onLoop(t, n, func() bool { return len(n.loop.requests) == 0 })
			})
			conn.Close()
		}
	}
}

// Callers that leave all at once, before the loop has come to any of them: not one of their requests is sent on.
func TestCrowdLeaves(t *testing.T) {
	t.Parallel()
	addr, got := stub(t, ok, false)
	cfg := testConfig("127.0.0.1:1", serving("s", addr))
	cfg.Sockets = 4096
	n := startNode(t, cfg, nil)
	release := holdLoop(t, n)
	const crowd = 300
	var conns []net.Conn
	for range crowd {
		conn := dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		conns = append(conns, conn)
	}
	eventually(t, "all wait for the loop", func() bool { return len(n.loop.events) >= crowd })
	for _, c := range conns {
		c.Close()
	}
	eventually(t, "all are seen to go", func() bool { return n.front.conns.Load() == 0 })
	release()
	eventually(t, "all are forgotten", func() bool {
		return onLoop(t, n, func() bool { return len(n.loop.requests) == 0 && len(n.loop.events) == 0 })
	})
	if len(got) > 0 {
		t.Errorf("%d of %d were sent on", len(got), crowd)
	}
}

// The system knows that a caller has gone before anybody has read that.
func TestLeftWithoutReading(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		ours, theirs := tcpPair(t)
		c := &limitedConn{Conn: ours, leave: func() {}}
		if c.left() {
			t.Errorf("%s: gone before", name)
		}
		leave(theirs)
		eventually(t, name, c.left)
	}
}

// tcpPair is both ends of a connection.
func tcpPair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); out.Close() })
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

// heldConn lets a read that has its bytes return only once gate is closed.
type heldConn struct {
	net.Conn
	has, gate chan struct{}
}

func (c heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.has <- struct{}{}
		<-c.gate
	}
	return n, err
}

// A request that comes as its resting connection is closed: read before the decision it keeps the connection, read
// after it it is no request any more.
func TestRequestAsItsConnectionIsClosed(t *testing.T) {
	t.Parallel()
	for _, decided := range []bool{false, true} {
		ours, theirs := tcpPair(t)
		h := heldConn{ours, make(chan struct{}, 1), make(chan struct{})}
		c := &limitedConn{Conn: h, leave: func() {}}
		cs := &callers{idle: map[net.Conn]time.Time{c: time.Now().Add(-time.Minute)}}
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 100))
			read <- n
		}()
		io.WriteString(theirs, "GET /read/1")
		wait(t, h.has)
		if decided {
			cs.closeIdle(time.Second) // its bytes are on their way through the read
		}
		close(h.gate)
		n := wait(t, read)
		if !decided {
			cs.closeIdle(time.Second)
		}
		if want := map[bool]int{false: 11, true: 0}[decided]; n != want || c.closed.Load() != decided {
			t.Errorf("decided before: %v, %d bytes read, closed %v", decided, n, c.closed.Load())
		}
	}
}

// A close over bytes that nobody has read does not reset the connection: the last answer arrives, and its end.
func TestCloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	for _, more := range []int{0, 100_000} { // that come while it closes
		ours, theirs := tcpPair(t)
		left := make(chan struct{})
		c := &limitedConn{Conn: ours, leave: func() { close(left) }}
		io.WriteString(theirs, text(100_000))
		io.WriteString(c, "the last answer")
		c.Close()
		if _, err := io.WriteString(theirs, text(more)); err != nil {
			t.Errorf("%d more bytes: %v", more, err)
		}
		theirs.SetReadDeadline(time.Now().Add(limit))
		if b, err := io.ReadAll(theirs); string(b) != "the last answer" || err != nil {
			t.Errorf("%d more bytes: %q, %v", more, b, err)
		}
		theirs.Close()
		wait(t, left)
	}
}

// Nor does it wait for good for a caller that stays.
func TestCloseBesideACallerThatStays(t *testing.T) {
	t.Parallel()
	ours, _ := tcpPair(t)
	left := make(chan struct{})
	c := &limitedConn{Conn: ours, leave: func() { close(left) }}
	c.Close()
	wait(t, left)
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a second close: %v", err)
	}
}

// Callers that rest on every place make room for one that asks; one that is at work does not.
func TestRestingCallersMakeRoom(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	var first atomic.Bool
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if first.CompareAndSwap(false, true) {
				<-hold
			}
			io.WriteString(c, ok)
		}
	})
	cfg := testConfig("127.0.0.1:1", serving("s", addr))
	cfg.Sockets = reserved + 20 // 12 for callers
	n := startNode(t, cfg, nil)
	n.front.crowded.Store(1000)
	working := dial(t, n.Addr().String())
	io.WriteString(working, head("GET", "/read/1", ""))
	eventually(t, "one at work", first.Load)
	for range n.listener.limit - 1 {
		conn := dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("%+v, %v", resp, err)
		}
	}
	late := dial(t, n.Addr().String())
	io.WriteString(late, head("GET", "/read/1", ""))
	eventually(t, "all others rest, and have for long", func() bool {
		c := &n.front.callers
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.idle) < n.listener.limit-1 {
			return false
		}
		for conn := range c.idle {
			c.idle[conn] = time.Now().Add(-mayGo)
		}
		return true
	})
	if resp, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
	close(hold)
	if resp, err := http.ReadResponse(bufio.NewReader(working), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("at work: %+v, %v", resp, err)
	}
}

// A reset is no end of an answer, whether or not its length was told, and wherever it strikes.
func TestResetIsNoEnd(t *testing.T) {
	t.Parallel()
	for _, said := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nall of",
		"HTTP/1.0 200 OK\r\n\r\nall of", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nall of\r\n"} {
		read := make(chan struct{})
		addr := listen(t, func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(c, said)
				if said != "" {
					<-read // a reset may overtake what nobody has read
				}
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		u := newTestUpstream(10)
		connect := u.connect
		u.connect = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			c, err := connect(ctx, addr, within)
			return readTeller{c, sync.OnceFunc(func() { close(read) })}, err
		}
		if res := try(t, u, newServer(addr)); res.ending != balancer.ConnectionLost {
			t.Errorf("after %q: ending %d", said, res.ending)
		}
	}
}

// readTeller tells when its first bytes are read.
type readTeller struct {
	net.Conn
	told func()
}

func (c readTeller) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.told()
	}
	return n, err
}

// Trust in idle connections follows a setting that is raised, unless a server has shaken it.
func TestTrustFollowsItsSetting(t *testing.T) {
	t.Parallel()
	for _, shaken := range []bool{false, true} {
		u := newTestUpstream(10)
		if shaken {
			u.distrust(4 * time.Second)
		}
		u.retune(simwire.Connections{IdleTimeout: time.Hour, ConnectTimeout: time.Second})
		if u.distrustful() != shaken {
			t.Errorf("shaken %v: trusted for %v of %v", shaken, u.trusted, u.idleFor)
		}
	}
}

// A connection that comes up only when a keyed request's window is over carries no repeat of it.
func TestKeyedPastItsWindow(t *testing.T) {
	t.Parallel()
	failing, _ := stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	other, got := stub(t, ok, false)
	cfg := testConfig("127.0.0.1:1", serving("a", failing), serving("b", other))
	const window = 50 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].IdempotencyWindow = window
	}
	n := newNodeFor(t, cfg)
	outcomes := make(chan balancer.Outcome, 2)
	n.loop.module = moduleFunc(func(e balancer.Event) []balancer.Action {
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
	connect := n.loop.upstream.connect
	n.loop.upstream.connect = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		if addr == other {
			time.Sleep(window) // until it is over: a fact of time, nothing is waited for
		}
		return connect(ctx, addr, within)
	}
	runNode(t, n)
	r := newRequest(t, n, "POST", "/send/1", "x")
	r.Header.Set("Idempotency-Key", "k")
	if resp, _ := do(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if a, b := wait(t, outcomes), wait(t, outcomes); a.Result != balancer.Failure || b.Result != balancer.NotSent || len(got) > 0 {
		t.Errorf("outcomes %+v, %+v, %d sent on", a, b, len(got))
	}
}

// The time that an attempt tells its server is what is left when its head is written, not when it was decided: what a
// connection took to come up is gone, for the first attempt and for further ones.
func TestTimeToldAtTheFirstByte(t *testing.T) {
	t.Parallel()
	const late, given = 100 * time.Millisecond, 10 * time.Second
	failing, got := stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", true)
	n := newNodeFor(t, testConfig("127.0.0.1:1", serving("s", failing)))
	n.loop.module = moduleFunc(func(e balancer.Event) []balancer.Action {
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
	connect := n.loop.upstream.connect
	n.loop.upstream.connect = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		<-time.After(late) // a fact of time, nothing is waited for
		return connect(ctx, addr, within)
	}
	runNode(t, n)
	do(t, newRequest(t, n, "GET", "/read/1", "")) // which gives 10 s
	for i := range 2 {
		told, err := parseTimeLeft(wait(t, got).Header.Get("X-Time-Left"))
		if most := given - time.Duration(i+1)*late; err != nil || told > most {
			t.Errorf("attempt %d tells %v, at most %v are left, %v", i, told, most, err)
		}
	}
}
