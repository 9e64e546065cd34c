package balancer

const (
	// minClassArrivals is the decayed count of arrivals above which a class can be the one that is served
	// worst.
	minClassArrivals = 1
	// minTotal keeps a quotient finite.
	minTotal = 1e-9
)

// priority is the credit that answering a request earns per ns of an endpoint's time, so that load shedding
// hits what earns least. The class that is served worst counts extra, so that no class starves.
func (b *Balancer) priority(r *request) float64 {
	c := r.class
	totalWeight, worst := b.classes.totalWeightAndWorst(c)
	value := b.settings.TotalValueWeight * c.PriorityWeight / max(totalWeight, minTotal)
	if worst == c {
		value += b.settings.WorstClassWeight / max(c.arrivals, minTotal)
	}
	if r.clientRetry { // its objective runs from the client's first try and is mostly over
		value *= c.LateCredit
	}
	return value / c.meanLatency
}

// totalWeightAndWorst returns the priority weight of all recent arrivals, and the class with the least share
// of answers in time. That is preferred if no class has a smaller share.
func (t *classTable) totalWeightAndWorst(preferred *classState) (totalWeight float64, worst *classState) {
	worst = preferred
	for _, c := range t.ordered {
		totalWeight += c.PriorityWeight * c.arrivals
		if c.arrivals > minClassArrivals && c.onTime*worst.arrivals < worst.onTime*c.arrivals {
			worst = c
		}
	}
	return totalWeight, worst
}

// highestPriority returns the request of the highest priority; of equal ones the last, which has most time
// left.
func (b *Balancer) highestPriority(requests []*request) *request {
	best := requests[0]
	for _, r := range requests[1:] {
		if b.priority(r) >= b.priority(best) {
			best = r
		}
	}
	return best
}
