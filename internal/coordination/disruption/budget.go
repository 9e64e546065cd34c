// Package disruption decides what may be out of service at once. It is pure: facts about units and permits go in, and the
// same facts in the same order give the same decisions everywhere.
//
// What holds: at no time do permits and what does not serve without one exceed a limit by a permit's doing. A
// permit counts as its unit's whole capacity from the moment it is given until its unit has been seen out and then
// back and whole, or was declared gone; what faults have taken counts before any permit, and while they alone take
// more than a limit allows no permit is given.
package disruption

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Unit is one thing that serves: a server, or a node's process.
type Unit struct {
	ID               string
	Incarnation      int64   // names its present start
	StartTimeMS      float64 // when that was, by the unit's own word; a later start has a higher one
	Tier             string
	Zone             string
	Region           string
	Rack             int
	Capacity         float64 // above 0
	UnavailableShare float64 // the share of its capacity that does not serve, from 0 to 1
	Reason           string  // it is out
}

// SetLimits is how much of a tier's capacity may be out at once, as shares from 0 to 1: of the whole tier, and within each
// of its zones, regions and racks. 1 is no limit, nil means 1.
type Limit struct {
	Tier   string   `json:"tier" toml:"tier"`
	Total  *float64 `json:"whole,omitempty" toml:"whole"`
	Zone   *float64 `json:"zone,omitempty" toml:"zone"`
	Region *float64 `json:"region,omitempty" toml:"region"`
	Rack   *float64 `json:"rack,omitempty" toml:"rack"`
}

// Limits are all limits of a site, and how its units warm up. A tier without a limit gets no permits: what nobody has
// thought about must not be taken out by a machine.
type Limits struct {
	Tiers          []Limit `json:"tiers" toml:"tier"`
	InitialShare   float64 `json:"cold_from" toml:"cold_from"` // share of its capacity that a unit has when it starts
	WarmUpMS       int64   `json:"warm_ms" toml:"warm_ms"`     // after its start it is warm, in milliseconds; 0: at once
	PermitExpiryMS int64   `json:"lapse_ms" toml:"lapse_ms"`   // a permit ends that has not begun by then, in milliseconds; 0: 2,000
}

// Validate says what is wrong with limits, by key.
func (l *Limits) Validate() error {
	seen := map[string]bool{}
	for i, t := range l.Tiers {
		if t.Tier == "" {
			return fmt.Errorf("tier[%d].tier: missing", i)
		}
		if seen[t.Tier] {
			return fmt.Errorf("tier[%d].tier: %q stands twice", i, t.Tier)
		}
		seen[t.Tier] = true
		for key, share := range map[string]*float64{"whole": t.Total, "zone": t.Zone, "region": t.Region, "rack": t.Rack} {
			if share != nil && !(*share >= 0 && *share <= 1) {
				return fmt.Errorf("tier[%d].%s: %v is no share from 0 to 1", i, key, *share)
			}
		}
		if t.Total == nil {
			return fmt.Errorf("tier[%d].whole: missing: how much of %s may be out at once", i, t.Tier)
		}
	}
	switch {
	case len(l.Tiers) == 0:
		return errors.New("tier: none is named")
	case !(l.InitialShare >= 0 && l.InitialShare <= 1):
		return fmt.Errorf("cold_from: %v is no share from 0 to 1", l.InitialShare)
	case l.WarmUpMS < 0 || l.PermitExpiryMS < 0:
		return errors.New("warm_ms, lapse_ms: a time cannot be negative")
	}
	return nil
}

// Permit lets its holder take one start of one unit out.
type Permit struct {
	Unit            string  `json:"unit"`
	Incarnation     int64   `json:"start"`
	StartTimeMS     float64 `json:"boot"`  // of that start
	Token           int64   `json:"token"` // names this permit; later ones have higher ones
	Holder          string  `json:"holder"`
	Plan            string  `json:"plan,omitempty"` // the release that it belongs to
	TargetVersion   string  `json:"to,omitempty"`   // the version that the unit is to come back with
	Begun           bool    `json:"begun"`          // its holder may have taken the unit out
	SeenUnavailable bool    `json:"seen_out"`       // and it was
}

// scope is a part of a fleet that a limit holds for.
type scope struct{ tier, by, name string }

func (s scope) String() string {
	if s.by == "" {
		return "tier " + s.tier
	}
	return fmt.Sprintf("%s %s of tier %s", s.by, s.name, s.tier)
}

// sum is what a scope has, and what of it is out, in millionths: whole numbers add up to the same in any order, and one
// replica may have added up what another has read from a snapshot.
type sum struct {
	units         int
	capacity, out int64
}

