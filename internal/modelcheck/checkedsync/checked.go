//go:build interleave

package checkedsync

import "umberbank/internal/modelcheck"

// The types, as the checker has them.
type (
	Mutex          = modelcheck.Mutex
	RWMutex        = modelcheck.RWMutex
	Bool           = modelcheck.Bool
	Int64          = modelcheck.Int64
	Pointer[T any] = modelcheck.Pointer[T]
)
