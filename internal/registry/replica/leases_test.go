package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// leaseSimulation runs the leases of servers s0, s1, ... with a state of its own.
type leaseSimulation struct {
	state  *state.State
	leases *leaseTable
}

// newLeaseSimulation registers one server for each element of zones, with a lease of one second.
func newLeaseSimulation(guard ExpiryGuard, zones []string) *leaseSimulation {
	s := state.New()
	for i, zone := range zones {
		s.Apply(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", i), Endpoint: "a:1", Zone: zone, State: state.Serving, TTLMS: 1000}})
	}
	return &leaseSimulation{s, newLeaseTable(guard, s.Instances(), 0)}
}

// check applies the writes that the leases require at the time now.
func (s *leaseSimulation) check(now time.Duration) {
	for _, op := range s.leases.check(now) {
		if _, changed := s.state.Apply(op); changed != nil {
			s.leases.track(changed, now)
		}
	}
}

// Instances are removed soon if few leases expire, and later if those of a single zone expire. If leases expire in several zones
// or in the only one, the instances stay as suspects until they renew.
func TestExpiryGuard(t *testing.T) {
	guard := ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 3, Window: 2 * time.Second, ConfirmAfter: 10 * time.Second}
	for name, c := range map[string]struct {
		zones    []string // the zone of each server
		stops    func(i int, zone string) bool
		gone     int // removed in the end
		early    int // removed within 4 s after the leases expired
		suspects int // that remain in the end
	}{
		"none":           {slices.Repeat([]string{"a", "b", "c"}, 10), func(int, string) bool { return false }, 0, 0, 0},
		"two":            {slices.Repeat([]string{"a", "b", "c"}, 10), func(i int, _ string) bool { return i < 2 }, 2, 2, 0},
		"a zone":         {slices.Repeat([]string{"a", "b", "c"}, 10), func(_ int, z string) bool { return z == "b" }, 10, 0, 0},
		"two zones":      {slices.Repeat([]string{"a", "b", "c"}, 10), func(_ int, z string) bool { return z != "b" }, 0, 0, 20},
		"everything":     {slices.Repeat([]string{"a", "b", "c"}, 10), func(int, string) bool { return true }, 0, 0, 30},
		"the only zone":  {slices.Repeat([]string{"a"}, 10), func(int, string) bool { return true }, 0, 0, 10},
		"a small zone":   {append(slices.Repeat([]string{"a"}, 10), "b", "b"), func(_ int, z string) bool { return z == "b" }, 2, 2, 0},
		"half of a zone": {slices.Repeat([]string{"a", "b"}, 10), func(i int, z string) bool { return z == "a" && i < 10 }, 5, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLeaseSimulation(guard, c.zones)
			early := 0
			for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
				for i, zone := range c.zones {
					stopped := now > 5*time.Second && c.stops(i, zone)
					if e := s.state.Get(fmt.Sprint("s", i)); e != nil && !stopped {
						s.leases.renew(e.UID, e.Token, now)
					}
				}
				s.check(now)
				if now == 10*time.Second { // renewals stopped at 5 s, and the leases expired at 6 s
					early = len(c.zones) - s.state.Len()
				}
			}
			gone, suspects := len(c.zones)-s.state.Len(), countSuspects(s.state)
			if gone != c.gone || early != c.early || suspects != c.suspects {
				t.Errorf("%d removed, %d of them early, %d suspects; want %d, %d, %d", gone, early, suspects, c.gone, c.early, c.suspects)
			}
			// Servers that were only cut off from the registry renew and are no longer suspects.
			for now := 40 * time.Second; now < 42*time.Second; now += 100 * time.Millisecond {
				for _, e := range s.state.Instances() {
					s.leases.renew(e.UID, e.Token, now)
				}
				s.check(now)
			}
			for _, e := range s.state.Instances() {
				if e.Suspect {
					t.Errorf("%s is still suspect", e.UID)
				}
			}
		})
	}
}

// A suspension of the leader does not let leases expire. A lease is renewed only with its UID and token.
func TestSuspendedLeader(t *testing.T) {
	s := state.New()
	s.Apply(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: "a", Endpoint: "a:1", State: state.Serving, TTLMS: 2000}})
	l := newLeaseTable(ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 3, Window: time.Second, ConfirmAfter: time.Second}, s.Instances(), 0)
	if ops := l.check(10 * time.Second); len(ops) > 0 {
		t.Errorf("writes after a suspension of 10 s: %+v", ops)
	}
	if !l.renew("a", s.Get("a").Token, 10*time.Second) || l.renew("a", 1, 10*time.Second) || l.renew("b", 1, 10*time.Second) {
		t.Error("lease not renewed with its token, or renewed with another token or UID")
	}
}

// A permit whose agent could not begin it, because the leader was suspended, does not expire because of that time.
func TestSuspensionExtendsPermits(t *testing.T) {
	leases := newLeaseTable(ExpiryGuard{}, nil, 0)
	leases.permitTimeout = 2 * time.Second
	waiting := []*disruption.Permit{{Unit: "a", Token: 7}}
	step := func(now time.Duration) []state.Op {
		leases.check(now)
		return leases.expirePermits(waiting, now)
	}
	for _, now := range []time.Duration{0, 10 * time.Second, 10100 * time.Millisecond} {
		if ops := step(now); len(ops) > 0 {
			t.Errorf("after %v, 10 s of it suspended: %+v", now, ops)
		}
	}
	for now := 10200 * time.Millisecond; now < 12*time.Second; now += 100 * time.Millisecond {
		if ops := step(now); len(ops) > 0 {
			t.Errorf("after %v, 10 s of it suspended: %+v", now, ops)
		}
	}
	if ops := step(12 * time.Second); len(ops) != 1 || ops[0].Kind != state.OpReturnPermit {
		t.Errorf("got %+v after 2 s without the suspension, want the return of the permit", ops)
	}
}
