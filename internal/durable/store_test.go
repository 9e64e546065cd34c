package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/durable/faultfs"
)

const dir = "d"

var taken = time.Unix(1_800_000_000, 0)

// payload returns the n-th state. Its text contains n, and its length depends on n.
func payload(n int) []byte {
	return fmt.Appendf(nil, "state %d %s.", n, strings.Repeat("x", 37*(n%5)))
}

func options(fsys durable.FS) durable.Options {
	return durable.Options{Dir: dir, Kind: "test", Schema: 2, Retain: 2, FS: fsys}
}

func acceptAll(durable.Snapshot) error { return nil }

// load returns the number of the stored state, or -1 if there is none, and the skipped files. It fails the test if the snapshot
// or a record was never written or is out of order.
func load(t *testing.T, o durable.Options) (n int, skipped []durable.SkippedFile) {
	t.Helper()
	s, skipped := durable.Load(o, acceptAll)
	if s == nil {
		return -1, skipped
	}
	if _, err := fmt.Sscanf(string(s.Payload), "state %d", &n); err != nil || !bytes.Equal(s.Payload, payload(n)) {
		t.Fatalf("%q was never saved", s.Payload)
	}
	bad := durable.Replay(o, s.Seq, func(r []byte) error {
		n++
		if !bytes.Equal(r, payload(n)) {
			t.Fatalf("record %q follows state %d", r, n-1)
		}
		return nil
	})
	if bad != nil {
		skipped = append(skipped, *bad)
	}
	return n, skipped
}

// writesPerSession is the number of states that a session writes. Every third is written as a snapshot, and the others as
// records of its log.
const writesPerSession = 7

// session opens the directory and writes states starting with first. It returns the last state whose write succeeded and the
// last state whose write was attempted, each -1 if there is none.
func session(fsys durable.FS, first int) (acknowledged, attempted int) {
	acknowledged, attempted = -1, -1
	s, err := durable.Open(options(fsys))
	if err != nil {
		return acknowledged, attempted
	}
	defer s.Close() // fails in tests that inject faults
	for n := first; n < first+writesPerSession; n++ {
		attempted = n
		var err error
		if n%3 == first%3 {
			err = s.Save(payload(n), taken)
		} else {
			err = s.Append(payload(n))
		}
		if err == nil {
			acknowledged = n
		}
	}
	return acknowledged, attempted
}

// copyDisk returns a file system without faults that holds the files of another.
func copyDisk(t *testing.T, from *faultfs.FS) *faultfs.FS {
	t.Helper()
	to := faultfs.New()
	for _, name := range list(t, from) {
		to.Put(filepath.Join(dir, name), read(t, from, name))
	}
	return to
}

