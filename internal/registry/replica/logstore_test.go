package replica

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"umberbank/internal/registry/state"
)

// A byte that is flipped in the log never becomes part of the state: the replica names the entry and does not start, or
// the byte did not matter.
func TestCorruptLogEntry(t *testing.T) {
	dir := t.TempDir()
	r, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		write(t, r, register(i))
	}
	instancesOf := func(r *Replica) (l []*state.Instance) {
		r.fsm.read(func(s *state.State) { l = s.Instances() })
		return l
	}
	want := instancesOf(r)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "log.db")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	for at := bytes.Index(text, []byte("zone-of-the-test")); at >= 0 && named < 10; {
		corrupt := bytes.Clone(text)
		corrupt[at] ^= 1
		if err := os.WriteFile(path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := open(t, dir)
		switch {
		case errors.Is(err, ErrCorruptEntry):
			named++
		case err != nil:
			t.Fatalf("byte %d: %v", at, err)
		default: // a page that is free: nothing may have changed
			write(t, r, state.Op{Kind: state.OpNoop})
			if got := instancesOf(r); !reflect.DeepEqual(got, want) {
				t.Errorf("byte %d: the state differs", at)
			}
			r.Close()
		}
		next := bytes.Index(text[at+1:], []byte("zone-of-the-test"))
		if next < 0 {
			break
		}
		at += 1 + next
	}
	if named == 0 {
		t.Error("no flipped byte was named")
	}
}
