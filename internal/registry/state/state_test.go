package state

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func server(uid string, boot float64) *Entry {
	return &Entry{UID: uid, Endpoint: "10.0.0.1:3000", State: Serving, BootMS: boot}
}

// A server that was replaced cannot write over its successor, whatever comes in which order.
func TestFencing(t *testing.T) {
	s := New()
	first, _ := s.Apply(Op{Kind: Register, Entry: server("a", 1)})
	again, changed := s.Apply(Op{Kind: Register, Entry: server("a", 1)})
	if again.Token != first.Token || changed != nil {
		t.Errorf("the same process again: %+v, %+v", again, changed)
	}
	next, _ := s.Apply(Op{Kind: Register, Entry: server("a", 2)})
	if next.Token <= first.Token {
		t.Errorf("token %d after %d", next.Token, first.Token)
	}
	for _, op := range []Op{
		{Kind: Register, Entry: server("a", 1)},
		{Kind: Update, UID: "a", Token: first.Token, State: Draining},
		{Kind: Remove, UID: "a", Token: first.Token},
		{Kind: Expire, UID: "a", Token: first.Token},
	} {
		if a, changed := s.Apply(op); a.Fault != Fenced || changed != nil {
			t.Errorf("%s by the one before: %+v", op.Kind, a)
		}
	}
	if a, _ := s.Apply(Op{Kind: Update, UID: "a", Token: next.Token, State: Draining}); a.Fault != "" || s.Get("a").State != Draining {
		t.Errorf("by the successor: %+v", a)
	}
}

// A change with the revision compared is done only on that revision.
func TestCompare(t *testing.T) {
	s := New()
	a, _ := s.Apply(Op{Kind: Register, Entry: server("a", 1)})
	if b, _ := s.Apply(Op{Kind: Update, UID: "a", IfMod: a.Rev, State: Draining}); b.Fault != "" {
		t.Errorf("on its revision: %+v", b)
	}
	if b, _ := s.Apply(Op{Kind: Update, UID: "a", IfMod: a.Rev, State: Serving}); b.Fault != Conflict || s.Get("a").State != Draining {
		t.Errorf("on an older one: %+v", b)
	}
	if b, _ := s.Apply(Op{Kind: Update, UID: "none", State: Serving}); b.Fault != NotFound {
		t.Errorf("of nothing: %+v", b)
	}
	for _, bad := range []Op{{Kind: "dance"}, {Kind: Register}, {Kind: Register, Entry: &Entry{UID: "x"}}, {Kind: Update, UID: "a", State: Deleted}} {
		if b, changed := s.Apply(bad); b.Fault != Bad || changed != nil {
			t.Errorf("%+v: %+v", bad, b)
		}
	}
}

func anyOp(t *rapid.T) Op {
	uid := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "uid"))
	op := Op{UID: uid, ID: fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))}
	op.Kind = rapid.SampledFrom([]string{Register, Update, Remove, Expire, Suspect, Trust, Member, Nothing}).Draw(t, "kind")
	switch op.Kind {
	case Register:
		op.Entry = server(uid, float64(rapid.IntRange(0, 3).Draw(t, "boot")))
	case Update:
		op.State = rapid.SampledFrom([]string{"", Serving, Draining}).Draw(t, "state")
	case Member:
		op.Address = rapid.SampledFrom([]string{"", "10.0.0.1:1"}).Draw(t, "address")
	}
	return op
}

// Revisions only grow, by one for each change and by none for what changes nothing; a repeat changes nothing and gets
// the same answer; two States with the same writes are the same; and a snapshot read again goes on like the State.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		answers := map[string]Answer{}
		for range rapid.IntRange(0, 60).Draw(t, "writes") {
			op, before := anyOp(t), a.Rev()
			got, changed := a.Apply(op)
			twin, _ := b.Apply(op)
			if !reflect.DeepEqual(got, twin) {
				t.Fatalf("%+v: %+v and %+v", op, got, twin)
			}
			if was, repeat := answers[op.ID]; repeat && (was != got || changed != nil) {
				t.Fatalf("the repeat %+v got %+v, before %+v", op, got, was)
			}
			answers[op.ID] = got
			if step := a.Rev() - before; step != 0 && changed == nil || step != 1 && changed != nil {
				t.Fatalf("%+v moved the revision by %d", op, step)
			}
			if changed != nil && (changed.Mod != a.Rev() || changed.State != Deleted && a.Get(changed.UID) != changed) {
				t.Fatalf("%+v put %+v at revision %d", op, changed, a.Rev())
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
		if !reflect.DeepEqual(a.Entries(), b.Entries()) || a.Rev() != b.Rev() || !reflect.DeepEqual(a.Members(), b.Members()) {
			t.Fatalf("the States differ: %+v, %+v", a, b)
		}
		r := Restored(a, b)
		if Epoch(r.Rev()) <= Epoch(b.Rev()) || r.Rev() <= b.Rev() || !reflect.DeepEqual(r.Entries(), a.Entries()) {
			t.Fatalf("restored at %d after %d", r.Rev(), b.Rev())
		}
	})
}

func TestLoadRefuses(t *testing.T) {
	for _, text := range []string{"", "{}", `{"rev":5}`, `{"rev":1099511627776,"order":["a"]}`, `{"rev":1099511627776,"entries":[{"uid":""}]}`} {
		if _, err := Load([]byte(text)); err == nil {
			t.Errorf("%q was taken for a snapshot", text)
		}
	}
}
