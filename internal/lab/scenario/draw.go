package scenario

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// NewRand is a source of randomness for one purpose, the same for the same seed wherever else is drawn.
func NewRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// Draw draws a value between the least and the most.
func Draw[T float64 | Duration](r *rand.Rand, span []T) T {
	return span[0] + T(r.Float64()*float64(span[1]-span[0]))
}
