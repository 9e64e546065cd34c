package scenario

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// NewRand returns a random number generator for one purpose. Its sequence depends on the seed and the purpose alone, and not on
// draws for other purposes.
func NewRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// Draw returns a uniformly distributed value of a range, which must have two values, the minimum and the maximum.
func Draw[T float64 | Duration](r *rand.Rand, span []T) T {
	return span[0] + T(r.Float64()*float64(span[1]-span[0]))
}
