package upstream

import (
	"sync/atomic"
	"time"
)

// Endpoint is a listed server as connections know it: one process at one address. A process that starts anew or moves is another
// Endpoint.
type Endpoint struct {
	Addr      string        // host:port
	StartTime time.Duration // Unix time
	ready     atomic.Bool
}

// NewEndpoint returns an endpoint that is not ready.
func NewEndpoint(addr string, startTime time.Duration) *Endpoint {
	return &Endpoint{Addr: addr, StartTime: startTime}
}

// SetReady says whether the endpoint list has the endpoint as ready. Nothing is sent to one that is not.
func (e *Endpoint) SetReady(ready bool) { e.ready.Store(ready) }

// Ready reports whether the endpoint list has the endpoint as ready.
func (e *Endpoint) Ready() bool { return e.ready.Load() }
