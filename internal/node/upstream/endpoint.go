package upstream

import (
	"sync/atomic"
	"time"
)

// Endpoint is the target of connections: one process of a listed server at one address. A process that
// restarts or moves to another address is a new Endpoint.
type Endpoint struct {
	Addr      string        // host:port
	StartTime time.Duration // when the process started, in Unix time
	ready     atomic.Bool
}

// NewEndpoint returns an endpoint that is not ready.
func NewEndpoint(addr string, startTime time.Duration) *Endpoint {
	return &Endpoint{Addr: addr, StartTime: startTime}
}

// SetReady sets whether the endpoint is ready according to the endpoint list. Nothing is sent to an
// endpoint that is not ready.
func (e *Endpoint) SetReady(ready bool) { e.ready.Store(ready) }

// Ready reports whether the endpoint is ready according to the endpoint list.
func (e *Endpoint) Ready() bool { return e.ready.Load() }
