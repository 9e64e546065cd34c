package disruption

// Unit is a server or a node process.
type Unit struct {
	ID                  string
	Incarnation         int64   // fencing token of its present process
	StartTimeMS         float64 // when that process started, by the unit's clock, in Unix milliseconds; a later one has a higher value
	Tier                string
	Zone                string
	Region              string
	Rack                int
	Capacity            float64 // above 0
	UnavailableFraction float64 // fraction of its capacity that does not serve
	Reason              string  // why UnavailableFraction is not 0
}

// ReasonUnreachable is the reason of a unit whose lease has ended or that has left.
const ReasonUnreachable = "missing"

// Budget holds the units, limits and permits of a site. Its methods may not be called concurrently.
type Budget struct {
	limits  map[string]*Limit  // by tier
	units   map[string]*Unit   // by ID
	permits map[string]*Permit // by the unit's ID
	sums    map[scope]*sum     // of the scopes that have a unit
}

// NewBudget returns a Budget without units and limits.
func NewBudget() *Budget {
	return &Budget{limits: map[string]*Limit{}, units: map[string]*Unit{}, permits: map[string]*Permit{}, sums: map[scope]*sum{}}
}

// SetLimits replaces all limits. Permits that exceed the new limits remain.
func (b *Budget) SetLimits(limits Limits) {
	clear(b.limits)
	for i := range limits.Tiers {
		b.limits[limits.Tiers[i].Tier] = &limits.Tiers[i]
	}
}

// SetUnit records a unit as it is now. It returns the permit that this ends, or nil.
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

// Decommission removes a unit that will not come back. It returns the permit that this ends, or nil.
func (b *Budget) Decommission(id string) (ended *Permit) {
	if u := b.units[id]; u != nil {
		b.count(u, -1)
		delete(b.units, id)
	}
	ended = b.permits[id]
	delete(b.permits, id)
	return ended
}

// unavailableCapacity is how much of a unit's capacity counts as unavailable, in millionths.
func (b *Budget) unavailableCapacity(u *Unit) int64 {
	if b.permits[u.ID] != nil {
		return millionths(u.Capacity)
	}
	return millionths(u.Capacity * u.UnavailableFraction)
}

// count adds a unit to the sums of its scopes (sign 1), or takes it out of them (sign -1). Between the two calls, neither
// the unit nor its permit may change.
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
