package durable_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"umberbank/internal/durable"
)

// The files under testdata were written by an earlier release. They fix the format on disk: the code must read them, and must
// write the same bytes for the same calls.
const (
	storedFolder = "testdata/store"
	storedFile   = "testdata/single.state"
)

func storedOptions(dir string) durable.Options {
	return durable.Options{Dir: dir, Kind: "fixture", Schema: 2, Retain: 2}
}

func storedTime(n int64) time.Time { return time.Unix(1_800_000_000+n, 250_000_000) }

// copyFolder copies a folder to a temporary one and returns its path.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

func fileNames(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

func TestReadsEarlierFiles(t *testing.T) {
	dir := copyFolder(t, storedFolder)
	opt := storedOptions(dir)
	newest, skipped := durable.Load(opt, func(durable.Snapshot) error { return nil })
	if newest == nil || len(skipped) > 0 {
		t.Fatalf("loaded %v, skipped %v", newest, skipped)
	}
	if newest.Kind != "fixture" || newest.Schema != 2 || newest.Seq != 3 || !newest.Taken.Equal(storedTime(3)) || string(newest.Payload) != `{"number":3}` {
		t.Errorf("loaded %+v", newest)
	}
	for _, c := range []struct {
		seq     uint64
		records []string
	}{
		{2, []string{"two-a"}},
		{3, []string{"three-a", "", "three-c", "\x00\x01\xfe\xff"}},
	} {
		var got []string
		if bad := durable.Replay(opt, c.seq, func(r []byte) error { got = append(got, string(r)); return nil }); bad != nil || !slices.Equal(got, c.records) {
			t.Errorf("log %d: records %q, want %q; skipped %v", c.seq, got, c.records, bad)
		}
	}
	older, err := durable.ReadFile(filepath.Join(dir, "fixture-0000000000000002.state"))
	if err != nil || older.Seq != 2 || string(older.Payload) != `{"number":2}` {
		t.Errorf("snapshot 2: %+v, %v", older, err)
	}
	single, err := durable.ReadFile(storedFile)
	if err != nil || single.Kind != "single" || single.Schema != 7 || single.Seq != 42 || !single.Taken.Equal(storedTime(42)) || string(single.Payload) != "payload" {
		t.Errorf("single file: %+v, %v", single, err)
	}
	// A Store continues the sequence numbers, and removes the oldest snapshot and its log.
	s, err := durable.Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Save([]byte(`{"number":4}`), storedTime(4)); err != nil {
		t.Fatal(err)
	}
	want := []string{"fixture-0000000000000003.log", "fixture-0000000000000003.state", "fixture-0000000000000004.state", "lock"}
	if got := fileNames(t, dir); !slices.Equal(got, want) {
		t.Errorf("files %q, want %q", got, want)
	}
}

func TestWritesSameBytes(t *testing.T) {
	dir := t.TempDir()
	s, err := durable.Open(storedOptions(dir))
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.Save([]byte(`{"number":1}`), storedTime(1)))
	must(s.Append([]byte("removed with its snapshot")))
	must(s.Save([]byte(`{"number":2}`), storedTime(2)))
	must(s.Append([]byte("two-a")))
	must(s.Save([]byte(`{"number":3}`), storedTime(3)))
	must(s.Append([]byte("three-a"), nil, []byte("three-c")))
	must(s.Append([]byte{0, 1, 254, 255}))
	must(s.Close())
	names := fileNames(t, dir)
	if want := fileNames(t, storedFolder); !slices.Equal(names, want) {
		t.Fatalf("files %q, want %q", names, want)
	}
	for _, name := range names {
		sameBytes(t, filepath.Join(dir, name), filepath.Join(storedFolder, name))
	}
	single := filepath.Join(t.TempDir(), "single.state")
	must(durable.WriteFile(single, durable.Snapshot{Kind: "single", Schema: 7, Seq: 42, Taken: storedTime(42), Payload: []byte("payload")}))
	sameBytes(t, single, storedFile)
}

func sameBytes(t *testing.T, got, want string) {
	t.Helper()
	a, err := os.ReadFile(got)
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Errorf("%s differs from %s:\n%q\n%q", got, want, a, b)
	}
}
