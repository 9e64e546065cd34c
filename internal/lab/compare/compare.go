// Package compare holds two ways of playing against each other, seed by seed, and says how sure the difference is.
package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"umberbank/internal/lab"
)

// Measure is one figure of a run.
type Measure struct {
	Name string
	Of   func(*lab.Result) float64
}

// Measures are the figures that are compared.
var Measures = []Measure{
	{"served_share", func(r *lab.Result) float64 { return r.ServedShare }},
	{"worth_share", func(r *lab.Result) float64 { return r.WeightedServedShare }},
	{"tail_served", func(r *lab.Result) float64 { return r.LastQuarterServedShare }},
	{"after_restart", func(r *lab.Result) float64 { return r.RecoveryAfterRestart }},
	{"p99_ms", worstP99},
	{"attempts_per_request", func(r *lab.Result) float64 { return r.AttemptsPerRequest }},
	{"tries_per_request", func(r *lab.Result) float64 { return r.ClientAttemptsPerRequest }},
	{"rules_broken", func(r *lab.Result) float64 { return float64(r.RulesBroken) }},
}

// worstP99 is the highest 99th percentile of any class.
func worstP99(r *lab.Result) float64 {
	worst := 0.0
	for _, c := range r.Classes {
		worst = max(worst, c.P99MS)
	}
	return worst
}

// Difference is one figure of both sides, paired by seed. Low and High bound the mean of B less A with 95%
// confidence (percentile bootstrap over the seeds; Efron, "Bootstrap methods", 1979).
type Difference struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Mean    float64 `json:"difference"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Worst   float64 `json:"largest"` // of any one seed, without its sign
	Verdict string  `json:"verdict"`
}

// leastSeeds is how many pairs a verdict wants: with fewer, the resamples are too few for 95%.
const leastSeeds = 6

// resamples is how often the seeds are drawn anew.
const resamples = 10_000

// Compare reckons the differences of paired runs. a[i] and b[i] are of one seed.
func Compare(a, b []*lab.Result) ([]Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d runs of one side and %d of the other cannot be paired", len(a), len(b))
	}
	var l []Difference
	for _, m := range Measures {
		var d Difference
		diffs := make([]float64, len(a))
		for i := range a {
			va, vb := m.Of(a[i]), m.Of(b[i])
			d.A += va / float64(len(a))
			d.B += vb / float64(len(a))
			diffs[i] = vb - va
			d.Worst = max(d.Worst, math.Abs(diffs[i]))
		}
		d.Measure, d.Mean = m.Name, mean(diffs)
		d.Low, d.High = bootstrap(diffs)
		d.Verdict = verdict(len(diffs), d.Low, d.High)
		l = append(l, d)
	}
	return l, nil
}

func verdict(n int, low, high float64) string {
	switch {
	case n < leastSeeds:
		return fmt.Sprintf("%d seeds are too few to tell; play %d or more", n, leastSeeds)
	case low > 0:
		return "B is higher"
	case high < 0:
		return "B is lower"
	case low == 0 && high == 0:
		return "the same"
	}
	return fmt.Sprintf("no difference shown; one of less than about %.2g would not show", max(high, -low))
}

func mean(l []float64) float64 {
	sum := 0.0
	for _, v := range l {
		sum += v
	}
	return sum / float64(len(l))
}

// bootstrap bounds the mean. The same differences always give the same bounds.
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
