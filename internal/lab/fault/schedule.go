package fault

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/scenario"
)

// Event is one occurrence of a fault, with the targets drawn for it.
type Event struct {
	*scenario.Fault
	Start, End time.Duration // they are equal if the fault has no duration
	Nodes      []int         // nodes that are hit, or whose links are hit
	Servers    []int
	Replicas   []int // of the registry

	partitioned []links // links across a partition; nil for other faults
	seed        uint64  // seed of the draws that are made when the fault begins
}

// links are all links from some nodes to some servers.
type links struct {
	nodes, servers []int
	outbound       bool // the links lead out of the partitioned zone or region
}

// Schedule returns the occurrences of a site's faults in chronological order, with their targets drawn from the site's seed.
func Schedule(site *scenario.Site) []*Event {
	var events []*Event
	r := scenario.NewRand(site.Seed, "faults")
	for i := range site.Faults {
		fault := &site.Faults[i]
		for n := range max(1, fault.Repetitions) {
			events = append(events, newEvent(site, fault, n, r))
		}
	}
	slices.SortStableFunc(events, func(a, b *Event) int { return cmp.Compare(a.Start, b.Start) })
	return events
}

// newEvent returns the nth occurrence of a fault.
func newEvent(site *scenario.Site, fault *scenario.Fault, n int, r *rand.Rand) *Event {
	start := fault.At.Std() + time.Duration(n)*fault.Interval.Std()
	e := &Event{Fault: fault, Start: start, End: start + fault.Duration.Std(), seed: r.Uint64()}
	e.selectTargets(site, r)
	return e
}
