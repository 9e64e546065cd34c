package durable_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	"umberbank/internal/durable"
	"umberbank/internal/durable/faultfs"
)

var diskErrors = []syscall.Errno{syscall.ENOSPC, syscall.EROFS, syscall.EIO}

// forEachBitFlip calls do once for each bit of content, with a copy in which that bit is flipped.
func forEachBitFlip(content []byte, do func(what string, corrupt []byte)) {
	for i := range content {
		for bit := range 8 {
			corrupt := bytes.Clone(content)
			corrupt[i] ^= 1 << bit
			do(fmt.Sprintf("byte %d, bit %d", i, bit), corrupt)
		}
	}
}

// A snapshot with any flipped bit, truncated at any byte, or extended by up to its own length is reported and skipped, and the
// previous one is loaded. From a log with a flipped bit or a missing end, at most the records before the last one are applied.
// A flipped bit in a log is reported. A truncated log is not always reported, because it may end after a complete record.
func TestCorruptedBytes(t *testing.T) {
	f := faultfs.New()
	session(f, 0)
	names := list(t, f)
	if len(names) != 3 { // two snapshots, and the log of the older one
		t.Fatal(names)
	}
	log, newest := filepath.Join(dir, names[0]), filepath.Join(dir, names[2])
	checked := checkCorruptSnapshot(t, f, newest, read(t, f, names[2]))
	if err := f.Remove(newest); err != nil {
		t.Fatal(err)
	}
	checked += checkCorruptLog(t, f, log, read(t, f, names[0]))
	t.Logf("%d corruptions", checked)
}

func checkCorruptSnapshot(t *testing.T, f *faultfs.FS, path string, content []byte) (checked int) {
	t.Helper()
	check := func(what string, corrupt []byte) {
		checked++
		f.Put(path, corrupt)
		got, skipped := load(t, options(f))
		if got != writesPerSession-2 || len(skipped) != 1 || skipped[0].File != path || skipped[0].Reason == nil {
			t.Fatalf("%s: state %d is loaded, skipped %v", what, got, skipped)
		}
	}
	forEachBitFlip(content, check)
	for i := range content {
		check(fmt.Sprintf("truncated at %d", i), content[:i])
		check(fmt.Sprintf("extended by %d", i+1), append(bytes.Clone(content), content[:i+1]...))
	}
	return checked
}

func checkCorruptLog(t *testing.T, f *faultfs.FS, path string, content []byte) (checked int) {
	t.Helper()
	loaded := func(what string, corrupt []byte) []durable.SkippedFile {
		f.Put(path, corrupt)
		got, skipped := load(t, options(f))
		if got < writesPerSession-4 || got > writesPerSession-3 {
			t.Fatalf("log, %s: state %d is loaded, skipped %v", what, got, skipped)
		}
		return skipped
	}
	forEachBitFlip(content, func(what string, corrupt []byte) {
		checked++
		if skipped := loaded(what, corrupt); len(skipped) != 1 || skipped[0].File != path {
			t.Fatalf("log, %s: skipped %v", what, skipped)
		}
	})
	for i := range content {
		loaded(fmt.Sprintf("truncated at %d", i), content[:i])
	}
	return checked
}

// For any input, Decode returns an error or a snapshot that Encode encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for n := range 3 {
		content, err := durable.Encode(durable.Snapshot{Kind: "test", Schema: 1, Seq: uint64(n), Taken: taken, Payload: payload(n)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
		f.Add(content[:len(content)/2])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := durable.Decode(content)
		if err != nil {
			return
		}
		again, err := durable.Encode(s)
		if err != nil || !bytes.Equal(again, content) {
			t.Fatalf("%q is decoded as %+v (%v)", content, s, err)
		}
	})
}
