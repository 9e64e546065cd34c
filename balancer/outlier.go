package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// endpointSmoothing is the weight of a new sample in the averages of a single endpoint.
	endpointSmoothing = 0.25
	// Initial and minimum error rate over all endpoints.
	initialErrorRate = 0.02
	minErrorRate     = 0.01
	// failureRunSignificance is the significance level of a run of failures. A run ejects an
	// endpoint if its probability, given the error rate over all endpoints, is lower.
	failureRunSignificance = 0.08
	// slowRatio is the ratio of an endpoint's latency to the expected latency above which it is an
	// outlier.
	slowRatio = 2.5
	// minLatencySamples is the number of latencies that are required before an endpoint can be
	// ejected as slow.
	minLatencySamples = 3
	// successesToLowerLevel is the number of consecutive successes that lower the ejection level.
	// Every two further successes lower it again.
	successesToLowerLevel = 3
	// maxExcludedFraction is the maximum share of the ready endpoints that are excluded as
	// outliers.
	maxExcludedFraction = 0.2
	// A first ejection lasts ejectionLatencies times the mean latency of the class. A first rejection
	// limit lasts as long on average.
	ejectionLatencies = 12
	// maxEjectionLevel is how many times the duration of an ejection, or of a rejection limit, is
	// doubled at most.
	maxEjectionLevel = 5
)

// outlierDetector detects endpoints that fail, are slow or do not respond, in comparison with the
// others.
//
// An ejected endpoint receives no attempts until its ejection ends. It is then probed with one
// attempt at a time, and only with requests that may be repeated. Each further ejection lasts twice
// as long, until consecutive successes lower the ejection level.
type outlierDetector struct {
	errorRate   float64       // moving average of the share of failures among the results of all endpoints
	lastSuccess time.Duration // clock time of the last success of any endpoint
	// possibleOutliers holds every endpoint with an awaited attempt, an ejection or an ejection level
	// above zero. A pick checks only these for being outliers, because the list can contain thousands
	// of endpoints.
	possibleOutliers []*endpoint
}

func newOutlierDetector() outlierDetector { return outlierDetector{errorRate: initialErrorRate} }

// addPossibleOutlier adds an endpoint to possibleOutliers unless it is already there.
func (d *outlierDetector) addPossibleOutlier(e *endpoint) {
	if !e.possibleOutlier {
		e.possibleOutlier = true
		d.possibleOutliers = append(d.possibleOutliers, e)
	}
}

// ejectedOrUnresponsive reports whether an endpoint is an outlier for every request: its ejection has
// not ended, or it is unresponsive.
func (d *outlierDetector) ejectedOrUnresponsive(e *endpoint, now time.Duration) bool {
	return now < e.ejectedUntil || d.unresponsive(e, now)
}

// unresponsive reports whether the oldest awaited attempt of an endpoint is overdue, another endpoint
// has succeeded since the middle of the wait, and this endpoint has not. When a process hangs, this is
// the only symptom until its attempts time out.
func (d *outlierDetector) unresponsive(e *endpoint, now time.Duration) bool {
	if len(e.awaited) == 0 {
		return false
	}
	oldest := e.awaited[0]
	wait := time.Duration(oldest.request.class.overdueAfter())
	midpoint := oldest.sentAt + wait/2
	return now-oldest.sentAt > wait && d.lastSuccess > midpoint && e.lastSuccess < midpoint
}

// isOutlier reports whether an endpoint should not receive an attempt of a request now. After an
// ejection, an endpoint is probed with one attempt at a time, and not with a request that cannot be
// repeated.
func (d *outlierDetector) isOutlier(e *endpoint, r *request, now time.Duration) bool {
	if d.ejectedOrUnresponsive(e, now) {
		return true
	}
	probing := e.ejectionLevel > 0 && e.consecutiveSuccesses == 0
	return probing && (r.class.Effect == NonIdempotent || e.activeAttempts > 0)
}

// outliersFor returns the ready endpoints that are outliers for a request, ordered by the number of
// consecutive failures, highest first, and then by the shared order. It removes endpoints that no
// longer have to be checked from possibleOutliers.
func (d *outlierDetector) outliersFor(r *request, now time.Duration) []*endpoint {
	var outliers []*endpoint
	kept := d.possibleOutliers[:0]
	for _, e := range d.possibleOutliers {
		if !e.mayBecomeOutlier(now) {
			e.possibleOutlier = false
			continue
		}
		kept = append(kept, e)
		if e.listed && e.State == Ready && d.isOutlier(e, r, now) {
			outliers = append(outliers, e)
		}
	}
	clear(d.possibleOutliers[len(kept):])
	d.possibleOutliers = kept
	slices.SortFunc(outliers, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(y.consecutiveFailures, x.consecutiveFailures), cmp.Compare(x.rank, y.rank))
	})
	return outliers
}

