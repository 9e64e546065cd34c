package replica

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"umberbank/internal/registry/state"
)

// What was acknowledged is there after a restart, from the log and from snapshots, and revisions go on from where they were.
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
			t.Errorf("%d instances in round %d", n, round)
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
