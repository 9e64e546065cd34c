package disruption

// Unit is a server or a node process.
type Unit struct {
	ID                  string
	Incarnation         int64   // fencing token of its current process
	StartTimeMS         float64 // start of that process by the unit's clock, in Unix milliseconds; higher for a later process
	Tier                string
	Zone                string
	Region              string
	Rack                int
	Capacity            float64 // not negative; in the same unit of measure as in the endpoint list
	UnavailableFraction float64 // fraction of its capacity that is unavailable
	Reason              string  // why UnavailableFraction is above 0
}

// ReasonUnreachable is the Reason of a [Unit] whose lease has ended or that has deregistered.
const ReasonUnreachable = "missing"

// Budget holds the units, limits and permits of a site. Its methods must not be called concurrently.
type Budget struct {
	limits  map[string]*Limit  // by tier
	units   map[string]*Unit   // by the unit's ID
	permits map[string]*Permit // by the unit's ID
	sums    map[scope]*sum     // of the scopes that contain a unit
}

// NewBudget returns a Budget without units, limits and permits. It grants no permits until units and limits are set.
func NewBudget() *Budget {
	return &Budget{limits: map[string]*Limit{}, units: map[string]*Unit{}, permits: map[string]*Permit{}, sums: map[scope]*sum{}}
}

// SetLimits replaces all limits. Granted permits remain, even if they exceed the new limits.
func (b *Budget) SetLimits(limits Limits) {
	clear(b.limits)
	for i := range limits.Tiers {
		b.limits[limits.Tiers[i].Tier] = &limits.Tiers[i]
	}
}

// SetUnit adds a unit or updates its state. It returns the permit that ends with the update, or nil.
func (b *Budget) SetUnit(u Unit) (ended *Permit) {
	if old := b.units[u.ID]; old != nil {
		b.count(old, -1)
	}
	u.UnavailableFraction = min(max(u.UnavailableFraction, 0), 1)
	if p := b.permits[u.ID]; p != nil && p.observe(&u) {
		ended = p
		delete(b.permits, u.ID)
	}
	b.units[u.ID] = &u
	b.count(&u, 1)
	return ended
}

// Decommission removes a unit permanently. It returns the unit's permit, which ends, or nil.
func (b *Budget) Decommission(id string) (ended *Permit) {
	if u := b.units[id]; u != nil {
		b.count(u, -1)
		delete(b.units, id)
	}
	ended = b.permits[id]
	delete(b.permits, id)
	return ended
}

// unavailableCapacity returns how much of a unit's capacity counts as unavailable, in millionths: all of it while the unit has
// a permit.
func (b *Budget) unavailableCapacity(u *Unit) int64 {
	if b.permits[u.ID] != nil {
		return millionths(u.Capacity)
	}
	return millionths(u.Capacity * u.UnavailableFraction)
}

// count adds a unit to the sums of its scopes (sign 1) or subtracts it (sign -1). A unit must be subtracted before its fields
// change or its permit is added or removed, and added again afterwards.
func (b *Budget) count(u *Unit, sign int) {
	for _, k := range scopesOf(u) {
		s := b.sums[k]
		if s == nil {
			s = &sum{}
			b.sums[k] = s
		}
		s.units += sign
		s.capacity += int64(sign) * millionths(u.Capacity)
		s.unavailable += int64(sign) * b.unavailableCapacity(u)
		if s.units == 0 {
			delete(b.sums, k)
		}
	}
}
