package disruption

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Permit allows its holder to take one incarnation of one unit out of service.
type Permit struct {
	Unit            string  `json:"unit"`
	Incarnation     int64   `json:"start"`
	StartTimeMS     float64 `json:"boot"`  // of that incarnation, in Unix milliseconds
	Token           int64   `json:"token"` // identifies this permit; later permits have higher ones
	Holder          string  `json:"holder"`
	Plan            string  `json:"plan,omitempty"` // the release that it belongs to; empty: none
	TargetVersion   string  `json:"to,omitempty"`   // the version that the unit is to return with; empty: any
	Begun           bool    `json:"begun"`          // the holder may have taken the unit out
	SeenUnavailable bool    `json:"seen_out"`       // the unit has been unavailable since then
}

// observe records what a unit's present state says about its permit, and reports whether the permit ends.
func (p *Permit) observe(u *Unit) bool {
	restarted := u.StartTimeMS > p.StartTimeMS // an earlier start is one that a restored backup knows
	if p.Begun && (u.UnavailableFraction > 0 || restarted) {
		p.SeenUnavailable = true
	}
	return u.UnavailableFraction == 0 && (p.SeenUnavailable || restarted)
}

// Errors of [Budget.Begin].
var (
	ErrPermitNotFound = errors.New("there is no such permit")
	ErrUnitRestarted  = errors.New("the unit has started anew since")
)

// Grant grants a permit for the present incarnation of a unit, or returns an error that says with the figures why not. A
// holder that asks again for the same incarnation, plan and version gets the permit that it has. replacesPlan names a plan
// whose permit for the unit, once it has begun, is replaced by the new one: the unit is unavailable already, so the
// budget is not checked.
func (b *Budget) Grant(p Permit, replacesPlan string) (*Permit, error) {
	u := b.units[p.Unit]
	if u == nil {
		return nil, fmt.Errorf("no unit %q", p.Unit)
	}
	if u.Incarnation != p.Incarnation {
		return nil, fmt.Errorf("%s: start %d is asked for, and start %d runs", p.Unit, p.Incarnation, u.Incarnation)
	}
	p.StartTimeMS = u.StartTimeMS
	if has := b.permits[p.Unit]; has != nil {
		return b.grantAgain(has, p, replacesPlan)
	}
	if err := b.checkLimits(u); err != nil {
		return nil, err
	}
	p.Begun, p.SeenUnavailable = false, false
	b.setPermit(u, &p)
	return &p, nil
}

// grantAgain answers a request for a permit of a unit that has one.
func (b *Budget) grantAgain(has *Permit, p Permit, replacesPlan string) (*Permit, error) {
	if replacesPlan != "" && has.Plan == replacesPlan && has.Begun {
		p.Begun, p.SeenUnavailable = true, has.SeenUnavailable
		b.permits[p.Unit] = &p
		return &p, nil
	}
	if has.Incarnation == p.Incarnation && has.Holder == p.Holder && has.Plan == p.Plan && has.TargetVersion == p.TargetVersion {
		return has, nil
	}
	return nil, fmt.Errorf("%s: %s holds a permit for it", p.Unit, has.Holder)
}

// checkLimits returns an error if the rest of a unit's capacity cannot become unavailable within every limit.
func (b *Budget) checkLimits(u *Unit) error {
	limit := b.limits[u.Tier]
	if limit == nil {
		return fmt.Errorf("%s: no limit says how much of tier %q may be out", u.ID, u.Tier)
	}
	fractions := limit.fractions()
	more := millionths(u.Capacity) - b.unavailableCapacity(u)
	for kind, k := range scopesOf(u) {
		if fractions[kind] == nil {
			continue
		}
		s, fraction := b.sums[k], *fractions[kind]
		if most := allowed(fraction, s.capacity); s.unavailable+more > most {
			return fmt.Errorf("%s: %s has %.4g of %.4g out and %.4g more would be, where %.4g may be (%.4g)",
				u.ID, k, fromMillionths(s.unavailable), fromMillionths(s.capacity), fromMillionths(more), fromMillionths(most), fraction)
		}
	}
	return nil
}

// setPermit puts a permit in place, or with nil removes the unit's, and keeps the sums right.
func (b *Budget) setPermit(u *Unit, p *Permit) {
	b.count(u, -1)
	if p == nil {
		delete(b.permits, u.ID)
	} else {
		b.permits[u.ID] = p
	}
	b.count(u, 1)
}

// Begin marks the permit of a unit with this token as begun: its holder may take the unit out from now on. A repeated call
// changes nothing. The errors are [ErrPermitNotFound] and, for a permit that has not begun, [ErrUnitRestarted].
func (b *Budget) Begin(unit string, token int64) (*Permit, error) {
	p := b.permits[unit]
	if p == nil || p.Token != token {
		return nil, fmt.Errorf("%s: %w", unit, ErrPermitNotFound)
	}
	u := b.units[unit]
	if u == nil || u.Incarnation != p.Incarnation && !p.Begun {
		return nil, fmt.Errorf("%s: %w", unit, ErrUnitRestarted)
	}
	p.Begun = true
	if u.UnavailableFraction > 0 {
		p.SeenUnavailable = true
	}
	return p, nil
}

// Return ends the permit of a unit with this token if it has not begun, and reports whether it did.
func (b *Budget) Return(unit string, token int64) bool {
	p := b.permits[unit]
	if p == nil || p.Token != token || p.Begun {
		return false
	}
	b.setPermit(b.units[unit], nil)
	return true
}

// Restore puts a stored permit in place. It is ignored if its unit has been decommissioned.
func (b *Budget) Restore(p Permit) {
	if u := b.units[p.Unit]; u != nil {
		b.setPermit(u, &p)
	}
}

// Permit returns the permit of a unit, or nil.
func (b *Budget) Permit(unit string) *Permit { return b.permits[unit] }

// Permits returns all permits by ascending ID of their units.
func (b *Budget) Permits() []*Permit {
	permits := make([]*Permit, 0, len(b.permits))
	for _, id := range slices.Sorted(maps.Keys(b.permits)) {
		permits = append(permits, b.permits[id])
	}
	return permits
}
