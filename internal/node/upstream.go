package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"umberbank/balancer"
	"umberbank/internal/simwire"
)

const (
	// maxBody is the most of a body that is held, either way, and maxLong the most that it may be.
	maxBody = 64 << 10
	maxLong = 32 << 20
	// maxAnswer is the most that is read of the head of a server's answer and any interim answers before
	// it. net/http sets a client no limit, and one endless head would fill the memory.
	maxAnswer = 1 << 20
	// maxFramed is the most that is read of an answer's body with its framing: chunks may be of a byte each.
	maxFramed = 8 * maxLong
)

// server is a listed server as the I/O sees it.
type server struct {
	id, addr string
	boot     time.Duration
	usable   atomic.Bool // ready by our list; cleared when the server drains or is gone
}

// Why an attempt's context ended.
var (
	errTimedOut  = errors.New("timed out")
	errWithdrawn = errors.New("withdrawn")
)

// result is how an attempt ended; body and contentType belong to a Success whose answer was short.
type result struct {
	ending      balancer.Result
	body        []byte
	contentType string
}

// call is what an attempt sends and whom it tells of how it goes.
type call struct {
	request *http.Request   // with its body, as far as that is held
	rest    *callerBody     // what follows of a long body; nil: nothing
	clear   clearance       // what has to hold at the first byte
	taken   func()          // called when the last byte of a long request is written
	started func(*download) // called when a long answer begins; whoever reads it says on its done how that went
}

// upstream makes attempts over connections of its own. http.Transport is no use here: it sends a
// request again by itself when a reused connection breaks, which would be an attempt that nobody
// counted, perhaps to a server that drains by then.
type upstream struct {
	metrics *metrics
	budget  *budget
	connect func(ctx context.Context, addr string, within time.Duration) (net.Conn, error)

	mu             sync.Mutex
	idleFor        time.Duration // ours are closed after standing idle for so long
	connectTimeout time.Duration
	idle           map[*server][]*conn // the latest used last
	open           int                 // connections there are, idle ones and dials among them
	most           int                 // and may be
	trusted        time.Duration       // ours are used again after standing idle for less than this
}

// conn is a connection to a server; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	limit *io.LimitedReader // what r may still read from Conn
	since time.Time         // idle since
	idled time.Duration     // how long it stood idle before its present use; 0: it is new
}

func newConn(c net.Conn) *conn {
	limit := &io.LimitedReader{R: c}
	return &conn{Conn: c, r: bufio.NewReader(limit), limit: limit}
}

// abort gives the connection up with all that was written to it and has not left this machine. After a plain close the
// system goes on sending that for minutes, so a request written into a link that is down would arrive, and run, when the
// link is up again, long after its caller was told that it had failed. What has left this machine no sender can take back.
func (c *conn) abort() {
	if t, is := c.Conn.(interface{ SetLinger(sec int) error }); is {
		t.SetLinger(0) // where that cannot be, it is closed all the same
	}
	c.Conn.Close()
}

func newUpstream(cfg Config, most int, counts *metrics, room *budget) *upstream {
	return &upstream{
		idleFor:        usable(cfg.Conns.IdleTimeout),
		connectTimeout: cfg.Conns.ConnectTimeout,
		metrics:        counts,
		budget:         room,
		connect: func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: within}).DialContext(ctx, "tcp", addr)
		},
		idle:    map[*server][]*conn{},
		most:    most,
		trusted: usable(cfg.Conns.IdleTimeout),
	}
}

// usable is how long an idle connection may be used that its server closes after idle: clearly before
// that, for a request that crosses the close is lost to a reset.
func usable(idle time.Duration) time.Duration { return idle * 3 / 4 }

// retune takes over new settings of connections. Trust that no server has shaken follows the setting.
func (u *upstream) retune(set simwire.Connections) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.trusted == u.idleFor {
		u.trusted = usable(set.IdleTimeout)
	}
	u.idleFor, u.connectTimeout = usable(set.IdleTimeout), set.ConnectTimeout
	u.trusted = min(u.trusted, u.idleFor)
}

