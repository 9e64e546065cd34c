// Package relay forwards TCP connections between two processes on loopback and impairs them as a network may: it delays,
// stalls and slows their bytes, refuses new connections and resets established ones. Bytes that it forwards are complete and
// in order.
//
// A stalled direction loses nothing for good: as with TCP over a link that comes back, the bytes arrive when the stall ends,
// also those of a side that has closed by then. A side that has reset its connection takes back what the stall held, as its
// kernel has dropped it. While a relay stalls, no new connection is established.
package relay

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Impairment is what a link does to its connections. Several may apply at once: their delays add up, the lowest rate counts,
// and one stall is enough.
type Impairment struct {
	// Delay is added to each read, with a uniformly drawn part of Jitter.
	Delay, Jitter time.Duration
	// Stall holds all bytes until the impairment is removed.
	Stall bool
	// Refuse refuses new connections; established ones go on.
	Refuse bool
	// BytesPerSecond limits the rate; 0: no limit.
	BytesPerSecond int
	// ToTarget and FromTarget select the directions in which the rest, but for Refuse, applies.
	ToTarget, FromTarget bool
}

// Relay listens at an address and forwards connections to a target. Its methods may be called by any goroutine.
type Relay struct {
	addr, target string

	mu            sync.Mutex
	changed       *sync.Cond       // with mu: anything below has changed
	listener      *net.TCPListener // nil while connections are refused
	impairments   []*Impairment
	pipes         map[*pipe]struct{}
	acceptPaused  bool       // the accepting goroutine waits and accepts nothing
	stalledCopies int        // directions that wait for a stall to end, with bytes or an end of stream to forward
	fillers       []net.Conn // connections that keep the backlog full; not nil: connections are not established
	closed        bool
}

// Listen returns a Relay on a free port of a host. The caller must Close it.
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

// Addr returns the address that the relay listens at, also while it refuses connections.
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

// Remove ends an impairment. It does nothing if the impairment does not apply.
func (r *Relay) Remove(i *Impairment) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.impairments, i); at >= 0 {
		r.impairments = slices.Delete(r.impairments, at, at+1)
	}
	return r.updateListener()
}

// anyImpairment reports whether some impairment matches. r.mu is held.
func (r *Relay) anyImpairment(matches func(*Impairment) bool) bool {
	return slices.ContainsFunc(r.impairments, matches)
}
