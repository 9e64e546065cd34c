package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// endpointSmoothing is the weight of a new sample in a single endpoint's averages.
	endpointSmoothing = 0.25
	// Error rate over all endpoints, before the first result and at the least.
	initialErrorRate = 0.02
	minErrorRate     = 0.01
	// maxCoincidence is the probability, at the error rate over all endpoints, above which a run of failures
	// counts as coincidence.
	maxCoincidence = 0.08
	// slowRatio is how many times the expected latency makes an endpoint an outlier.
	slowRatio = 2.5
	// minLatencySamples is how many latencies are needed before an endpoint can be called slow.
	minLatencySamples = 3
	// successesToLowerLevel is how many successes in a row lower the ejection level; two more lower it
	// further.
	successesToLowerLevel = 3
	// maxExcludedFraction is the share of the ready endpoints that may be excluded as outliers.
	maxExcludedFraction = 0.2
	// ejectionLatencies is the length of a first ejection, and about that of a rejection limit, in mean
	// latencies of the class.
	ejectionLatencies = 12
	// maxEjectionLevel is how many times the length of an ejection, or of a rejection limit, is doubled.
	maxEjectionLevel = 5
)

// outlierDetector finds endpoints that fail, are slow or do not respond, in comparison with the others.
//
// An ejected endpoint gets no attempts until its ejection is over. Then one attempt at a time of a request
// that may be repeated tries it; each further ejection lasts twice as long, until successes in a row lower
// the level again.
type outlierDetector struct {
	errorRate   float64       // decayed share of failures among the results of all endpoints
	lastSuccess time.Duration // of any endpoint
	// suspects holds every endpoint that may have to be excluded: those with an awaited attempt, an ejection
	// or an ejection level. A pick looks at these alone, as the list can have thousands of endpoints.
	suspects []*endpoint
}

func newOutlierDetector() outlierDetector { return outlierDetector{errorRate: initialErrorRate} }

// addSuspect keeps an endpoint among the suspects.
func (d *outlierDetector) addSuspect(e *endpoint) {
	if !e.suspect {
		e.suspect = true
		d.suspects = append(d.suspects, e)
	}
}

// ejected reports whether an endpoint gets no attempts now, whatever the request.
func (d *outlierDetector) ejected(e *endpoint, now time.Duration) bool {
	return now < e.ejectedUntil || d.unresponsive(e, now)
}

// unresponsive reports whether the oldest awaited attempt of an endpoint is overdue although other endpoints
// answered later ones: a process that hangs shows nothing else until its attempts time out.
func (d *outlierDetector) unresponsive(e *endpoint, now time.Duration) bool {
	if len(e.awaited) == 0 {
		return false
	}
	oldest := e.awaited[0]
	wait := time.Duration(oldest.request.class.overdueAfter())
	answeredBy := oldest.sentAt + wait/2
	return now-oldest.sentAt > wait && d.lastSuccess > answeredBy && e.lastSuccess < answeredBy
}

// isOutlier reports whether an endpoint must not get an attempt of a request now. After an ejection one
// attempt at a time tries the endpoint, and never one of a request that cannot be repeated.
func (d *outlierDetector) isOutlier(e *endpoint, r *request, now time.Duration) bool {
	if d.ejected(e, now) {
		return true
	}
	onProbation := e.ejectionLevel > 0 && e.consecutiveSuccesses == 0
	return onProbation && (r.class.Effect == NonIdempotent || e.activeAttempts > 0)
}

// outliersFor returns the ready endpoints that are outliers for a request, the longest run of failures first,
// then in the shared order. It drops endpoints that are no longer suspect.
func (d *outlierDetector) outliersFor(r *request, now time.Duration) []*endpoint {
	var outliers []*endpoint
	kept := d.suspects[:0]
	for _, e := range d.suspects {
		if !e.mayBecomeOutlier(now) {
			e.suspect = false
			continue
		}
		kept = append(kept, e)
		if e.listed && e.State == Ready && d.isOutlier(e, r, now) {
			outliers = append(outliers, e)
		}
	}
	clear(d.suspects[len(kept):])
	d.suspects = kept
	slices.SortFunc(outliers, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(y.consecutiveFailures, x.consecutiveFailures), cmp.Compare(x.rank, y.rank))
	})
	return outliers
}

// mayBecomeOutlier reports whether an endpoint must stay among the suspects.
func (e *endpoint) mayBecomeOutlier(now time.Duration) bool {
	if !e.listed && e.activeAttempts == 0 {
		return false
	}
	return len(e.awaited) > 0 || e.ejectionLevel > 0 || now < e.ejectedUntil
}

