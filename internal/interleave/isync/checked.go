//go:build interleave

package isync

import "hollyspur/internal/interleave"

// The types, as the checker has them.
type (
	Mutex          = interleave.Mutex
	RWMutex        = interleave.RWMutex
	Bool           = interleave.Bool
	Int64          = interleave.Int64
	Pointer[T any] = interleave.Pointer[T]
)
