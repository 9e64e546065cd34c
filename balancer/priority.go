package balancer

const (
	// minClassArrivals is the decayed count of arrivals above which a class can be the worst-served
	// one.
	minClassArrivals = 1
	// minDivisor prevents divisions by zero.
	minDivisor = 1e-9
)

// priority returns the credit that serving a request earns, divided by the mean latency of its class
// in ns. Load shedding therefore drops the requests that earn least in the time that they need. The
// worst-served class earns extra credit, so that no class starves.
func (b *Balancer) priority(r *request) float64 {
	c := r.class
	totalWeight, worst := b.classes.totalWeightAndWorst(c)
	credit := b.settings.TotalValueWeight * c.PriorityWeight / max(totalWeight, minDivisor)
	if worst == c {
		credit += b.settings.WorstClassWeight / max(c.arrivals, minDivisor)
	}
	if r.clientRetry { // most of its objective, which starts with the client's first try, has passed
		credit *= c.LateCredit
	}
	return credit / c.meanLatency
}

// totalWeightAndWorst returns the total priority weight of recent arrivals, and the class with the
// lowest share of responses within the latency objective. preferred is returned unless another
// class has a lower share.
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

// highestPriority returns the request with the highest priority. Among equal ones it returns the
// one that was enqueued last, which usually has the most time left.
func (b *Balancer) highestPriority(requests []*request) *request {
	best := requests[0]
	for _, r := range requests[1:] {
		if b.priority(r) >= b.priority(best) {
			best = r
		}
	}
	return best
}
