// Package upstream makes attempts of requests to servers, over a pool of connections of its own.
//
// http.Transport is no use here: it sends a request again by itself when a reused connection breaks, which would be an attempt that
// nobody counted, perhaps to a server that is draining by then. An attempt of this package is sent at most once, and its Result says
// whether the server can have run it.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/metrics"
	"umberbank/internal/simwire"
)

// ErrNoCapacity says that no descriptor is left for another connection.
var ErrNoCapacity = errors.New("no descriptor left for another connection")

// Options are what a Pool needs.
type Options struct {
	Connections    simwire.Connections
	MaxConnections int // idle ones and dials among them
	Metrics        *metrics.Metrics
	Budget         *bodybudget.Budget
}

// Pool has the connections to all endpoints. Any goroutine may use it.
type Pool struct {
	// Dial opens a connection to an address within a time. It may be replaced before the first attempt.
	Dial func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

	metrics *metrics.Metrics
	budget  *bodybudget.Budget

	mu             sync.Mutex
	idleTimeout    time.Duration // idle connections are closed after so long
	connectTimeout time.Duration
	idle           map[*Endpoint][]*conn // the one used last comes last
	open           int                   // connections there are, idle ones and dials among them
	limit          int                   // and may be
	reuseIdle      time.Duration         // idle connections are used again after less than this, idleTimeout at the most
}

// NewPool returns a Pool without connections.
func NewPool(o Options) *Pool {
	timeout := safeIdle(o.Connections.IdleTimeout)
	return &Pool{
		Dial: func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
		},
		metrics:        o.Metrics,
		budget:         o.Budget,
		idleTimeout:    timeout,
		connectTimeout: o.Connections.ConnectTimeout,
		idle:           map[*Endpoint][]*conn{},
		limit:          o.MaxConnections,
		reuseIdle:      timeout,
	}
}

// RequestBudget bounds the memory that the bodies of requests hold.
func (p *Pool) RequestBudget() *bodybudget.Limiter { return p.budget.Requests }

// Reconfigure takes over new settings of connections. The maximum idle time for reuse
// follows the setting unless it was lowered; see lowerMaxReuseIdle.
func (p *Pool) Reconfigure(c simwire.Connections) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reuseIdle == p.idleTimeout {
		p.reuseIdle = safeIdle(c.IdleTimeout)
	}
	p.idleTimeout, p.connectTimeout = safeIdle(c.IdleTimeout), c.ConnectTimeout
	p.reuseIdle = min(p.reuseIdle, p.idleTimeout)
}

// SetLimit changes how many connections there may be. Those over a lower limit stay until they are closed.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// Connections are how many connections there are, dials among them, and how many of them are idle.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}

// get takes the idle connection to an endpoint that was used last, or dials.
func (p *Pool) get(ctx context.Context, e *Endpoint) (*conn, error) {
	for {
		c := p.popIdle(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		c.wasIdle = max(1, time.Since(c.idleSince))
		alive := c.alive()
		if alive && c.wasIdle < p.maxReuseIdle() {
			return c, nil
		}
		if !alive {
			p.lowerMaxReuseIdle(c.wasIdle)
		}
		p.close(c)
	}
}

// dial opens a new connection to an endpoint.
func (p *Pool) dial(ctx context.Context, e *Endpoint) (*conn, error) {
	if !p.reserve() {
		return nil, ErrNoCapacity
	}
	p.mu.Lock()
	timeout := p.connectTimeout
	p.mu.Unlock()
	c, err := p.Dial(ctx, e.Addr, timeout)
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(c), nil
}

// popIdle takes the idle connection to an endpoint that was used last; nil: there is none.
func (p *Pool) popIdle(e *Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[e]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	p.idle[e] = conns[:last]
	return conns[last]
}

// reserve counts a connection that is to be dialled. With no capacity left an idle one of any endpoint is closed for it; false:
// there is none.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		for e, conns := range p.idle {
			if len(conns) > 0 {
				conns[0].Conn.Close()
				p.idle[e] = conns[1:]
				return true
			}
		}
		return false
	}
	p.open++
	return true
}

// release counts a connection out.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// close closes a connection and counts it out.
func (p *Pool) close(c *conn) {
	c.Conn.Close()
	p.release()
}

// put keeps a connection for the next attempt, unless the endpoint is no longer ready.
func (p *Pool) put(e *Endpoint, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	ready := e.Ready() // under the lock, so that CloseIdle comes after or is seen here
	if ready {
		p.idle[e] = append(p.idle[e], c)
	}
	p.mu.Unlock()
	if !ready {
		p.close(c)
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(e *Endpoint) {
	p.closeIdle(func(of *Endpoint, _ *conn) bool { return of == e })
}

// CloseStale closes idle connections that are too old or that their server has closed, lest they hold descriptors until they would
// be used next.
func (p *Pool) CloseStale() {
	p.closeIdle(func(_ *Endpoint, c *conn) bool { return time.Since(c.idleSince) >= p.reuseIdle || !c.alive() })
}

// closeIdle closes the idle connections for which stale, which is called with p.mu locked, returns true.
func (p *Pool) closeIdle(stale func(*Endpoint, *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, conns := range p.idle {
		var remaining []*conn
		for _, c := range conns {
			if stale(e, c) {
				c.Conn.Close()
				p.open--
			} else {
				remaining = append(remaining, c)
			}
		}
		if remaining == nil {
			delete(p.idle, e)
		} else {
			p.idle[e] = remaining
		}
	}
}
