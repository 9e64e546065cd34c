package compare

import (
	"math/rand/v2"
	"strings"
	"testing"

	"umberbank/internal/lab"
)

func runs(n int, served func(i int) float64) []*lab.Result {
	l := make([]*lab.Result, n)
	for i := range l {
		l[i] = &lab.Result{ServedShare: served(i)}
	}
	return l
}

// A consistent difference is reported, and noise is not. Too few seeds give no verdict.
func TestVerdicts(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	noise := func(int) float64 { return 0.9 + 0.01*r.NormFloat64() }
	for _, c := range []struct {
		name    string
		n       int
		a, b    func(int) float64
		verdict string
	}{
		{"higher", 10, noise, func(int) float64 { return 0.95 + 0.01*r.NormFloat64() }, "B is higher"},
		{"lower", 10, noise, func(int) float64 { return 0.8 + 0.01*r.NormFloat64() }, "B is lower"},
		{"noise", 12, noise, noise, "no difference shown"},
		{"same", 8, func(int) float64 { return 0.9 }, func(int) float64 { return 0.9 }, "the same"},
		{"few", 5, noise, func(int) float64 { return 0.1 }, "too few"},
	} {
		d, err := Compare(runs(c.n, c.a), runs(c.n, c.b))
		if err != nil {
			t.Fatal(err)
		}
		if got := d[0]; got.Metric != "served_share" || !strings.Contains(got.Verdict, c.verdict) || got.Low > got.Mean || got.High < got.Mean {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if _, err := Compare(runs(2, noise), runs(3, noise)); err == nil {
		t.Error("unpaired runs were compared")
	}
}

// The confidence interval contains the true mean in about 95% of the trials.
func TestBoundsCover(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	covered := 0
	const trials = 200
	for range trials {
		diffs := make([]float64, 20)
		for i := range diffs {
			diffs[i] = 1 + r.NormFloat64()
		}
		if low, high := bootstrap(diffs); low <= 1 && 1 <= high {
			covered++
		}
	}
	if covered < trials*85/100 || covered > trials*99/100 {
		t.Errorf("the interval contains the mean in %d of %d trials", covered, trials)
	}
}