// attempt makes a call to s once and waits for the answer until ctx ends. It writes nothing unless clear agrees at the
// first byte.
func (u *upstream) attempt(ctx context.Context, s *server, out call) result {
	r := out.request
	if r.Host == "" { // HTTP/1.0 callers need not name one, servers want one
		r.Host = s.addr
	}
	connect := u.get
	if (out.rest != nil || !repeatable(r)) && u.distrustful() {
		// Servers drop idle connections, and a reset leaves open whether it ran.
		connect = u.dial
	}
	c, err := connect(ctx, s)
	if err != nil && ctx.Err() == nil {
		return result{ending: balancer.Unreachable}
	} else if err != nil {
		return result{ending: balancer.NotSent} // the dial took the attempt's time or its reason away
	}
	if why, ok := out.lastLook(ctx, s); !ok {
		u.put(s, c) // not a byte was written
		return result{ending: why}
	}
	stop := context.AfterFunc(ctx, c.abort) // all that stops an exchange
	var res result
	var keep bool
	if out.rest == nil {
		res, keep = u.exchange(ctx, c, out)
	} else {
		res, keep = u.exchangeLong(ctx, c, out)
	}
	u.learn(c, res)
	if stop() && keep {
		u.put(s, c)
	} else {
		u.close(c)
	}
	return res
}

// exchange writes one request and reads its answer. keep tells whether the connection can carry
// another.
func (u *upstream) exchange(ctx context.Context, c *conn, out call) (res result, keep bool) {
	var message bytes.Buffer
	if err := out.request.Write(&message); err != nil {
		return result{ending: balancer.NotSent}, false
	}
	if _, err := c.Write(message.Bytes()); err != nil {
		// Not all of it was written, so it can't have run.
		if ctx.Err() != nil {
			return result{ending: balancer.NotSent}, false
		}
		return result{ending: balancer.Unreachable}, false
	}
	u.metrics.forwards.Add(1)
	c.limit.N = maxAnswer
	resp, err := readResponse(c.r, out.request)
	if err != nil {
		return result{ending: endingOf(ctx)}, false
	}
	return u.receive(ctx, c, resp, out)
}

// receive reads the body of an answer.
func (u *upstream) receive(ctx context.Context, c *conn, resp *http.Response, out call) (res result, keep bool) {
	defer resp.Body.Close()
	c.limit.N = maxFramed
	whole := false
	switch {
	case resp.StatusCode == http.StatusOK:
		if res, whole = u.receiveServed(ctx, c, resp, out); !whole {
			return res, false
		}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		res.ending = balancer.Overloaded
		whole = discard(resp.Body)
	default:
		res.ending = balancer.Failure
		whole = discard(resp.Body) && resp.StatusCode != http.StatusSwitchingProtocols
	}
	return res, whole && !resp.Close && c.r.Buffered() == 0
}

// discard reads a body that nobody wants; false: it was not read to its end.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBody+1))
	return err == nil && n <= maxBody
}

// receiveServed reads the body of a 200. whole: to its end, and a long one was passed on to its end.
func (u *upstream) receiveServed(ctx context.Context, c *conn, resp *http.Response, out call) (res result, whole bool) {
	release, err := hold(ctx, u.budget.answers, resp.ContentLength)
	if err != nil {
		return result{ending: endingOf(ctx)}, false
	}
	defer release()
	d := newDownload(resp.Header.Get("Content-Type"), resp.ContentLength, func() { c.Conn.Close() })
	begin := func() {
		if d.begin() {
			out.started(d)
		}
	}
	switch {
	case d.length > maxBody:
		begin()
	case d.length < 0: // it may be long, and then its first bytes are wanted
		defer time.AfterFunc(holdBack, begin).Stop()
	}
	err = d.fill(stallReader{c.Conn, resp.Body}, begin)
	begun, abandoned := d.state()
	if begun {
		err = <-d.done
		_, abandoned = d.state()
	}
	c.Conn.SetReadDeadline(time.Time{})
	switch {
	case abandoned:
		return result{ending: balancer.Cancelled}, false
	case err != nil:
		return result{ending: endingOf(ctx)}, false
	case begun:
		return result{ending: balancer.Success}, true
	}
	return result{balancer.Success, d.held, d.contentType}, true
}

