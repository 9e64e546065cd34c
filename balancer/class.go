package balancer

import (
	"math"
	"time"
)

const (
	// arrivalDecay is the factor by which the counts of every class are multiplied when a request
	// arrives.
	arrivalDecay = 0.99
	// classSmoothing is the weight of a new sample in an average over all endpoints. Such an average
	// covers about 16 samples.
	classSmoothing = 0.06
	// overdueDeviations is the number of mean deviations above the mean latency at which a response
	// is overdue.
	overdueDeviations = 3.0
	// The initial mean latency is the latency objective divided by initialLatencyDivisor. The initial
	// deviation is the latency objective divided by initialDeviationDivisor.
	initialLatencyDivisor   = 4
	initialDeviationDivisor = 8
)

// classState is a class of requests with its measurements.
type classState struct {
	Class
	meanLatency      float64 // of successful attempts, in ns
	latencyDeviation float64 // mean absolute deviation, in ns
	meanCost         float64 // mean cost hint, in ns; an absent hint counts as zero
	arrivals         float64 // decayed count of requests
	onTime           float64 // decayed count of responses within the latency objective
	longestTimeout   time.Duration
}

func newClassState(c Class) *classState {
	objective := float64(c.LatencyObjective)
	return &classState{
		Class:            c,
		meanLatency:      objective / initialLatencyDivisor,
		latencyDeviation: objective / initialDeviationDivisor,
	}
}

// recordLatency records a successful attempt with its latency and the cost hint of its request,
// both in ns.
func (c *classState) recordLatency(latency, costHint float64) {
	if c.meanCost == 0 {
		c.meanCost = costHint
	}
	c.meanCost += classSmoothing * (costHint - c.meanCost)
	c.latencyDeviation += classSmoothing * (math.Abs(latency-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += classSmoothing * (latency - c.meanLatency)
}

// overdueAfter returns the wait, in ns, after which a response is overdue. Most responses of the
// class take much less.
func (c *classState) overdueAfter() float64 {
	return c.meanLatency + overdueDeviations*c.latencyDeviation
}

// classTable holds the classes of the settings and a default class for requests of any other class.
type classTable struct {
	byName  map[string]*classState
	ordered []*classState // in the order of the settings, followed by the default class
}

func newClassTable(classes []Class) classTable {
	t := classTable{byName: map[string]*classState{}}
	longest := classes[0]
	for _, c := range classes {
		t.add(c)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	// The zero value of Effect makes requests of unknown classes non-idempotent.
	t.add(Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	})
	return t
}

func (t *classTable) add(c Class) {
	state := newClassState(c)
	t.byName[c.Name] = state
	t.ordered = append(t.ordered, state)
}

// find returns the class with the given name, or the default class if there is none.
func (t *classTable) find(name string) *classState {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.ordered[len(t.ordered)-1]
}

// recordArrival counts a request of class c and decays the counts of earlier requests.
func (t *classTable) recordArrival(c *classState) {
	for _, each := range t.ordered {
		each.arrivals *= arrivalDecay
		each.onTime *= arrivalDecay
	}
	c.arrivals++
}

// inherit copies the measurements of the classes that had the same names under the previous
// settings. arrivals is the decayed count of requests of those classes. weighted is the same count
// with each class multiplied by its old latency objective / its new one. A utilization under the old
// objectives times weighted / arrivals is the utilization under the new ones.
func (t *classTable) inherit(previous classTable) (weighted, arrivals float64) {
	for _, c := range t.ordered { // in a fixed order, because floating-point sums depend on it
		old := previous.byName[c.Name]
		if old == nil {
			continue
		}
		class := c.Class
		*c = *old
		c.Class = class
		if class.Deadline != old.Deadline {
			c.longestTimeout = 0
		}
		arrivals += old.arrivals
		weighted += old.arrivals * float64(old.LatencyObjective) / float64(class.LatencyObjective)
	}
	return weighted, arrivals
}

// reconfigure applies new settings. Requests that were accepted earlier keep their class as it was.
// Invalid settings are ignored.
func (b *Balancer) reconfigure(settings Settings) {
	if settings.Validate() != nil {
		return
	}
	previous := b.classes
	b.settings = settings
	b.classes = newClassTable(settings.Classes)
	if weighted, arrivals := b.classes.inherit(previous); arrivals > 0 {
		b.limiter.rescaleUtilization(weighted, arrivals)
	}
	b.endpoints.rebuild(nil)
	b.dispatchPending()
}
