package state

import (
	"fmt"
	"testing"

	"umberbank/internal/coordination/disruption"
)

// halfLimits returns limits that allow half of the capacity of tier web to be unavailable.
func halfLimits() *disruption.Limits {
	v := 0.5
	return &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &v}}, InitialFraction: 0.4, WarmUpMS: 1000}
}

// newStateWithUnits returns a State with limits and warmed-up units s0, s1, ... of capacity 1.
func newStateWithUnits(units int) *State {
	s := New()
	s.Apply(Op{Kind: OpSetLimits, Limits: halfLimits()})
	for i := range units {
		s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}})
	}
	return s
}

// clone returns a State loaded from a snapshot of s.
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

// newStateWithNodes returns a State with nodes n0, n1, ... that have reported that they run version 0. Nodes with even numbers
// are in zone a, the others in zone b.
func newStateWithNodes(t *testing.T, nodes int) *State {
	t.Helper()
	s := New()
	for i := range nodes {
		instance := Instance{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: RoleNode, Tier: "front", Zone: string("ab"[i%2]), Capacity: 1, StartTimeMS: 1}
		result, _ := s.Apply(Op{Kind: OpRegister, Instance: &instance})
		if result, _ = s.Apply(Op{Kind: OpReport, UID: instance.UID, Token: result.Token}); result.Code != "" {
			t.Fatal(result)
		}
	}
	return s
}