func millionths(v float64) int64 { return int64(math.Round(v * 1e6)) }

func whole(v int64) float64 { return float64(v) / 1e6 }

// may is what of a capacity may be out.
func may(share float64, capacity int64) int64 { return int64(math.Round(share * float64(capacity))) }

// Budget holds all units, limits and permits.
type Budget struct {
	limits  map[string]*Limit
	units   map[string]*Unit
	permits map[string]*Permit
	sums    map[scope]*sum
}

// NewBudget returns an empty Ledger without limits.
func NewBudget() *Budget {
	return &Budget{limits: map[string]*Limit{}, units: map[string]*Unit{}, permits: map[string]*Permit{}, sums: map[scope]*sum{}}
}

// SetLimits puts limits in place. What is out already stays out, whatever they say.
func (l *Budget) SetLimits(limits Limits) {
	clear(l.limits)
	for i := range limits.Tiers {
		l.limits[limits.Tiers[i].Tier] = &limits.Tiers[i]
	}
}

func scopes(u *Unit) [4]scope {
	return [4]scope{{tier: u.Tier}, {u.Tier, "zone", u.Zone}, {u.Tier, "region", u.Region}, {u.Tier, "rack", fmt.Sprint(u.Rack)}}
}

// outOf is how much of a unit's capacity counts as out.
func (l *Budget) outOf(u *Unit) int64 {
	if l.permits[u.ID] != nil {
		return millionths(u.Capacity)
	}
	return millionths(u.Capacity * u.UnavailableShare)
}

// count adds a unit to its scopes, or takes it out of them.
func (l *Budget) count(u *Unit, sign int) {
	for _, k := range scopes(u) {
		s := l.sums[k]
		if s == nil {
			s = &sum{}
			l.sums[k] = s
		}
		s.units += sign
		s.capacity += int64(sign) * millionths(u.Capacity)
		s.out += int64(sign) * l.outOf(u)
		if s.units == 0 {
			delete(l.sums, k)
		}
	}
}

// SetUnit notes a unit as it is now, and gives the permit that this ends, if any: its unit was seen out, or has started
// anew, and is whole again.
func (l *Budget) SetUnit(u Unit) (freed *Permit) {
	if old := l.units[u.ID]; old != nil {
		l.count(old, -1)
	}
	u.UnavailableShare = min(max(u.UnavailableShare, 0), 1)
	if p := l.permits[u.ID]; p != nil {
		moved := u.StartTimeMS > p.StartTimeMS // an earlier one is what a backup knows
		if p.Begun && (u.UnavailableShare > 0 || moved) {
			p.SeenUnavailable = true
		}
		if u.UnavailableShare == 0 && (p.SeenUnavailable || moved) {
			freed = p
			delete(l.permits, u.ID)
		}
	}
	l.units[u.ID] = &u
	l.count(&u, 1)
	return freed
}

// ReasonUnreachable is why a unit is out that nobody hears from.
const ReasonUnreachable = "missing"

// Decommission forgets a unit that is declared gone, and gives the permit that this ends, if any.
func (l *Budget) Decommission(id string) (freed *Permit) {
	if u := l.units[id]; u != nil {
		l.count(u, -1)
		delete(l.units, id)
	}
	freed = l.permits[id]
	delete(l.permits, id)
	return freed
}

// Grant gives a permit for one start of a unit, or says with the arithmetic why not. The same holder that asks for the
// same start again gets the permit that it has. over names a plan whose permit this one may replace, once it has begun:
// the unit is out already, and nothing more is taken.
func (l *Budget) Grant(p Permit, over string) (*Permit, error) {
	u := l.units[p.Unit]
	if u == nil {
		return nil, fmt.Errorf("no unit %q", p.Unit)
	}
	if u.Incarnation != p.Incarnation {
		return nil, fmt.Errorf("%s: start %d is asked for, and start %d runs", p.Unit, p.Incarnation, u.Incarnation)
	}
	if has := l.permits[p.Unit]; has != nil {
		if over != "" && has.Plan == over && has.Begun {
			p.StartTimeMS, p.Begun, p.SeenUnavailable = u.StartTimeMS, true, has.SeenUnavailable
			l.permits[p.Unit] = &p
			return &p, nil
		}
		if has.Incarnation == p.Incarnation && has.Holder == p.Holder && has.Plan == p.Plan && has.TargetVersion == p.TargetVersion {
			return has, nil
		}
		return nil, fmt.Errorf("%s: %s holds a permit for it", p.Unit, has.Holder)
	}
	if err := l.fits(u); err != nil {
		return nil, err
	}
	l.count(u, -1)
	p.StartTimeMS, p.Begun, p.SeenUnavailable = u.StartTimeMS, false, false
	l.permits[p.Unit] = &p
	l.count(u, 1)
	return &p, nil
}

