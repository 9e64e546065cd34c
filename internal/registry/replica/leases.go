package replica

import (
	"cmp"
	"slices"
	"time"

	"umberbank/internal/registry/state"
)

// suspendedAfter is the time without a check after which the leader assumes that its own process was suspended.
const suspendedAfter = time.Second

// lease records how long one instance stays registered without a renewal. Its times are on the lease clock; see leaseTable.
type lease struct {
	token           int64
	zone            string
	ttl             time.Duration
	expires         time.Duration
	expiredAt       time.Duration // time of the check that found it expired; zero if it has not expired
	suspect         bool          // the instance is a suspect in the state
	exemptFromGuard bool          // its expiry is acted on even during a mass expiry
}

// leaseTable holds all leases, the warm-ups of units and the permits that have not begun. Only the leader has a leaseTable, in
// memory. Its times are on the lease clock, which measures the time since the replica was started. A new leader starts every
// lease with its full duration, because renewals are not replicated. check and expirePermits return writes to propose. All
// methods must be called from one goroutine.
type leaseTable struct {
	guard     ExpiryGuard
	byUID     map[string]*lease
	lastCheck time.Duration

	warmUpTime time.Duration // from a unit's start until it is warm
	warmUps    map[string]*warmUp

	permitTimeout time.Duration // time within which a permit must begin
	permits       map[string]waitingPermit
}

func newLeaseTable(guard ExpiryGuard, instances []*state.Instance, now time.Duration) *leaseTable {
	t := &leaseTable{
		guard:     guard,
		byUID:     map[string]*lease{},
		lastCheck: now,
		warmUps:   map[string]*warmUp{},
		permits:   map[string]waitingPermit{},
	}
	for _, e := range instances {
		t.track(e, now)
	}
	return t
}

// track updates the lease and the warm-up of an instance from the state. A new registration gets a new lease. The lease is
// dropped if the instance is deleted or has no TTL.
func (t *leaseTable) track(e *state.Instance, now time.Duration) {
	t.trackWarmUp(e, now)
	if e.State == state.Deleted || e.TTLMS == 0 {
		delete(t.byUID, e.UID)
		return
	}
	ttl := time.Duration(e.TTLMS) * time.Millisecond
	if old := t.byUID[e.UID]; old != nil && old.token == e.Token {
		old.zone, old.ttl, old.suspect = e.Zone, ttl, e.Suspect
		return
	}
	t.byUID[e.UID] = &lease{
		token:           e.Token,
		zone:            e.Zone,
		ttl:             ttl,
		expires:         now + ttl,
		suspect:         e.Suspect,
		exemptFromGuard: e.Role == state.RoleController,
	}
}

// renew restarts the full duration of a lease. It returns false if there is no lease with this token.
func (t *leaseTable) renew(uid string, token int64, now time.Duration) bool {
	l := t.byUID[uid]
	if l == nil || l.token != token {
		return false
	}
	l.expires, l.expiredAt = now+l.ttl, 0
	return true
}

// check returns the writes that leases and warm-ups require at the time now, in the order of UIDs.
func (t *leaseTable) check(now time.Duration) []state.Op {
	t.discountSuspension(now)
	t.lastCheck = now
	ops, expired, zones := t.scanLeases(now)
	ops = append(ops, t.resolveExpired(expired, zones, now)...)
	ops = append(ops, t.warmUpSteps(now)...)
	slices.SortFunc(ops, func(a, b state.Op) int { return cmp.Compare(a.UID, b.UID) })
	return ops
}

// discountSuspension extends leases, warm-ups and waiting permits by the time for which this process was suspended. No lease
// could be renewed and no permit could begin in that time, and it is unknown which instances tried to.
func (t *leaseTable) discountSuspension(now time.Duration) {
	gap := now - t.lastCheck
	if gap <= suspendedAfter {
		return
	}
	for _, l := range t.byUID {
		l.expires += gap
	}
	for _, w := range t.warmUps {
		w.since += gap
	}
	for unit, p := range t.permits {
		p.since += gap
		t.permits[unit] = p
	}
}

// scanLeases returns the writes that do not depend on the guard, the UIDs of expired leases, and the counts of leases by zone.
func (t *leaseTable) scanLeases(now time.Duration) (ops []state.Op, expired []string, zones map[string]*zoneLeases) {
	zones = map[string]*zoneLeases{}
	for uid, l := range t.byUID {
		if l.exemptFromGuard {
			if now >= l.expires {
				ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: l.token})
			}
			continue
		}
		zone := zones[l.zone]
		if zone == nil {
			zone = &zoneLeases{}
			zones[l.zone] = zone
		}
		zone.total++
		if now < l.expires {
			if l.suspect {
				ops = append(ops, state.Op{Kind: state.OpTrust, UID: uid, Token: l.token})
			}
			continue
		}
		if l.expiredAt == 0 {
			l.expiredAt = now
		}
		expired = append(expired, uid)
		if now-l.expiredAt <= t.guard.Window || l.suspect {
			zone.lost++
		}
	}
	return ops, expired, zones
}

// resolveExpired returns the writes for expired leases, as the guard decides.
func (t *leaseTable) resolveExpired(expired []string, zones map[string]*zoneLeases, now time.Duration) (ops []state.Op) {
	massExpiry := t.guard.zonesWithMassExpiry(zones)
	for _, uid := range expired {
		l := t.byUID[uid]
		age := now - l.expiredAt
		switch {
		case !massExpiry[l.zone] && (!l.suspect || len(massExpiry) == 0):
			// The zone has no mass expiry. Suspects are removed here only if no other zone has one either.
			if age >= t.guard.settleTime() {
				ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: l.token})
			}
		case len(massExpiry) == 1 && len(zones) > 1 && age >= t.guard.ConfirmAfter:
			// Exactly one of several zones has a mass expiry and is considered lost.
			ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: l.token})
		case !l.suspect:
			// The zone has a mass expiry, so the instance stays as a suspect.
			ops = append(ops, state.Op{Kind: state.OpSuspect, UID: uid, Token: l.token})
		}
	}
	return ops
}