// eject excludes an endpoint for a time that doubles with its level.
func (d *outlierDetector) eject(e *endpoint, c *classState, now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	d.addSuspect(e)
	e.ejectedUntil = now + time.Duration(ejectionLatencies*c.meanLatency)<<e.ejectionLevel
	e.ejectionLevel = min(e.ejectionLevel+1, maxEjectionLevel)
}

// recordFailure adds a failure of an endpoint. Failures that all endpoints share come from what they depend
// on, and ejecting for those would leave nobody: a run of failures ejects only if the error rate over all
// endpoints makes it unlikely.
func (d *outlierDetector) recordFailure(e *endpoint, c *classState, now time.Duration) {
	e.consecutiveFailures++
	e.consecutiveSuccesses = 0
	if math.Pow(d.errorRate, float64(e.consecutiveFailures)) < maxCoincidence {
		d.eject(e, c, now)
	}
	d.updateErrorRate(1)
}

// recordSuccess adds a success of an endpoint.
func (d *outlierDetector) recordSuccess(e *endpoint, now time.Duration) {
	d.lastSuccess, e.lastSuccess = now, now
	e.consecutiveFailures, e.consecutiveRejections = 0, 0
	e.consecutiveSuccesses++
	if e.consecutiveSuccesses >= successesToLowerLevel && e.ejectionLevel > 0 {
		e.ejectionLevel--
		e.consecutiveSuccesses = 1
	}
	d.updateErrorRate(0)
}

// updateErrorRate adds a sample: 1 for a failure, 0 for a success.
func (d *outlierDetector) updateErrorRate(sample float64) {
	d.errorRate += classSmoothing * (sample - d.errorRate)
	d.errorRate = max(d.errorRate, minErrorRate)
}

// recordLatency compares a latency, in ns, with the expected one. An endpoint that is slow over several
// attempts is ejected, so that others carry its load and it can recover.
func (b *Balancer) recordLatency(e *endpoint, r *request, latency float64) {
	expected := b.expectedLatency(e, r)
	e.slowness += endpointSmoothing * (math.Log(max(latency, 1)/expected) - e.slowness)
	e.latencySamples++
	if e.latencySamples >= minLatencySamples && e.slowness > math.Log(slowRatio) {
		e.latencySamples, e.slowness, e.consecutiveSuccesses = 0, 0, 0
		b.outliers.eject(e, r.class, b.now)
	}
}

// expectedLatency is the mean latency of the request's class, corrected for the request's cost and for the
// endpoint's weight, in ns.
func (b *Balancer) expectedLatency(e *endpoint, r *request) float64 {
	c := r.class
	expected := c.meanLatency
	if r.costHint > 0 && c.meanCost > 0 {
		expected *= math.Sqrt(r.costHint / c.meanCost) // waiting does not grow with the work
	}
	if weight := b.endpoints.weight(e); weight < b.endpoints.meanWeight {
		expected *= b.endpoints.meanWeight / weight // a small machine is slower without a fault
	}
	return expected
}

// excludedEndpoints returns the endpoints that a request must not go to as outliers. If many look faulty
// to one node, the fault is likelier in the node itself or in what the endpoints depend on, and those left
// would take all the load: only the worst are excluded.
func (b *Balancer) excludedEndpoints(r *request) map[*endpoint]bool {
	excluded := map[*endpoint]bool{}
	outliers := b.outliers.outliersFor(r, b.now)
	for _, e := range outliers[:min(len(outliers), b.maxExcluded())] {
		excluded[e] = true
	}
	return excluded
}

// maxExcluded is how many endpoints may be excluded now. While load is shed it is fewer: every endpoint is
// needed then, and timeouts show load rather than faults. Of three endpoints or more it is one at the least,
// as long as less than half of the requests is shed: a share rounded down would never exclude any.
func (b *Balancer) maxExcluded() int {
	admitted := 1 - b.queue.shedRate
	ready := len(b.endpoints.ready)
	least := math.Round(admitted * float64(min(1, ready/3)))
	return int(max(least, maxExcludedFraction*admitted*float64(ready)))
}

// EjectedCount returns how many ready endpoints are excluded as outliers, whatever the request, at the
// clock time now.
func (b *Balancer) EjectedCount(now time.Duration) int {
	b.now = max(b.now, now)
	count := 0
	for _, e := range b.endpoints.ready {
		if b.outliers.ejected(e, b.now) {
			count++
		}
	}
	return min(count, b.maxExcluded())
}
