// Package clientconn manages the connections of a node's clients. It limits how many are open, tracks
// which of them are idle and may be closed, closes them without losing responses, detects disconnects,
// and enforces a minimum rate for request bodies.
//
// net/http reads and writes the connections. It considers a connection idle until the whole head of a
// request has arrived, and checks for a disconnect by reading a single byte. Conn compensates for both.
package clientconn

import (
	"net"
	"sync"
	"time"
)

// evictRetryInterval is the interval at which a Listener without capacity tries again to evict a
// connection.
const evictRetryInterval = 50 * time.Millisecond

// Listener accepts connections while fewer than its limit are open. It is safe for concurrent use.
type Listener struct {
	net.Listener
	evict func() bool

	mu       sync.Mutex
	capacity *sync.Cond // signalled when there may be capacity or the listener is closed
	limit    int
	open     int // accepted connections that are not fully closed, and capacity that Accept has reserved
	closed   bool
}

// NewListener returns a Listener on l that allows limit open connections. evict closes a connection to
// free capacity, and reports whether there was one to close. evict may be nil; then no connection is
// evicted.
func NewListener(l net.Listener, limit int, evict func() bool) *Listener {
	limited := &Listener{Listener: l, evict: evict, limit: limit}
	limited.capacity = sync.NewCond(&limited.mu)
	return limited
}

// SetLimit changes how many connections may be open. Connections over a lowered limit stay open.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	l.capacity.Broadcast()
}

// Limit returns how many connections may be open.
func (l *Listener) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// OpenConnections returns the number of accepted connections that are not fully closed, plus one while
// Accept has capacity and waits for a connection.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Closed reports whether Close was called.
func (l *Listener) Closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Accept waits for capacity and then for a connection, which it returns as a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.reserve() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return newConn(conn, sync.OnceFunc(l.release)), nil
}

// reserve waits for capacity and reserves it for one connection. It returns false if the listener was
// closed.
func (l *Listener) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.limit && !l.closed {
		if l.evict != nil {
			l.mu.Unlock()
			evicted := l.evict()
			l.mu.Lock()
			if evicted {
				continue
			}
			time.AfterFunc(evictRetryInterval, l.capacity.Broadcast)
		}
		l.capacity.Wait()
	}
	if l.closed {
		return false
	}
	l.open++
	return true
}

// release releases the capacity of one connection.
func (l *Listener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.capacity.Signal()
}

// Close closes the listener. Accept then fails with an error that wraps net.ErrClosed. Open connections
// stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.capacity.Broadcast()
	return l.Listener.Close()
}
