package state

import (
	"fmt"
	"testing"
)

// A server is unavailable while more than half of the nodes that send requests to its tier have ejected it.
func TestServerEjectedByMajority(t *testing.T) {
	s := newStateWithUnits(2)
	for i := range 3 {
		s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: RoleNode, Tier: "front", Kind: "web", Capacity: 1}})
	}
	eject := func(i int, servers ...string) {
		uid := fmt.Sprint("n", i)
		if result, _ := s.Apply(Op{Kind: OpReportEjected, UID: uid, Token: s.Get(uid).Token, Ejected: servers}); result.Code != "" {
			t.Errorf("report of ejected servers: %+v", result)
		}
	}
	checkEjected := func(want bool, when string) {
		t.Helper()
		if o := s.Budget().UnavailableUnits(); (len(o) == 1 && o[0].Unit == "s1" && o[0].Reason == "avoided") != want {
			t.Errorf("%s: unavailable units %+v", when, o)
		}
	}
	eject(0, "s1", "s1")
	checkEjected(false, "ejected by one of three nodes")
	eject(1, "s1")
	checkEjected(true, "ejected by two of three nodes")
	eject(0)
	checkEjected(false, "ejected by one of three nodes again")
	eject(2, "s1")
	s.Apply(Op{Kind: OpRemove, UID: "n2", Token: 0})
	checkEjected(false, "ejected by one of two nodes after n2 was removed")
	s.Apply(Op{Kind: OpRemove, UID: "n0", Token: 0})
	checkEjected(true, "ejected by the only node")
}
