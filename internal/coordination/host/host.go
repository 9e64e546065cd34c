// Package host runs what is agreed: the agent beside a unit, which takes it out and brings it back when there is a permit
// for it, and controllers, of which one at a time carries releases out. Both hold no state that matters: it is all in
// the registry, and a process that is killed at any line is followed by another that goes on.
package host

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// ReadView asks for all that is agreed, with all units, as of when it was called.
func ReadView(ctx context.Context, w *client.Client) (*state.CoordinationView, error) {
	var a state.CoordinationView
	return &a, w.Call(ctx, "GET", "/registry/agreed?consistent=1&units=1&lead="+LeaderUID, nil, &a)
}

// leaveWithin is how long a process that ends tries to say so.
const leaveWithin = time.Second

// Event is something that a process did, as it says itself. An outside judge reads them.
type Event struct {
	At            time.Duration `json:"at_ns"` // on the machine's monotonic clock, the same for all its processes
	Process       string        `json:"who"`
	Kind          string        `json:"what"`
	Unit          string        `json:"unit,omitempty"`
	Version       string        `json:"version,omitempty"`
	Plan          string        `json:"plan,omitempty"`
	Token         int64         `json:"token,omitempty"`
	SentAt        time.Duration `json:"sent_ns,omitempty"` // when the write was sent that allowed it
	Reason        string        `json:"why,omitempty"`
	MaxRenewalGap time.Duration `json:"span_ns,omitempty"` // the longest between renewals of a lease, as far as that matters
}

// Now is the machine's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // the clock exists on every Linux
	}
	return time.Duration(t.Nano())
}

// Events appends events to a file, a line each; nil: nowhere.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens a file to append to.
func Open(path string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Log{file: f}, nil
}

func (j *Log) Append(e Event) error {
	if j == nil {
		return nil
	}
	if e.At == 0 {
		e.At = Now()
	}
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.file.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("%s: %w", j.file.Name(), err)
	}
	return nil
}
