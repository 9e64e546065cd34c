//go:build !interleave

// Package checkedsync is what code synchronises by that is checked by package interleave. Its types are those of sync and
// sync/atomic; under the build tag interleave they are the checker's, and only tests that run under it work.
package checkedsync

import (
	"sync"
	"sync/atomic"
)

// The types, as the standard library has them.
type (
	Mutex          = sync.Mutex
	RWMutex        = sync.RWMutex
	Bool           = atomic.Bool
	Int64          = atomic.Int64
	Pointer[T any] = atomic.Pointer[T]
)
