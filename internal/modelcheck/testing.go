package modelcheck

import (
	"strings"
	"testing"
)

// Check runs body under all schedules and fails t with the first schedule that fails.
func Check(t *testing.T, o Options, body func(x *Execution)) {
	t.Helper()
	schedules, failure := Explore(o, body)
	if failure != nil {
		t.Fatal(failure)
	}
	t.Logf("schedules: %d", schedules)
}

// CheckFails runs a body with a deliberate fault and fails t unless a schedule fails with a reason that contains reason. It
// verifies that a Check of the same body would find that fault.
func CheckFails(t *testing.T, o Options, reason string, body func(x *Execution)) {
	t.Helper()
	schedules, failure := Explore(o, body)
	if failure == nil || !strings.Contains(failure.Reason, reason) {
		t.Fatalf("the deliberate fault was not found in %d schedules: %v", schedules, failure)
	}
	t.Logf("schedules: %d until the failure: %s", schedules, failure.Reason)
}
