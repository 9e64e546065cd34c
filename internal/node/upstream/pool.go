// Package upstream sends attempts of requests to servers, over its own connection pool.
//
// http.Transport is not suitable: it implicitly sends a request again when a reused connection breaks.
// Such an attempt would not be counted, and the server might be draining by then. This package sends an
// attempt at most once, and the Result of the attempt says whether the server can have run it.
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

// ErrNoCapacity is returned when the pool is at its limit and has no idle connection to close.
var ErrNoCapacity = errors.New("no descriptor left for another connection")

// Options configure a Pool. All fields must be set.
type Options struct {
	Connections    simwire.Connections
	MaxConnections int // includes idle connections and dials in progress
	Metrics        *metrics.Metrics
	Budget         *bodybudget.Budget
}

// Pool manages the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection to an address within a timeout. It must not be replaced after the first
	// attempt.
	Dial func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

	metrics *metrics.Metrics
	budget  *bodybudget.Budget

	mu             sync.Mutex
	idleTimeout    time.Duration // safeIdle of the idle timeout in the settings
	connectTimeout time.Duration
	idle           map[*Endpoint][]*conn // the most recently used connection is last
	open           int                   // number of connections, including idle ones and dials in progress
	limit          int                   // maximum of open
	maxReuseIdle   time.Duration         // a connection is reused if it was idle for less than this; at most idleTimeout
}

// NewPool returns a Pool without connections.
func NewPool(o Options) *Pool {
	idleTimeout := safeIdle(o.Connections.IdleTimeout)
	return &Pool{
		Dial: func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
		},
		metrics:        o.Metrics,
		budget:         o.Budget,
		idleTimeout:    idleTimeout,
		connectTimeout: o.Connections.ConnectTimeout,
		idle:           map[*Endpoint][]*conn{},
		limit:          o.MaxConnections,
		maxReuseIdle:   idleTimeout,
	}
}

// RequestBudget returns the limiter of the memory that the bodies of requests hold.
func (p *Pool) RequestBudget() *bodybudget.Limiter { return p.budget.Requests }

// Reconfigure applies new settings of connections. maxReuseIdle follows the settings unless it was
// lowered; see lowerMaxReuseIdle.
func (p *Pool) Reconfigure(c simwire.Connections) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxReuseIdle == p.idleTimeout {
		p.maxReuseIdle = safeIdle(c.IdleTimeout)
	}
	p.idleTimeout, p.connectTimeout = safeIdle(c.IdleTimeout), c.ConnectTimeout
	p.maxReuseIdle = min(p.maxReuseIdle, p.idleTimeout)
}

// SetLimit changes the maximum number of connections. It closes none. While the maximum is reached or
// exceeded, a connection is opened only in place of an idle one.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// Connections returns the number of connections, including dials in progress, and how many of them are
// idle.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}

// get returns the most recently used idle connection to an endpoint, or dials a new one.
func (p *Pool) get(ctx context.Context, e *Endpoint) (*conn, error) {
	for {
		c := p.popIdle(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		c.wasIdle = max(1, time.Since(c.idleSince))
		alive := c.alive()
		if alive && c.wasIdle < p.currentMaxReuseIdle() {
			return c, nil
		}
		if !alive {
			p.lowerMaxReuseIdle(c.wasIdle)
		}
		p.close(c)
	}
}

// dial opens a new connection to an endpoint. It returns ErrNoCapacity if the pool has no capacity for
// it.
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

// popIdle removes and returns the most recently used idle connection to an endpoint, or returns nil if
// there is none.
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

// reserve reserves capacity for a connection that is to be dialled. At the limit it closes an idle
// connection to any endpoint instead, and returns false if there is none.
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

// release releases the capacity of one connection.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// close closes a connection and releases its capacity.
func (p *Pool) close(c *conn) {
	c.Conn.Close()
	p.release()
}

// put makes a connection idle, for reuse by a later attempt, or closes it if the endpoint is no longer
// ready.
func (p *Pool) put(e *Endpoint, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	ready := e.Ready() // read with p.mu held: if e becomes unready later, the CloseIdle that follows closes c
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

// CloseStale closes idle connections that have been idle for too long or that their server has closed.
// Otherwise they would hold descriptors until get finds them.
func (p *Pool) CloseStale() {
	p.closeIdle(func(_ *Endpoint, c *conn) bool { return time.Since(c.idleSince) >= p.maxReuseIdle || !c.alive() })
}

// closeIdle closes the idle connections for which match returns true. It calls match with p.mu held.
func (p *Pool) closeIdle(match func(*Endpoint, *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, conns := range p.idle {
		var remaining []*conn
		for _, c := range conns {
			if match(e, c) {
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
