package fault

import (
	"slices"
	"time"

	"umberbank/internal/lab/scenario"
)

// Event is one fault of the timetable with what it hits.
type Event struct {
	*scenario.Fault
	Start, End time.Duration // End is From if it does not last
	Nodes      []int         // hit, or whose links are
	Servers    []int
	Replicas   []int      // of the registry
	pairs      [][2][]int // of a cut: nodes and servers that lose each other
	intoZone   []bool     // whether such a pair leads into the zone
	seed       uint64
}

// Schedule draws the timetable, in the order of time.
func Schedule(site *scenario.Site) []*Event {
	var l []*Event
	r := scenario.NewRand(site.Seed, "faults")
	for i := range site.Faults {
		f := &site.Faults[i]
		for n := range max(1, f.Repetitions) {
			from := f.At.Std() + time.Duration(n)*f.Interval.Std()
			e := &Event{Fault: f, Start: from, End: from + f.Duration.Std(), seed: r.Uint64()}
			e.selectTargets(site, r)
			l = append(l, e)
		}
	}
	slices.SortStableFunc(l, func(a, b *Event) int { return int(a.Start - b.Start) })
	return l
}