// stallReader reads a server's body for as long as the server does not stand still.
type stallReader struct {
	conn net.Conn
	r    io.Reader
}

func (s stallReader) Read(p []byte) (int, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(serverStall)); err != nil {
		return 0, err
	}
	return s.r.Read(p)
}

// stallWriter writes to a server for as long as the server does not stand still.
type stallWriter struct{ net.Conn }

func (s stallWriter) Write(p []byte) (int, error) {
	if err := s.Conn.SetWriteDeadline(time.Now().Add(serverStall)); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

// earlyAnswer is how long a server that takes no more of a request may take to say why.
const earlyAnswer = time.Second

// exchangeLong writes a long request as its caller sends it, and reads its answer. A server may answer
// before it has read all.
func (u *upstream) exchangeLong(ctx context.Context, c *conn, out call) (res result, keep bool) {
	wrote := make(chan error, 1)
	go func() {
		err := out.request.Write(stallWriter{c.Conn})
		if err == nil {
			u.metrics.forwards.Add(1)
			out.taken()
		} else if out.rest.broken() {
			c.Conn.Close() // no answer can come
		} else {
			c.Conn.SetReadDeadline(time.Now().Add(earlyAnswer))
		}
		wrote <- err
	}()
	c.limit.N = maxAnswer
	resp, err := readResponse(c.r, out.request)
	if !out.rest.whole.Load() || err != nil {
		c.Conn.Close() // ends the writing, should it still go on
	}
	if !out.rest.whole.Load() {
		return result{ending: unsentEnding(ctx, resp, out)}, false
	}
	if <-wrote != nil {
		return result{ending: unsentEnding(ctx, resp, out)}, false
	}
	if err != nil {
		return result{ending: endingOf(ctx)}, false
	}
	c.Conn.SetWriteDeadline(time.Time{})
	return u.receive(ctx, c, resp, out)
}

// unsentEnding tells how an attempt ended whose last byte was not written, so that it can't have run.
func unsentEnding(ctx context.Context, resp *http.Response, out call) balancer.Result {
	switch {
	case ctx.Err() != nil || out.rest.broken():
		return balancer.NotSent // not the server's doing
	case resp != nil:
		return balancer.Overloaded // it did not want all of it
	}
	return balancer.Unreachable
}

// readResponse skips interim answers. Nobody asked to switch protocols, so 101 is final and means nothing.
func readResponse(br *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, r)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// endingOf tells how an attempt ended that was written and got no whole answer.
func endingOf(ctx context.Context) balancer.Result {
	switch context.Cause(ctx) {
	case nil:
		return balancer.ConnectionLost
	case errTimedOut:
		return balancer.TimedOut
	}
	return balancer.Cancelled
}

var errNoRoom = errors.New("no descriptor left for another connection")

// repeatable says that the protocol lets a request run twice: it is a GET or carries a key.
func repeatable(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Header.Get("Idempotency-Key") != ""
}

// get takes the idle connection used last, or dials.
func (u *upstream) get(ctx context.Context, s *server) (*conn, error) {
	for {
		c := u.takeIdle(s)
		if c == nil {
			return u.dial(ctx, s)
		}
		c.idled = max(1, time.Since(c.since))
		alive := c.alive()
		if alive && c.idled < u.trust() {
			return c, nil
		}
		if !alive {
			u.distrust(c.idled)
		}
		u.close(c)
	}
}

func (u *upstream) dial(ctx context.Context, s *server) (*conn, error) {
	if !u.reserve() {
		return nil, errNoRoom
	}
	u.mu.Lock()
	within := u.connectTimeout
	u.mu.Unlock()
	nc, err := u.connect(ctx, s.addr, within)
	if err != nil {
		u.release()
		return nil, err
	}
	return newConn(nc), nil
}

func (u *upstream) trust() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trusted
}

