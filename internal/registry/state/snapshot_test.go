package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// After any sequence of writes, a State loaded from a snapshot gives the same results to further writes as the State that was
// stored, although the sums of its budget were added up in another order. Restoring a backup loses no permit of the running
// State, except of units that were decommissioned or have restarted, and a reachable unit whose permit has begun is draining.
func TestSnapshotContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateWithUnits(5)
		drawOp := func(s *State) Op {
			uid := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "unit"))
			instance := s.Get(uid)
			if instance == nil {
				instance = &Instance{UID: uid, Endpoint: "x:1", State: Serving, Tier: "web", Capacity: 1, StartTimeMS: rapid.SampledFrom([]float64{0, 7}).Draw(t, "boot")}
			}
			var permit int64
			if p := s.Budget().Permit(uid); p != nil {
				permit = p.Token
			}
			deficit := instance.WarmUpDeficit / 2
			restarted := *instance
			restarted.StartTimeMS++
			return rapid.SampledFrom([]Op{
				{Kind: OpRegister, Instance: instance}, {Kind: OpRegister, Instance: &restarted}, {Kind: OpGrantPermit, UID: uid, Incarnation: instance.Token, Holder: "me", Plan: "p"},
				{Kind: OpGrantPermit, UID: uid, Incarnation: instance.Token, Holder: "me", Plan: "p-back", ReplacesPlan: "p"},
				{Kind: OpBeginPermit, UID: uid, Token: permit}, {Kind: OpReturnPermit, UID: uid, Token: permit}, {Kind: OpExpire, UID: uid, Token: instance.Token},
				{Kind: OpWarmUp, UID: uid, Token: instance.Token, WarmUpDeficit: &deficit}, {Kind: OpDecommission, UID: uid}, {Kind: OpSuspect, UID: uid}, {Kind: OpTrust, UID: uid},
				{Kind: OpUpdate, UID: uid, State: Draining}, {Kind: OpUpdate, UID: uid, State: Serving},
			}).Draw(t, "op")
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			s.Apply(drawOp(s))
		}
		text, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		loaded, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 20).Draw(t, "after") {
			op := drawOp(s)
			want, _ := s.Apply(op)
			got, _ := loaded.Apply(op)
			if want != got {
				t.Fatalf("%+v: stored State %+v, loaded State %+v", op, want, got)
			}
		}
		if d := cmp.Diff(s.Budget().Usages(), loaded.Budget().Usages()) + cmp.Diff(s.Budget().UnavailableUnits(), loaded.Budget().UnavailableUnits()); d != "" {
			t.Fatal(d)
		}
		backup, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		restored := RestoreBackup(backup, s)
		for _, p := range s.Budget().Permits() {
			instance := restored.Get(p.Unit)
			if instance == nil {
				instance = restored.Unreachable(p.Unit)
			}
			if instance == nil || instance.StartTimeMS > p.StartTimeMS {
				continue // decommissioned or restarted
			}
			if restored.Budget().Permit(p.Unit) == nil {
				t.Fatalf("permit %+v was lost", p)
			}
			if restored.Unreachable(p.Unit) == nil && p.Begun && instance.State != Draining {
				t.Fatalf("%+v is not draining although its permit has begun", instance)
			}
		}
	})
}

// Restoring a backup does not bring back the controller that was elected when the backup was taken. A write with its fence is
// rejected, whether or not another controller is elected at the time of the restore.
func TestRestoreBackupKeepsController(t *testing.T) {
	elect := func(s *State, startTimeMS float64) *Fence {
		result, _ := s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: "controller", Endpoint: "c", State: Serving, Role: RoleController, StartTimeMS: startTimeMS, TTLMS: 1000}})
		return &Fence{"controller", result.Token}
	}
	s := New()
	old := elect(s, 1)
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Op{Kind: OpExpire, UID: "controller", Token: old.Token})
	for _, name := range []string{"no controller", "another controller"} {
		t.Run(name+" is elected", func(t *testing.T) {
			running := s.clone(t)
			var current *Fence
			if name == "another controller" {
				current = elect(running, 2)
			}
			backup, err := Load(text)
			if err != nil {
				t.Fatal(err)
			}
			restored := RestoreBackup(backup, running)
			if result, _ := restored.Apply(Op{Kind: OpNoop, Fence: old}); result.Code != CodeFenced {
				t.Errorf("write of the previous controller is not fenced: %+v", result)
			}
			if current == nil {
				return
			}
			if result, _ := restored.Apply(Op{Kind: OpNoop, Fence: current}); result.Code != "" {
				t.Errorf("write of the current controller: %+v", result)
			}
		})
	}
}

