package follower

import (
	"cmp"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// EventKind says what has changed about a node or one of its versions of settings.
type EventKind int

// Kinds of events.
const (
	Running   EventKind = iota // the node runs the version from now on
	Validated                  // the node has validated the version, which is proposed, and could run it
	InSync                     // the registry counts the node, which runs the version, as in sync
	OutOfSync                  // the registry no longer counts the node as in sync
	Serving                    // the node serves clients from now on; there is no version
)

// Event describes what a node does and when. The fault-injection tests check rollouts with it.
type Event struct {
	Kind           EventKind
	Incarnation    int64         // InSync and OutOfSync only: the registry's token of this start of the node
	LongestRenewal time.Duration // OutOfSync only: the longest time between two lease renewals while the node was in sync
	Version        Version
	Time           int64 // machine's monotonic clock, in nanoseconds
}

// String returns the line that a node logs for the event. The fault-injection tests parse it, so its
// format must not change.
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

// NewServingEvent returns an event of kind Serving with the current time.
func NewServingEvent() Event { return Event{Kind: Serving, Time: monotonicTime()} }

// monotonicTime returns the machine's monotonic clock in nanoseconds.
func monotonicTime() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // every Linux kernel has this clock
	return t.Nano()
}
