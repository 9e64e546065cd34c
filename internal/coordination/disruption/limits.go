package disruption

import (
	"errors"
	"fmt"
)

// Limit sets how much of the capacity of a tier, and of each of its zones, regions and racks, may be unavailable at the same
// time. Each field is a fraction, from 0 to 1, of the capacity of that tier, zone, region or rack. Total applies to the whole
// tier and is required; nil in the other fields means no limit.
type Limit struct {
	Tier   string   `json:"tier" toml:"tier"`
	Total  *float64 `json:"whole,omitempty" toml:"whole"`
	Zone   *float64 `json:"zone,omitempty" toml:"zone"`
	Region *float64 `json:"region,omitempty" toml:"region"`
	Rack   *float64 `json:"rack,omitempty" toml:"rack"`
}

// fractions returns the limits, indexed by kind of scope.
func (l *Limit) fractions() [scopeKinds]*float64 {
	return [scopeKinds]*float64{scopeTier: l.Total, scopeZone: l.Zone, scopeRegion: l.Region, scopeRack: l.Rack}
}

// Limits holds the limits of all tiers of a site, the warm-up of its units, and the expiry time of permits. No permit is granted
// in a tier without a Limit.
type Limits struct {
	Tiers           []Limit `json:"tiers" toml:"tier"`
	InitialFraction float64 `json:"cold_from" toml:"cold_from"` // fraction of a unit's capacity that is available when it starts
	WarmUpMS        int64   `json:"warm_ms" toml:"warm_ms"`     // ms until a started unit is fully available; zero if at once
	PermitExpiryMS  int64   `json:"lapse_ms" toml:"lapse_ms"`   // ms until a permit that has not begun expires; zero means 2,000
}

// Validate returns an error that names the first invalid key, or nil.
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
		return errors.New("tier: missing, at least one is required")
	case !isFraction(l.InitialFraction):
		return fmt.Errorf("cold_from: %v is no share from 0 to 1", l.InitialFraction)
	case l.WarmUpMS < 0 || l.PermitExpiryMS < 0:
		return errors.New("warm_ms, lapse_ms: must not be negative")
	}
	return nil
}

// validate checks the limits of one tier. duplicate reports whether an earlier tier has the same name.
func (l *Limit) validate(duplicate bool) error {
	if l.Tier == "" {
		return errors.New("tier: missing")
	}
	if duplicate {
		return fmt.Errorf("tier: duplicate name %q", l.Tier)
	}
	keys := [scopeKinds]string{scopeTier: "whole", scopeZone: "zone", scopeRegion: "region", scopeRack: "rack"}
	for kind, fraction := range l.fractions() {
		if fraction != nil && !isFraction(*fraction) {
			return fmt.Errorf("%s: %v is no share from 0 to 1", keys[kind], *fraction)
		}
	}
	if l.Total == nil {
		return fmt.Errorf("whole: missing, tier %s needs a limit on its whole capacity", l.Tier)
	}
	return nil
}

// isFraction reports whether v is between 0 and 1. It returns false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
