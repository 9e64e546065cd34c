// Package relay forwards TCP connections between two processes on loopback and simulates network faults: it delays, stalls and
// throttles data, refuses new connections and resets established ones. Forwarded data is complete and in order.
//
// A stalled direction loses no data. As with TCP over a link that recovers, the data arrives when the stall ends, even if its
// sender has closed the connection in the meantime. If the sender has reset the connection, the data is discarded, because the
// sender's kernel has dropped it. While a relay stalls, no new connection is established.
package relay

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Impairment is a fault of a network link. If several apply at once, their delays add up, the lowest rate limit applies, and a
// direction is stalled if any of them stalls it.
type Impairment struct {
	// Delay is added to each read, plus a uniformly distributed duration of up to Jitter.
	Delay, Jitter time.Duration
	// Stall holds all data until the impairment is removed.
	Stall bool
	// Refuse refuses new connections. It does not affect established ones.
	Refuse bool
	// BytesPerSecond limits the rate. Zero means no limit.
	BytesPerSecond int
	// ToTarget and FromTarget select the directions to which the fields above apply, except Refuse.
	ToTarget, FromTarget bool
}

// Relay listens on an address and forwards connections to a target. Its methods are safe for concurrent use.
type Relay struct {
	addr, target string

	mu            sync.Mutex
	changed       *sync.Cond       // uses mu; signalled when a field below changes, except pipes and stalledCopies
	listener      *net.TCPListener // nil while connections are refused
	impairments   []*Impairment
	pipes         map[*pipe]struct{}
	acceptPaused  bool       // the accept goroutine is paused
	stalledCopies int        // number of directions that hold data or an end of stream until a stall ends
	fillers       []net.Conn // connections that keep the backlog full during a stall; nil if there is no stall
	closed        bool
}

// Listen returns a Relay that listens on a free port of a host. The caller must Close it.
func Listen(host, target string) (*Relay, error) {
	r := &Relay{target: target, pipes: map[*pipe]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r.listener = listener.(*net.TCPListener)
	r.addr = listener.Addr().String()
	go r.accept()
	return r, nil
}

// Addr returns the address of the listener. It stays the same while the relay refuses connections.
func (r *Relay) Addr() string { return r.addr }

// Close closes the listener and resets all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	if r.listener != nil {
		r.listener.Close()
	}
	r.emptyBacklog()
	r.changed.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	pipes := make([]*pipe, 0, len(r.pipes))
	for p := range r.pipes {
		pipes = append(pipes, p)
	}
	r.mu.Unlock()
	for _, p := range pipes {
		p.reset()
	}
}

// Add applies an impairment until it is removed.
func (r *Relay) Add(i *Impairment) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.impairments = append(r.impairments, i)
	return r.updateListener()
}

// Remove ends an impairment. It does nothing if the impairment was not added.
func (r *Relay) Remove(i *Impairment) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.impairments, i); at >= 0 {
		r.impairments = slices.Delete(r.impairments, at, at+1)
	}
	return r.updateListener()
}

// anyImpairment reports whether any impairment matches. The caller must hold r.mu.
func (r *Relay) anyImpairment(matches func(*Impairment) bool) bool {
	return slices.ContainsFunc(r.impairments, matches)
}
