package clientconn

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalTracker bounds the time at which a client has sent the bytes that were read. Bytes that a read
// finds in the receive buffer may have been there for long, because the node was busy with something else.
// Bytes that a read has to wait for were sent when the wait ended.
type arrivalTracker struct {
	mu        sync.Mutex
	waiting   bool      // a read waits for the client, and there is nothing unread
	waited    time.Time // when the last wait ended; at first, when the connection was accepted
	ahead     time.Time // waited when bytes were last read ahead
	delivered time.Time // waited when the bytes were read that net/http got last
}

func newArrivalTracker() *arrivalTracker {
	now := time.Now()
	return &arrivalTracker{waited: now, ahead: now, delivered: now}
}

func (a *arrivalTracker) beginWait() {
	a.mu.Lock()
	a.waiting = true
	a.mu.Unlock()
}

func (a *arrivalTracker) endWait() {
	a.mu.Lock()
	a.waiting, a.waited = false, time.Now()
	a.mu.Unlock()
}

// readAhead records that bytes were read ahead.
func (a *arrivalTracker) readAhead() {
	a.mu.Lock()
	a.ahead = a.waited
	a.mu.Unlock()
}

// deliver records that net/http got bytes, and whether they had been read ahead.
func (a *arrivalTracker) deliver(wereAhead bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delivered = a.waited
	if wereAhead {
		a.delivered = a.ahead
	}
}

// lastRead returns the earliest time at which the client can have sent the bytes that net/http got last.
func (a *arrivalTracker) lastRead() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delivered
}

// next returns the earliest time at which the client can have sent the first byte that has not been read.
func (a *arrivalTracker) next() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting {
		return time.Now()
	}
	return a.waited
}

// receive reads from the connection itself and records whether the read had to wait for the client.
func (c *Conn) receive(p []byte) (int, error) {
	if c.hasUnread() {
		return c.Conn.Read(p)
	}
	c.arrival.beginWait()
	defer c.arrival.endWait()
	return c.Conn.Read(p)
}

// hasUnread reports whether a read from the connection would return at once. It returns false if the
// connection has no file descriptor.
func (c *Conn) hasUnread() bool {
	ready, err := pollNow(c.raw, unix.POLLIN)
	return err == nil && ready != 0
}
