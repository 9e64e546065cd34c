package disruption

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func fraction(v float64) *float64 { return &v }

func limits(total, zone float64) Limits {
	return Limits{Tiers: []Limit{{Tier: "web", Total: fraction(total), Zone: fraction(zone)}}}
}

func unit(i int) Unit {
	return Unit{ID: fmt.Sprint("s", i), Incarnation: 1, Tier: "web", Zone: []string{"a", "b"}[i%2], Rack: i / 2, Capacity: 1}
}

// modelBudget is a Budget and a copy of its units, from which the model computes the unavailable capacity independently.
type modelBudget struct {
	t           *rapid.T
	budget      *Budget
	units       map[string]*Unit
	ids         []string
	total, zone float64 // limits of the tier and of each zone
}

func newModelBudget(t *rapid.T) *modelBudget {
	m := &modelBudget{t: t, budget: NewBudget(), units: map[string]*Unit{}}
	m.total, m.zone = rapid.Float64Range(0, 1).Draw(t, "total"), rapid.Float64Range(0, 1).Draw(t, "zone")
	m.budget.SetLimits(limits(m.total, m.zone))
	for i := range rapid.IntRange(1, 8).Draw(t, "units") {
		u := unit(i)
		u.Capacity = rapid.Float64Range(0.1, 4).Draw(t, "capacity")
		m.units[u.ID] = &u
		m.budget.SetUnit(u)
		m.ids = append(m.ids, u.ID)
	}
	slices.Sort(m.ids)
	return m
}

// excess returns the larger of the amounts by which the tier and the zone of a unit exceed their limits, or zero if neither does.
func (m *modelBudget) excess(of *Unit) (worst float64) {
	for _, zone := range []string{"", of.Zone} {
		var capacity, unavailable float64
		for _, u := range m.units {
			if zone != "" && u.Zone != zone {
				continue
			}
			capacity += u.Capacity
			if m.budget.Permit(u.ID) != nil {
				unavailable += u.Capacity
			} else {
				unavailable += u.Capacity * u.UnavailableFraction
			}
		}
		allowed := m.total * capacity
		if zone != "" {
			allowed = m.zone * capacity
		}
		worst = max(worst, unavailable-allowed)
	}
	return worst
}

// step draws one event for a random unit and its permit, and checks its effect.
func (m *modelBudget) step(step int) {
	t, b := m.t, m.budget
	u := m.units[rapid.SampledFrom(m.ids).Draw(t, "unit")]
	had := b.Permit(u.ID)
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		u.UnavailableFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "unavailable")
		mustEnd := had != nil && (had.SeenUnavailable || u.StartTimeMS > had.StartTimeMS) && u.UnavailableFraction == 0
		if ended := b.SetUnit(*u); (ended != nil) != mustEnd {
			t.Fatalf("permit %+v ended: %v, which is wrong for unit %+v", had, ended != nil, u)
		}
	case 1:
		u.Incarnation++
		u.StartTimeMS++
		u.UnavailableFraction = 0.5
		if ended := b.SetUnit(*u); ended != nil {
			t.Fatalf("permit ended while its unit warms up: %+v", ended)
		}
	case 2, 3:
		p, err := b.Grant(Permit{Unit: u.ID, Incarnation: u.Incarnation, Token: int64(step + 1), Holder: "me"}, "")
		if err == nil && had == nil && m.excess(u) > 1e-5 { // 1e-5 for rounding
			t.Fatalf("permit %+v was granted, and a limit is exceeded by %v", p, m.excess(u))
		}
		if err != nil && had == nil && !strings.Contains(err.Error(), "more would be") {
			t.Fatal(err)
		}
	case 4:
		if had != nil {
			_, _ = b.Begin(u.ID, had.Token) // fails if the permit is for an earlier incarnation
		}
	case 5:
		if had != nil && b.Return(u.ID, had.Token) == had.Begun {
			t.Fatalf("permit %+v: Return must succeed exactly if the permit has not begun", had)
		}
	}
}

