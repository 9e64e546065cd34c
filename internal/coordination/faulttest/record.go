package faulttest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"umberbank/internal/coordination/eventlog"
)

// Kinds of events that the run itself records, in addition to those of package eventlog.
const (
	faultBegan         eventlog.Kind = "fault" // a fault begins to affect the process named by Unit
	faultEnded         eventlog.Kind = "fault over"
	processKilled      eventlog.Kind = "killed"
	registryFaultBegan eventlog.Kind = "registry" // a fault begins to affect the registry
	registryFaultEnded eventlog.Kind = "registry over"
	faultsOver         eventlog.Kind = "healed" // all faults have ended, and no other begins

	releaseHalted   eventlog.Kind = "halt"
	releaseResumed  eventlog.Kind = "resume"
	serverDrained   eventlog.Kind = "drained"
	serverUndrained eventlog.Kind = "undrained"

	versionProposed eventlog.Kind = "pushed"
	versionRejected eventlog.Kind = "turned down"
)

// Kinds of events that are read from the logs of nodes. The values are the words of nodeLogLine.
const (
	nodeRuns         eventlog.Kind = "runs"
	nodeAcknowledged eventlog.Kind = "could run" // the node has acknowledged a version
	nodeInSync       eventlog.Kind = "in touch"
	nodeOutOfSync    eventlog.Kind = "out of touch"
	nodeServes       eventlog.Kind = "serves"
)

// record holds the events of a run: those that the processes have logged, and those that the run itself has recorded.
type record struct {
	mu     sync.Mutex
	events []eventlog.Event
}

func newRecord() *record { return &record{} }

func (r *record) add(e eventlog.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// addNow adds an event with the current time.
func (r *record) addNow(kind eventlog.Kind, unit string) {
	r.add(eventlog.Event{At: eventlog.Now(), Kind: kind, Unit: unit})
}

// sort sorts the events by time. Events with the same time stay in the order in which they were added.
func (r *record) sort() {
	slices.SortStableFunc(r.events, func(a, b eventlog.Event) int { return cmp.Compare(a.At, b.At) })
}

// readLogs adds the events of the logs whose paths match pattern. It skips lines that are not valid JSON, because a process that
// is killed may leave an incomplete line. The reading of a log ends without an error at a line that is too long for a
// bufio.Scanner.
func (r *record) readLogs(pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	for _, name := range files {
		if err := r.readLog(name); err != nil {
			return err
		}
	}
	return nil
}

func (r *record) readLog(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var e eventlog.Event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			r.events = append(r.events, e)
		}
	}
	return nil
}

// violations adds the violations that a check finds to a Result.
type violations struct{ result *Result }

// maxViolations is the maximum number of descriptions in a result. All violations are counted.
const maxViolations = 20

// add increments count, and adds a description if the result has fewer than maxViolations.
func (v violations) add(count *int, format string, args ...any) {
	*count++
	if len(v.result.Violations) < maxViolations {
		v.result.Violations = append(v.result.Violations, fmt.Sprintf(format, args...))
	}
}
