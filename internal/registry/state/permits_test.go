package state

import (
	"encoding/json"
	"testing"
)

// permitWrites applies writes that concern permits, one after the other, and checks their results.
type permitWrites struct {
	t       *testing.T
	state   *State
	permits map[string]int64 // tokens of the permits by unit
}

// step applies a write and checks the code of its result.
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

// token returns the token of an instance.
func (w *permitWrites) token(uid string) int64 { return w.state.Get(uid).Token }

// grant returns a write that requests a permit.
func (w *permitWrites) grant(uid string) Op {
	return Op{Kind: OpGrantPermit, UID: uid, Incarnation: w.token(uid), Holder: "me", Plan: "p", TargetVersion: "v2"}
}

// unavailable checks how much of the tier's capacity is counted as unavailable.
func (w *permitWrites) unavailable(want float64) {
	w.t.Helper()
	if u := w.state.Budget().Usages(); u[0].Unavailable != want {
		w.t.Errorf("capacity %v of %v is unavailable, want %v", u[0].Unavailable, u[0].Capacity, want)
	}
}

// Writes that concern permits give the expected results. Each part continues from the State that the previous part has left.
func TestPermitWrites(t *testing.T) {
	w := &permitWrites{state: newStateWithUnits(4), permits: map[string]int64{}}
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
	w.step("grant a permit", w.grant("s0"), "")
	w.step("repeat the write", w.grant("s0"), "")
	w.step("grant a second permit", w.grant("s1"), "")
	w.step("grant a permit beyond the limit", w.grant("s2"), CodeOverBudget)
	w.unavailable(2)
	w.step("begin with a wrong token", Op{Kind: OpBeginPermit, UID: "s0", Token: 1}, CodeNoPermit)
	w.step("begin", Op{Kind: OpBeginPermit, UID: "s0", Token: w.permits["s0"]}, "")
	if w.state.Get("s0").State != Draining {
		w.t.Error("server does not drain although its permit has begun")
	}
	w.step("halt the release", Op{Kind: OpPutRecord, Key: HaltKeyPrefix + "p", Value: json.RawMessage(`{}`)}, "")
	w.step("begin again after the halt", Op{Kind: OpBeginPermit, UID: "s0", Token: w.permits["s0"]}, "")
	w.step("begin another permit after the halt", Op{Kind: OpBeginPermit, UID: "s1", Token: w.permits["s1"]}, CodeHalted)
	w.step("return a permit that has not begun", Op{Kind: OpReturnPermit, UID: "s1", Token: w.permits["s1"]}, "")
	w.step("return a permit that has begun", Op{Kind: OpReturnPermit, UID: "s0", Token: w.permits["s0"]}, CodeNoPermit)
	w.unavailable(1)
}

func testRestartWithPermit(w *permitWrites) {
	w.step("expire the lease", Op{Kind: OpExpire, UID: "s0", Token: w.token("s0")}, "")
	w.unavailable(1)
	again := &Instance{UID: "s0", Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}
	w.step("register the same process again", Op{Kind: OpRegister, Instance: again}, "")
	if w.state.Get("s0").State != Draining || w.state.Budget().Permit("s0") == nil {
		w.t.Error("server does not drain, or has no permit, after the same process has registered again")
	}
	next := *again
	next.StartTimeMS, next.Version = 5, "v2"
	w.step("register the next process", Op{Kind: OpRegister, Instance: &next}, "")
	if w.state.Get("s0").WarmUpDeficit != 0.6 || w.state.Budget().Permit("s0") == nil {
		w.t.Errorf("process lacks %v of its capacity, want 0.6, or its permit has ended", w.state.Get("s0").WarmUpDeficit)
	}
	w.unavailable(1)
	noDeficit := 0.0
	w.step("end the warm-up", Op{Kind: OpWarmUp, UID: "s0", Token: w.token("s0"), WarmUpDeficit: &noDeficit}, "")
	w.unavailable(0)
}

func testFaultsCount(w *permitWrites) {
	w.step("expire the lease of a unit", Op{Kind: OpExpire, UID: "s3", Token: w.token("s3")}, "")
	w.step("remove another unit", Op{Kind: OpRemove, UID: "s2", Token: w.token("s2")}, "")
	w.unavailable(2)
	w.step("grant a permit while faults use up the limit", w.grant("s1"), CodeOverBudget)
	w.step("decommission a unit", Op{Kind: OpDecommission, UID: "s3"}, "")
	w.unavailable(1)
	w.step("decommission it again", Op{Kind: OpDecommission, UID: "s3"}, CodeNotFound)
	w.step("drain without a permit", Op{Kind: OpUpdate, UID: "s1", State: Draining}, "")
	w.unavailable(2)
	if o := w.state.Budget().UnavailableUnits(); len(o) != 2 || o[0].Unit != "s1" || o[0].Permitted || o[0].Reason != "draining" {
		w.t.Errorf("unavailable units: %+v", o)
	}
}

func testFencesAndRecords(w *permitWrites) {
	w.step("register a controller", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "one", State: Serving, Role: RoleController, StartTimeMS: 1}}, "")
	w.step("register another controller", Op{Kind: OpRegister, IfModRevision: Absent, Instance: &Instance{UID: "c", Endpoint: "two", State: Serving, Role: RoleController, StartTimeMS: 2}}, CodeConflict)
	fence := &Fence{"c", w.token("c")}
	w.step("write of the controller", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`1`), Fence: fence}, "")
	w.step("expire its lease", Op{Kind: OpExpire, UID: "c", Token: fence.Token}, "")
	w.step("write after its lease has expired", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), Fence: fence}, CodeFenced)
	w.step("create a record that exists", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`2`), IfModRevision: Absent}, CodeConflict)
	w.step("put a value that is not JSON", Op{Kind: OpPutRecord, Key: "k", Value: json.RawMessage(`{`)}, CodeInvalid)
}