// checkSum compares the incrementally updated sum of the tier with one that is computed from all units.
func (m *modelBudget) checkSum() {
	var unavailable int64
	for _, u := range m.units {
		unavailable += m.budget.unavailableCapacity(u)
	}
	if s := m.budget.sums[scope{tier: "web"}]; s.unavailable != unavailable {
		m.t.Fatalf("unavailable capacity of the tier: got %v, want %v (millionths)", s.unavailable, unavailable)
	}
}

// Units fail, warm up and restart while permits are requested, begun and returned in random order. No granted permit may
// exceed a limit, the incremental sum of the tier must match a full computation, and a change of a unit's state must end its
// permit exactly when the unit is fully available after it was unavailable or restarted.
func TestPermitsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelBudget(t)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(step)
			m.checkSum()
		}
	})
}

// A permit is granted, begun, kept while its unit restarts and warms up, and ended. The steps depend on each other.
func TestPermitLifecycle(t *testing.T) {
	b := NewBudget()
	b.SetLimits(limits(0.5, 1))
	for i := range 4 {
		b.SetUnit(unit(i))
	}
	grant := func(i int, incarnation int64, holder string) (*Permit, error) {
		return b.Grant(Permit{Unit: fmt.Sprint("s", i), Incarnation: incarnation, Token: int64(10 + i), Holder: holder}, "")
	}
	must := func(what string, ok bool) {
		t.Helper()
		if !ok {
			t.Error(what)
		}
	}
	_, err := grant(0, 1, "a")
	must("first permit is granted", err == nil)
	again, err := grant(0, 1, "a")
	must("repeated request returns the same permit", err == nil && again.Token == 10)
	_, err = grant(0, 1, "b")
	must("another holder is rejected", err != nil)
	_, err = grant(0, 7, "a")
	must("request for another incarnation is rejected", err != nil)
	_, err = b.Begin("s0", 11)
	must("Begin with a wrong token is rejected", err != nil)
	failed := unit(1)
	failed.UnavailableFraction, failed.Reason = 1, ReasonUnreachable
	b.SetUnit(failed)
	_, err = grant(2, 1, "a")
	must("failed unit counts against the limit: "+fmt.Sprint(err), err != nil && strings.Contains(err.Error(), "2 of 4 out"))
	_, err = b.Begin("s0", 10)
	must("holder begins the permit", err == nil)
	must("begun permit cannot be returned", !b.Return("s0", 10))
	must("permit stays while the unit has not been unavailable", b.SetUnit(unit(0)) == nil)
	u := unit(0)
	u.Incarnation, u.StartTimeMS, u.UnavailableFraction = 2, 2, 0.6
	must("permit stays while the unit warms up", b.SetUnit(u) == nil)
	u.UnavailableFraction = 0
	must("permit ends when the unit is fully available", b.SetUnit(u) != nil)
	_, err = grant(2, 1, "a")
	must("next permit is granted", err == nil)
	_, err = grant(3, 1, "a")
	must("permit beyond the limit is rejected", err != nil)
	must("decommissioned unit has no permit to end", b.Decommission("s1") == nil)
	// Three units are left. One of them counts as unavailable, and at most 1.5 may be.
	_, err = grant(3, 1, "a")
	must("decommissioning lowers the allowance", err != nil)
}

func TestLimitsValidate(t *testing.T) {
	for want, l := range map[string]Limits{
		"tier: missing":   {},
		"tier[0].tier":    {Tiers: []Limit{{Total: fraction(1)}}},
		"tier[1].tier":    {Tiers: []Limit{{Tier: "a", Total: fraction(1)}, {Tier: "a", Total: fraction(1)}}},
		"tier[0].whole":   {Tiers: []Limit{{Tier: "a"}}},
		"tier[0].zone: 2": {Tiers: []Limit{{Tier: "a", Total: fraction(1), Zone: fraction(2)}}},
		"cold_from":       {Tiers: limits(1, 1).Tiers, InitialFraction: math.NaN()},
		"warm_ms":         {Tiers: limits(1, 1).Tiers, WarmUpMS: -1},
	} {
		t.Run(want, func(t *testing.T) {
			if err := l.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("got error %v, want %s", err, want)
			}
		})
	}
}
