package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

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

// Writes about permits in sequence. Each step has the code of the result.
func TestPermitWrites(t *testing.T) {
	s := site(4)
	start := func(uid string) int64 { return s.Get(uid).Token }
	token := map[string]int64{}
	step := func(what string, op Op, code Code) {
		t.Helper()
		a, _ := s.Apply(op)
		if a.Code != code {
			t.Errorf("%s: %+v, want %q", what, a, code)
		}
		if op.Kind == OpGrantPermit && a.Code == "" {
			token[op.UID] = a.Token
		}
	}
	ask := func(uid string) Op {
		return Op{Kind: OpGrantPermit, UID: uid, Incarnation: start(uid), Holder: "me", Plan: "p", TargetVersion: "v2"}
	}
	unavailable := func(want float64) {
		t.Helper()
		if u := s.Budget().Usages(); u[0].Unavailable != want {
			t.Errorf("%v of %v unavailable, want %v", u[0].Unavailable, u[0].Capacity, want)
		}
	}
	step("the first", ask("s0"), "")
	step("once more", ask("s0"), "")
	step("the second", ask("s1"), "")
	step("one too many", ask("s2"), CodeOverBudget)
	unavailable(2)
	step("a wrong token", Op{Kind: OpBeginPermit, UID: "s0", Token: 1}, CodeNoPermit)
	step("it begins", Op{Kind: OpBeginPermit, UID: "s0", Token: token["s0"]}, "")
	if s.Get("s0").State != Draining {
		t.Error("a server whose permit has begun does not drain")
	}
	step("a halt", Op{Kind: OpPutRecord, Key: HaltKeyPrefix + "p", Value: json.RawMessage(`{}`)}, "")
	step("what had begun may begin again", Op{Kind: OpBeginPermit, UID: "s0", Token: token["s0"]}, "")
	step("nothing else begins", Op{Kind: OpBeginPermit, UID: "s1", Token: token["s1"]}, CodeHalted)
	step("it is given back", Op{Kind: OpReturnPermit, UID: "s1", Token: token["s1"]}, "")
	step("what has begun is not", Op{Kind: OpReturnPermit, UID: "s0", Token: token["s0"]}, CodeNoPermit)
	unavailable(1)

	step("its lease ends", Op{Kind: OpExpire, UID: "s0", Token: start("s0")}, "")
	unavailable(1)
	again := &Instance{UID: "s0", Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}
	step("the same process comes back", Op{Kind: OpRegister, Instance: again}, "")
	if s.Get("s0").State != Draining || s.Budget().Permit("s0") == nil {
		t.Error("a unit whose permit has begun registered again and serves")
	}
	next := *again
	next.StartTimeMS, next.Version = 5, "v2"
	step("its next start", Op{Kind: OpRegister, Instance: &next}, "")
	if s.Get("s0").WarmUpDeficit != 0.6 || s.Budget().Permit("s0") == nil {
		t.Errorf("a process that lacks %v of its capacity ends its permit", s.Get("s0").WarmUpDeficit)
	}
	unavailable(1)
	warm := 0.0
	step("it has warmed up", Op{Kind: OpWarmUp, UID: "s0", Token: start("s0"), WarmUpDeficit: &warm}, "")
	unavailable(0)

	step("a crash", Op{Kind: OpExpire, UID: "s3", Token: start("s3")}, "")
	step("another", Op{Kind: OpRemove, UID: "s2", Token: start("s2")}, "")
	unavailable(2)
	step("faults have taken all that may be out", ask("s1"), CodeOverBudget)
	step("one is decommissioned", Op{Kind: OpDecommission, UID: "s3"}, "")
	unavailable(1)
	step("which is not there twice", Op{Kind: OpDecommission, UID: "s3"}, CodeNotFound)
	step("a drain without a permit counts", Op{Kind: OpUpdate, UID: "s1", State: Draining}, "")
	unavailable(2)
	if o := s.Budget().UnavailableUnits(); len(o) != 2 || o[0].Unit != "s1" || o[0].Permitted || o[0].Reason != "draining" {
		t.Errorf("out: %+v", o)
	}

	step("a controller", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "one", State: Serving, Role: RoleController, StartTimeMS: 1}}, "")
	step("another one", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "two", State: Serving, Role: RoleController, StartTimeMS: 2}}, CodeConflict)
	leader := &Fence{"c", start("c")}
	step("it acts", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`1`), Fence: leader}, "")
	step("its lease ends", Op{Kind: OpExpire, UID: "c", Token: leader.Token}, "")
	step("it acts no more", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), Fence: leader}, CodeFenced)
	step("a record that is there", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), IfModRevision: Absent}, CodeConflict)
	step("no JSON", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`{`)}, CodeInvalid)
}

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
				ops = append(ops, Op{Kind: OpAcknowledge, UID: uid, Token: instance.Token, Number: v.Number, Hash: v.Hash}, Op{Kind: OpAdvance, Number: v.Number, Stage: s.Rollout().Stage})
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

func TestRecordsByPrefix(t *testing.T) {
	s := New()
	for _, k := range []string{"b/1", "a/2", "a/1"} {
		s.Apply(Op{Kind: OpPutRecord, Key: k, Value: json.RawMessage(`{}`)})
	}
	var keys []string
	for _, r := range s.Records("a/") {
		keys = append(keys, r.Key)
	}
	if strings.Join(keys, " ") != "a/1 a/2" {
		t.Errorf("%v", keys)
	}
}
