// Package eventlog writes what agents and controllers do to a file, a line of JSON per event, for an outside check that
// the rules on disruption budgets and leases hold. Times are on the machine's monotonic clock, which all its processes
// share, so that the logs of several processes can be merged. A [Log] may be used by several goroutines at once.
package eventlog

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is what has happened.
type Kind string

// Kinds of events.
const (
	UnitStarted    Kind = "up"   // by an agent: its unit serves, and is about to register
	UnitStopped    Kind = "down" // by an agent: its unit does not serve any more, or will not shortly
	PermitBegun    Kind = "out"  // by an agent: a permit has begun, and its unit is about to be taken out of service
	StageRequested Kind = "asks" // by a controller: it is about to start a stage of a rollout
	WriteApplied   Kind = "act"  // by a controller: the registry has applied its write
)

// Event is one line of a log.
type Event struct {
	At            time.Duration `json:"at_ns"` // see [Now]
	Process       string        `json:"who"`
	Kind          Kind          `json:"what"`
	Unit          string        `json:"unit,omitempty"`
	Version       string        `json:"version,omitempty"`
	Plan          string        `json:"plan,omitempty"`
	Token         int64         `json:"token,omitempty"`   // of the permit, or of the controller's lease
	SentAt        time.Duration `json:"sent_ns,omitempty"` // when the write that led to the event was sent
	Reason        string        `json:"why,omitempty"`
	MaxRenewalGap time.Duration `json:"span_ns,omitempty"` // the longest time between two renewals of a lease, where it matters
}

// Now returns the time on the machine's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(t.Nano())
}

// Log appends events to a file. A nil Log drops them.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens a file to append to, and creates it if there is none.
func Open(path string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Log{file: f}, nil
}

// Append writes an event. If its time is 0, it happens now. Errors name the file.
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
