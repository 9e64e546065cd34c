package replica

import (
	"cmp"
	"slices"
	"time"

	"umberbank/internal/registry/state"
)

// suspendedAfter is how long the leader may go without a check before it assumes that its own process was suspended.
const suspendedAfter = time.Second

// lease is what the leader knows of the lease of one instance. Times are on the leader's clock.
type lease struct {
	token           int64
	zone            string
	ttl             time.Duration
	expires         time.Duration
	expiredAt       time.Duration // of the check that found it expired; 0: it has not
	suspect         bool          // the state has the instance as a suspect
	exemptFromGuard bool          // its expiry is believed whatever else expires
}

// leaseTable has all leases, the warm-up of units and the permits that have not begun. It is kept by the leader alone, in
// memory and on a clock that only it reads: the time since it was started. A new leader gives every lease its whole time
// anew, as it cannot know what was renewed. Its methods return writes to propose, and are for one goroutine.
type leaseTable struct {
	guard     ExpiryGuard
	byUID     map[string]*lease
	lastCheck time.Duration

	warmUpTime time.Duration // from a unit's start until it is warm
	warmUps    map[string]*warmUp

	permitTimeout time.Duration // a permit has to begin within
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

// track follows an instance as the state has it: a new registration gets a new lease, a deleted instance none.
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

// renew gives a lease its whole time again; false: there is none with this token.
func (t *leaseTable) renew(uid string, token int64, now time.Duration) bool {
	l := t.byUID[uid]
	if l == nil || l.token != token {
		return false
	}
	l.expires, l.expiredAt = now+l.ttl, 0
	return true
}

// check returns the writes that leases and warm-up lead to at a time, in the order of uids.
func (t *leaseTable) check(now time.Duration) []state.Op {
	t.discountSuspension(now)
	t.lastCheck = now
	ops, expired, zones := t.collect(now)
	ops = append(ops, t.resolveExpired(expired, zones, now)...)
	ops = append(ops, t.warmUpSteps(now)...)
	slices.SortFunc(ops, func(a, b state.Op) int { return cmp.Compare(a.UID, b.UID) })
	return ops
}

// discountSuspension gives back the time in which this process was suspended: nobody could renew, and who tried is not known.
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
}

// collect returns the writes that need no judgement, the uids of leases that have expired, and the count of leases by zone.
func (t *leaseTable) collect(now time.Duration) (ops []state.Op, expired []string, zones map[string]*zoneLeases) {
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

// resolveExpired returns what becomes of expired leases, by the guard.
func (t *leaseTable) resolveExpired(expired []string, zones map[string]*zoneLeases, now time.Duration) (ops []state.Op) {
	massExpiry := t.guard.zonesWithMassExpiry(zones)
	for _, uid := range expired {
		l := t.byUID[uid]
		age := now - l.expiredAt
		switch {
		case !massExpiry[l.zone] && (!l.suspect || len(massExpiry) == 0):
			if age >= t.guard.settleTime() {
				ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: l.token})
			}
		case len(massExpiry) == 1 && len(zones) > 1 && age >= t.guard.ConfirmAfter:
			ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: l.token})
		case !l.suspect:
			ops = append(ops, state.Op{Kind: state.OpSuspect, UID: uid, Token: l.token})
		}
	}
	return ops
}
