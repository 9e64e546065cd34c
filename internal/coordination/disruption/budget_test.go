package disruption

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func share(v float64) *float64 { return &v }

func limits(whole, zone float64) Limits {
	return Limits{Tiers: []Limit{{Tier: "web", Total: share(whole), Zone: share(zone)}}}
}

func unit(i int) Unit {
	return Unit{ID: fmt.Sprint("s", i), Incarnation: 1, Tier: "web", Zone: []string{"a", "b"}[i%2], Rack: i / 2, Capacity: 1}
}

// Units come, fail, warm up and start anew, permits are asked for, begun and returned in any order. No permit lets
// a scope go over its limit, sums agree with a count from scratch, and a permit ends only where it may.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, zone := rapid.Float64Range(0, 1).Draw(t, "whole"), rapid.Float64Range(0, 1).Draw(t, "zone")
		l := NewBudget()
		l.SetLimits(limits(whole, zone))
		units := map[string]*Unit{}
		for i := range rapid.IntRange(1, 8).Draw(t, "units") {
			u := unit(i)
			u.Capacity = rapid.Float64Range(0.1, 4).Draw(t, "capacity")
			units[u.ID] = &u
			l.SetUnit(u)
		}
		ids := make([]string, 0, len(units))
		for id := range units {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		over := func(of *Unit) (worst float64) {
			for _, by := range []string{"", of.Zone} {
				var all, out float64
				for _, u := range units {
					if by != "" && u.Zone != by {
						continue
					}
					all += u.Capacity
					if l.Permit(u.ID) != nil {
						out += u.Capacity
					} else {
						out += u.Capacity * u.UnavailableShare
					}
				}
				may := whole * all
				if by != "" {
					may = zone * all
				}
				worst = max(worst, out-may)
			}
			return worst
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			u := units[rapid.SampledFrom(ids).Draw(t, "unit")]
			had := l.Permit(u.ID)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				u.UnavailableShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "out")
				back := had != nil && (had.SeenUnavailable || u.StartTimeMS > had.StartTimeMS) && u.UnavailableShare == 0
				if freed := l.SetUnit(*u); (freed != nil) != back {
					t.Fatalf("permit %+v freed: %v at %+v", had, freed != nil, u)
				}
			case 1:
				u.Incarnation++
				u.StartTimeMS++
				u.UnavailableShare = 0.5
				if freed := l.SetUnit(*u); freed != nil {
					t.Fatalf("freed while cold: %+v", freed)
				}
			case 2, 3:
				p, err := l.Grant(Permit{Unit: u.ID, Incarnation: u.Incarnation, Token: int64(step + 1), Holder: "me"}, "")
				if err == nil && had == nil && over(u) > 1e-5 { // of rounding
					t.Fatalf("%+v was granted and is over by %v", p, over(u))
				}
				if err != nil && had == nil && !strings.Contains(err.Error(), "more would be") {
					t.Fatal(err)
				}
			case 4:
				if had != nil {
					l.Begin(u.ID, had.Token) // of an earlier start it fails
				}
			case 5:
				if had != nil && l.Return(u.ID, had.Token) == had.Begun {
					t.Fatalf("%+v was returned", had)
				}
			}
			var out int64
			for _, o := range units {
				out += l.outOf(o)
			}
			if s := l.sums[scope{tier: "web"}]; s.out != out {
				t.Fatalf("the sum says %v, the units %v", s.out, out)
			}
		}
	})
}

// The life of a permit, and what ends it.
func TestPermit(t *testing.T) {
	l := NewBudget()
	l.SetLimits(limits(0.5, 1))
	for i := range 4 {
		l.SetUnit(unit(i))
	}
	grant := func(i int, start int64, holder string) (*Permit, error) {
		return l.Grant(Permit{Unit: fmt.Sprint("s", i), Incarnation: start, Token: int64(10 + i), Holder: holder}, "")
	}
	must := func(what string, ok bool) {
		t.Helper()
		if !ok {
			t.Error(what)
		}
	}
	_, err := grant(0, 1, "a")
	must("the first is given", err == nil)
	again, err := grant(0, 1, "a")
	must("asked again it is the same", err == nil && again.Token == 10)
	_, err = grant(0, 1, "b")
	must("another gets none", err != nil)
	_, err = grant(0, 7, "a")
	must("nor one for another start", err != nil)
	_, err = l.Begin("s0", 11)
	must("nobody begins without it", err != nil)
	dead := unit(1)
	dead.UnavailableShare, dead.Reason = 1, ReasonUnreachable
	l.SetUnit(dead)
	_, err = grant(2, 1, "a")
	must("what a fault took counts: "+fmt.Sprint(err), err != nil && strings.Contains(err.Error(), "2 of 4 out"))
	_, err = l.Begin("s0", 10)
	must("its holder begins", err == nil)
	must("and cannot return it then", !l.Return("s0", 10))
	must("seen as ever it stays", l.SetUnit(unit(0)) == nil)
	u := unit(0)
	u.Incarnation, u.StartTimeMS, u.UnavailableShare = 2, 2, 0.6
	must("cold it stays", l.SetUnit(u) == nil)
	u.UnavailableShare = 0
	must("back and warm it is free", l.SetUnit(u) != nil)
	_, err = grant(2, 1, "a")
	must("and another fits", err == nil)
	_, err = grant(3, 1, "a")
	must("but no more", err != nil)
	must("declared gone, the dead one counts no more", l.Decommission("s1") == nil)
	// Three units are left and one is out, where one and a half may be.
	_, err = grant(3, 1, "a")
	must("which makes the rest smaller too", err != nil)
}

func TestLimitsCheck(t *testing.T) {
	for want, l := range map[string]Limits{
		"tier: none":      {},
		"tier[0].tier":    {Tiers: []Limit{{Total: share(1)}}},
		"tier[1].tier":    {Tiers: []Limit{{Tier: "a", Total: share(1)}, {Tier: "a", Total: share(1)}}},
		"tier[0].whole":   {Tiers: []Limit{{Tier: "a"}}},
		"tier[0].zone: 2": {Tiers: []Limit{{Tier: "a", Total: share(1), Zone: share(2)}}},
		"cold_from":       {Tiers: limits(1, 1).Tiers, InitialShare: math.NaN()},
		"warm_ms":         {Tiers: limits(1, 1).Tiers, WarmUpMS: -1},
	} {
		if err := l.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
