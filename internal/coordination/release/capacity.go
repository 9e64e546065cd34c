package release

import (
	"fmt"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// CheckCapacity returns an error with the figures if a release would leave a tier with less capacity than required. The remaining
// capacity of a tier is its total capacity minus the larger of two amounts: what the plan may take out of service at the same
// time, and what is unavailable now. Only tiers with a limit and a requirement are checked.
func CheckCapacity(
	p *Plan, required map[string]float64, units []*state.Instance, limits disruption.Limits, unavailable []disruption.UnavailableUnit,
) error {
	unavailableFraction := map[string]float64{}
	for _, u := range unavailable {
		unavailableFraction[u.Unit] = u.Fraction
	}
	for _, limit := range limits.Tiers {
		need, isRequired := required[limit.Tier]
		if !isRequired {
			continue
		}
		var capacity, alreadyUnavailable, largest float64
		for _, u := range units {
			if u.Tier != limit.Tier {
				continue
			}
			capacity += u.Capacity
			alreadyUnavailable += unavailableFraction[u.UID] * u.Capacity
			largest = max(largest, u.Capacity)
		}
		allowed := *limit.Total * capacity
		if p.MaxConcurrent > 0 {
			allowed = min(allowed, float64(p.MaxConcurrent)*largest)
		}
		if left := capacity - max(allowed, alreadyUnavailable); left < need {
			return fmt.Errorf("tier %s has a capacity of %.4g, %.4g of it out, and up to %.4g may be out at once: %.4g would be left where the load needs %.4g",
				limit.Tier, capacity, alreadyUnavailable, max(allowed, alreadyUnavailable), left, need)
		}
	}
	return nil
}
