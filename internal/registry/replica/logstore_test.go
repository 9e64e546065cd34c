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

// A byte that is flipped in the log never becomes part of the state. Either the replica reports the corrupt entry and does not
// start, or the byte is in an unused page.
func TestCorruptLogEntry(t *testing.T) {
	dir := t.TempDir()
	r, err := startReplica(t, dir)
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
	detected := 0
	for at := bytes.Index(text, []byte("zone-of-the-test")); at >= 0 && detected < 10; {
		corrupt := bytes.Clone(text)
		corrupt[at] ^= 1
		if err := os.WriteFile(path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := startReplica(t, dir)
		switch {
		case errors.Is(err, ErrCorruptEntry):
			detected++
		case err != nil:
			t.Fatalf("byte %d: %v", at, err)
		default: // the byte is in an unused page, so the state must be unchanged
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
	if detected == 0 {
		t.Error("no flipped byte was detected")
	}
}
