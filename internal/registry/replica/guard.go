package replica

import "time"

// ExpiryGuard decides when expired leases are not acted on, like the self-preservation mode of a service registry.
//
// An instance whose lease has expired is removed unless its zone has a mass expiry. A zone has a mass expiry if within Window at
// least MinExpired leases have expired in all zones together, and those of more than MaxZoneFraction of the zone's instances.
// The instances of such a zone stay as suspects. If there are other zones and none of them has a mass expiry, the zone is
// considered lost after ConfirmAfter, and its suspects are removed. If two or more zones have a mass expiry, or if there is no
// other zone, the fault is more likely between the registry and the servers: suspects stay until they renew, or until an
// operator removes or decommissions them.
//
// The guard has two limitations. A partition between the registry and a single zone looks like the loss of that zone, so its
// servers are removed after ConfirmAfter although clients may still reach them. When two zones are lost at once, their servers
// stay listed.
type ExpiryGuard struct {
	MaxZoneFraction float64 // of the leases of a zone, above 0 and up to 1
	MinExpired      int     // in all zones together, 1 or more
	Window          time.Duration
	ConfirmAfter    time.Duration
}

// zoneLeases counts the leases of a zone, and as lost those that have expired within the guard's window or are suspects.
type zoneLeases struct{ total, lost int }

// zonesWithMassExpiry returns the zones whose expired leases are not acted on.
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

// settleTime returns the time between the expiry of a lease and acting on it. Heartbeats are spread over time, so leases that
// are lost together do not expire at once.
func (g ExpiryGuard) settleTime() time.Duration { return g.Window / 2 }
