package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// limit is how long anything may take that has to happen.
const limit = 30 * time.Second

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 220+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// open starts a registry of one on a folder.
func open(t *testing.T, dir string) (*Replica, error) {
	t.Helper()
	a, b := freeAddr(t), freeAddr(t)
	return New(Config{ID: "r0", DataDir: dir, RaftAddress: a, ClientAddress: b, Peers: []Peer{{ID: "r0", RaftAddress: a, ClientAddress: b}}, Tick: 20 * time.Millisecond,
		SnapshotThreshold: 40, Guard: ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
}

func write(t *testing.T, r *Replica, ops ...state.Op) []state.Result {
	t.Helper()
	w, err := client.New(client.Options{Endpoints: []string{r.Addr()}, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	a, err := w.Write(ctx, ops...)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func register(i int) state.Op {
	return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", Zone: "zone-of-the-test", State: state.Serving}}
}

// What was answered is there after a restart, from the log and from snapshots, and revisions go on from where they were.
func TestRestart(t *testing.T) {
	dir := t.TempDir()
	last := int64(0)
	for round := range 3 {
		r, err := open(t, dir)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 60 {
			a := write(t, r, register(60*round+i))
			if a[0].Revision <= last {
				t.Fatalf("revision %d after %d", a[0].Revision, last)
			}
			last = a[0].Revision
		}
		if round == 1 {
			if err := r.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
		n := 0
		r.fsm.read(func(s *state.State) { n = s.Len() })
		if n != 60*(round+1) {
			t.Errorf("%d entries in round %d", n, round)
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
	found := false
	err := filepath.WalkDir(filepath.Join(dir, "snapshots"), func(path string, d fs.DirEntry, err error) error {
		found = found || strings.HasSuffix(path, "state.bin")
		return err
	})
	if err != nil || !found {
		t.Errorf("no snapshot was made: %v", err)
	}
}

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
	entriesOf := func(r *Replica) (l []*state.Instance) {
		r.fsm.read(func(s *state.State) { l = s.Instances() })
		return l
	}
	want := entriesOf(r)
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
			if got := entriesOf(r); !reflect.DeepEqual(got, want) {
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

// copyDir copies a replica's folder.
func copyDir(t *testing.T, from string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// snapshots are the states that a folder keeps, the newest last.
func snapshots(t *testing.T, dir string) (l []string) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(dir, "snapshots"), func(path string, d fs.DirEntry, err error) error {
		if strings.HasSuffix(path, "state.bin") {
			l = append(l, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// What a crash or a bad disk may leave: a log that ends early, a snapshot with a byte flipped or cut short. A replica
// alone either holds all that was answered or says that it cannot start; never less, and never something else.
func TestDamagedDataDir(t *testing.T) {
	if os.Getenv("REPLICA_TEST_OPEN") != "" { // a process of its own: bbolt may end one that reads behind a file's end
		r, err := open(t, os.Getenv("REPLICA_TEST_OPEN"))
		if err != nil {
			fmt.Println("REFUSED", err)
			return
		}
		write(t, r, state.Op{Kind: state.OpNoop})
		var text []byte
		r.fsm.read(func(s *state.State) { text, err = json.Marshal(s.Instances()) })
		fmt.Printf("HOLDS %x %v\n", xxhash.Sum64(text), err)
		r.Close()
		return
	}
	dir := t.TempDir()
	r, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 120 {
		write(t, r, register(i))
		if i%50 == 49 {
			if err := r.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
	}
	var text []byte
	r.fsm.read(func(s *state.State) { text, err = json.Marshal(s.Instances()) })
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("HOLDS %x <nil>", xxhash.Sum64(text))
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	flip := func(path string) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		b[len(b)/2] ^= 1
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cut := func(path string, share float64) {
		st, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Truncate(path, int64(share*float64(st.Size()))); err != nil {
			t.Fatal(err)
		}
	}
	for name, damage := range map[string]func(dir string){
		"intact":              func(string) {},
		"newest snapshot bad": func(d string) { l := snapshots(t, d); flip(l[len(l)-1]) },
		"newest snapshot cut": func(d string) { l := snapshots(t, d); cut(l[len(l)-1], 0.5) },
		"all snapshots bad": func(d string) {
			for _, s := range snapshots(t, d) {
				flip(s)
			}
		},
		"log cut a little": func(d string) { cut(filepath.Join(d, "log.db"), 0.95) },
		"log cut in half":  func(d string) { cut(filepath.Join(d, "log.db"), 0.5) },
		"log missing": func(d string) {
			if err := os.Remove(filepath.Join(d, "log.db")); err != nil {
				t.Fatal(err)
			}
		},
		"log empty": func(d string) { cut(filepath.Join(d, "log.db"), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			data := copyDir(t, dir)
			damage(data)
			self, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(self, "-test.run=^TestDamagedDataDir$")
			cmd.Env = append(os.Environ(), "REPLICA_TEST_OPEN="+data)
			out, err := cmd.CombinedOutput()
			holds := strings.Contains(string(out), want)
			refused := strings.Contains(string(out), "REFUSED") || err != nil
			if name == "intact" && !holds || !holds && !refused {
				t.Errorf("want %s or a reason, got %v:\n%.1500s", want, err, out)
			}
		})
	}
}

// A sync is timed by the monotonic clock, less the time in which this process was suspended.
func TestSyncMonitorDiscountsSuspension(t *testing.T) {
	c := &syncMonitor{base: time.Now().Add(-time.Minute)}
	if c.pending() != 0 {
		t.Error("no sync is under way")
	}
	c.discount(time.Second)
	c.began.Store(int64(50 * time.Second)) // ten seconds ago
	if d := c.pending(); d < 10*time.Second || d > 40*time.Second {
		t.Errorf("it lasts %v", d)
	}
	before := c.pending()
	c.discount(9 * time.Second)
	if d := c.pending(); d < before-9*time.Second || d > before {
		t.Errorf("without 9 s of suspension it lasts %v, before %v", d, before)
	}
}
