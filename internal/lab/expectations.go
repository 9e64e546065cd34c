package lab

import "fmt"

// checkExpectations compares the result with the expectations of the scenario, and adds a line for each that does not hold. The
// lines name the keys of the Result's JSON form.
func (r *run) checkExpectations() {
	res, expect := r.result, &r.site.Expect
	fail := func(format string, args ...any) {
		res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf(format, args...))
	}
	atLeast := func(name string, got, want float64) {
		if got < want {
			fail("%s is %.3f, wanted at least %.3f", name, got, want)
		}
	}
	atLeast("served_share", res.ServedShare, expect.Served)
	atLeast("worth_share", res.WeightedServedShare, expect.Worth)
	atLeast("tail_served", res.LastQuarterServedShare, expect.TailServed)
	if expect.After > 0 {
		atLeast("after_restart", res.RecoveryAfterRestart, expect.After)
	}
	maxP99MS := expect.P99.D().Seconds() * 1000
	for _, name := range res.ClassNames {
		atLeast("served_share of "+name, res.Classes[name].ServedShare, expect.Class[name])
		if p99 := res.Classes[name].P99MS; expect.P99 > 0 && p99 > maxP99MS {
			fail("p99 of %s is %.0f ms, wanted at most %.0f ms", name, p99, maxP99MS)
		}
	}
	if expect.Attempts > 0 && res.AttemptsPerRequest > expect.Attempts {
		fail("attempts_per_request is %.2f, wanted at most %.2f", res.AttemptsPerRequest, expect.Attempts)
	}
	if res.RulesBroken > expect.RulesBroken {
		fail("rules_broken is %d, wanted at most %d", res.RulesBroken, expect.RulesBroken)
	}
}
