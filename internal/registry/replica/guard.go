package replica

import "time"

// ExpiryGuard decides when expired leases are not acted on, like the self-preservation mode of a service registry.
//
// A lease is lost if it has expired within Window, or if it has expired and its instance is a suspect. A zone has a mass expiry
// if at least MinExpired leases are lost in all zones together, and more than MaxZoneFraction of the zone's leases are lost.
//
// If the zone of an expired lease has no mass expiry, the instance is removed after half of Window. If the zone has a mass
// expiry, the instance stays as a suspect. A suspect that renews its lease is no longer a suspect. The others are treated as
// follows:
//   - While exactly one of several zones has a mass expiry, that zone is considered lost after ConfirmAfter. Suspects are
//     removed once their leases have been expired for that time.
//   - While two or more zones have a mass expiry, or the only zone has one, the fault is more likely between the registry and
//     the servers. Suspects stay until they renew, or until an operator removes or decommissions them.
//   - While no zone has a mass expiry, suspects are removed like other instances.
//
// Zones without leases are not counted, nor are the leases of controllers. A controller is removed as soon as its lease expires.
//
// The guard has two limitations. A partition between the registry and a single zone looks like the loss of that zone, so its
// servers are removed after ConfirmAfter although clients may still reach them. When two zones are lost at once, their servers
// stay listed.
type ExpiryGuard struct {
	MaxZoneFraction float64 // of the leases of a zone, above 0 and up to 1
	MinExpired      int     // leases in all zones together, 1 or more
	Window          time.Duration
	ConfirmAfter    time.Duration
}

// zoneLeases has the number of leases of a zone, and how many of them are lost as defined by ExpiryGuard.
type zoneLeases struct{ total, lost int }

// zonesWithMassExpiry returns the zones that have a mass expiry.
func (g ExpiryGuard) zonesWithMassExpiry(zones map[string]*zoneLeases) map[string]bool {
	lost := 0
	for _, z := range zones {
		lost += z.lost
	}
	found := map[string]bool{}
	for name, z := range zones {
		if lost >= g.MinExpired && float64(z.lost) > g.MaxZoneFraction*float64(z.total) {
			found[name] = true
		}
	}
	return found
}

// settleTime returns the time from the expiry of a lease to the removal of its instance without a mass expiry. Renewals are
// spread over time, so leases that are lost together expire one after another. The settle time allows a mass expiry to be
// detected before the first of the instances is removed.
func (g ExpiryGuard) settleTime() time.Duration { return g.Window / 2 }
