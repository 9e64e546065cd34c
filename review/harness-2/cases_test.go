package main

import (
	"os"
	"os/exec"
	"testing"
)

// playCase runs the script of a case, after the build of the deploy file and review/build-2.sh. It is skipped unless the environment
// has REVIEW=1.
func playCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW") != "1" {
		t.Skip("REVIEW=1 plays the cases of the review")
	}
	if out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("case %s: %v\n%s", folder, err, out)
	}
}

// Clients that leave while long answers begin do not keep a node from serving others later.
func TestReviewCase6(t *testing.T) { playCase(t, "6") }

// A node that is started again while the registry is down answers what it takes.
func TestReviewCase7(t *testing.T) { playCase(t, "7") }

// The agent that is replaced does not remove its server, which the next agent has registered.
func TestReviewCase8(t *testing.T) { playCase(t, "8") }

// A drained server stays drained when its agent has been cut off from the registry.
func TestReviewCase9(t *testing.T) { playCase(t, "9") }

// A peer that sends no proper request gets an error or a close.
func TestReviewCase10(t *testing.T) { playCase(t, "10") }
