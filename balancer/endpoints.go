package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// firstGroupFraction is the share of the shared order that makes up the first group of the pick.
	firstGroupFraction = 0.5
	// minSubset is the least number of endpoints that a replica sends first attempts to.
	minSubset = 4
	// subsetMultiple is how many times its fair share of the endpoints a replica's subset has at least.
	subsetMultiple = 3.0
)

// endpoint is a listed endpoint, or one that left the list with attempts still active.
type endpoint struct {
	Endpoint
	listed      bool
	secondGroup bool // of the two groups of the pick
	rank        int  // in the shared order
	reordering  bool // its place in the shared order is to be found anew

	activeAttempts int        // until their Outcome
	awaited        []*attempt // those of them whose response has not started, in order of sending

	// Outlier detection.
	suspect              bool // it is among the outlierDetector's suspects
	consecutiveFailures  int
	consecutiveSuccesses int
	ejectionLevel        int // doublings of the next ejection
	ejectedUntil         time.Duration
	lastSuccess          time.Duration
	slowness             float64 // mean log of latency over the expected one
	latencySamples       int

	// Capacity shown by rejections.
	consecutiveRejections int
	rejectionLimit        int // attempts that were active when it rejected one more
	rejectionLimitUntil   time.Duration

	// Slow start; see withinWarmupBudget.
	warmupBudget      int // attempts that may still be sent before warmupBudgetUntil
	warmupBudgetUntil time.Duration
}

// restart forgets all that was known of the endpoint's earlier process, but for what is still active.
func (e *endpoint) restart() {
	*e = endpoint{activeAttempts: e.activeAttempts, awaited: e.awaited, suspect: e.suspect}
}

// stopAwaiting removes an attempt from those whose response has not started; it returns false if the
// attempt is not among them.
func (e *endpoint) stopAwaiting(a *attempt) bool {
	i := slices.Index(e.awaited, a)
	if i < 0 {
		return false
	}
	e.awaited = append(e.awaited[:i], e.awaited[i+1:]...)
	return true
}

// endpointSet holds the endpoints that discovery has named, and those of them that attempts may be sent to.
type endpointSet struct {
	settings *Settings
	byID     map[string]*endpoint
	ready    []*endpoint // in the shared order
	subset   []*endpoint // those that this replica's attempts go to first, in the shared order

	// Of the subset.
	maxWeight  float64
	meanWeight float64
}

func newEndpointSet(settings *Settings) endpointSet {
	return endpointSet{settings: settings, byID: map[string]*endpoint{}}
}

// applyUpdate applies a change of the endpoint list.
func (b *Balancer) applyUpdate(e EndpointUpdate) {
	if e.Full {
		b.endpoints.unlistAll()
	}
	var changed []*endpoint
	for _, entry := range e.Endpoints {
		changed = append(changed, b.applyEntry(entry))
	}
	if e.Full {
		changed = nil // all may have changed
	}
	b.endpoints.rebuild(changed)
	if b.limiter.limit == 0 {
		b.setInitialLimit()
	}
	if e.Full && !e.Cached {
		b.restored = nil // an endpoint that is added from now on is new
	}
	if e.Cached {
		b.scheduleSubscribe()
	} else {
		b.discovery.failures = 0
	}
	b.dispatchPending()
}

// applyEntry applies one entry of the endpoint list. A new start time means another process.
func (b *Balancer) applyEntry(entry Endpoint) *endpoint {
	e := b.endpoints.byID[entry.ID]
	isNew := e == nil
	if isNew {
		e = &endpoint{}
		b.endpoints.byID[entry.ID] = e
	} else if e.StartTime != entry.StartTime {
		e.restart()
	}
	e.Endpoint = entry
	e.listed = entry.State != Removed
	if isNew {
		b.restoreEndpoint(e)
	}
	return e
}

// unlistAll treats every endpoint as removed until an update lists it.
func (s *endpointSet) unlistAll() {
	for _, e := range s.byID {
		e.listed = false
	}
}

// removeUnused forgets an endpoint that has left the list, once no attempt is active.
func (s *endpointSet) removeUnused(e *endpoint) {
	if !e.listed && e.activeAttempts == 0 && s.byID[e.ID] == e {
		delete(s.byID, e.ID)
	}
}

