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

// Acknowledged writes survive a restart, from the log and from snapshots, and revisions continue from the last one.
func TestRestart(t *testing.T) {
	dir := t.TempDir()
	last := int64(0)
	for round := range 3 {
		r, err := startReplica(t, dir)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 60 {
			results := write(t, r, register(60*round+i))
			if results[0].Revision <= last {
				t.Fatalf("revision %d after %d", results[0].Revision, last)
			}
			last = results[0].Revision
		}
		if round == 1 {
			if err := r.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
		n := 0
		r.fsm.read(func(s *state.State) { n = s.Len() })
		if n != 60*(round+1) {
			t.Errorf("got %d instances in round %d", n, round)
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
		t.Errorf("no snapshot was written: %v", err)
	}
}

// copyDir returns a copy of a replica's data directory.
func copyDir(t *testing.T, from string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// snapshots returns the paths of the snapshots in a data directory, the newest last.
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

// A crash or a faulty disk may leave a truncated log, or a snapshot that is truncated or has a flipped byte. A single replica
// then either has everything that was acknowledged or refuses to start. It never starts with less or with other data.
func TestDamagedDataDir(t *testing.T) {
	if os.Getenv("REPLICA_TEST_OPEN") != "" { // in a child process, because bbolt may crash on a read past the end of a file
		r, err := startReplica(t, os.Getenv("REPLICA_TEST_OPEN"))
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
	r, err := startReplica(t, dir)
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
	truncate := func(path string, fraction float64) {
		st, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Truncate(path, int64(fraction*float64(st.Size()))); err != nil {
			t.Fatal(err)
		}
	}
	for name, damage := range map[string]func(dir string){
		"intact":                    func(string) {},
		"newest snapshot corrupt":   func(d string) { l := snapshots(t, d); flip(l[len(l)-1]) },
		"newest snapshot truncated": func(d string) { l := snapshots(t, d); truncate(l[len(l)-1], 0.5) },
		"all snapshots corrupt": func(d string) {
			for _, s := range snapshots(t, d) {
				flip(s)
			}
		},
		"log truncated to 95%":  func(d string) { truncate(filepath.Join(d, "log.db"), 0.95) },
		"log truncated to half": func(d string) { truncate(filepath.Join(d, "log.db"), 0.5) },
		"log missing": func(d string) {
			if err := os.Remove(filepath.Join(d, "log.db")); err != nil {
				t.Fatal(err)
			}
		},
		"log empty": func(d string) { truncate(filepath.Join(d, "log.db"), 0) },
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
				t.Errorf("want %s or an error at the start, got %v:\n%.1500s", want, err, out)
			}
		})
	}
}
