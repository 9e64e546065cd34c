package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainSweep is how often a draining front looks for idle connections.
	drainSweep = 100 * time.Millisecond
	// drainIdle is how long one stands idle before it is closed. A client that is at work on its
	// connection uses it by then, and hears from the answer that it is the last.
	drainIdle = 500 * time.Millisecond
	// mayGo is how long a caller's connection may rest in any case; after that it can be closed to make room.
	mayGo = 2 * time.Second
)

// callers knows which of the callers' connections carry no request now, and since when. net/http holds a
// connection for idle until a request's whole head is there; one that has sent a part of it is not.
type callers struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// note is told of every change of a connection's state.
func (c *callers) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		if l, is := conn.(*limitedConn); is {
			l.rest()
		}
		c.idle[conn] = time.Now()
	default:
		delete(c.idle, conn)
	}
}

// closeIdle closes the connections that have carried no request for at least so long.
func (c *callers) closeIdle(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) < least {
			continue
		}
		if l, is := conn.(*limitedConn); !is || l.claim() {
			conn.Close()
			delete(c.idle, conn)
		}
	}
}

// makeRoom closes the connection that has rested for longest, if any has for mayGo.
func (c *callers) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		var longest *limitedConn
		oldest := time.Now().Add(-mayGo)
		for conn, since := range c.idle {
			if l, is := conn.(*limitedConn); is && since.Before(oldest) && l.state.Load() == resting {
				longest, oldest = l, since
			}
		}
		if longest == nil {
			return false
		}
		if longest.claim() {
			delete(c.idle, longest)
			longest.evict()
			return true
		}
	}
}

// drainer makes a front send clients away. While it is on, the front says that it is not ready, serves
// every request that it gets, and parts with each connection after an answer or once it stands idle.
type drainer struct {
	callers *callers

	mu    sync.Mutex
	sweep *time.Timer // the next look for idle connections; nil: not draining
}

func (d *drainer) on() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sweep == nil {
		d.sweep = time.AfterFunc(drainSweep, d.closeIdle)
	}
}

func (d *drainer) off() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sweep != nil {
		d.sweep.Stop()
		d.sweep = nil
	}
}

func (d *drainer) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sweep != nil
}

func (d *drainer) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sweep != nil { // else it was called off just as it came due
		d.callers.closeIdle(drainIdle)
		d.sweep.Reset(drainSweep)
	}
}
