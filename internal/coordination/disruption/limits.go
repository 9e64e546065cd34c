package disruption

import (
	"errors"
	"fmt"
)

// Limit is the fraction of a tier's capacity, from 0 to 1, that may be unavailable at once: of the whole tier, and of each of
// its zones, regions and racks. nil is no limit; Total must be set.
type Limit struct {
	Tier   string   `json:"tier" toml:"tier"`
	Total  *float64 `json:"whole,omitempty" toml:"whole"`
	Zone   *float64 `json:"zone,omitempty" toml:"zone"`
	Region *float64 `json:"region,omitempty" toml:"region"`
	Rack   *float64 `json:"rack,omitempty" toml:"rack"`
}

// fractions returns the limits by kind of scope.
func (l *Limit) fractions() [scopeKinds]*float64 {
	return [scopeKinds]*float64{scopeTier: l.Total, scopeZone: l.Zone, scopeRegion: l.Region, scopeRack: l.Rack}
}

// Limits are the limits of all tiers of a site, how its units warm up, and how long permits wait. A tier without a Limit
// gets no permits.
type Limits struct {
	Tiers           []Limit `json:"tiers" toml:"tier"`
	InitialFraction float64 `json:"cold_from" toml:"cold_from"` // fraction of its capacity that a unit has when it starts
	WarmUpMS        int64   `json:"warm_ms" toml:"warm_ms"`     // until a started unit has its whole capacity, in milliseconds; 0: at once
	PermitExpiryMS  int64   `json:"lapse_ms" toml:"lapse_ms"`   // until a permit that has not begun expires, in milliseconds; 0: 2,000
}

// Validate returns an error that names the first key with a wrong value.
func (l *Limits) Validate() error {
	seen := map[string]bool{}
	for i := range l.Tiers {
		tier := &l.Tiers[i]
		if err := tier.validate(seen[tier.Tier]); err != nil {
			return fmt.Errorf("tier[%d].%w", i, err)
		}
		seen[tier.Tier] = true
	}
	switch {
	case len(l.Tiers) == 0:
		return errors.New("tier: none is named")
	case !isFraction(l.InitialFraction):
		return fmt.Errorf("cold_from: %v is no share from 0 to 1", l.InitialFraction)
	case l.WarmUpMS < 0 || l.PermitExpiryMS < 0:
		return errors.New("warm_ms, lapse_ms: a time cannot be negative")
	}
	return nil
}

// validate checks one tier; duplicate says that an earlier one has the same name.
func (l *Limit) validate(duplicate bool) error {
	if l.Tier == "" {
		return errors.New("tier: missing")
	}
	if duplicate {
		return fmt.Errorf("tier: %q stands twice", l.Tier)
	}
	keys := [scopeKinds]string{scopeTier: "whole", scopeZone: "zone", scopeRegion: "region", scopeRack: "rack"}
	for kind, fraction := range l.fractions() {
		if fraction != nil && !isFraction(*fraction) {
			return fmt.Errorf("%s: %v is no share from 0 to 1", keys[kind], *fraction)
		}
	}
	if l.Total == nil {
		return fmt.Errorf("whole: missing: how much of %s may be out at once", l.Tier)
	}
	return nil
}

// isFraction reports whether v is between 0 and 1; NaN is not.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
