package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// ExpiryGuard says when ended leases are not believed.
//
// A lease that ends is believed, and its entry goes, unless within Window at least Least leases have ended, and with them
// those of more than Share of the zone's entries. Then that zone's entries stay as suspects. If every other zone (and
// there is one) renews as ever, the zone is taken for lost after Confirm, and its suspects go. If two zones or more
// end together, or there is no other, the fault is likelier between the registry and the servers: suspects
// stay until they renew, or an operator says that they are gone.
//
// Where it must fail: a cut between the registry and one zone alone looks like that zone's loss, and its servers go
// after Confirm though clients may reach them; and when two zones are truly lost at once, their servers stay listed.
type ExpiryGuard struct {
	MaxZoneShare float64
	MinExpired   int
	Window       time.Duration
	ConfirmAfter time.Duration
}

// lease is what the leader knows of one entry's holder.
type lease struct {
	token   int64
	zone    string
	ttl     time.Duration
	ends    time.Duration // on the leader's clock
	ended   time.Duration // when it did; 0: it has not
	suspect bool          // the State says so too
	alone   bool          // its end is believed whatever else ends
}

// warming is a unit that has started and is cold.
type warming struct {
	token int64
	since time.Duration // when this leader first knew of it
	from  float64       // how cold it was then
	cold  float64       // and is, as the State has it
}

// waiting is a permit that has not begun.
type waiting struct {
	token int64
	since time.Duration
}

// leases are kept by the leader alone, in memory and on a clock that only it reads: the time since it began to lead. A
// new leader gives every lease its whole time anew, as it cannot know what was renewed. What follows from an ending is
// proposed as a write, so it comes to nothing when another leads by then.
type leases struct {
	guard ExpiryGuard
	byUID map[string]*lease
	last  time.Duration // the last look

	warmFor  time.Duration // units take to warm up
	lapse    time.Duration // a permit has to begin
	warmings map[string]*warming
	permits  map[string]waiting
}

func newLeases(g ExpiryGuard, entries []*state.Instance, now time.Duration) *leases {
	l := &leases{guard: g, byUID: map[string]*lease{}, last: now, warmings: map[string]*warming{}, permits: map[string]waiting{}}
	for _, e := range entries {
		l.hold(e, now)
	}
	return l
}

// hold begins, or begins anew, the lease of an entry as the State has it.
func (l *leases) hold(e *state.Instance, now time.Duration) {
	l.warm(e, now)
	if e.State == state.Deleted || e.TTLMS == 0 {
		delete(l.byUID, e.UID)
		return
	}
	ttl := time.Duration(e.TTLMS) * time.Millisecond
	if old := l.byUID[e.UID]; old != nil && old.token == e.Token {
		old.zone, old.ttl, old.suspect = e.Zone, ttl, e.Suspect
		return
	}
	l.byUID[e.UID] = &lease{token: e.Token, zone: e.Zone, ttl: ttl, ends: now + ttl, suspect: e.Suspect, alone: e.Role == state.RoleController}
}

// warm begins, or goes on with, the warming up of an entry as the State has it.
func (l *leases) warm(e *state.Instance, now time.Duration) {
	switch w := l.warmings[e.UID]; {
	case e.State == state.Deleted || e.WarmUpDeficit == 0:
		delete(l.warmings, e.UID)
	case w != nil && w.token == e.Token:
		w.cold = e.WarmUpDeficit
	default:
		l.warmings[e.UID] = &warming{e.Token, now, e.WarmUpDeficit, e.WarmUpDeficit}
	}
}

// warmSteps is in how many writes a unit warms up.
const warmSteps = 4

// warmer says how cold units are now, step by step and evenly over the time that the limits give.
func (l *leases) warmer(now time.Duration) (ops []state.Op) {
	for uid, w := range l.warmings {
		share := 1.0
		if l.warmFor > 0 {
			share = math.Floor(warmSteps*float64(now-w.since)/float64(l.warmFor)) / warmSteps
		}
		if cold := w.from * (1 - min(share, 1)); cold < w.cold {
			ops = append(ops, state.Op{Kind: state.OpWarmUp, UID: uid, Token: w.token, WarmUpDeficit: &cold})
		}
	}
	return ops
}

// defaultLapse is how long a permit has to begin where the limits do not say.
const defaultLapse = 2 * time.Second

// lapses ends the permits that have not begun in time. held are those that have not begun.
func (l *leases) lapses(held []*disruption.Permit, now time.Duration) (ops []state.Op) {
	still := map[string]waiting{}
	for _, p := range held {
		w, known := l.permits[p.Unit]
		if !known || w.token != p.Token {
			w = waiting{p.Token, now}
		}
		still[p.Unit] = w
		if now-w.since >= l.lapse {
			ops = append(ops, state.Op{Kind: state.OpReturnPermit, UID: p.Unit, Token: p.Token})
		}
	}
	l.permits = still
	return ops
}

// renew gives a lease its whole time again; false: there is none with this token.
func (l *leases) renew(uid string, token int64, now time.Duration) bool {
	h := l.byUID[uid]
	if h == nil || h.token != token {
		return false
	}
	h.ends, h.ended = now+h.ttl, 0
	return true
}

// stalledAfter is how long the leader may go without a look before it takes itself for the one that stood still.
const stalledAfter = time.Second

// look says what is to be written at a time.
func (l *leases) look(now time.Duration) []state.Op {
	if gap := now - l.last; gap > stalledAfter {
		// Nobody could renew while this process stood still.
		for _, h := range l.byUID {
			h.ends += gap
		}
		for _, w := range l.warmings { // nor is it known who ran
			w.since += gap
		}
	}
	l.last = now
	type zone struct{ all, lost int }
	zones := map[string]*zone{}
	var ended []string
	lost := 0
	var ops []state.Op
	for uid, h := range l.byUID {
		if h.alone {
			if now >= h.ends {
				ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: h.token})
			}
			continue
		}
		z := zones[h.zone]
		if z == nil {
			z = &zone{}
			zones[h.zone] = z
		}
		z.all++
		if now < h.ends {
			if h.suspect {
				ops = append(ops, state.Op{Kind: state.OpTrust, UID: uid, Token: h.token})
			}
			continue
		}
		if h.ended == 0 {
			h.ended = now
		}
		ended = append(ended, uid)
		if now-h.ended <= l.guard.Window || h.suspect {
			z.lost++
			lost++
		}
	}
	massive := map[string]bool{}
	for name, z := range zones {
		if lost >= l.guard.MinExpired && float64(z.lost) > l.guard.MaxZoneShare*float64(z.all) {
			massive[name] = true
		}
	}
	for _, uid := range ended {
		h := l.byUID[uid]
		switch {
		case !massive[h.zone] && (!h.suspect || len(massive) == 0):
			// Few end: wait a moment, for the rest of a zone to end too.
			if now-h.ended >= l.settle() {
				ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: h.token})
			}
		case len(massive) == 1 && len(zones) > 1 && now-h.ended >= l.guard.ConfirmAfter:
			ops = append(ops, state.Op{Kind: state.OpExpire, UID: uid, Token: h.token})
		case !h.suspect:
			ops = append(ops, state.Op{Kind: state.OpSuspect, UID: uid, Token: h.token})
		}
	}
	ops = append(ops, l.warmer(now)...)
	slices.SortFunc(ops, func(a, b state.Op) int { return cmp.Compare(a.UID, b.UID) })
	return ops
}

// settle is how long an ended lease waits for others: heartbeats are spread, so leases that are lost together end over
// some time.
func (l *leases) settle() time.Duration { return l.guard.Window / 2 }
