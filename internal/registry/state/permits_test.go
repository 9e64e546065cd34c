package state

import (
	"encoding/json"
	"testing"
)

// permitWrites applies writes about permits, one after the other, and checks their results.
type permitWrites struct {
	t       *testing.T
	state   *State
	permits map[string]int64 // tokens by unit
}

// step applies a write whose result is to have a code.
func (w *permitWrites) step(what string, op Op, code Code) {
	w.t.Helper()
	result, _ := w.state.Apply(op)
	if result.Code != code {
		w.t.Errorf("%s: %+v, want %q", what, result, code)
	}
	if op.Kind == OpGrantPermit && result.Code == "" {
		w.permits[op.UID] = result.Token
	}
}

// token is the token of an instance.
func (w *permitWrites) token(uid string) int64 { return w.state.Get(uid).Token }

// grant is a write that asks for a permit.
func (w *permitWrites) grant(uid string) Op {
	return Op{Kind: OpGrantPermit, UID: uid, Incarnation: w.token(uid), Holder: "me", Plan: "p", TargetVersion: "v2"}
}

// unavailable checks how much of the tier's capacity counts as unavailable.
func (w *permitWrites) unavailable(want float64) {
	w.t.Helper()
	if u := w.state.Budget().Usages(); u[0].Unavailable != want {
		w.t.Errorf("%v of %v unavailable, want %v", u[0].Unavailable, u[0].Capacity, want)
	}
}

// Writes about permits in sequence: each part goes on from the one before.
func TestPermitWrites(t *testing.T) {
	w := &permitWrites{state: site(4), permits: map[string]int64{}}
	for _, part := range []struct {
		name string
		run  func(*permitWrites)
	}{
		{"grant, begin, halt and return", testGrantAndBegin},
		{"restart of a unit with a permit", testRestartWithPermit},
		{"faults", testFaultsCount},
		{"fences and records", testFencesAndRecords},
	} {
		t.Run(part.name, func(t *testing.T) {
			w.t = t
			part.run(w)
		})
	}
}

func testGrantAndBegin(w *permitWrites) {
	w.step("the first", w.grant("s0"), "")
	w.step("once more", w.grant("s0"), "")
	w.step("the second", w.grant("s1"), "")
	w.step("one too many", w.grant("s2"), CodeOverBudget)
	w.unavailable(2)
	w.step("a wrong token", Op{Kind: OpBeginPermit, UID: "s0", Token: 1}, CodeNoPermit)
	w.step("it begins", Op{Kind: OpBeginPermit, UID: "s0", Token: w.permits["s0"]}, "")
	if w.state.Get("s0").State != Draining {
		w.t.Error("a server whose permit has begun does not drain")
	}
	w.step("a halt", Op{Kind: OpPutRecord, Key: HaltKeyPrefix + "p", Value: json.RawMessage(`{}`)}, "")
	w.step("what had begun may begin again", Op{Kind: OpBeginPermit, UID: "s0", Token: w.permits["s0"]}, "")
	w.step("nothing else begins", Op{Kind: OpBeginPermit, UID: "s1", Token: w.permits["s1"]}, CodeHalted)
	w.step("it is given back", Op{Kind: OpReturnPermit, UID: "s1", Token: w.permits["s1"]}, "")
	w.step("what has begun is not", Op{Kind: OpReturnPermit, UID: "s0", Token: w.permits["s0"]}, CodeNoPermit)
	w.unavailable(1)
}

func testRestartWithPermit(w *permitWrites) {
	w.step("its lease ends", Op{Kind: OpExpire, UID: "s0", Token: w.token("s0")}, "")
	w.unavailable(1)
	again := &Instance{UID: "s0", Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}
	w.step("the same process comes back", Op{Kind: OpRegister, Instance: again}, "")
	if w.state.Get("s0").State != Draining || w.state.Budget().Permit("s0") == nil {
		w.t.Error("a unit whose permit has begun registered again and serves")
	}
	next := *again
	next.StartTimeMS, next.Version = 5, "v2"
	w.step("its next start", Op{Kind: OpRegister, Instance: &next}, "")
	if w.state.Get("s0").WarmUpDeficit != 0.6 || w.state.Budget().Permit("s0") == nil {
		w.t.Errorf("a process that lacks %v of its capacity ends its permit", w.state.Get("s0").WarmUpDeficit)
	}
	w.unavailable(1)
	warm := 0.0
	w.step("it has warmed up", Op{Kind: OpWarmUp, UID: "s0", Token: w.token("s0"), WarmUpDeficit: &warm}, "")
	w.unavailable(0)
}

func testFaultsCount(w *permitWrites) {
	w.step("a crash", Op{Kind: OpExpire, UID: "s3", Token: w.token("s3")}, "")
	w.step("another", Op{Kind: OpRemove, UID: "s2", Token: w.token("s2")}, "")
	w.unavailable(2)
	w.step("faults have taken all that may be out", w.grant("s1"), CodeOverBudget)
	w.step("one is decommissioned", Op{Kind: OpDecommission, UID: "s3"}, "")
	w.unavailable(1)
	w.step("which is not there twice", Op{Kind: OpDecommission, UID: "s3"}, CodeNotFound)
	w.step("a drain without a permit counts", Op{Kind: OpUpdate, UID: "s1", State: Draining}, "")
	w.unavailable(2)
	if o := w.state.Budget().UnavailableUnits(); len(o) != 2 || o[0].Unit != "s1" || o[0].Permitted || o[0].Reason != "draining" {
		w.t.Errorf("out: %+v", o)
	}
}

func testFencesAndRecords(w *permitWrites) {
	w.step("a controller", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "one", State: Serving, Role: RoleController, StartTimeMS: 1}}, "")
	w.step("another one", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "two", State: Serving, Role: RoleController, StartTimeMS: 2}}, CodeConflict)
	leader := &Fence{"c", w.token("c")}
	w.step("it acts", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`1`), Fence: leader}, "")
	w.step("its lease ends", Op{Kind: OpExpire, UID: "c", Token: leader.Token}, "")
	w.step("it acts no more", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), Fence: leader}, CodeFenced)
	w.step("a record that is there", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), IfModRevision: Absent}, CodeConflict)
	w.step("no JSON", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`{`)}, CodeInvalid)
}
