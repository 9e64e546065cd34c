package traffic

import (
	"math/rand/v2"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

// Clients ask, wait and retry. They belong to the loop.
type Clients struct {
	world  *model.World
	front  *Front
	report func(Result)

	arrivals         *rand.Rand
	burstFactors     []float64
	heavyClasses     []heavyClass
	started, pending int
	nextID           uint64
	until            time.Duration
}

type heavyClass struct {
	class            int
	fraction, factor float64
}

// New returns clients that report each request's end.
func New(w *model.World, f *Front, report func(Result)) *Clients {
	return &Clients{world: w, front: f, report: report, until: w.Site.Duration.Std(),
		arrivals: scenario.NewRand(w.Site.Seed, "arrivals")}
}

// Started is how many requests were begun, and Open how many have not ended.
func (c *Clients) Started() int { return c.started }

// Pending is how many requests have not ended.
func (c *Clients) Pending() int { return c.pending }

// SetBurst multiplies the rate, or takes that off again.
func (c *Clients) SetBurst(factor float64, on bool) {
	if on {
		c.burstFactors = append(c.burstFactors, factor)
		return
	}
	for i, f := range c.burstFactors {
		if f == factor {
			c.burstFactors = append(c.burstFactors[:i:i], c.burstFactors[i+1:]...)
			return
		}
	}
}

// SetHeavy makes a share of one class's requests cost many times as much, or takes that off again.
func (c *Clients) SetHeavy(class int, share, factor float64, on bool) {
	h := heavyClass{class, share, factor}
	if on {
		c.heavyClasses = append(c.heavyClasses, h)
		return
	}
	for i, o := range c.heavyClasses {
		if o == h {
			c.heavyClasses = append(c.heavyClasses[:i:i], c.heavyClasses[i+1:]...)
			return
		}
	}
}

// Start plans the first arrival; each plans the next.
func (c *Clients) Start() { c.scheduleNext(c.world.Loop.Now()) }

// maxArrivalStep bounds the gap that is drawn at one rate, so that a burst is felt soon.
const maxArrivalStep = 50 * time.Millisecond

// scheduleNext draws the next arrival after a moment. The draw depends on no answer.
func (c *Clients) scheduleNext(after time.Duration) {
	if after >= c.until {
		return
	}
	gap := time.Duration(c.arrivals.ExpFloat64() / c.rate(after) * float64(time.Second))
	if gap > maxArrivalStep { // the exponential has no memory
		at := after + maxArrivalStep
		c.world.Loop.At(at, func() { c.scheduleNext(at) })
	} else if at := after + gap; at < c.until {
		c.world.Loop.At(at, func() { c.begin(at) })
	}
}

// rate is the requests a second at a moment.
func (c *Clients) rate(at time.Duration) float64 {
	l := &c.world.Site.Load
	r := l.Rate * (1 + l.RateSwing*(2*float64(at)/float64(c.until)-1))
	for _, f := range c.burstFactors {
		r *= f
	}
	return max(r, 1e-3)
}
