package replica

import "time"

// ExpiryGuard says when expired leases are not acted on, as in the self-preservation mode of a service registry.
//
// An expired lease is acted on, and its instance is removed, unless within Window at least MinExpired leases have expired,
// and with them those of more than MaxZoneFraction of the zone's instances: a mass expiry. Then that zone's instances stay as
// suspects. If every other zone (and there is one) renews as ever, the zone is taken for lost after ConfirmAfter, and its
// suspects are removed. If there is a mass expiry in two zones or more, or there is no other zone, the fault is likelier
// between the registry and the servers: suspects stay until they renew, or an operator removes or decommissions them.
//
// Where it must fail: a partition between the registry and one zone alone looks like that zone's loss, and its servers are
// removed after ConfirmAfter though clients may reach them; and when two zones are truly lost at once, their servers stay
// listed.
type ExpiryGuard struct {
	MaxZoneFraction float64 // of a zone's leases, above 0 and up to 1
	MinExpired      int     // in all zones, 1 or more
	Window          time.Duration
	ConfirmAfter    time.Duration
}

// zoneLeases counts the leases of a zone, and those that were lost within the guard's window or are suspects.
type zoneLeases struct{ total, lost int }

// zonesWithMassExpiry are the zones whose expired leases are not acted on.
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

// settleTime is how long an expired lease waits for others before it is acted on: heartbeats are spread, so leases that are
// lost together expire over some time.
func (g ExpiryGuard) settleTime() time.Duration { return g.Window / 2 }
