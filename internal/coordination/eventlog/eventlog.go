// Package eventlog records the actions of agents and controllers in a file, as one line of JSON per event. Package
// faulttest reads these files to check the rules on disruption budgets, leases and rollouts of settings.
//
// Timestamps come from the machine's monotonic clock. All processes of a machine share it, so that the logs of several
// processes can be merged. A [Log] is safe for concurrent use.
package eventlog

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is the type of an event, as written to the log.
type Kind string

// Kinds of events.
const (
	UnitStarted    Kind = "up"   // the process of an agent's unit is ready, and the unit is about to be registered
	UnitStopped    Kind = "down" // the process of an agent's unit has exited or is about to be stopped
	PermitBegun    Kind = "out"  // a permit has begun, and the agent is about to take its unit out of service
	StageRequested Kind = "asks" // a controller is about to request the next stage of a rollout
	WriteApplied   Kind = "act"  // the registry has applied a write of a controller
)

// Event is one line of a log.
type Event struct {
	At            time.Duration `json:"at_ns"` // on the clock of [Now]; zero when passed to Append means now
	Process       string        `json:"who"`   // UID of the agent's unit, or name of the controller
	Kind          Kind          `json:"what"`
	Unit          string        `json:"unit,omitempty"`
	Version       string        `json:"version,omitempty"`
	Plan          string        `json:"plan,omitempty"`
	Token         int64         `json:"token,omitempty"`   // of the permit, or of the leader lease if a controller logs the event
	SentAt        time.Duration `json:"sent_ns,omitempty"` // when the write that caused the event was sent
	Reason        string        `json:"why,omitempty"`
	MaxRenewalGap time.Duration `json:"span_ns,omitempty"` // longest time between two renewals of the lease, zero if not recorded
}

// Now returns the time on the machine's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux kernel has this clock
	}
	return time.Duration(t.Nano())
}

// Log appends events to a file. A nil *Log discards them.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the file at path for appending and creates it if it does not exist.
func Open(path string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Log{file: f}, nil
}

// Append writes an event. It sets e.At to the current time if it is zero. Write errors include the file's name.
func (l *Log) Append(e Event) error {
	if l == nil {
		return nil
	}
	if e.At == 0 {
		e.At = Now()
	}
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("%s: %w", l.file.Name(), err)
	}
	return nil
}
