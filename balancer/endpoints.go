package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// firstGroupFraction is the fraction of the ready endpoints, from the start of the shared order,
	// that forms the first group of the pick.
	firstGroupFraction = 0.5
	// minSubset is the minimum number of endpoints in a replica's subset. A shorter list is used as
	// a whole.
	minSubset = 4
	// The subset of a replica has subsetMultiple times the number of ready endpoints per replica,
	// but at least minSubset.
	subsetMultiple = 3.0
)

// endpoint is an endpoint in the list, or one that has left the list while attempts were still
// active.
type endpoint struct {
	Endpoint
	listed      bool
	secondGroup bool // it is in the second group of the pick
	rank        int  // position in the shared order
	reordering  bool // its position in the shared order must be determined again

	activeAttempts int        // attempts whose Outcome has not arrived
	awaited        []*attempt // active attempts whose response has not started, ordered by sentAt

	// Outlier detection.
	possibleOutlier      bool // it is in outlierDetector.possibleOutliers
	consecutiveFailures  int
	consecutiveSuccesses int
	ejectionLevel        int // number of times that the duration of the next ejection is doubled
	ejectedUntil         time.Duration
	lastSuccess          time.Duration
	slowness             float64 // moving average of log(latency / expected latency)
	latencySamples       int

	// Concurrency limit derived from rejections.
	consecutiveRejections int
	rejectionLimit        int // attempts that were active when the endpoint rejected another one
	rejectionLimitUntil   time.Duration

	// Slow start; see withinWarmupBudget.
	warmupBudget      int // attempts left before warmupBudgetUntil; without meaning after it
	warmupBudgetUntil time.Duration
}

// restart discards the history of the endpoint's previous process. The active attempts are kept.
func (e *endpoint) restart() {
	*e = endpoint{activeAttempts: e.activeAttempts, awaited: e.awaited, possibleOutlier: e.possibleOutlier}
}

// stopAwaiting removes an attempt from the awaited ones. It returns false if the attempt is not
// among them.
func (e *endpoint) stopAwaiting(a *attempt) bool {
	i := slices.Index(e.awaited, a)
	if i < 0 {
		return false
	}
	e.awaited = append(e.awaited[:i], e.awaited[i+1:]...)
	return true
}

// endpointSet holds the endpoints reported by discovery, and those of them that attempts may be
// sent to.
type endpointSet struct {
	settings *Settings
	byID     map[string]*endpoint
	ready    []*endpoint // in the shared order
	subset   []*endpoint // endpoints that this replica prefers, in the shared order

	// Weights of the endpoints in the subset.
	maxWeight  float64
	meanWeight float64
}

func newEndpointSet(settings *Settings) endpointSet {
	return endpointSet{settings: settings, byID: map[string]*endpoint{}}
}

// applyUpdate applies an update of the endpoint list.
func (b *Balancer) applyUpdate(e EndpointUpdate) {
	if e.Full {
		b.endpoints.unlistAll()
	}
	var changed []*endpoint
	for _, entry := range e.Endpoints {
		changed = append(changed, b.applyEntry(entry))
	}
	if e.Full {
		changed = nil // any endpoint may have changed
	}
	b.endpoints.rebuild(changed)
	if b.limiter.limit == 0 {
		b.setInitialLimit()
	}
	if e.Full && !e.Cached {
		b.restored = nil // endpoints that are added later are new
	}
	if e.Cached {
		b.scheduleSubscribe()
	} else {
		b.discovery.failures = 0
	}
	b.dispatchPending()
}

// applyEntry applies one entry of the endpoint list. A changed start time means that the process
// was restarted.
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

// unlistAll marks every endpoint as removed until an update lists it again.
func (s *endpointSet) unlistAll() {
	for _, e := range s.byID {
		e.listed = false
	}
}

// removeUnused deletes an endpoint that has left the list and has no active attempts.
func (s *endpointSet) removeUnused(e *endpoint) {
	if !e.listed && e.activeAttempts == 0 && s.byID[e.ID] == e {
		delete(s.byID, e.ID)
	}
}

// rebuild sorts the ready endpoints, divides them into groups and selects this replica's subset.
// changed holds the endpoints named by an update; it is nil if any endpoint may have changed.
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
			continue // named twice in the update
		}
		e.reordering = false
		s.removeUnused(e)
		if e.listed && e.State == Ready {
			added = append(added, e)
		}
	}
	slices.SortFunc(added, s.compare)
	s.ready = s.merge(unchanged, added)
	s.assignGroups()
	s.subset = s.selectSubset()
	s.computeWeights()
}

// compare defines the shared order, which is the same on all replicas. Endpoints with a higher
// weight come first. A subset is spread evenly over the order, so it contains the common weights in
// about the same proportions as the list. The first group has the higher weights, so the pick resolves
// ties of busy endpoints in their favor.
func (s *endpointSet) compare(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(s.weight(y), s.weight(x)), cmp.Compare(x.Cell, y.Cell), cmp.Compare(x.ID, y.ID))
}

// merge merges two lists that are in the shared order. The result reuses the memory of unchanged.
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

// assignGroups assigns ranks to the ready endpoints and divides them into the two groups of the
// pick.
func (s *endpointSet) assignGroups() {
	firstGroup := int(math.Ceil(firstGroupFraction * float64(len(s.ready))))
	for i, e := range s.ready {
		e.rank, e.secondGroup = i, i >= firstGroup
	}
}

// selectSubset selects a few endpoints, spread evenly over the shared order, so that every endpoint
// is in the subsets of about the same number of replicas. If hundreds of replicas each used the
// whole list, each would have too few samples per endpoint, and their connections would fill the
// endpoints' connection tables.
func (s *endpointSet) selectSubset() []*endpoint {
	ready, replicas := len(s.ready), s.settings.Replicas
	size := max(minSubset, int(math.Ceil(subsetMultiple*s.perReplica())))
	if size >= ready || replicas <= 1 {
		return s.ready
	}
	subset := make([]*endpoint, 0, size)
	step := 1
	for block := range size {
		// The order is divided into blocks, and the replica takes one endpoint from each. The step
		// changes with each block; otherwise replicas that share one endpoint would share all. The
		// step is coprime to the number of replicas; otherwise some endpoints would be in more subsets
		// than others.
		position := (float64(s.settings.ReplicaIndex*step%replicas) + 0.5) / float64(replicas)
		for step++; gcd(step, replicas) > 1; step++ {
		}
		subset = append(subset, s.ready[int((float64(block)+position)*float64(ready)/float64(size))])
	}
	return subset
}

// gcd returns the greatest common divisor of a and b.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// computeWeights sets the maximum and the mean weight of the subset.
func (s *endpointSet) computeWeights() {
	s.maxWeight, s.meanWeight = 0, 0
	for _, e := range s.subset {
		s.maxWeight = max(s.maxWeight, s.weight(e))
		s.meanWeight += s.weight(e) / float64(len(s.subset))
	}
}

// weight returns an endpoint's capacity relative to other endpoints. It returns 1 if the list does
// not provide a weight or if weights of this kind are ignored.
func (s *endpointSet) weight(e *endpoint) float64 {
	kind := s.settings.WeightKind
	if e.Weight > 0 && (kind == WeightNominal || kind == WeightApproximate) {
		return e.Weight
	}
	return 1
}

// perReplica returns the number of ready endpoints per replica that sends to this tier.
func (s *endpointSet) perReplica() float64 {
	return float64(len(s.ready)) / float64(max(1, s.settings.Replicas))
}
