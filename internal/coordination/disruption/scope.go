package disruption

import (
	"fmt"
	"math"
)

// scopeKind is a kind of part of a site to which a limit applies.
type scopeKind int

const (
	scopeTier scopeKind = iota
	scopeZone
	scopeRegion
	scopeRack
	scopeKinds // how many kinds there are
)

// scope is one such part: a tier, or one zone, region or rack of a tier.
type scope struct {
	tier string
	kind scopeKind
	name string // of the zone, region or rack; empty for a tier
}

// String names the scope as operators read it.
func (s scope) String() string {
	if s.kind == scopeTier {
		return "tier " + s.tier
	}
	kind := [scopeKinds]string{scopeZone: "zone", scopeRegion: "region", scopeRack: "rack"}[s.kind]
	return fmt.Sprintf("%s %s of tier %s", kind, s.name, s.tier)
}

// scopesOf returns the scopes that a unit counts in, by kind.
func scopesOf(u *Unit) [scopeKinds]scope {
	return [scopeKinds]scope{
		scopeTier:   {tier: u.Tier},
		scopeZone:   {u.Tier, scopeZone, u.Zone},
		scopeRegion: {u.Tier, scopeRegion, u.Region},
		scopeRack:   {u.Tier, scopeRack, fmt.Sprint(u.Rack)},
	}
}

// sum adds up the units of a scope. Capacities are in millionths.
type sum struct {
	units       int
	capacity    int64
	unavailable int64
}

// millionths converts a capacity to the integers that sums are kept in.
func millionths(capacity float64) int64 { return int64(math.Round(capacity * 1e6)) }

// fromMillionths converts it back.
func fromMillionths(v int64) float64 { return float64(v) / 1e6 }

// allowed is how much of a capacity, both in millionths, a limit allows to be unavailable.
func allowed(fraction float64, capacity int64) int64 {
	return int64(math.Round(fraction * float64(capacity)))
}
