package scenario

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// NewRand returns a source of randomness for a purpose. What it draws depends on the seed and the purpose alone, and on nothing
// that is drawn elsewhere.
func NewRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// Draw draws a value uniformly from a range.
func Draw[T float64 | Duration](r *rand.Rand, span []T) T {
	return span[0] + T(r.Float64()*float64(span[1]-span[0]))
}
