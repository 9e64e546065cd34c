package balancer

import (
	"math"
	"time"
)

const (
	// arrivalDecay is the factor on every class's counts with each request that arrives.
	arrivalDecay = 0.99
	// classSmoothing is the weight of a new sample in averages over all endpoints (about 16 samples).
	classSmoothing = 0.06
	// overdueDeviations is how many mean deviations above the mean latency an answer is overdue.
	overdueDeviations = 3.0
	// Before the first sample, the mean latency and its deviation are these fractions of the objective.
	initialLatencyDivisor   = 4
	initialDeviationDivisor = 8
)

// classState is a class of requests and what was measured of it.
type classState struct {
	Class
	meanLatency      float64 // of successes, in ns
	latencyDeviation float64 // mean absolute deviation, in ns
	meanCost         float64 // mean cost hint, in ns; 0: none yet
	arrivals         float64 // decayed count of requests
	onTime           float64 // decayed count of answers within the latency objective
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

// recordLatency adds a success that took latency, in ns, for a request with a cost hint.
func (c *classState) recordLatency(latency, costHint float64) {
	if c.meanCost == 0 {
		c.meanCost = costHint
	}
	c.meanCost += classSmoothing * (costHint - c.meanCost)
	c.latencyDeviation += classSmoothing * (math.Abs(latency-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += classSmoothing * (latency - c.meanLatency)
}

// overdueAfter is the wait for an answer that most of the class's answers stay well under, in ns.
func (c *classState) overdueAfter() float64 {
	return c.meanLatency + overdueDeviations*c.latencyDeviation
}

// classTable holds the classes of the settings and one more, for requests of any other class.
type classTable struct {
	byName  map[string]*classState
	ordered []*classState // as in the settings; the class for all others is the last
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
	// The zero Effect makes requests of unknown classes non-idempotent.
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

// find returns the class of a name, or the one for all others.
func (t *classTable) find(name string) *classState {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.ordered[len(t.ordered)-1]
}

// recordArrival counts a request of class c and lets older ones fade.
func (t *classTable) recordArrival(c *classState) {
	for _, each := range t.ordered {
		each.arrivals *= arrivalDecay
		each.onTime *= arrivalDecay
	}
	c.arrivals++
}

// inherit takes over what was measured of classes that had the same names under earlier settings. It
// returns the arrivals of those classes and their sum weighted with the old latency objective over the
// new one: the quotient converts fractions of the old objectives into fractions of the new ones.
func (t *classTable) inherit(previous classTable) (weighted, arrivals float64) {
	for _, c := range t.ordered { // in a fixed order, as the sums of floats depend on it
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

// reconfigure puts new settings in force. Requests in hand keep their class as it was. Invalid settings
// change nothing.
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
