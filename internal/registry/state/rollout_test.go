package state

import (
	"testing"
)

// A node is out of sync from the write that its lease has ended, believed or not, and in sync again only by its own report
// after that; reports of an earlier incarnation, and while it is unreachable, do not count.
func TestNodeOutOfSync(t *testing.T) {
	s := fleet(t, 4)
	start := map[string]int64{}
	for uid, n := range s.Rollout().Nodes {
		start[uid] = n.Incarnation
	}
	again := *s.Get("n2")
	later := again
	later.StartTimeMS = 2
	report := Op{Kind: OpReport, UID: "n2", Token: start["n2"]}
	for _, c := range []struct {
		what              string
		op                Op
		code              Code
		inSync, reachable bool
	}{
		{"a lease that is not believed to have ended", Op{Kind: OpSuspect, UID: "n2", Token: start["n2"], WallTimeMS: 7000}, "", false, false},
		{"its report meanwhile", report, "", false, false},
		{"it is renewed", Op{Kind: OpTrust, UID: "n2", Token: start["n2"]}, "", false, true},
		{"its report", report, "", true, true},
		{"an end that is believed", Op{Kind: OpExpire, UID: "n2", Token: start["n2"], WallTimeMS: 8000}, "", false, false},
		{"the same process is back", Op{Kind: OpRegister, Instance: &again}, "", false, true},
		{"it has caught up", report, "", true, true},
		{"a new process", Op{Kind: OpRegister, Instance: &later}, "", false, true},
		{"a report of the one before", report, CodeNotReady, false, true},
	} {
		a, _ := s.Apply(c.op)
		n := s.Rollout().Nodes["n2"]
		if a.Code != c.code || n.InSync() != c.inSync || n.Unreachable == c.reachable {
			t.Errorf("%s: %+v, %+v", c.what, a, n)
		}
		if c.op.WallTimeMS > 0 && (n.OutOfSyncSince.Revision != s.Revision() || n.OutOfSyncSince.UnixMS != c.op.WallTimeMS) {
			t.Errorf("%s: since %+v at revision %d", c.what, n.OutOfSyncSince, s.Revision())
		}
	}
	if a, _ := s.Apply(Op{Kind: OpReport, UID: "n2", Token: s.Get("n2").Token}); a.Code != "" || !s.Rollout().Nodes["n2"].InSync() {
		t.Errorf("%+v", a)
	}
}
