//go:build interleave

// Package checkedsync provides the synchronization types for code that package modelcheck checks.
package checkedsync

import "umberbank/internal/modelcheck"

// The types of the checker.
type (
	// Mutex is a mutex under the checker.
	Mutex = modelcheck.Mutex
	// RWMutex is a readers-writer mutex under the checker.
	RWMutex = modelcheck.RWMutex
	// Bool is an atomic boolean under the checker.
	Bool = modelcheck.Bool
	// Int64 is an atomic integer under the checker.
	Int64 = modelcheck.Int64
	// Pointer is an atomic pointer under the checker.
	Pointer[T any] = modelcheck.Pointer[T]
)
