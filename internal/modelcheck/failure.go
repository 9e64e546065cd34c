package modelcheck

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ReplayEnv names the environment variable with a schedule, as a Failure prints it. Explore then runs that schedule alone.
const ReplayEnv = "INTERLEAVE_REPLAY"

// Failure describes a schedule that went wrong.
type Failure struct {
	Reason   string
	Schedule []int    // the index of the thread that performed each operation
	Steps    []string // the same in words
}

// Error returns the reason, the schedule to replay, and its operations one a line.
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

// replaySchedule returns the schedule in the environment; nil if there is none.
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

// invariantViolation is the value of Failf's panic.
type invariantViolation string

// Failf ends the schedule with a broken invariant. Threads and the function of Execution.Finally call it.
func Failf(format string, args ...any) {
	panic(invariantViolation(fmt.Sprintf(format, args...)))
}
