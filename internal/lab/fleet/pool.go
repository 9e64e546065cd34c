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

// connectionPool manages the clients' connections to one node. It is safe for concurrent use.
type connectionPool struct {
	addr string

	mu     sync.Mutex
	idle   []*poolConn
	all    map[*poolConn]struct{}
	closed bool
}

// poolConn is a connection that carries one call at a time.
type poolConn struct {
	net.Conn
	reader *bufio.Reader
}

// newConnectionPool returns an empty pool for a node's address.
func newConnectionPool(addr string) *connectionPool {
	return &connectionPool{addr: addr, all: map[*poolConn]struct{}{}}
}

// idleConn takes an idle connection, or returns nil.
func (p *connectionPool) idleConn() *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

// dial opens a connection.
func (p *connectionPool) dial(timeout time.Duration) (*poolConn, error) {
	nc, err := net.DialTimeout("tcp", p.addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &poolConn{nc, bufio.NewReaderSize(nc, 1024)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	p.all[c] = struct{}{}
	return c, nil
}

// put returns a connection to the pool as idle.
func (p *connectionPool) put(c *poolConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection and removes it from the pool.
func (p *connectionPool) discard(c *poolConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
}

// close closes all connections, idle or in use.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.all {
		c.Close()
	}
}

// exchange writes a call and reads the response. If the node closes an idle connection just as it is reused, the call is
// sent again on a new one.
func (p *connectionPool) exchange(x *exchange, text []byte, timeout time.Duration) model.Response {
	if c := p.idleConn(); c != nil {
		a, unread := p.roundTrip(x, c, text, timeout)
		if !unread {
			return a
		}
	}
	c, err := p.dial(timeout)
	if err != nil {
		return model.Response{Result: model.Unreachable}
	}
	a, unread := p.roundTrip(x, c, text, timeout)
	if unread {
		a.Result = model.ConnectionLost
	}
	return a
}

// roundTrip writes a call to one connection and reads the response. unread is true if the write failed, or if the node closed the
// connection before the first byte of the response.
func (p *connectionPool) roundTrip(x *exchange, c *poolConn, text []byte, timeout time.Duration) (a model.Response, unread bool) {
	a.Result = model.ConnectionLost
	if !x.use(c) {
		p.discard(c)
		return a, false
	}
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(text); err != nil {
		p.discard(c)
		return a, true
	}
	if _, err := c.reader.Peek(1); err != nil {
		p.discard(c)
		return a, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		p.discard(c)
		return a, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	resp.Body.Close()
	x.use(nil)
	if err != nil || resp.Close {
		p.discard(c)
	} else {
		p.put(c)
	}
	if err != nil {
		return a, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return model.Response{Result: model.Served, Body: string(body)}, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		retryAfter, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // zero if absent or invalid
		return model.Response{Result: model.Rejected, RetryAfter: time.Duration(retryAfter * float64(time.Second))}, false
	}
	return model.Response{Result: model.Failed}, false
}