// distrustful says that idle connections are trusted for less than the settings would have it.
func (u *upstream) distrustful() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trusted < u.idleFor
}

// trustLeast is what trust falls to at the least. A drop after less is no idle limit but a crash, say, and
// trust in next to no time would never be tried, so it would never come back.
const trustLeast = 20 * time.Millisecond

// distrust notes that a server dropped a connection that had stood idle for so long. Servers may close
// idle connections whenever they like, and a request that crosses the close is lost to a reset.
func (u *upstream) distrust(idled time.Duration) {
	u.mu.Lock()
	u.trusted = min(u.trusted, max(idled/2, trustLeast))
	u.mu.Unlock()
}

// learn adjusts the trust in idle connections by how the use of one went. Trust comes back slowly.
func (u *upstream) learn(c *conn, res result) {
	switch {
	case c.idled == 0:
	case res.ending == balancer.Unreachable || res.ending == balancer.ConnectionLost && c.limit.N == maxAnswer:
		u.distrust(c.idled) // not a byte came back
	case res.ending == balancer.Success:
		u.mu.Lock()
		if c.idled > u.trusted/2 {
			u.trusted = min(u.idleFor, u.trusted+u.trusted/50+1)
		}
		u.mu.Unlock()
	}
}

func (u *upstream) takeIdle(s *server) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.idle[s]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	u.idle[s] = l[:len(l)-1]
	return c
}

// setMost changes how many connections there may be. Those over a lower limit stay until they are closed.
func (u *upstream) setMost(most int) {
	u.mu.Lock()
	u.most = most
	u.mu.Unlock()
}

// reserve counts a connection to be dialled. With none left an idle one of any server makes room.
func (u *upstream) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.most {
		for s, l := range u.idle {
			if len(l) > 0 {
				l[0].Conn.Close()
				u.idle[s] = l[1:]
				return true
			}
		}
		return false
	}
	u.open++
	return true
}

func (u *upstream) release() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

func (u *upstream) close(c *conn) {
	c.Conn.Close()
	u.release()
}

// put keeps a connection for the next attempt, unless the server has left meanwhile.
func (u *upstream) put(s *server, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	usable := s.usable.Load() // under the lock, so that dropIdle comes after or is seen here
	if usable {
		u.idle[s] = append(u.idle[s], c)
	}
	u.mu.Unlock()
	if !usable {
		u.close(c)
	}
}

// alive says that an idle connection is still open and holds no bytes: a server that closed it
// would reset the next request, and leftover bytes would pass for that request's answer.
func (c *conn) alive() bool {
	_, err := peek(c.Conn)
	return err == syscall.EAGAIN
}

// dropIdle closes the idle connections to a server.
func (u *upstream) dropIdle(s *server) {
	u.sweep(func(of *server, c *conn) bool { return of == s })
}

// sweepStale closes idle connections that are too old or that their server has closed, lest they
// hold descriptors until they would be used next.
func (u *upstream) sweepStale() {
	u.sweep(func(_ *server, c *conn) bool { return time.Since(c.since) >= u.trusted || !c.alive() })
}

// sweep closes the idle connections that drop names.
func (u *upstream) sweep(drop func(*server, *conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s, l := range u.idle {
		var keep []*conn
		for _, c := range l {
			if drop(s, c) {
				c.Conn.Close()
				u.open--
			} else {
				keep = append(keep, c)
			}
		}
		if keep == nil {
			delete(u.idle, s)
		} else {
			u.idle[s] = keep
		}
	}
}

// timeLeft words a duration for X-Time-Left.
func timeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}
