package state

import (
	"testing"
)

// A node is out of sync from the write that follows the expiry of its lease, whether the node is removed or stays as a
// suspect. Only its own later report brings it back in sync. A report does not count while the node is unreachable, or when it
// comes from an earlier incarnation.
func TestNodeOutOfSync(t *testing.T) {
	s := newStateWithNodes(t, 4)
	tokens := map[string]int64{}
	for uid, n := range s.Rollout().Nodes {
		tokens[uid] = n.Incarnation
	}
	again := *s.Get("n2")
	later := again
	later.StartTimeMS = 2
	report := Op{Kind: OpReport, UID: "n2", Token: tokens["n2"]}
	for _, c := range []struct {
		what              string
		op                Op
		code              Code
		inSync, reachable bool
	}{
		{"it becomes a suspect", Op{Kind: OpSuspect, UID: "n2", Token: tokens["n2"], WallTimeMS: 7000}, "", false, false},
		{"report of a suspect", report, "", false, false},
		{"it renews its lease", Op{Kind: OpTrust, UID: "n2", Token: tokens["n2"]}, "", false, true},
		{"report after the renewal", report, "", true, true},
		{"its lease expires", Op{Kind: OpExpire, UID: "n2", Token: tokens["n2"], WallTimeMS: 8000}, "", false, false},
		{"the same process registers again", Op{Kind: OpRegister, Instance: &again}, "", false, true},
		{"report after the registration", report, "", true, true},
		{"a new process registers", Op{Kind: OpRegister, Instance: &later}, "", false, true},
		{"report of the earlier process", report, CodeNotReady, false, true},
	} {
		result, _ := s.Apply(c.op)
		n := s.Rollout().Nodes["n2"]
		if result.Code != c.code || n.InSync() != c.inSync || n.Unreachable == c.reachable {
			t.Errorf("%s: %+v, %+v", c.what, result, n)
		}
		if c.op.WallTimeMS > 0 && (n.OutOfSyncSince.Revision != s.Revision() || n.OutOfSyncSince.UnixMS != c.op.WallTimeMS) {
			t.Errorf("%s: out of sync since %+v, at revision %d", c.what, n.OutOfSyncSince, s.Revision())
		}
	}
	if result, _ := s.Apply(Op{Kind: OpReport, UID: "n2", Token: s.Get("n2").Token}); result.Code != "" || !s.Rollout().Nodes["n2"].InSync() {
		t.Errorf("report of the new process: %+v", result)
	}
}
