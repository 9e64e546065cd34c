package state

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func server(uid string, startTimeMS float64) *Instance {
	return &Instance{UID: uid, Endpoint: "10.0.0.1:3000", State: Serving, StartTimeMS: startTimeMS}
}

// A process that was replaced cannot register again, and cannot update, remove or expire its successor.
func TestFencing(t *testing.T) {
	s := New()
	first, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	again, changed := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	if again.Token != first.Token || changed != nil {
		t.Errorf("registered the same process again: %+v, changed %+v", again, changed)
	}
	next, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 2)})
	if next.Token <= first.Token {
		t.Errorf("token of the next process is %d, want more than %d", next.Token, first.Token)
	}
	for _, op := range []Op{
		{Kind: OpRegister, Instance: server("a", 1)},
		{Kind: OpUpdate, UID: "a", Token: first.Token, State: Draining},
		{Kind: OpRemove, UID: "a", Token: first.Token},
		{Kind: OpExpire, UID: "a", Token: first.Token},
	} {
		if result, changed := s.Apply(op); result.Code != CodeFenced || changed != nil {
			t.Errorf("%s by the replaced process: %+v", op.Kind, result)
		}
	}
	if result, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", Token: next.Token, State: Draining}); result.Code != "" || s.Get("a").State != Draining {
		t.Errorf("update by the successor: %+v", result)
	}
}

// A write with a modification revision is applied only if the instance still has that revision. An update of an unknown
// instance, an unknown kind of write and malformed writes are rejected.
func TestIfModRevision(t *testing.T) {
	s := New()
	registered, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	if result, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", IfModRevision: registered.Revision, State: Draining}); result.Code != "" {
		t.Errorf("update at the current revision: %+v", result)
	}
	if result, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", IfModRevision: registered.Revision, State: Serving}); result.Code != CodeConflict || s.Get("a").State != Draining {
		t.Errorf("update at an older revision: %+v", result)
	}
	if result, _ := s.Apply(Op{Kind: OpUpdate, UID: "none", State: Serving}); result.Code != CodeNotFound {
		t.Errorf("update of an unknown instance: %+v", result)
	}
	for _, invalid := range []Op{{Kind: "unknown"}, {Kind: OpRegister}, {Kind: OpRegister, Instance: &Instance{UID: "x"}}, {Kind: OpUpdate, UID: "a", State: Deleted}} {
		if result, changed := s.Apply(invalid); result.Code != CodeInvalid || changed != nil {
			t.Errorf("%+v: %+v", invalid, result)
		}
	}
}

func drawOp(t *rapid.T) Op {
	uid := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "uid"))
	op := Op{UID: uid, ID: fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))}
	op.Kind = rapid.SampledFrom([]OpKind{OpRegister, OpUpdate, OpRemove, OpExpire, OpSuspect, OpTrust, OpSetMember, OpNoop}).Draw(t, "kind")
	switch op.Kind {
	case OpRegister:
		op.Instance = server(uid, float64(rapid.IntRange(0, 3).Draw(t, "boot")))
	case OpUpdate:
		op.State = rapid.SampledFrom([]string{"", Serving, Draining}).Draw(t, "state")
	case OpSetMember:
		op.Address = rapid.SampledFrom([]string{"", "10.0.0.1:1"}).Draw(t, "address")
	}
	return op
}

// The revision increases by one with each change of an instance, and with none of the other writes drawn here. A repeated write
// changes nothing and gets the first result. Two States that applied the same writes are equal, even if one of them was loaded
// from a snapshot in between. Restoring a backup begins a later epoch and brings back the instances of the backup.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		results := map[string]Result{}
		for range rapid.IntRange(0, 60).Draw(t, "writes") {
			op, before := drawOp(t), a.Revision()
			got, changed := a.Apply(op)
			other, _ := b.Apply(op)
			if !reflect.DeepEqual(got, other) {
				t.Fatalf("%+v: %+v, and %+v in the other State", op, got, other)
			}
			if first, repeated := results[op.ID]; repeated && (first != got || changed != nil) {
				t.Fatalf("repeated write %+v got %+v, want %+v", op, got, first)
			}
			results[op.ID] = got
			if step := a.Revision() - before; step != 0 && changed == nil || step != 1 && changed != nil {
				t.Fatalf("%+v increased the revision by %d", op, step)
			}
			if changed != nil && (changed.ModRevision != a.Revision() || changed.State != Deleted && a.Get(changed.UID) != changed) {
				t.Fatalf("%+v stored %+v at revision %d", op, changed, a.Revision())
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				text, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = Load(text); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !reflect.DeepEqual(a.Instances(), b.Instances()) || a.Revision() != b.Revision() || !reflect.DeepEqual(a.Members(), b.Members()) {
			t.Fatalf("States differ: %+v, %+v", a, b)
		}
		r := RestoreBackup(a, b)
		if Epoch(r.Revision()) <= Epoch(b.Revision()) || r.Revision() <= b.Revision() || !reflect.DeepEqual(r.Instances(), a.Instances()) {
			t.Fatalf("restored at revision %d after %d", r.Revision(), b.Revision())
		}
	})
}

func TestLoadRejects(t *testing.T) {
	for _, text := range []string{"", "{}", `{"rev":5}`, `{"rev":1099511627776,"order":["a"]}`, `{"rev":1099511627776,"entries":[{"uid":""}]}`} {
		if _, err := Load([]byte(text)); err == nil {
			t.Errorf("%q was loaded", text)
		}
	}
}
