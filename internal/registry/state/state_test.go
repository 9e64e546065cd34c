package state

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func server(uid string, boot float64) *Instance {
	return &Instance{UID: uid, Endpoint: "10.0.0.1:3000", State: Serving, StartTimeMS: boot}
}

// A process that was replaced cannot overwrite its successor, whatever comes in which order.
func TestFencing(t *testing.T) {
	s := New()
	first, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	again, changed := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	if again.Token != first.Token || changed != nil {
		t.Errorf("the same process again: %+v, %+v", again, changed)
	}
	next, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 2)})
	if next.Token <= first.Token {
		t.Errorf("token %d after %d", next.Token, first.Token)
	}
	for _, op := range []Op{
		{Kind: OpRegister, Instance: server("a", 1)},
		{Kind: OpUpdate, UID: "a", Token: first.Token, State: Draining},
		{Kind: OpRemove, UID: "a", Token: first.Token},
		{Kind: OpExpire, UID: "a", Token: first.Token},
	} {
		if a, changed := s.Apply(op); a.Code != CodeFenced || changed != nil {
			t.Errorf("%s by the one before: %+v", op.Kind, a)
		}
	}
	if a, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", Token: next.Token, State: Draining}); a.Code != "" || s.Get("a").State != Draining {
		t.Errorf("by the successor: %+v", a)
	}
}

// A write with a modification revision is applied only to that revision.
func TestIfModRevision(t *testing.T) {
	s := New()
	a, _ := s.Apply(Op{Kind: OpRegister, Instance: server("a", 1)})
	if b, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", IfModRevision: a.Revision, State: Draining}); b.Code != "" {
		t.Errorf("on its revision: %+v", b)
	}
	if b, _ := s.Apply(Op{Kind: OpUpdate, UID: "a", IfModRevision: a.Revision, State: Serving}); b.Code != CodeConflict || s.Get("a").State != Draining {
		t.Errorf("on an older one: %+v", b)
	}
	if b, _ := s.Apply(Op{Kind: OpUpdate, UID: "none", State: Serving}); b.Code != CodeNotFound {
		t.Errorf("of nothing: %+v", b)
	}
	for _, bad := range []Op{{Kind: "dance"}, {Kind: OpRegister}, {Kind: OpRegister, Instance: &Instance{UID: "x"}}, {Kind: OpUpdate, UID: "a", State: Deleted}} {
		if b, changed := s.Apply(bad); b.Code != CodeInvalid || changed != nil {
			t.Errorf("%+v: %+v", bad, b)
		}
	}
}

func anyOp(t *rapid.T) Op {
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

// Revisions increase by one with each change and by none without; a repeat changes nothing and gets the same result; two
// States with the same writes are the same; and a State loaded from a snapshot continues like the one that was stored.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		results := map[string]Result{}
		for range rapid.IntRange(0, 60).Draw(t, "writes") {
			op, before := anyOp(t), a.Revision()
			got, changed := a.Apply(op)
			twin, _ := b.Apply(op)
			if !reflect.DeepEqual(got, twin) {
				t.Fatalf("%+v: %+v and %+v", op, got, twin)
			}
			if was, repeat := results[op.ID]; repeat && (was != got || changed != nil) {
				t.Fatalf("the repeat %+v got %+v, before %+v", op, got, was)
			}
			results[op.ID] = got
			if step := a.Revision() - before; step != 0 && changed == nil || step != 1 && changed != nil {
				t.Fatalf("%+v moved the revision by %d", op, step)
			}
			if changed != nil && (changed.ModRevision != a.Revision() || changed.State != Deleted && a.Get(changed.UID) != changed) {
				t.Fatalf("%+v put %+v at revision %d", op, changed, a.Revision())
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
			t.Fatalf("the States differ: %+v, %+v", a, b)
		}
		r := RestoreBackup(a, b)
		if Epoch(r.Revision()) <= Epoch(b.Revision()) || r.Revision() <= b.Revision() || !reflect.DeepEqual(r.Instances(), a.Instances()) {
			t.Fatalf("restored at %d after %d", r.Revision(), b.Revision())
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
