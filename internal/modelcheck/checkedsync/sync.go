//go:build !interleave

// Package checkedsync provides the synchronization types for code that package modelcheck checks. They are the types of sync and
// sync/atomic. Under the build tag interleave they are those of modelcheck, which synchronize only the threads of a
// modelcheck.Execution.
package checkedsync

import (
	"sync"
	"sync/atomic"
)

// The types of the standard library.
type (
	// Mutex is a sync.Mutex.
	Mutex = sync.Mutex
	// RWMutex is a sync.RWMutex.
	RWMutex = sync.RWMutex
	// Bool is an atomic.Bool.
	Bool = atomic.Bool
	// Int64 is an atomic.Int64.
	Int64 = atomic.Int64
	// Pointer is an atomic.Pointer.
	Pointer[T any] = atomic.Pointer[T]
)
