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

// writerDirEnv is the environment variable with a writer's directory. If it is set, the test binary saves states there until it
// is killed.
const writerDirEnv = "DURABLE_TEST_DIR"

func writerOptions(dir string) durable.Options {
	return durable.Options{Dir: dir, Kind: "test", Schema: 2}
}

// A process that is killed at any moment while it saves to the operating system's file system leaves a complete state, which
// is no older than the last one that it reported as saved.
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
	const maxFiles = 3 + 3 // retained snapshots; one not yet pruned, a temporary file and the lock
	names, err := os.ReadDir(dir)
	if err != nil || len(names) > maxFiles {
		t.Errorf("%d files, %v", len(names), err)
	}
}

// killWriter starts a writer, kills it after a number of reported states, and returns the last state that it reported.
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
			t.Fatalf("unexpected output of the writer: %q", lines.Text())
		}
		last = n
		if count++; count == reports {
			if err := cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := cmd.Wait(); err == nil || count < reports {
		t.Fatalf("the writer exited before it was killed: %v after %d reports", err, count)
	}
	return last
}

// saveForever saves successive states and prints the number of each saved state until the process is killed.
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
