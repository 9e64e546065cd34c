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

// Kinds of events that a run itself records, beside those of package eventlog.
const (
	faultBegan         eventlog.Kind = "fault" // a fault affects the process Unit
	faultEnded         eventlog.Kind = "fault over"
	processKilled      eventlog.Kind = "killed"
	registryFaultBegan eventlog.Kind = "registry" // a fault affects the registry
	registryFaultEnded eventlog.Kind = "registry over"
	faultsOver         eventlog.Kind = "healed" // no fault begins after this

	releaseHalted   eventlog.Kind = "halt"
	releaseResumed  eventlog.Kind = "resume"
	serverDrained   eventlog.Kind = "drained"
	serverUndrained eventlog.Kind = "undrained"

	versionProposed eventlog.Kind = "pushed"
	versionRejected eventlog.Kind = "turned down"
)

// Kinds of events that are read from the logs of nodes.
const (
	nodeRuns      eventlog.Kind = "runs"
	nodeCouldRun  eventlog.Kind = "could run" // it has acknowledged a version
	nodeInSync    eventlog.Kind = "in touch"
	nodeOutOfSync eventlog.Kind = "out of touch"
	nodeServes    eventlog.Kind = "serves"
)

// record holds the events of a run: what processes say of themselves, and the faults that the run has injected.
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

// addNow adds an event that happens now.
func (r *record) addNow(kind eventlog.Kind, unit string) {
	r.add(eventlog.Event{At: eventlog.Now(), Kind: kind, Unit: unit})
}

// sort brings the events into the order of time, those of the same time into the order in which they were added.
func (r *record) sort() {
	slices.SortStableFunc(r.events, func(a, b eventlog.Event) int { return cmp.Compare(a.At, b.At) })
}

// readLogs adds the events of the logs that match a pattern. A line that a kill has cut short is skipped.
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

// violations collects what a check has found.
type violations struct{ result *Result }

// maxViolations is how many violations a result describes; all are counted.
const maxViolations = 20

// add counts a violation, and describes it if there are not too many.
func (v violations) add(count *int, format string, args ...any) {
	*count++
	if len(v.result.Violations) < maxViolations {
		v.result.Violations = append(v.result.Violations, fmt.Sprintf(format, args...))
	}
}
