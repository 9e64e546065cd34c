package lab

import "fmt"

// checkExpectations compares the result with the expectations of the scenario and records a message for each that is not met. The
// messages name the keys of the Result's JSON form.
func (r *run) checkExpectations() {
	res, expect := r.result, &r.site.Expectations
	fail := func(format string, args ...any) {
		res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf(format, args...))
	}
	atLeast := func(name string, got, want float64) {
		if got < want {
			fail("%s is %.3f, wanted at least %.3f", name, got, want)
		}
	}
	atLeast("served_share", res.ServedShare, expect.MinServedShare)
	atLeast("worth_share", res.WeightedServedShare, expect.MinWeightedServedShare)
	atLeast("tail_served", res.LastQuarterServedShare, expect.MinLastQuarterServedShare)
	if expect.MinRestartRecovery > 0 {
		atLeast("after_restart", res.RecoveryAfterRestart, expect.MinRestartRecovery)
	}
	maxP99MS := expect.MaxP99.Std().Seconds() * 1000
	for _, name := range res.ClassNames {
		atLeast("served_share of "+name, res.Classes[name].ServedShare, expect.MinServedShareByClass[name])
		if p99 := res.Classes[name].P99MS; expect.MaxP99 > 0 && p99 > maxP99MS {
			fail("p99 of %s is %.0f ms, wanted at most %.0f ms", name, p99, maxP99MS)
		}
	}
	if expect.MaxAttemptsPerRequest > 0 && res.AttemptsPerRequest > expect.MaxAttemptsPerRequest {
		fail("attempts_per_request is %.2f, wanted at most %.2f", res.AttemptsPerRequest, expect.MaxAttemptsPerRequest)
	}
	if res.RulesBroken > expect.MaxRulesBroken {
		fail("rules_broken is %d, wanted at most %d", res.RulesBroken, expect.MaxRulesBroken)
	}
}
