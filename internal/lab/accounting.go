package lab

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/traffic"
)

// totals are the sums from which the shares of a Result are computed. Weights are priority weights.
type totals struct {
	served, lastQuarterServed, lastQuarterRequests, clientAttempts int
	servedWeight, requestedWeight                                  float64
}

// recordRequest counts a request that has ended.
func (r *run) recordRequest(t traffic.Result) {
	class := &r.site.Classes[t.Class]
	c := r.result.Classes[class.Name]
	second := r.secondAt(t.ArrivedAt)
	c.Requests++
	second.Requests[t.Class]++
	second.RequestsByZone[t.Zone]++
	r.result.Requests++
	r.totals.clientAttempts += t.Attempts
	second.Retries += t.Attempts - 1
	if t.MaxSendDelay > maxSendDelay {
		r.lateRequests++
	}
	r.maxDelay = max(r.maxDelay, t.MaxSendDelay)
	if t.Outcome == traffic.Abandoned { // an abandoned request counts in no share
		c.Abandoned++
		return
	}
	lastQuarter := t.ArrivedAt >= r.site.Duration.Std()*3/4
	r.totals.requestedWeight += class.PriorityWeight
	if lastQuarter {
		r.totals.lastQuarterRequests++
	}
	switch t.Outcome {
	case traffic.Served:
		c.Served++
		second.Served[t.Class]++
		second.ServedByZone[t.Zone]++
		r.totals.served++
		r.totals.servedWeight += class.PriorityWeight
		if lastQuarter {
			r.totals.lastQuarterServed++
		}
	case traffic.Late:
		c.Late++
	case traffic.Rejected:
		c.Rejected++
		second.Rejected[t.Class]++
	default:
		c.Failed++
		second.Failed[t.Class]++
	}
	if t.Outcome == traffic.Served || t.Outcome == traffic.Late {
		recordLatency(c, second, t.Latency)
	}
}

// recordLatency adds a latency to the histograms of a class and of a second.
func recordLatency(c *ClassResult, second *Second, latency time.Duration) {
	us := min(max(int64(latency/time.Microsecond), minLatencyUS), maxLatencyUS)
	_ = c.latency.RecordValue(us) // fails only for values outside the histogram's bounds
	if second.latency == nil {
		second.latency = hdrhistogram.New(minLatencyUS, maxLatencyUS, secondHistogramDigits)
	}
	_ = second.latency.RecordValue(us)
}

// finish computes the shares and quantiles of the Result and checks it against the scenario's expectations.
func (r *run) finish(partial bool) {
	res := r.result
	res.Partial, res.Events = partial, r.loop.Events()
	res.Seconds = min(r.loop.Now(), r.site.Duration.Std()).Seconds()
	abandoned := 0
	for _, c := range res.Classes {
		abandoned += c.Abandoned
		c.ServedShare = fraction(float64(c.Served), float64(c.Requests-c.Abandoned))
		c.P50MS = quantileMS(c.latency, 50)
		c.P90MS = quantileMS(c.latency, 90)
		c.P99MS = quantileMS(c.latency, 99)
	}
	for i := range res.Series {
		if s := &res.Series[i]; s.latency != nil {
			s.P50MS, s.P99MS = quantileMS(s.latency, 50), quantileMS(s.latency, 99)
		}
	}
	res.ServedShare = fraction(float64(r.totals.served), float64(res.Requests-abandoned))
	res.WeightedServedShare = fraction(r.totals.servedWeight, r.totals.requestedWeight)
	res.LastQuarterServedShare = fraction(float64(r.totals.lastQuarterServed), float64(r.totals.lastQuarterRequests))
	res.RecoveryAfterRestart = recoveryAfterRestart(res)
	res.LoaderLateShare = fraction(float64(r.lateRequests), float64(res.Requests))
	res.LoaderMaxDelayMS = r.maxDelay.Seconds() * 1000
	res.Valid = !partial && res.LoaderLateShare <= maxLateShare && res.Requests > 0
	res.AttemptsPerRequest = fraction(float64(r.oracle.Attempts), float64(res.Requests))
	res.ClientAttemptsPerRequest = fraction(float64(r.totals.clientAttempts), float64(res.Requests))
	res.RulesBroken, res.ViolationsByRule = r.oracle.ViolationCount(), r.oracle.ViolationCounts
	res.Violations = append(res.Violations, r.oracle.Violations...)
	r.checkExpectations()
}

// recoverySeconds is the length, in seconds, of the spans before a kill and after the restart that are compared.
const recoverySeconds = 5

// recoveryAfterRestart computes Result.RecoveryAfterRestart. The spans of kills that follow one another closely may overlap.
func recoveryAfterRestart(res *Result) float64 {
	sum, kills := 0.0, 0
	for _, f := range res.Faults {
		killed := int(f.FromSeconds)
		before := servedBetween(res.Series, killed-recoverySeconds, killed)
		if f.Kind != scenario.FaultKill || before <= 0 || f.ToSeconds >= res.Seconds-1 {
			continue
		}
		restarted := int(math.Ceil(f.ToSeconds))
		sum += servedBetween(res.Series, restarted, restarted+recoverySeconds) / before
		kills++
	}
	return fraction(sum, float64(kills))
}

// servedBetween returns the share served of the requests that arrived in the seconds [from, to). Seconds outside the series are
// ignored.
func servedBetween(series []Second, from, to int) float64 {
	clamp := func(i int) int { return max(0, min(i, len(series))) }
	served, requests := 0, 0
	for _, second := range series[clamp(from):clamp(to)] {
		for class := range second.Requests {
			served += second.Served[class]
			requests += second.Requests[class]
		}
	}
	return fraction(float64(served), float64(requests))
}

// fraction returns part / total, or zero if total is zero.
func fraction(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// quantileMS returns the given percentile of a histogram of microseconds, converted to milliseconds.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}