// fits says why a unit cannot be taken out beside what is out already.
func (l *Budget) fits(u *Unit) error {
	limit := l.limits[u.Tier]
	if limit == nil {
		return fmt.Errorf("%s: no limit says how much of tier %q may be out", u.ID, u.Tier)
	}
	shares := [4]*float64{limit.Total, limit.Zone, limit.Region, limit.Rack}
	more := millionths(u.Capacity) - l.outOf(u)
	for i, k := range scopes(u) {
		if shares[i] == nil {
			continue
		}
		s := l.sums[k]
		if may := may(*shares[i], s.capacity); s.out+more > may {
			return fmt.Errorf("%s: %s has %.4g of %.4g out and %.4g more would be, where %.4g may be (%.4g)",
				u.ID, k, whole(s.out), whole(s.capacity), whole(more), whole(may), *shares[i])
		}
	}
	return nil
}

// Errors of Begin.
var (
	ErrPermitNotFound = errors.New("there is no such permit")
	ErrUnitRestarted  = errors.New("the unit has started anew since")
)

// Begin marks a permit as begun: from now on its unit may be out. To begin again changes nothing.
func (l *Budget) Begin(unit string, token int64) (*Permit, error) {
	p := l.permits[unit]
	if p == nil || p.Token != token {
		return nil, fmt.Errorf("%s: %w", unit, ErrPermitNotFound)
	}
	u := l.units[unit]
	if u == nil || u.Incarnation != p.Incarnation && !p.Begun {
		return nil, fmt.Errorf("%s: %w", unit, ErrUnitRestarted)
	}
	p.Begun = true
	if u.UnavailableShare > 0 {
		p.SeenUnavailable = true
	}
	return p, nil
}

// Return ends a permit that has not begun; false: there is none.
func (l *Budget) Return(unit string, token int64) bool {
	p := l.permits[unit]
	if p == nil || p.Token != token || p.Begun {
		return false
	}
	u := l.units[unit]
	l.count(u, -1)
	delete(l.permits, unit)
	l.count(u, 1)
	return true
}

// Restore puts a permit in place as it was kept, beside its unit.
func (l *Budget) Restore(p Permit) {
	u := l.units[p.Unit]
	if u == nil {
		return // declared gone
	}
	l.count(u, -1)
	l.permits[p.Unit] = &p
	l.count(u, 1)
}

// Permit gives a unit's permit, or nil.
func (l *Budget) Permit(unit string) *Permit { return l.permits[unit] }

// Permits are all permits, by unit.
func (l *Budget) Permits() []*Permit {
	out := make([]*Permit, 0, len(l.permits))
	for _, id := range slices.Sorted(maps.Keys(l.permits)) {
		out = append(out, l.permits[id])
	}
	return out
}

// Usage is how much of a scope is out, and how much may be.
type Usage struct {
	Scope       string  `json:"scope"`
	Capacity    float64 `json:"capacity"`
	Unavailable float64 `json:"out"`
	Allowed     float64 `json:"may"`
}

// Usages are all limits that hold now, the fullest first.
func (l *Budget) Usages() []Usage {
	var out []Usage
	for k, s := range l.sums {
		limit := l.limits[k.tier]
		if limit == nil {
			continue
		}
		share := map[string]*float64{"": limit.Total, "zone": limit.Zone, "region": limit.Region, "rack": limit.Rack}[k.by]
		if share != nil {
			out = append(out, Usage{k.String(), whole(s.capacity), whole(s.out), whole(may(*share, s.capacity))})
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Unavailable-b.Allowed, a.Unavailable-a.Allowed), cmp.Compare(a.Scope, b.Scope))
	})
	return out
}

// UnavailableShare is a unit that does not serve fully.
type UnavailableUnit struct {
	Unit      string  `json:"unit"`
	Share     float64 `json:"share"` // of its capacity
	Reason    string  `json:"why"`
	Permitted bool    `json:"permitted"`
}

// UnavailableUnits are all units that are out, or for which there is a permit.
func (l *Budget) UnavailableUnits() []UnavailableUnit {
	var out []UnavailableUnit
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		u, p := l.units[id], l.permits[id]
		if u.UnavailableShare > 0 || p != nil {
			o := UnavailableUnit{id, u.UnavailableShare, u.Reason, p != nil}
			if p != nil && u.UnavailableShare == 0 {
				o.Reason = "permitted"
			}
			out = append(out, o)
		}
	}
	return out
}
