package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/durable/faultfs"
)

var epoch = time.Unix(1_800_000_000, 0)

// payload is the n-th state; its text tells n and its own length.
func payload(n int) []byte {
	return fmt.Appendf(nil, "state %d %s.", n, strings.Repeat("x", 37*(n%5)))
}

func options(fsys durable.FS) durable.Options {
	return durable.Options{Dir: "d", Kind: "test", Schema: 2, Retain: 2, FS: fsys}
}

// load loads what is there; -1: nothing. Anything that was never saved ends the test.
func load(t *testing.T, o durable.Options) (n int, thrown []durable.SkippedFile) {
	t.Helper()
	s, thrown := durable.Load(o, func(durable.Snapshot) error { return nil })
	if s == nil {
		return -1, thrown
	}
	if _, err := fmt.Sscanf(string(s.Payload), "state %d", &n); err != nil || !bytes.Equal(s.Payload, payload(n)) {
		t.Fatalf("%q was never saved", s.Payload)
	}
	bad := durable.Replay(o, s.Seq, func(r []byte) error {
		n++
		if !bytes.Equal(r, payload(n)) {
			t.Fatalf("%q comes after state %d", r, n-1)
		}
		return nil
	})
	if bad != nil {
		thrown = append(thrown, *bad)
	}
	return n, thrown
}

const saves = 7

// session opens the folder and keeps one state after another, every third as a snapshot, the others as records of the
// log. It returns the last state that was kept for good and the last that was tried.
func session(fsys durable.FS, from int) (acked, tried int) {
	acked, tried = -1, -1
	s, err := durable.Open(options(fsys))
	if err != nil {
		return
	}
	defer s.Close()
	for n := from; n < from+saves; n++ {
		tried = n
		var err error
		if n%3 == from%3 {
			err = s.Save(payload(n), epoch)
		} else {
			err = s.Append(payload(n))
		}
		if err == nil {
			acked = n
		}
	}
	return acked, tried
}

// The power goes at every step, and whatever was not synced may have come or not: what is loaded was saved whole, and is no
// older than the last Save that returned. A second session then goes on from there, and the power goes at every step of
// that too.
func TestPowerLoss(t *testing.T) {
	points := 0
	crash := func(begin func() *faultfs.FS, acked0, from int, each func(after *faultfs.FS, acked int)) {
		for at := 0; ; at++ {
			f := begin()
			f.CrashAt = at
			acked, tried := session(f, from)
			acked = max(acked, acked0)
			f.Outcomes(func(after *faultfs.FS) {
				points++
				got, _ := load(t, options(after))
				if got < acked || got > max(tried, acked) {
					t.Fatalf("crash at step %d: %d is loaded, %d was saved last, of %d tried; %v", at, got, acked, tried, after)
				}
				each(after, got)
			})
			if f.Steps <= at {
				return
			}
		}
	}
	crash(faultfs.New, -1, 0, func(after *faultfs.FS, got int) {
		crash(func() *faultfs.FS {
			f := faultfs.New()
			names, _ := after.ReadDir("d")
			for _, n := range names {
				text, _ := after.ReadFile(filepath.Join("d", n))
				f.Put(filepath.Join("d", n), text)
			}
			return f
		}, got, got+1, func(*faultfs.FS, int) {})
	})
	t.Logf("%d states of the disk after a crash", points)
	if points < 10_000 {
		t.Errorf("only %d states of the disk were looked at", points)
	}
}

// Any one step fails, as on a full, a read-only or a dying disk, and the power goes at any step after it: what was said to be
// kept is there. Save and Append go on from a fault by themselves, also from a sync that failed once.
func TestFailingDisk(t *testing.T) {
	steps := func(f *faultfs.FS) int { session(f, 0); return f.Steps }
	all := steps(faultfs.New())
	for _, fail := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for at := range all {
			for crash := at + 1; crash <= all+1; crash++ {
				f := faultfs.New()
				f.FailAt, f.Fail, f.CrashAt = at, fail, crash
				acked, tried := session(f, 0)
				f.Outcomes(func(after *faultfs.FS) {
					if got, _ := load(t, options(after)); got < acked || got > tried {
						t.Fatalf("%v at step %d, crash at %d: %d is loaded, %d was kept last", fail, at, crash, got, acked)
					}
				})
				if at > 2 && crash > all && acked < saves-2 { // Open has come through, and no crash
					t.Fatalf("%v at step %d: nothing was kept after %d", fail, at, acked)
				}
			}
		}
	}
}

// Every bit of a snapshot is flipped, and it is cut at every byte: it is named and passed over, and the one before is taken.
func TestFlips(t *testing.T) {
	f := faultfs.New()
	session(f, 0)
	names, err := f.ReadDir("d")
	if err != nil || len(names) != 3 { // two snapshots, and the log between them
		t.Fatal(names, err)
	}
	newest := filepath.Join("d", names[2])
	whole, _ := f.ReadFile(newest)
	points := 0
	try := func(what string, text []byte) {
		points++
		f.Put(newest, text)
		got, thrown := load(t, options(f))
		if got != saves-2 || len(thrown) != 1 || thrown[0].File != newest || thrown[0].Reason == nil {
			t.Fatalf("%s: %d is loaded, thrown %v", what, got, thrown)
		}
	}
	for i := range whole {
		for bit := range 8 {
			spoilt := bytes.Clone(whole)
			spoilt[i] ^= 1 << bit
			try(fmt.Sprintf("byte %d, bit %d", i, bit), spoilt)
		}
		try(fmt.Sprintf("cut at %d", i), whole[:i])
		try(fmt.Sprintf("%d more", i+1), append(bytes.Clone(whole), whole[:i+1]...))
	}
	// In the log of the newest snapshot they cost its records from there on, and no others.
	f.Remove(newest)
	log := filepath.Join("d", names[0])
	whole, _ = f.ReadFile(log)
	for i := range whole {
		for bit := range 8 {
			points++
			spoilt := bytes.Clone(whole)
			spoilt[i] ^= 1 << bit
			f.Put(log, spoilt)
			if got, thrown := load(t, options(f)); got < saves-4 || got > saves-3 || len(thrown) != 1 || thrown[0].File != log {
				t.Fatalf("byte %d, bit %d of the log: %d is loaded, thrown %v", i, bit, got, thrown)
			}
		}
		f.Put(log, whole[:i])
		if got, _ := load(t, options(f)); got < saves-4 || got > saves-3 {
			t.Fatalf("the log cut at %d: %d is loaded", i, got)
		}
	}
	t.Logf("%d flips and cuts", points)
}

