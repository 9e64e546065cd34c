package state

import (
	"fmt"
	"testing"

	"umberbank/internal/coordination/disruption"
)

func half() *disruption.Limits {
	v := 0.5
	return &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &v}}, InitialFraction: 0.4, WarmUpMS: 1000}
}

// site is a State with limits and so many units of capacity 1, s0 and on, all warmed up.
func site(units int) *State {
	s := New()
	s.Apply(Op{Kind: OpSetLimits, Limits: half()})
	for i := range units {
		s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}})
	}
	return s
}

// clone is a State loaded from another's snapshot.
func (s *State) clone(t *testing.T) *State {
	t.Helper()
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// fleet is a State with nodes that have reported what they run: n0, n2 in zone a, n1, n3 in zone b, and so on.
func fleet(t *testing.T, nodes int) *State {
	t.Helper()
	s := New()
	for i := range nodes {
		instance := Instance{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: RoleNode, Tier: "front", Zone: string("ab"[i%2]), Capacity: 1, StartTimeMS: 1}
		a, _ := s.Apply(Op{Kind: OpRegister, Instance: &instance})
		if a, _ = s.Apply(Op{Kind: OpReport, UID: instance.UID, Token: a.Token}); a.Code != "" {
			t.Fatal(a)
		}
	}
	return s
}
