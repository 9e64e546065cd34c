package disruption

import (
	"fmt"
	"math"
)

// scopeKind is a kind of scope to which a limit applies.
type scopeKind int

const (
	scopeTier scopeKind = iota
	scopeZone
	scopeRegion
	scopeRack
	scopeKinds // number of kinds
)

// scope is a set of units that share a limit: a tier, or one zone, region or rack of a tier.
type scope struct {
	tier string
	kind scopeKind
	name string // name of the zone, region or rack; empty for a tier
}

// String returns the name of the scope for operators, such as "zone a of tier web".
func (s scope) String() string {
	if s.kind == scopeTier {
		return "tier " + s.tier
	}
	kind := [scopeKinds]string{scopeZone: "zone", scopeRegion: "region", scopeRack: "rack"}[s.kind]
	return fmt.Sprintf("%s %s of tier %s", kind, s.name, s.tier)
}

// scopesOf returns the scopes that contain a unit, indexed by kind.
func scopesOf(u *Unit) [scopeKinds]scope {
	return [scopeKinds]scope{
		scopeTier:   {tier: u.Tier},
		scopeZone:   {u.Tier, scopeZone, u.Zone},
		scopeRegion: {u.Tier, scopeRegion, u.Region},
		scopeRack:   {u.Tier, scopeRack, fmt.Sprint(u.Rack)},
	}
}

// sum is the number of units in a scope, their total capacity, and how much of that capacity is unavailable, in millionths.
type sum struct {
	units       int
	capacity    int64
	unavailable int64
}

// millionths converts a capacity to an integer number of millionths, rounded to the nearest.
func millionths(capacity float64) int64 { return int64(math.Round(capacity * 1e6)) }

// fromMillionths converts a number of millionths to a capacity.
func fromMillionths(v int64) float64 { return float64(v) / 1e6 }

// allowed returns how much of a scope's capacity may be unavailable under a limit. Both capacities are in millionths.
func allowed(fraction float64, capacity int64) int64 {
	return int64(math.Round(fraction * float64(capacity)))
}
