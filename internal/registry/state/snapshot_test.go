package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// Whatever was written, a State loaded from its snapshot continues like the one that was stored: it gives the same results to
// the same writes, though its sums were added up in another order. And restoring a backup ends no permit that has begun.
func TestSnapshotContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := site(5)
		op := func(s *State) Op {
			uid := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "unit"))
			instance := s.Get(uid)
			if instance == nil {
				instance = &Instance{UID: uid, Endpoint: "x:1", State: Serving, Tier: "web", Capacity: 1, StartTimeMS: rapid.SampledFrom([]float64{0, 7}).Draw(t, "boot")}
			}
			var permit int64
			if p := s.Budget().Permit(uid); p != nil {
				permit = p.Token
			}
			cold := instance.WarmUpDeficit / 2
			again := *instance
			again.StartTimeMS++
			return rapid.SampledFrom([]Op{
				{Kind: OpRegister, Instance: instance}, {Kind: OpRegister, Instance: &again}, {Kind: OpGrantPermit, UID: uid, Incarnation: instance.Token, Holder: "me", Plan: "p"},
				{Kind: OpGrantPermit, UID: uid, Incarnation: instance.Token, Holder: "me", Plan: "p-back", ReplacesPlan: "p"},
				{Kind: OpBeginPermit, UID: uid, Token: permit}, {Kind: OpReturnPermit, UID: uid, Token: permit}, {Kind: OpExpire, UID: uid, Token: instance.Token},
				{Kind: OpWarmUp, UID: uid, Token: instance.Token, WarmUpDeficit: &cold}, {Kind: OpDecommission, UID: uid}, {Kind: OpSuspect, UID: uid}, {Kind: OpTrust, UID: uid},
				{Kind: OpUpdate, UID: uid, State: Draining}, {Kind: OpUpdate, UID: uid, State: Serving},
			}).Draw(t, "op")
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			s.Apply(op(s))
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
			o := op(s)
			a, _ := s.Apply(o)
			b, _ := loaded.Apply(o)
			if a != b {
				t.Fatalf("%+v: %+v, and loaded from its snapshot %+v", o, a, b)
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
				continue // declared gone, or back again
			}
			if restored.Budget().Permit(p.Unit) == nil {
				t.Fatalf("the permit %+v was lost", p)
			}
			if restored.Unreachable(p.Unit) == nil && p.Begun && instance.State != Draining {
				t.Fatalf("%+v serves, though its permit has begun", instance)
			}
		}
	})
}

// Restoring a backup does not bring the controller back that led when it was taken, and its fence does not hold, whoever leads
// now.
func TestRestoreBackupKeepsController(t *testing.T) {
	lead := func(s *State, boot float64) *Fence {
		a, _ := s.Apply(Op{Kind: OpRegister, Instance: &Instance{UID: "controller", Endpoint: "c", State: Serving, Role: RoleController, StartTimeMS: boot, TTLMS: 1000}})
		return &Fence{"controller", a.Token}
	}
	s := New()
	old := lead(s, 1)
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Op{Kind: OpExpire, UID: "controller", Token: old.Token})
	for _, name := range []string{"nobody", "another"} {
		t.Run(name+" leads", func(t *testing.T) {
			running := s.clone(t)
			var now *Fence
			if name == "another" {
				now = lead(running, 2)
			}
			backup, err := Load(text)
			if err != nil {
				t.Fatal(err)
			}
			r := RestoreBackup(backup, running)
			if a, _ := r.Apply(Op{Kind: OpNoop, Fence: old}); a.Code != CodeFenced {
				t.Errorf("the one before acts: %+v", a)
			}
			if now == nil {
				return
			}
			if a, _ := r.Apply(Op{Kind: OpNoop, Fence: now}); a.Code != "" {
				t.Errorf("the present one does not: %+v", a)
			}
		})
	}
}

// Whatever happened to nodes, a State loaded from its snapshot knows the same of them, and continues the same.
func TestSnapshotOfRollout(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := fleet(t, 4)
		op := func(s *State) Op {
			uid := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(rt, "node"))
			instance := s.Get(uid)
			if instance == nil {
				instance = s.Unreachable(uid)
			}
			again, n, v := *instance, s.Rollout().Nodes[uid], s.Rollout().Pending
			again.StartTimeMS++
			ops := []Op{{Kind: OpRegister, Instance: instance}, {Kind: OpRegister, Instance: &again}, {Kind: OpExpire, UID: uid, Token: instance.Token, WallTimeMS: 5}, {Kind: OpExpire, UID: uid, Token: instance.Token},
				{Kind: OpSuspect, UID: uid}, {Kind: OpTrust, UID: uid}, {Kind: OpReport, UID: uid, Token: instance.Token, Number: n.TargetVersion, Hash: s.Rollout().Hashes[n.TargetVersion]},
				{Kind: OpPropose, Value: json.RawMessage(fmt.Sprint(s.Rollout().HighestNumber)), Replaces: s.Rollout().Committed.Number, Stages: []float64{0.4, 1}}, {Kind: OpRollback}}
			if v != nil {
				ops = append(ops, Op{Kind: OpAcknowledge, UID: uid, Token: instance.Token, Number: v.Number, Hash: v.Hash}, Op{Kind: OpAdvance, Number: v.Number, Stage: s.Rollout().StartedStages})
			}
			return rapid.SampledFrom(ops).Draw(rt, "op")
		}
		for range rapid.IntRange(0, 60).Draw(rt, "before") {
			s.Apply(op(s))
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
			o := op(s)
			a, _ := s.Apply(o)
			if b, _ := loaded.Apply(o); a != b {
				rt.Fatalf("%+v: %+v, and loaded from its snapshot %+v", o, a, b)
			}
		}
		// Restoring a backup changes no target version, and brings no node in sync.
		restored := RestoreBackup(loaded, s)
		for uid, n := range s.Rollout().Nodes {
			if r := restored.Rollout().Nodes[uid]; r == nil || r.TargetVersion != n.TargetVersion || r.InSync() && !n.InSync() {
				rt.Fatalf("%s: %+v, restored %+v", uid, n, r)
			}
		}
	})
}
