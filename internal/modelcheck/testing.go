package modelcheck

import (
	"strings"
	"testing"
)

// Check explores body and fails t with the schedule that breaks it, if any.
func Check(t *testing.T, o Options, body func(x *Execution)) {
	t.Helper()
	schedules, failure := Explore(o, body)
	if failure != nil {
		t.Fatal(failure)
	}
	t.Logf("schedules: %d", schedules)
}

// CheckFails explores a body with a planted fault and fails t unless some schedule fails for a reason that contains reason. It
// proves that a Check beside it would find that fault.
func CheckFails(t *testing.T, o Options, reason string, body func(x *Execution)) {
	t.Helper()
	schedules, failure := Explore(o, body)
	if failure == nil || !strings.Contains(failure.Reason, reason) {
		t.Fatalf("the planted fault was not found in %d schedules: %v", schedules, failure)
	}
	t.Logf("schedules: %d until %s", schedules, failure.Reason)
}
