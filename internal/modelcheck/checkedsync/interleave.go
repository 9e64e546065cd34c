//go:build interleave

// Package checkedsync provides the synchronization types for code that package modelcheck checks. Under the build tag interleave
// they are the types of modelcheck, which synchronize only the threads of a modelcheck.Execution.
package checkedsync

import "umberbank/internal/modelcheck"

// The types of package modelcheck.
type (
	// Mutex is a modelcheck.Mutex.
	Mutex = modelcheck.Mutex
	// RWMutex is a modelcheck.RWMutex.
	RWMutex = modelcheck.RWMutex
	// Bool is a modelcheck.Bool.
	Bool = modelcheck.Bool
	// Int64 is a modelcheck.Int64.
	Int64 = modelcheck.Int64
	// Pointer is a modelcheck.Pointer.
	Pointer[T any] = modelcheck.Pointer[T]
)
