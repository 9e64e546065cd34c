// Package bodybudget bounds the memory that the bodies of requests and responses hold in a node, and says how long bodies may
// be.
package bodybudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

const (
	// MaxBufferedBytes is the most of one body that is buffered, either way. What follows of a longer one is passed on as it
	// comes.
	MaxBufferedBytes = 64 << 10
	// MaxBodyBytes is the longest that a body may be, either way.
	MaxBodyBytes = 32 << 20

	// uncountedBytes is the length up to which a body counts as a part of its connection's own buffers.
	uncountedBytes = 4 << 10
	// memoryFraction is the part of the process's memory limit that bodies may hold.
	memoryFraction = 0.25
	// defaultBytes is what bodies may hold where the process has no memory limit.
	defaultBytes = 16 << 20
)

// Budget bounds what bodies hold. Requests and responses have a half each: a request keeps its body until its response has
// come, and must not keep the response from coming. Any goroutine may use it.
type Budget struct {
	Requests, Responses *Limiter
}

// Limiter is the half of a Budget for one direction.
type Limiter struct{ free *semaphore.Weighted }

// New returns a budget of so many bytes, but of no less than one body of MaxBufferedBytes each way.
func New(bytes int64) *Budget {
	half := max(bytes/2, MaxBufferedBytes)
	return &Budget{&Limiter{semaphore.NewWeighted(half)}, &Limiter{semaphore.NewWeighted(half)}}
}

// ForMemory returns the budget under a memory limit in MiB; 0: there is none. Where the process can be replaced while it
// serves, shared is true: two processes share the limit for a while.
func ForMemory(limitMB float64, shared bool) *Budget {
	bytes := int64(defaultBytes)
	if limitMB > 0 {
		bytes = int64(limitMB * memoryFraction * (1 << 20))
	}
	if shared {
		bytes /= 2
	}
	return New(bytes)
}

// Reserve takes capacity for a body of the given length in bytes, -1 if it is not known, or for the part of it that is ever buffered.
// It waits until there is capacity or ctx ends, whose error it then returns.
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
