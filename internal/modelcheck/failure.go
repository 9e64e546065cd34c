package modelcheck

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ReplayEnv is the environment variable for a schedule to replay, in the format that Failure.Error prints. If it is set, Explore
// runs only that schedule.
const ReplayEnv = "INTERLEAVE_REPLAY"

// Failure describes a schedule that failed.
type Failure struct {
	Reason   string
	Schedule []int    // the index of the thread that performed each operation
	Steps    []string // a description of each operation
}

// Error returns the reason, the schedule to replay, and its operations, one per line.
func (f *Failure) Error() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s\n%s=", f.Reason, ReplayEnv)
	for i, id := range f.Schedule {
		if i > 0 {
			s.WriteByte(',')
		}
		s.WriteString(strconv.Itoa(id))
	}
	for _, step := range f.Steps {
		s.WriteString("\n  " + step)
	}
	return s.String()
}

// replaySchedule returns the schedule in the environment, or nil if there is none.
func replaySchedule() ([]int, error) {
	text := os.Getenv(ReplayEnv)
	if text == "" {
		return nil, nil
	}
	var schedule []int
	for _, id := range strings.Split(text, ",") {
		n, err := strconv.Atoi(id)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", ReplayEnv, err)
		}
		schedule = append(schedule, n)
	}
	return schedule, nil
}

// invariantViolation is the value that Failf panics with.
type invariantViolation string

// Failf ends the schedule with a violated invariant. Threads and the check set by Execution.Finally may call it.
func Failf(format string, args ...any) {
	panic(invariantViolation(fmt.Sprintf(format, args...)))
}
