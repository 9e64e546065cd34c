package state

import (
	"fmt"
	"testing"
)

// A server is unavailable while most of the nodes that send to its tier have ejected it.
func TestServerEjectedByMajority(t *testing.T) {
	s := site(2)
	for i := range 3 {
		s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: RoleNode, Tier: "front", Kind: "web", Capacity: 1}})
	}
	eject := func(i int, servers ...string) {
		uid := fmt.Sprint("n", i)
		if a, _ := s.Apply(Op{Kind: OpReportEjected, UID: uid, Token: s.Get(uid).Token, Ejected: servers}); a.Code != "" {
			t.Errorf("%+v", a)
		}
	}
	is := func(want bool, when string) {
		t.Helper()
		if o := s.Budget().UnavailableUnits(); (len(o) == 1 && o[0].Unit == "s1" && o[0].Reason == "avoided") != want {
			t.Errorf("%s: %+v", when, o)
		}
	}
	eject(0, "s1", "s1")
	is(false, "one of three")
	eject(1, "s1")
	is(true, "two of three")
	eject(0)
	is(false, "one again")
	eject(2, "s1")
	s.Apply(Op{Kind: OpRemove, UID: "n2", Token: 0})
	is(false, "one of two, as the third has gone")
	s.Apply(Op{Kind: OpRemove, UID: "n0", Token: 0})
	is(true, "the one that is left")
}