// rebuild puts the ready endpoints in order, divides them into groups and selects this replica's subset.
// changed are the endpoints that an update named; nil: all may have changed.
func (s *endpointSet) rebuild(changed []*endpoint) {
	if changed == nil {
		s.ready = s.ready[:0]
		changed = slices.Collect(maps.Values(s.byID))
	}
	for _, e := range changed {
		e.reordering = true
	}
	unchanged := slices.DeleteFunc(s.ready, func(e *endpoint) bool { return e.reordering })
	var added []*endpoint
	for _, e := range changed {
		if !e.reordering {
			continue // the update names it twice
		}
		e.reordering = false
		s.removeUnused(e)
		if e.listed && e.State == Ready {
			added = append(added, e)
		}
	}
	slices.SortFunc(added, s.compare)
	s.ready = s.merge(unchanged, added)
	s.divide()
	s.subset = s.selectSubset()
	s.measureWeights()
}

// compare is the shared order, which all replicas agree on: the heavier first, so that a subset has
// endpoints of each weight and ties of the pick go to the heavier.
func (s *endpointSet) compare(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(s.weight(y), s.weight(x)), cmp.Compare(x.Cell, y.Cell), cmp.Compare(x.ID, y.ID))
}

// merge merges two lists in the shared order. The result uses the memory of unchanged.
func (s *endpointSet) merge(unchanged, added []*endpoint) []*endpoint {
	merged := append(unchanged, added...)
	i, j := len(unchanged)-1, len(added)-1
	for k := len(merged) - 1; j >= 0; k-- {
		if i >= 0 && s.compare(unchanged[i], added[j]) > 0 {
			merged[k] = unchanged[i]
			i--
		} else {
			merged[k] = added[j]
			j--
		}
	}
	return merged
}

// divide numbers the ready endpoints and divides them into the two groups of the pick.
func (s *endpointSet) divide() {
	firstGroup := int(math.Ceil(firstGroupFraction * float64(len(s.ready))))
	for i, e := range s.ready {
		e.rank, e.secondGroup = i, i >= firstGroup
	}
}

// selectSubset selects a few endpoints, spread evenly over the shared order, such that every endpoint is in
// the subsets of equally many replicas. Hundreds of replicas that each used the whole list would know
// nothing of any endpoint, and would fill its connection table.
func (s *endpointSet) selectSubset() []*endpoint {
	ready, replicas := len(s.ready), s.settings.Replicas
	size := max(minSubset, int(math.Ceil(subsetMultiple*s.perReplica())))
	if size >= ready || replicas <= 1 {
		return s.ready
	}
	subset := make([]*endpoint, 0, size)
	step := 1
	for block := range size {
		// Each block of the order permutes the replicas in its own way, as otherwise fixed groups of
		// replicas would share their endpoints. A step that has a common divisor with their number would
		// put some endpoints into more subsets than others.
		position := (float64(s.settings.ReplicaIndex*step%replicas) + 0.5) / float64(replicas)
		for step++; gcd(step, replicas) > 1; step++ {
		}
		subset = append(subset, s.ready[int((float64(block)+position)*float64(ready)/float64(size))])
	}
	return subset
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// measureWeights finds the greatest and the mean weight of the subset.
func (s *endpointSet) measureWeights() {
	s.maxWeight, s.meanWeight = 0, 0
	for _, e := range s.subset {
		s.maxWeight = max(s.maxWeight, s.weight(e))
		s.meanWeight += s.weight(e) / float64(len(s.subset))
	}
}

// weight is an endpoint's capacity in proportion to others', where the list tells it, else 1.
func (s *endpointSet) weight(e *endpoint) float64 {
	kind := s.settings.WeightKind
	if e.Weight > 0 && (kind == WeightNominal || kind == WeightApproximate) {
		return e.Weight
	}
	return 1
}

// perReplica is how many ready endpoints there are for each replica of this tier.
func (s *endpointSet) perReplica() float64 {
	return float64(len(s.ready)) / float64(max(1, s.settings.Replicas))
}
