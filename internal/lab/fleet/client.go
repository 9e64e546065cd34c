package fleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/model"
)

// pool keeps the senders' connections to one node.
type pool struct {
	addr string

	mu     sync.Mutex
	idle   []*conn
	all    map[*conn]struct{}
	closed bool
}

// conn carries one call at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func newPool(addr string) *pool { return &pool{addr: addr, all: map[*conn]struct{}{}} }

func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

func (p *pool) dial(within time.Duration) (*conn, error) {
	nc, err := net.DialTimeout("tcp", p.addr, within)
	if err != nil {
		return nil, err
	}
	c := &conn{nc, bufio.NewReaderSize(nc, 1024)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	p.all[c] = struct{}{}
	return c, nil
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.all {
		c.Close()
	}
}

// exchange is one call under way. Its goroutine writes and reads; leave ends it from the loop.
type exchange struct {
	mu   sync.Mutex
	conn *conn
	gone bool
}

// hold notes the connection in use; false: the sender has left.
func (x *exchange) hold(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.gone
}

func (x *exchange) leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	if x.conn != nil {
		x.conn.Close()
	}
}

// Send writes a call to its node.
func (f *Fleet) Send(c *model.Call, done func(model.Answer)) func() {
	f.remember(c)
	x := &exchange{}
	text := f.request(c)
	go func() {
		late := f.w.Loop.Elapsed() - c.Sent
		a := f.pools[c.Node].exchange(x, text, c.Left+time.Second)
		a.Late = late
		f.w.Loop.Post(func() {
			x.mu.Lock()
			gone := x.gone
			x.mu.Unlock()
			if !gone {
				done(a)
			}
		})
	}()
	return x.leave
}

// request words a call.
func (f *Fleet) request(c *model.Call) []byte {
	method, path, key, body := form(f.w, c)
	b := make([]byte, 0, 256)
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "...)
	b = append(b, c.ID...)
	b = append(b, "\r\nX-Time-Left: "...)
	b = strconv.AppendInt(b, int64(c.Left/time.Microsecond), 10)
	b = append(b, "u\r\n"...)
	if key != "" {
		b = append(b, "Idempotency-Key: "+key+"\r\n"...)
	}
	if c.Repeat {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if method == http.MethodPost {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// exchange writes a call and reads its answer. On a kept connection that the node has just closed it is sent once
// more, on a new one.
func (p *pool) exchange(x *exchange, text []byte, within time.Duration) model.Answer {
	if c := p.takeIdle(); c != nil {
		a, unread := p.ask(x, c, text, within)
		if !unread {
			return a
		}
	}
	c, err := p.dial(within)
	if err != nil {
		return model.Answer{Reply: model.Unreached}
	}
	a, unread := p.ask(x, c, text, within)
	if unread {
		a.Reply = model.Lost
	}
	return a
}

// ask uses one connection; unread: it ended without a byte of an answer.
func (p *pool) ask(x *exchange, c *conn, text []byte, within time.Duration) (a model.Answer, unread bool) {
	a.Reply = model.Lost
	if !x.hold(c) {
		p.drop(c)
		return a, false
	}
	c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write(text); err != nil {
		p.drop(c)
		return a, true
	}
	if _, err := c.r.Peek(1); err != nil {
		p.drop(c)
		return a, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		p.drop(c)
		return a, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	resp.Body.Close()
	x.hold(nil)
	if err != nil || resp.Close {
		p.drop(c)
	} else {
		p.put(c)
	}
	if err != nil {
		return a, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return model.Answer{Reply: model.Served, Body: string(body)}, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		advice, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent or unreadable: no advice
		return model.Answer{Reply: model.Refused, RetryAfter: time.Duration(advice * float64(time.Second))}, false
	}
	return model.Answer{Reply: model.Failed}, false
}
