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

// modelBudget is a Budget and the units that it was told, from which the model counts by itself.
type modelBudget struct {
	t           *rapid.T
	budget      *Budget
	units       map[string]*Unit
	ids         []string
	total, zone float64 // limits
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

// excess is by how much the scopes of a unit exceed their limits, the worse of the two.
func (m *modelBudget) excess(of *Unit) (worst float64) {
	for _, zone := range []string{"", of.Zone} {
		var all, unavailable float64
		for _, u := range m.units {
			if zone != "" && u.Zone != zone {
				continue
			}
			all += u.Capacity
			if m.budget.Permit(u.ID) != nil {
				unavailable += u.Capacity
			} else {
				unavailable += u.Capacity * u.UnavailableFraction
			}
		}
		allowed := m.total * all
		if zone != "" {
			allowed = m.zone * all
		}
		worst = max(worst, unavailable-allowed)
	}
	return worst
}

// step does one thing of those that happen to a unit and its permit.
func (m *modelBudget) step(step int) {
	t, b := m.t, m.budget
	u := m.units[rapid.SampledFrom(m.ids).Draw(t, "unit")]
	had := b.Permit(u.ID)
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		u.UnavailableFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "unavailable")
		mustEnd := had != nil && (had.SeenUnavailable || u.StartTimeMS > had.StartTimeMS) && u.UnavailableFraction == 0
		if ended := b.SetUnit(*u); (ended != nil) != mustEnd {
			t.Fatalf("permit %+v ended: %v at %+v", had, ended != nil, u)
		}
	case 1:
		u.Incarnation++
		u.StartTimeMS++
		u.UnavailableFraction = 0.5
		if ended := b.SetUnit(*u); ended != nil {
			t.Fatalf("ended while warming up: %+v", ended)
		}
	case 2, 3:
		p, err := b.Grant(Permit{Unit: u.ID, Incarnation: u.Incarnation, Token: int64(step + 1), Holder: "me"}, "")
		if err == nil && had == nil && m.excess(u) > 1e-5 { // of rounding
			t.Fatalf("%+v was granted and exceeds a limit by %v", p, m.excess(u))
		}
		if err != nil && had == nil && !strings.Contains(err.Error(), "more would be") {
			t.Fatal(err)
		}
	case 4:
		if had != nil {
			_, _ = b.Begin(u.ID, had.Token) // of an earlier incarnation it fails
		}
	case 5:
		if had != nil && b.Return(u.ID, had.Token) == had.Begun {
			t.Fatalf("%+v was returned", had)
		}
	}
}

// checkSum compares the budget's sum with a count from scratch.
func (m *modelBudget) checkSum() {
	var unavailable int64
	for _, u := range m.units {
		unavailable += m.budget.unavailableCapacity(u)
	}
	if s := m.budget.sums[scope{tier: "web"}]; s.unavailable != unavailable {
		m.t.Fatalf("the sum is %v, the units have %v", s.unavailable, unavailable)
	}
}

// Units come, fail, warm up and restart, permits are asked for, begun and returned in any order. No permit makes a scope
// exceed its limit, sums agree with a count from scratch, and a permit ends only where it may.
func TestPermitsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelBudget(t)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(step)
			m.checkSum()
		}
	})
}

// The life of a permit, and what ends it.
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
	must("the first is granted", err == nil)
	again, err := grant(0, 1, "a")
	must("asked for again it is the same", err == nil && again.Token == 10)
	_, err = grant(0, 1, "b")
	must("another holder gets none", err != nil)
	_, err = grant(0, 7, "a")
	must("nor is there one for another incarnation", err != nil)
	_, err = b.Begin("s0", 11)
	must("nobody begins without it", err != nil)
	dead := unit(1)
	dead.UnavailableFraction, dead.Reason = 1, ReasonUnreachable
	b.SetUnit(dead)
	_, err = grant(2, 1, "a")
	must("what a fault took counts: "+fmt.Sprint(err), err != nil && strings.Contains(err.Error(), "2 of 4 out"))
	_, err = b.Begin("s0", 10)
	must("its holder begins", err == nil)
	must("and cannot return it then", !b.Return("s0", 10))
	must("while the unit is still available it stays", b.SetUnit(unit(0)) == nil)
	u := unit(0)
	u.Incarnation, u.StartTimeMS, u.UnavailableFraction = 2, 2, 0.6
	must("while the unit warms up it stays", b.SetUnit(u) == nil)
	u.UnavailableFraction = 0
	must("once the unit is warm it ends", b.SetUnit(u) != nil)
	_, err = grant(2, 1, "a")
	must("and another fits", err == nil)
	_, err = grant(3, 1, "a")
	must("but no more", err != nil)
	must("decommissioned, the dead one counts no more", b.Decommission("s1") == nil)
	// Three units are left and one is unavailable, where one and a half may be.
	_, err = grant(3, 1, "a")
	must("which makes the rest smaller too", err != nil)
}

func TestLimitsValidate(t *testing.T) {
	for want, l := range map[string]Limits{
		"tier: none":      {},
		"tier[0].tier":    {Tiers: []Limit{{Total: fraction(1)}}},
		"tier[1].tier":    {Tiers: []Limit{{Tier: "a", Total: fraction(1)}, {Tier: "a", Total: fraction(1)}}},
		"tier[0].whole":   {Tiers: []Limit{{Tier: "a"}}},
		"tier[0].zone: 2": {Tiers: []Limit{{Tier: "a", Total: fraction(1), Zone: fraction(2)}}},
		"cold_from":       {Tiers: limits(1, 1).Tiers, InitialFraction: math.NaN()},
		"warm_ms":         {Tiers: limits(1, 1).Tiers, WarmUpMS: -1},
	} {
		t.Run(want, func(t *testing.T) {
			if err := l.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}