// After any sequence of writes that concern nodes and versions, a State loaded from a snapshot has the same rollout as the State
// that was stored, and gives the same results to further writes. Restoring a backup changes no target version and brings no node
// in sync.
func TestSnapshotOfRollout(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newStateWithNodes(t, 4)
		drawOp := func(s *State) Op {
			uid := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(rt, "node"))
			instance := s.Get(uid)
			if instance == nil {
				instance = s.Unreachable(uid)
			}
			restarted, n, v := *instance, s.Rollout().Nodes[uid], s.Rollout().Pending
			restarted.StartTimeMS++
			ops := []Op{{Kind: OpRegister, Instance: instance}, {Kind: OpRegister, Instance: &restarted}, {Kind: OpExpire, UID: uid, Token: instance.Token, WallTimeMS: 5}, {Kind: OpExpire, UID: uid, Token: instance.Token},
				{Kind: OpSuspect, UID: uid}, {Kind: OpTrust, UID: uid}, {Kind: OpReport, UID: uid, Token: instance.Token, Number: n.TargetVersion, Hash: s.Rollout().Hashes[n.TargetVersion]},
				{Kind: OpPropose, Value: json.RawMessage(fmt.Sprint(s.Rollout().HighestNumber)), Replaces: s.Rollout().Committed.Number, Stages: []float64{0.4, 1}}, {Kind: OpRollback}}
			if v != nil {
				ops = append(ops, Op{Kind: OpAcknowledge, UID: uid, Token: instance.Token, Number: v.Number, Hash: v.Hash}, Op{Kind: OpAdvance, Number: v.Number, Stage: s.Rollout().StartedStages})
			}
			return rapid.SampledFrom(ops).Draw(rt, "op")
		}
		for range rapid.IntRange(0, 60).Draw(rt, "before") {
			s.Apply(drawOp(s))
		}
		text, err := s.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		loaded, err := Load(text)
		if err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(0, 20).Draw(rt, "after") {
			if d := cmp.Diff(s.Rollout(), loaded.Rollout(), cmpopts.EquateEmpty()); d != "" {
				rt.Fatal(d)
			}
			op := drawOp(s)
			want, _ := s.Apply(op)
			if got, _ := loaded.Apply(op); want != got {
				rt.Fatalf("%+v: stored State %+v, loaded State %+v", op, want, got)
			}
		}
		restored := RestoreBackup(loaded, s)
		for uid, n := range s.Rollout().Nodes {
			if r := restored.Rollout().Nodes[uid]; r == nil || r.TargetVersion != n.TargetVersion || r.InSync() && !n.InSync() {
				rt.Fatalf("%s: %+v before the restore, %+v after it", uid, n, r)
			}
		}
	})
}

// A stored state or a backup with null in a list is rejected, and does not end the process.
func TestLoadRejectsNull(t *testing.T) {
	for key, content := range map[string]string{
		"entries":    `"entries":[null]`,
		"permits":    `"permits":[null]`,
		"missing":    `"missing":[null]`,
		"records":    `"records":[null]`,
		"book.nodes": `"book":{"nodes":{"n0":null}}`,
	} {
		s, err := Load(fmt.Appendf(nil, `{"rev":%d,%s}`, int64(1)<<epochShift, content))
		if err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: got %v, %v, want an error with the key", key, s, err)
		}
	}
}
