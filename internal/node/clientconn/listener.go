// Package clientconn has the connections of a node's clients: how many may be open, which of them are idle and may be closed, what
// a close looks like to a client, how one that disconnects is noticed, and the pace at which a request's body has to come.
//
// net/http reads and writes the connections. It holds a connection for idle until the whole head of a request is there, and looks
// for a disconnect with single bytes; Conn makes up for both.
package clientconn

import (
	"net"
	"sync"
	"time"
)

// evictRetryInterval is how often a Listener without capacity looks for a connection that may be closed by now.
const evictRetryInterval = 50 * time.Millisecond

// Listener accepts while fewer than its limit of the accepted connections are open. Any goroutine may use it.
type Listener struct {
	net.Listener
	evict func() bool

	mu       sync.Mutex
	capacity *sync.Cond // there may be capacity, or the listener is closed
	limit    int
	open     int
	closed   bool
}

// NewListener returns a Listener on l. evict closes a connection that may be closed to make room and reports whether there was
// one; nil: none may.
func NewListener(l net.Listener, limit int, evict func() bool) *Listener {
	limited := &Listener{Listener: l, evict: evict, limit: limit}
	limited.capacity = sync.NewCond(&limited.mu)
	return limited
}

// SetLimit changes how many connections may be open. Those over a lower limit stay.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	l.capacity.Broadcast()
}

// Limit is how many connections may be open.
func (l *Listener) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// OpenConnections is how many accepted connections are not closed for good yet.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Closed reports whether the listener was closed.
func (l *Listener) Closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Accept waits for capacity and then for a connection, which is a *Conn.
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

// reserve waits for capacity and takes it; false: the listener was closed.
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

// release gives the capacity of one connection back.
func (l *Listener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.capacity.Signal()
}

// Close ends Accept. Connections that are open stay.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.capacity.Broadcast()
	return l.Listener.Close()
}