// What a newer version wrote, what the reader's own check turns down, and files of other kinds are passed over; nothing of
// them is overwritten or counts less than it did.
func TestPassedOver(t *testing.T) {
	f := faultfs.New()
	session(f, 0)
	newer := durable.Options{Dir: "d", Kind: "test", Schema: 3, Retain: 2, FS: f}
	s, err := durable.Open(newer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := durable.Open(newer); !errors.Is(err, durable.ErrInUse) {
		t.Errorf("a second writer: %v", err)
	}
	if err := s.Save([]byte("of tomorrow"), epoch); err != nil {
		t.Fatal(err)
	}
	s.Close()
	got, thrown := load(t, options(f))
	if got != saves-1 || len(thrown) != 1 || !strings.Contains(thrown[0].String(), "newer version") {
		t.Errorf("%d, thrown %v", got, thrown)
	}
	if acked, _ := session(f, 100); acked != 100+saves-1 {
		t.Errorf("%d was saved last", acked)
	}
	if got, _ := load(t, options(f)); got != 100+saves-1 {
		t.Errorf("%d is loaded", got)
	}
	no := errors.New("no")
	one, thrown := durable.Load(options(f), func(s durable.Snapshot) error {
		if bytes.Contains(s.Payload, fmt.Append(nil, 100+saves-1)) {
			return no
		}
		return nil
	})
	if one == nil || !bytes.Equal(one.Payload, payload(100+saves-4)) || len(thrown) != 1 || !errors.Is(thrown[0].Reason, no) {
		t.Errorf("%v, thrown %v", one, thrown)
	}
	other := options(f)
	other.Kind = "other"
	if s, thrown := durable.Load(other, func(durable.Snapshot) error { return nil }); s != nil || thrown != nil {
		t.Errorf("of another kind: %v, %v", s, thrown)
	}
}

// On the machine's own files, with processes that are killed at any moment while they save: what is read is always whole and
// never older than what a process said was saved.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("DURABLE_TEST_DIR"); dir != "" {
		writeOn(dir)
		return
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	o := durable.Options{Dir: dir, Kind: "test", Schema: 2}
	last := -1
	for round := range 20 {
		cmd := exec.Command(self, "-test.run=^TestKilled$")
		cmd.Env = append(os.Environ(), "DURABLE_TEST_DIR="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 1<<16)
		var said []byte
		for bytes.Count(said, []byte{'\n'}) < 2+round { // then it dies at whatever it does
			n, err := out.Read(buf)
			said = append(said, buf[:n]...)
			if err != nil {
				t.Fatalf("the writer ended: %v: %s", err, said)
			}
		}
		cmd.Process.Kill()
		for n, err := out.Read(buf); n > 0 || err == nil; n, err = out.Read(buf) {
			said = append(said, buf[:n]...)
		}
		cmd.Wait() // killed
		lines := strings.Split(string(said), "\n")
		if _, err := fmt.Sscan(lines[len(lines)-2], &last); err != nil {
			t.Fatalf("%q: %v", said, err)
		}
		got, thrown := load(t, o)
		if got < last || len(thrown) > 0 {
			t.Fatalf("round %d: %d is loaded, %d was saved; thrown %v", round, got, last, thrown)
		}
		last = got
	}
	names, err := os.ReadDir(dir)
	if err != nil || len(names) > 3+3 { // what is kept, one more or unfinished, the lock
		t.Errorf("%d files, %v", len(names), err)
	}
}

// writeOn saves one state after another, and says so, until it is killed.
func writeOn(dir string) {
	o := durable.Options{Dir: dir, Kind: "test", Schema: 2}
	first := 0
	durable.Load(o, func(s durable.Snapshot) error {
		_, err := fmt.Sscanf(string(s.Payload), "state %d", &first)
		return err
	})
	s, err := durable.Open(o)
	if err != nil {
		panic(err)
	}
	for n := first + 1; n < first+100_000; n++ {
		if err := s.Save(payload(n), epoch); err != nil {
			panic(err)
		}
		fmt.Println(n)
	}
}

// Whatever the bytes, the reader gives what Encode wrote or says why not.
func FuzzDecode(f *testing.F) {
	for n := range 3 {
		text, err := durable.Encode(durable.Snapshot{Kind: "test", Schema: 1, Seq: uint64(n), Taken: epoch, Payload: payload(n)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := durable.Decode(text)
		if err != nil {
			return
		}
		again, err := durable.Encode(s)
		if err != nil || !bytes.Equal(again, text) {
			t.Fatalf("%q is read as %+v (%v)", text, s, err)
		}
	})
}
