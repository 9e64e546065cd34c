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
	StartTimeMS     float64 `json:"boot"`  // start of that incarnation's process, in Unix milliseconds
	Token           int64   `json:"token"` // identifies the permit; later permits have higher tokens
	Holder          string  `json:"holder"`
	Plan            string  `json:"plan,omitempty"` // release that the permit belongs to; empty if it belongs to none
	TargetVersion   string  `json:"to,omitempty"`   // version that the unit must run when it returns; empty if any
	Begun           bool    `json:"begun"`          // the holder may have taken the unit out of service
	SeenUnavailable bool    `json:"seen_out"`       // the unit has been unavailable or has restarted since the permit began
}

// observe updates the permit from its unit's current state, and reports whether the permit ends.
func (p *Permit) observe(u *Unit) bool {
	restarted := u.StartTimeMS > p.StartTimeMS // an earlier start time is no restart: it comes from a restored backup
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

// Grant grants a permit for the current incarnation of a unit. If the permit would exceed a limit, the error names the limit
// with its figures. Grant also fails if the unit is unknown, runs another incarnation or has another permit, or if its tier has
// no limit. A repeated request for the same holder, incarnation, plan and version returns the existing permit. If the unit's
// permit belongs to the plan replacesPlan and has begun, the new permit replaces it. The limits are not checked then, since the
// unit already counts as unavailable. The caller must not change the returned permit.
func (b *Budget) Grant(p Permit, replacesPlan string) (*Permit, error) {
	u := b.units[p.Unit]
	if u == nil {
		return nil, fmt.Errorf("no unit %q", p.Unit)
	}
	if u.Incarnation != p.Incarnation {
		return nil, fmt.Errorf("%s: start %d is asked for, and start %d runs", p.Unit, p.Incarnation, u.Incarnation)
	}
	p.StartTimeMS = u.StartTimeMS
	if held := b.permits[p.Unit]; held != nil {
		return b.grantAgain(held, p, replacesPlan)
	}
	if err := b.checkLimits(u); err != nil {
		return nil, err
	}
	p.Begun, p.SeenUnavailable = false, false
	b.setPermit(u, &p)
	return &p, nil
}

// grantAgain handles a request for a unit that already has a permit.
func (b *Budget) grantAgain(held *Permit, p Permit, replacesPlan string) (*Permit, error) {
	if replacesPlan != "" && held.Plan == replacesPlan && held.Begun {
		p.Begun, p.SeenUnavailable = true, held.SeenUnavailable
		b.permits[p.Unit] = &p
		return &p, nil
	}
	if held.Incarnation == p.Incarnation && held.Holder == p.Holder && held.Plan == p.Plan && held.TargetVersion == p.TargetVersion {
		return held, nil
	}
	return nil, fmt.Errorf("%s: %s holds a permit for it", p.Unit, held.Holder)
}

// checkLimits returns an error if the tier of a unit has no limit, or if a limit would be exceeded while the unit's whole
// capacity is unavailable. The error names the first such limit.
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

// setPermit sets the permit of a unit, or removes it if p is nil, and updates the sums.
func (b *Budget) setPermit(u *Unit, p *Permit) {
	b.count(u, -1)
	if p == nil {
		delete(b.permits, u.ID)
	} else {
		b.permits[u.ID] = p
	}
	b.count(u, 1)
}

// Begin marks the permit with this token as begun. From then on its holder may take the unit out of service. A repeated call
// has no further effect. The error wraps [ErrPermitNotFound] if the unit has no permit with this token, and [ErrUnitRestarted]
// if the permit has not begun and is for another incarnation than the unit's current one.
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

// Return ends the permit with this token if it has not begun, and reports whether it ended.
func (b *Budget) Return(unit string, token int64) bool {
	p := b.permits[unit]
	if p == nil || p.Token != token || p.Begun {
		return false
	}
	b.setPermit(b.units[unit], nil)
	return true
}

// Restore sets a permit that was loaded from a snapshot. It has no effect if the unit has been decommissioned.
func (b *Budget) Restore(p Permit) {
	if u := b.units[p.Unit]; u != nil {
		b.setPermit(u, &p)
	}
}

// Permit returns the permit of a unit, or nil. The caller must not change it.
func (b *Budget) Permit(unit string) *Permit { return b.permits[unit] }

// Permits returns all permits in ascending order of their units' IDs. The caller must not change them.
func (b *Budget) Permits() []*Permit {
	permits := make([]*Permit, 0, len(b.permits))
	for _, id := range slices.Sorted(maps.Keys(b.permits)) {
		permits = append(permits, b.permits[id])
	}
	return permits
}
