package clientconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultMinEvictIdle is how long a connection must have been idle before Evict closes it to free its
// capacity.
const defaultMinEvictIdle = 2 * time.Second

// IdleConns tracks which connections carry no request, and since when. It is safe for concurrent use.
type IdleConns struct {
	mu           sync.Mutex
	since        map[net.Conn]time.Time // when each idle connection became idle
	minEvictIdle time.Duration
}

// NewIdleConns returns an IdleConns without connections.
func NewIdleConns() *IdleConns {
	return &IdleConns{since: map[net.Conn]time.Time{}, minEvictIdle: defaultMinEvictIdle}
}

// Len returns the number of idle connections.
func (i *IdleConns) Len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.since)
}

// SetMinEvictIdle changes how long a connection must have been idle before Evict closes it. The default
// is 2 s.
func (i *IdleConns) SetMinEvictIdle(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.minEvictIdle = d
}

// StateChanged records a change of a connection's state. It must be called for every change, as
// http.Server's ConnState.
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

// Close closes the connections that have been idle for at least minIdle.
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

// Evict closes the connection that has been idle for the longest time, to free its capacity. It returns
// false if no connection has been idle for the minimum time; see SetMinEvictIdle.
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

// longestIdle returns the connection that has been idle for the longest time, or nil if none has been
// idle for minEvictIdle. i.mu must be held.
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
