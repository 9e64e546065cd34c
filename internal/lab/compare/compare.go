// Package compare compares the results of two variants seed by seed and computes a confidence interval for each difference.
package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"umberbank/internal/lab"
)

// Metric is a figure of a run. Name is its key in the result's JSON form.
type Metric struct {
	Name  string
	Value func(*lab.Result) float64
}

// Metrics lists the figures that are compared, in the order of the output.
var Metrics = []Metric{
	{"served_share", func(r *lab.Result) float64 { return r.ServedShare }},
	{"worth_share", func(r *lab.Result) float64 { return r.WeightedServedShare }},
	{"tail_served", func(r *lab.Result) float64 { return r.LastQuarterServedShare }},
	{"after_restart", func(r *lab.Result) float64 { return r.RecoveryAfterRestart }},
	{"p99_ms", highestP99},
	{"attempts_per_request", func(r *lab.Result) float64 { return r.AttemptsPerRequest }},
	{"tries_per_request", func(r *lab.Result) float64 { return r.ClientAttemptsPerRequest }},
	{"rules_broken", func(r *lab.Result) float64 { return float64(r.RulesBroken) }},
}

// highestP99 returns the highest 99th percentile of any class.
func highestP99(r *lab.Result) float64 {
	highest := 0.0
	for _, c := range r.Classes {
		highest = max(highest, c.P99MS)
	}
	return highest
}

// Difference compares one metric of variants A and B, paired by seed. Low and High are the bounds of the 95% confidence
// interval of the mean of B - A (percentile bootstrap over the seeds; Efron, "Bootstrap methods", 1979).
type Difference struct {
	Metric            string  `json:"measure"`
	A                 float64 `json:"a"`
	B                 float64 `json:"b"`
	Mean              float64 `json:"difference"`
	Low               float64 `json:"low"`
	High              float64 `json:"high"`
	LargestDifference float64 `json:"largest"` // largest absolute difference of a single seed
	Verdict           string  `json:"verdict"`
}

// minSeeds is the smallest number of seeds for a verdict. Fewer seeds give too few distinct resamples for 95% confidence.
const minSeeds = 6

// resamples is the number of bootstrap resamples.
const resamples = 10_000

// Compare computes the differences of paired runs. a[i] and b[i] must be runs with the same seed.
func Compare(a, b []*lab.Result) ([]Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d runs of one side and %d of the other cannot be paired", len(a), len(b))
	}
	var l []Difference
	for _, m := range Metrics {
		var d Difference
		diffs := make([]float64, len(a))
		for i := range a {
			va, vb := m.Value(a[i]), m.Value(b[i])
			d.A += va / float64(len(a))
			d.B += vb / float64(len(a))
			diffs[i] = vb - va
			d.LargestDifference = max(d.LargestDifference, math.Abs(diffs[i]))
		}
		d.Metric, d.Mean = m.Name, mean(diffs)
		d.Low, d.High = bootstrap(diffs)
		d.Verdict = verdict(len(diffs), d.Low, d.High)
		l = append(l, d)
	}
	return l, nil
}

// verdict describes in words what the bounds show.
func verdict(n int, low, high float64) string {
	switch {
	case n < minSeeds:
		return fmt.Sprintf("%d seeds are too few to tell; play %d or more", n, minSeeds)
	case low > 0:
		return "B is higher"
	case high < 0:
		return "B is lower"
	case low == 0 && high == 0:
		return "the same"
	}
	return fmt.Sprintf("no difference shown; one of less than about %.2g would not show", max(high, -low))
}

// mean returns the arithmetic mean of a list that is not empty.
func mean(l []float64) float64 {
	sum := 0.0
	for _, v := range l {
		sum += v
	}
	return sum / float64(len(l))
}

// bootstrap returns the 95% confidence interval of the mean. The same differences always give the same bounds.
func bootstrap(diffs []float64) (low, high float64) {
	r := rand.New(rand.NewPCG(1, uint64(len(diffs))))
	means := make([]float64, resamples)
	for i := range means {
		for range diffs {
			means[i] += diffs[r.IntN(len(diffs))] / float64(len(diffs))
		}
	}
	slices.Sort(means)
	return means[resamples*25/1000], means[resamples*975/1000-1]
}
