package traffic

import (
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

const (
	// maxArrivalStep bounds the gap to the next arrival that is drawn at one rate, so that a burst takes effect soon.
	maxArrivalStep = 50 * time.Millisecond
	// minRate keeps gaps finite, in requests a second.
	minRate = 1e-3
)

// Clients send the requests of a run. Their methods run on the loop.
type Clients struct {
	world  *model.World
	front  *Frontend
	report func(Result)
	until  time.Duration // no request arrives from then on

	arrivals         *rand.Rand
	nextID           uint64
	started, pending int

	// Faults; several of a kind may apply at once.
	burstFactors []float64
	heavyClasses []heavyClass
}

// heavyClass makes a fraction of a class's requests cost more work by a factor.
type heavyClass struct {
	class            int // negative: all classes
	fraction, factor float64
}

// New returns the clients of a world. They call report with the result of each request.
func New(w *model.World, f *Frontend, report func(Result)) *Clients {
	return &Clients{
		world:    w,
		front:    f,
		report:   report,
		until:    w.Site.Duration.Std(),
		arrivals: scenario.NewRand(w.Site.Seed, "arrivals"),
	}
}

// Start schedules the first arrival. Each arrival schedules the next.
func (c *Clients) Start() { c.scheduleNext(c.world.Loop.Now()) }

// Started returns the number of requests that have arrived.
func (c *Clients) Started() int { return c.started }

// Pending returns the number of requests that have not ended.
func (c *Clients) Pending() int { return c.pending }

// SetBurst multiplies the rate of arrivals by a factor, or ends that.
func (c *Clients) SetBurst(factor float64, on bool) {
	c.burstFactors = setPresent(c.burstFactors, factor, on)
}

// SetHeavy multiplies the work of a fraction of a class's requests by a factor, or ends that.
func (c *Clients) SetHeavy(class int, fraction, factor float64, on bool) {
	c.heavyClasses = setPresent(c.heavyClasses, heavyClass{class, fraction, factor}, on)
}

// setPresent adds a value to a list, or removes it once.
func setPresent[T comparable](list []T, value T, present bool) []T {
	if present {
		return append(list, value)
	}
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// scheduleNext draws the next arrival after a time. The draws depend on no answer.
func (c *Clients) scheduleNext(after time.Duration) {
	if after >= c.until {
		return
	}
	gap := time.Duration(c.arrivals.ExpFloat64() / c.rate(after) * float64(time.Second))
	if gap > maxArrivalStep { // draw anew from there: the exponential distribution is memoryless
		at := after + maxArrivalStep
		c.world.Loop.At(at, func() { c.scheduleNext(at) })
		return
	}
	if at := after + gap; at < c.until {
		c.world.Loop.At(at, func() { c.begin(at) })
	}
}

// rate returns the arrivals a second at a time.
func (c *Clients) rate(at time.Duration) float64 {
	load := &c.world.Site.Load
	rate := load.Rate * (1 + load.RateSwing*(2*float64(at)/float64(c.until)-1))
	for _, factor := range c.burstFactors {
		rate *= factor
	}
	return max(rate, minRate)
}

// drawClass draws a class by the weights.
func (c *Clients) drawClass(rng *rand.Rand) int {
	classes := c.world.Site.Classes
	sum := 0.0
	for i := range classes {
		sum += classes[i].Weight
	}
	x := rng.Float64() * sum
	for i := range classes {
		if x -= classes[i].Weight; x < 0 {
			return i
		}
	}
	return len(classes) - 1
}
