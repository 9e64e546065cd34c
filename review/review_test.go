// Package review plays the cases of an independent review. They are left out of the default test run.
package review

import (
	"os"
	"os/exec"
	"testing"
)

// playCase runs the script of a case, after the build of the deploy file and review/build.sh. It is skipped unless the
// environment has REVIEW=1.
func playCase(t *testing.T, script string) {
	t.Helper()
	if os.Getenv("REVIEW") != "1" {
		t.Skip("REVIEW=1 plays the cases of the review")
	}
	if out, err := exec.Command(script).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", script, err, out)
	}
}

// A restarted node is ready again, and answers what it takes, although the settings in its file have one key more than the version in
// force.
func TestReviewCase1(t *testing.T) { playCase(t, "1/run.sh") }

// No client gets an answer that was made for another request, although servers send some answers a second time.
func TestReviewCase2(t *testing.T) { playCase(t, "2/run.sh") }

// A restore of a backup whose answer is lost is applied once.
func TestReviewCase3(t *testing.T) { playCase(t, "3/run.sh") }