// mayBecomeOutlier reports whether an endpoint must remain in possibleOutliers.
func (e *endpoint) mayBecomeOutlier(now time.Duration) bool {
	if !e.listed && e.activeAttempts == 0 {
		return false
	}
	return len(e.awaited) > 0 || e.ejectionLevel > 0 || now < e.ejectedUntil
}

// eject excludes an endpoint for a duration that doubles with each ejection level. An ejection in
// progress is not extended.
func (d *outlierDetector) eject(e *endpoint, c *classState, now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	d.addPossibleOutlier(e)
	e.ejectedUntil = now + time.Duration(ejectionLatencies*c.meanLatency)<<e.ejectionLevel
	e.ejectionLevel = min(e.ejectionLevel+1, maxEjectionLevel)
}

// recordFailure records a failure of an endpoint. A run of failures ejects the endpoint only if the
// error rate over all endpoints makes the run unlikely. Failures of all endpoints are caused by a
// shared dependency. If they caused ejections, no endpoint would remain.
func (d *outlierDetector) recordFailure(e *endpoint, c *classState, now time.Duration) {
	e.consecutiveFailures++
	e.consecutiveSuccesses = 0
	if math.Pow(d.errorRate, float64(e.consecutiveFailures)) < failureRunSignificance {
		d.eject(e, c, now)
	}
	d.updateErrorRate(1)
}

// recordSuccess records a success of an endpoint.
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

// updateErrorRate adds a sample to the error rate: 1 for a failure, 0 for a success.
func (d *outlierDetector) updateErrorRate(sample float64) {
	d.errorRate += classSmoothing * (sample - d.errorRate)
	d.errorRate = max(d.errorRate, minErrorRate)
}

// recordLatency compares a latency, in ns, with the expected one. An endpoint that is slow over
// several attempts is ejected, so that other endpoints take over its load and it can recover.
func (b *Balancer) recordLatency(e *endpoint, r *request, latency float64) {
	expected := b.expectedLatency(e, r)
	e.slowness += endpointSmoothing * (math.Log(max(latency, 1)/expected) - e.slowness)
	e.latencySamples++
	if e.latencySamples >= minLatencySamples && e.slowness > math.Log(slowRatio) {
		e.latencySamples, e.slowness, e.consecutiveSuccesses = 0, 0, 0
		b.outliers.eject(e, r.class, b.now)
	}
}

// expectedLatency returns the mean latency of the request's class, in ns, corrected for the cost of
// the request and the weight of the endpoint.
func (b *Balancer) expectedLatency(e *endpoint, r *request) float64 {
	c := r.class
	expected := c.meanLatency
	if r.costHint > 0 && c.meanCost > 0 {
		// The square root, because the latency includes waiting time, which does not grow with the cost.
		expected *= math.Sqrt(r.costHint / c.meanCost)
	}
	if weight := b.endpoints.weight(e); weight < b.endpoints.meanWeight {
		expected *= b.endpoints.meanWeight / weight // a small machine is slower without being faulty
	}
	return expected
}

// excludedEndpoints returns the endpoints that are excluded as outliers for a request. If many
// endpoints appear faulty to one node, the cause is more likely the node itself or a shared
// dependency, and the remaining endpoints would have to take the whole load. Only the worst
// outliers are therefore excluded.
func (b *Balancer) excludedEndpoints(r *request) map[*endpoint]bool {
	excluded := map[*endpoint]bool{}
	outliers := b.outliers.outliersFor(r, b.now)
	for _, e := range outliers[:min(len(outliers), b.maxExcluded())] {
		excluded[e] = true
	}
	return excluded
}

// maxExcluded returns the number of endpoints that may be excluded now. It is lower while load is
// shed, because every endpoint is needed then and timeouts indicate load rather than faults. With
// three or more ready endpoints it is at least one while no more than half of the requests are
// shed. A share that is rounded down would never exclude an endpoint of a short list.
func (b *Balancer) maxExcluded() int {
	admitted := 1 - b.queue.shedRate
	ready := len(b.endpoints.ready)
	minimum := math.Round(admitted * float64(min(1, ready/3)))
	return int(max(minimum, maxExcludedFraction*admitted*float64(ready)))
}

// EjectedCount returns the number of ready endpoints that are excluded as outliers at the clock
// time now, regardless of the request.
func (b *Balancer) EjectedCount(now time.Duration) int {
	b.now = max(b.now, now)
	count := 0
	for _, e := range b.endpoints.ready {
		if b.outliers.ejectedOrUnresponsive(e, b.now) {
			count++
		}
	}
	return min(count, b.maxExcluded())
}
