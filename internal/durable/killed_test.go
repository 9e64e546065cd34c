package durable_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"umberbank/internal/durable"
)

// writerDirEnv makes the test binary a writer in that directory, until it is killed.
const writerDirEnv = "DURABLE_TEST_DIR"

func writerOptions(dir string) durable.Options {
	return durable.Options{Dir: dir, Kind: "test", Schema: 2}
}

// On the operating system's files, with processes that are killed at any moment while they save: what is loaded is whole and
// no older than what a process reported as saved.
func TestKilledWriter(t *testing.T) {
	if dir := os.Getenv(writerDirEnv); dir != "" {
		saveForever(dir)
		return
	}
	const rounds = 20
	dir := t.TempDir()
	for round := range rounds {
		reported := killWriter(t, dir, 2+round)
		got, skipped := load(t, writerOptions(dir))
		if got < reported || len(skipped) > 0 {
			t.Fatalf("round %d: state %d is loaded, %d was reported; skipped %v", round, got, reported, skipped)
		}
	}
	const maxFiles = 3 + 3 // retained; one more, a temporary one, and the lock
	names, err := os.ReadDir(dir)
	if err != nil || len(names) > maxFiles {
		t.Errorf("%d files, %v", len(names), err)
	}
}

// killWriter starts a writer, kills it once it has reported so many states as saved, and returns the last that it reported.
func killWriter(t *testing.T, dir string, reports int) (last int) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "-test.run=^TestKilledWriter$")
	cmd.Env = append(os.Environ(), writerDirEnv+"="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	last = -1
	count := 0
	for lines := bufio.NewScanner(out); lines.Scan(); {
		n, err := strconv.Atoi(lines.Text())
		if err != nil {
			t.Fatalf("the writer says %q", lines.Text())
		}
		last = n
		if count++; count == reports {
			if err := cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := cmd.Wait(); err == nil || count < reports {
		t.Fatalf("the writer ended by itself: %v, after %d reports", err, count)
	}
	return last
}

// saveForever saves one state after another and reports each, until it is killed.
func saveForever(dir string) {
	first := 0
	durable.Load(writerOptions(dir), func(s durable.Snapshot) error {
		_, err := fmt.Sscanf(string(s.Payload), "state %d", &first)
		return err
	})
	s, err := durable.Open(writerOptions(dir))
	if err != nil {
		panic(err)
	}
	for n := first + 1; n < first+100_000; n++ {
		if err := s.Save(payload(n), taken); err != nil {
			panic(err)
		}
		fmt.Println(n)
	}
}
