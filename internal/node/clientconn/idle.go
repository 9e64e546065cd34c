package clientconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultMinEvictIdle is how long a connection must have been idle to be closed for the capacity that it takes.
const defaultMinEvictIdle = 2 * time.Second

// IdleConns knows which connections carry no request now, and since when. Any goroutine may use it.
type IdleConns struct {
	mu           sync.Mutex
	since        map[net.Conn]time.Time
	minEvictIdle time.Duration
}

// NewIdleConns returns an IdleConns that knows of none.
func NewIdleConns() *IdleConns {
	return &IdleConns{since: map[net.Conn]time.Time{}, minEvictIdle: defaultMinEvictIdle}
}

// Len is how many connections are idle.
func (i *IdleConns) Len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.since)
}

// SetMinEvictIdle changes how long a connection must have been idle for Evict, which is 2 s at first.
func (i *IdleConns) SetMinEvictIdle(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.minEvictIdle = d
}

// StateChanged takes every change of a connection's state; it is called by http.Server's ConnState.
func (i *IdleConns) StateChanged(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		if c, isClient := conn.(*Conn); isClient {
			c.markIdle()
		}
		i.since[conn] = time.Now()
	default:
		delete(i.since, conn)
	}
}

// Close closes the connections that have been idle for at least so long.
func (i *IdleConns) Close(minIdle time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if time.Since(since) < minIdle {
			continue
		}
		if c, isClient := conn.(*Conn); !isClient || c.beginClose() {
			conn.Close()
			delete(i.since, conn)
		}
	}
}

// Evict closes the connection that has been idle for longest, to have its capacity; false: none has been idle for long enough.
func (i *IdleConns) Evict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for {
		longest := i.longestIdle()
		if longest == nil {
			return false
		}
		if longest.beginClose() {
			delete(i.since, longest)
			longest.evict()
			return true
		}
	}
}

// longestIdle is the connection that has been idle for longest; nil: none has been idle for long enough. i.mu is locked.
func (i *IdleConns) longestIdle() *Conn {
	var longest *Conn
	oldest := time.Now().Add(-i.minEvictIdle)
	for conn, since := range i.since {
		if c, isClient := conn.(*Conn); isClient && since.Before(oldest) && c.isIdle() {
			longest, oldest = c, since
		}
	}
	return longest
}
