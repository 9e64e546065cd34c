package disruption

import (
	"cmp"
	"maps"
	"slices"
)

// Usage is the capacity of a scope, how much of it is unavailable, and how much may be unavailable under the limit.
type Usage struct {
	Scope       string  `json:"scope"`
	Capacity    float64 `json:"capacity"`
	Unavailable float64 `json:"out"`
	Allowed     float64 `json:"may"`
}

// Usages returns the usage of every scope that has a limit. The scope with the least remaining allowance comes first.
func (b *Budget) Usages() []Usage {
	var usages []Usage
	for k, s := range b.sums {
		limit := b.limits[k.tier]
		if limit == nil {
			continue
		}
		fraction := limit.fractions()[k.kind]
		if fraction == nil {
			continue
		}
		usages = append(usages, Usage{
			Scope: k.String(), Capacity: fromMillionths(s.capacity),
			Unavailable: fromMillionths(s.unavailable), Allowed: fromMillionths(allowed(*fraction, s.capacity)),
		})
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Unavailable-b.Allowed, a.Unavailable-a.Allowed), cmp.Compare(a.Scope, b.Scope))
	})
	return usages
}

// UnavailableUnit describes a unit that is not fully available, or that has a permit.
type UnavailableUnit struct {
	Unit      string  `json:"unit"`
	Fraction  float64 `json:"share"` // unavailable fraction of its capacity; zero if it only has a permit
	Reason    string  `json:"why"`
	Permitted bool    `json:"permitted"`
}

// reasonPermitted is the Reason of an [UnavailableUnit] that is fully available and has a permit.
const reasonPermitted = "permitted"

// UnavailableUnits returns all units that are not fully available or have a permit, in ascending order of their IDs.
func (b *Budget) UnavailableUnits() []UnavailableUnit {
	var units []UnavailableUnit
	for _, id := range slices.Sorted(maps.Keys(b.units)) {
		u, permit := b.units[id], b.permits[id]
		isUnavailable := u.UnavailableFraction > 0
		if !isUnavailable && permit == nil {
			continue
		}
		unavailable := UnavailableUnit{Unit: id, Fraction: u.UnavailableFraction, Reason: u.Reason, Permitted: permit != nil}
		if !isUnavailable {
			unavailable.Reason = reasonPermitted
		}
		units = append(units, unavailable)
	}
	return units
}
