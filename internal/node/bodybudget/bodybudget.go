// Package bodybudget limits the memory that the bodies of requests and responses hold in a node, and
// defines the maximum length of a body.
package bodybudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

const (
	// MaxBufferedBytes is the maximum number of bytes of one body that are buffered, in either
	// direction. The rest of a longer body is streamed.
	MaxBufferedBytes = 64 << 10
	// MaxBodyBytes is the maximum length of a body in either direction.
	MaxBodyBytes = 32 << 20

	// uncountedBytes is the length up to which a body needs no reservation. Such a body counts as part
	// of its connection's own buffers.
	uncountedBytes = 4 << 10
	// maxMemoryFraction is the maximum fraction of the process's memory limit that bodies may hold, and
	// minMemoryFraction the minimum. In between, bodies get spareFraction of what is left after
	// baseMB, which is for the program itself and its connections.
	maxMemoryFraction = 0.25
	minMemoryFraction = 0.125
	spareFraction     = 0.5
	baseMB            = 24
	// defaultBytes is the budget of a process without a memory limit.
	defaultBytes = 16 << 20
)

// Budget limits the memory that bodies hold. Requests and responses have one half each, because a
// request holds its body until its response has arrived: with a common limit, requests that hold all
// capacity would block the responses that they wait for. A Budget is safe for concurrent use.
type Budget struct {
	Requests, Responses *Limiter
}

// Limiter is the half of a Budget for one direction.
type Limiter struct{ free *semaphore.Weighted }

// New returns a budget of the given number of bytes, but at least MaxBufferedBytes for each direction.
func New(bytes int64) *Budget {
	half := max(bytes/2, MaxBufferedBytes)
	return &Budget{&Limiter{semaphore.NewWeighted(half)}, &Limiter{semaphore.NewWeighted(half)}}
}

// ForMemory returns the budget for a memory limit in MiB, which is zero if there is no limit. shared is
// true if the process can be replaced while it serves. The budget is then half as large, because the old
// and the new process share the memory limit during the replacement.
func ForMemory(limitMB float64, shared bool) *Budget {
	bytes := int64(defaultBytes)
	if limitMB > 0 {
		spare := spareFraction * (limitMB - baseMB)
		bytes = int64(min(limitMB*maxMemoryFraction, max(limitMB*minMemoryFraction, spare)) * (1 << 20))
	}
	if shared {
		bytes /= 2
	}
	return New(bytes)
}

// Reserve reserves capacity for a body of the given length in bytes, -1 if the length is unknown. It
// reserves at most MaxBufferedBytes, as no more of a body is buffered. It blocks until there is
// capacity or ctx ends, and returns the error of ctx in that case.
func (p *Limiter) Reserve(ctx context.Context, length int64) (release func(), err error) {
	if length < 0 || length > MaxBufferedBytes {
		length = MaxBufferedBytes
	}
	if length <= uncountedBytes {
		return func() {}, nil
	}
	if err := p.free.Acquire(ctx, length); err != nil {
		return nil, err
	}
	return func() { p.free.Release(length) }, nil
}
