package follower

import (
	"cmp"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// EventKind is what a node does with a version.
type EventKind int

// Kinds of events.
const (
	Running   EventKind = iota // it runs the version from now on
	Validated                  // it could run the version, which is proposed
	InSync                     // the registry counts it as in sync, running the version
	OutOfSync                  // the registry no longer counts it as in sync
	Serving                    // it serves clients from now on; there is no version
)

// Event tells those who judge a rollout from outside, as the fault-injection tests do, what a node does and when.
type Event struct {
	Kind           EventKind
	Incarnation    int64         // InSync, OutOfSync: the registry's token of this start of the node
	LongestRenewal time.Duration // OutOfSync: the longest time between two renewals of its lease while it was in sync
	Version        Version
	Time           int64 // by the machine's monotonic clock, in nanoseconds
}

// String is the line that a node logs. The fault-injection tests read it, so its form stays.
func (e Event) String() string {
	var what string
	switch e.Kind {
	case Running:
		what = "runs"
	case Validated:
		what = "could run"
	case InSync:
		what = fmt.Sprintf("in touch by start %d with", e.Incarnation)
	case OutOfSync:
		what = fmt.Sprintf("out of touch by start %d, renewed within %d ms, with", e.Incarnation, e.LongestRenewal.Milliseconds())
	case Serving:
		return fmt.Sprintf("agreed: serves at %d", e.Time)
	}
	return fmt.Sprintf("agreed: %s version %d %.12s at %d", what, e.Version.Number, cmp.Or(e.Version.Hash, "-"), e.Time)
}

// NewServingEvent is the event of a node that serves clients from now on.
func NewServingEvent() Event { return Event{Kind: Serving, Time: monotonicTime()} }

// monotonicTime is the machine's monotonic clock, in nanoseconds.
func monotonicTime() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it exists on every Linux
	return t.Nano()
}
