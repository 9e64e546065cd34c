package traffic

import (
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

const (
	// maxArrivalStep is the longest gap to the next arrival that is used as drawn. After a longer one the gap is drawn again,
	// with the rate at that time, so that a burst takes effect soon.
	maxArrivalStep = 50 * time.Millisecond
	// minRate is the lowest rate of arrivals, in requests per second. It keeps the gaps finite.
	minRate = 1e-3
)

// Clients simulates the clients that send the requests of a run. Its methods must be called on the loop. Create it with New.
type Clients struct {
	world    *model.World
	frontend *Frontend
	report   func(Result)
	until    time.Duration // no request arrives at this time or later

	arrivals         *rand.Rand
	nextID           uint64
	started, pending int

	// Faults. Several of a kind may apply at the same time.
	burstFactors []float64
	heavyClasses []heavyClass
}

// heavyClass is a fault that multiplies the work of a fraction of a class's requests by a factor.
type heavyClass struct {
	class            int // negative for all classes
	fraction, factor float64
}

// New returns the clients of a world. They call report on the loop with the result of each request.
func New(w *model.World, f *Frontend, report func(Result)) *Clients {
	return &Clients{
		world:    w,
		frontend: f,
		report:   report,
		until:    w.Site.Duration.Std(),
		arrivals: scenario.NewRand(w.Site.Seed, "arrivals"),
	}
}

// Start schedules the first arrival. Each arrival schedules the next one.
func (c *Clients) Start() { c.scheduleNext(c.world.Loop.Now()) }

// Started returns the number of requests that have arrived.
func (c *Clients) Started() int { return c.started }

// Pending returns the number of requests that have not ended.
func (c *Clients) Pending() int { return c.pending }

// SetBurst multiplies the rate of arrivals by a factor, or ends that fault.
func (c *Clients) SetBurst(factor float64, on bool) {
	c.burstFactors = setPresent(c.burstFactors, factor, on)
}

// SetHeavy multiplies the work of a fraction of a class's requests by a factor, or ends that fault. A negative class means all
// classes.
func (c *Clients) SetHeavy(class int, fraction, factor float64, on bool) {
	c.heavyClasses = setPresent(c.heavyClasses, heavyClass{class, fraction, factor}, on)
}

// setPresent appends a value to a list, or removes its first occurrence.
func setPresent[T comparable](list []T, value T, present bool) []T {
	if present {
		return append(list, value)
	}
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// scheduleNext draws and schedules the next arrival after a time. The draws do not depend on any response.
func (c *Clients) scheduleNext(after time.Duration) {
	if after >= c.until {
		return
	}
	gap := time.Duration(c.arrivals.ExpFloat64() / c.rate(after) * float64(time.Second))
	if gap > maxArrivalStep { // draw again from there, as the exponential distribution is memoryless
		at := after + maxArrivalStep
		c.world.Loop.At(at, func() { c.scheduleNext(at) })
		return
	}
	if at := after + gap; at < c.until {
		c.world.Loop.At(at, func() { c.begin(at) })
	}
}

// rate returns the rate of arrivals at a time, in requests per second.
func (c *Clients) rate(at time.Duration) float64 {
	load := &c.world.Site.Load
	rate := load.Rate * (1 + load.RateSwing*(2*float64(at)/float64(c.until)-1))
	for _, factor := range c.burstFactors {
		rate *= factor
	}
	return max(rate, minRate)
}

// drawClass draws the index of a class with probabilities proportional to the weights of the classes.
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