func list(t *testing.T, f *faultfs.FS) []string {
	t.Helper()
	names, err := f.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func read(t *testing.T, f *faultfs.FS, name string) []byte {
	t.Helper()
	content, err := f.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// After a power loss at any step, with every outcome that faultfs simulates for the unsynced data, the loaded state was written
// completely and is no older than the last acknowledged write. A second session starts from each of these states, with a power
// loss at each step.
func TestPowerLoss(t *testing.T) {
	states := 0
	crashAtEveryStep := func(begin func() *faultfs.FS, acknowledgedBefore, first int, check func(after *faultfs.FS, loaded int)) {
		for at := 0; ; at++ {
			f := begin()
			f.CrashAt = at
			acknowledged, attempted := session(f, first)
			acknowledged = max(acknowledged, acknowledgedBefore)
			f.ForEachPowerLoss(func(after *faultfs.FS) {
				states++
				got, _ := load(t, options(after))
				if got < acknowledged || got > max(attempted, acknowledged) {
					t.Fatalf("power loss at step %d: state %d is loaded, %d was acknowledged and %d attempted last; %v", at, got, acknowledged, attempted, after)
				}
				check(after, got)
			})
			if f.Steps <= at {
				return
			}
		}
	}
	crashAtEveryStep(faultfs.New, -1, 0, func(after *faultfs.FS, loaded int) {
		crashAtEveryStep(func() *faultfs.FS { return copyDisk(t, after) }, loaded, loaded+1, func(*faultfs.FS, int) {})
	})
	t.Logf("%d disk states after a power loss", states)
	if states < 10_000 {
		t.Errorf("only %d disk states were checked", states)
	}
}

// If any one step fails, as on a full, read-only or failing disk, and the power is lost at any later step, all acknowledged
// writes are loaded. Save and Append recover from a single fault, such as a failed sync, without a new Open.
func TestFailingDisk(t *testing.T) {
	const stepsOfOpen = 2 // if one of these steps fails, Open fails
	complete := faultfs.New()
	session(complete, 0)
	steps := complete.Steps
	for _, c := range diskErrors {
		t.Run(c.Error(), func(t *testing.T) {
			for failAt := range steps {
				for crashAt := failAt + 1; crashAt <= steps+1; crashAt++ {
					f := faultfs.New()
					f.FailAt, f.FailErr, f.CrashAt = failAt, c, crashAt
					acknowledged, attempted := session(f, 0)
					f.ForEachPowerLoss(func(after *faultfs.FS) {
						if got, _ := load(t, options(after)); got < acknowledged || got > attempted {
							t.Fatalf("failure at step %d, power loss at %d: state %d is loaded, %d was acknowledged last", failAt, crashAt, got, acknowledged)
						}
					})
					if failAt > stepsOfOpen && crashAt > steps && acknowledged < writesPerSession-2 {
						t.Fatalf("failure at step %d: nothing was acknowledged after state %d", failAt, acknowledged)
					}
				}
			}
		})
	}
}

// Load skips a snapshot with a newer schema, a snapshot that the caller rejects, and files of other kinds. A Store can still
// write after a snapshot with a newer schema.
func TestSkipsUnusableSnapshots(t *testing.T) {
	f := faultfs.New()
	session(f, 0)
	saveNewerSchema(t, f)
	got, skipped := load(t, options(f))
	if got != writesPerSession-1 || len(skipped) != 1 || !strings.Contains(skipped[0].String(), "newer version") || !errors.Is(skipped[0].Reason, durable.ErrNewerVersion) {
		t.Errorf("state %d is loaded, skipped %v", got, skipped)
	}

	const first = 100
	if acknowledged, _ := session(f, first); acknowledged != first+writesPerSession-1 {
		t.Errorf("state %d was acknowledged last", acknowledged)
	}
	if got, _ := load(t, options(f)); got != first+writesPerSession-1 {
		t.Errorf("state %d is loaded", got)
	}

	errRejected := errors.New("rejected")
	s, skipped := durable.Load(options(f), func(s durable.Snapshot) error {
		if bytes.Contains(s.Payload, fmt.Append(nil, first+writesPerSession-1)) {
			return errRejected
		}
		return nil
	})
	if s == nil || !bytes.Equal(s.Payload, payload(first+writesPerSession-4)) || len(skipped) != 1 || !errors.Is(skipped[0].Reason, errRejected) {
		t.Errorf("%v is loaded, skipped %v", s, skipped)
	}

	other := options(f)
	other.Kind = "other"
	if s, skipped := durable.Load(other, acceptAll); s != nil || skipped != nil {
		t.Errorf("other kind: %v is loaded, skipped %v", s, skipped)
	}
}

// saveNewerSchema saves a snapshot with a schema newer than that of options, and checks that a second Open fails meanwhile.
func saveNewerSchema(t *testing.T, f *faultfs.FS) {
	t.Helper()
	newer := options(f)
	newer.Schema = 3
	s, err := durable.Open(newer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := durable.Open(newer); !errors.Is(err, durable.ErrInUse) {
		t.Errorf("second Open: %v, want ErrInUse", err)
	}
	if err := s.Save([]byte("newer schema"), taken); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// Append returns ErrNoSnapshot before the first Save, the error of a failed write, and then ErrLogFailed.
func TestAppendErrors(t *testing.T) {
	f := faultfs.New()
	s, err := durable.Open(options(f))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Append(payload(0)); !errors.Is(err, durable.ErrNoSnapshot) {
		t.Errorf("before the first snapshot: %v", err)
	}
	if err := s.Save(payload(0), taken); err != nil {
		t.Fatal(err)
	}
	f.FailAt = f.Steps
	if err := s.Append(payload(1)); !errors.Is(err, f.FailErr) {
		t.Errorf("on a failing disk: %v", err)
	}
	if err := s.Append(payload(1)); !errors.Is(err, durable.ErrLogFailed) {
		t.Errorf("after a failed write: %v", err)
	}
}

// A record over the limit is rejected without a write, so that the next record is appended.
func TestAppendAfterTooLongRecord(t *testing.T) {
	opt := options(faultfs.New())
	opt.MaxPayload = len(payload(1))
	s, err := durable.Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Save(payload(0), taken); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(make([]byte, opt.MaxPayload+1)); err == nil {
		t.Error("a record over the limit was accepted")
	}
	if err := s.Append(payload(1)); err != nil {
		t.Errorf("after a record over the limit: %v", err)
	}
}

// Open removes the temporary files of its own kind, and not those of a kind whose name begins with it and a dash.
func TestOpenKeepsFilesOfOtherKinds(t *testing.T) {
	folder := t.TempDir()
	own, other := filepath.Join(folder, "list-0000000000000007.state.tmp"), filepath.Join(folder, "list-old-0000000000000007.state.tmp")
	for _, path := range []string{own, other} {
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := durable.Open(durable.Options{Dir: folder, Kind: "list", Schema: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := os.Stat(own); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%s: %v, want it removed", own, err)
	}
	if _, err := os.Stat(other); err != nil {
		t.Errorf("%s: %v, want it kept", other, err)
	}
}
