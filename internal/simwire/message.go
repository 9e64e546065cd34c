// Package simwire speaks the simulator's text protocol: it decodes batches of events and encodes the replies.
// It makes no decisions.
//
// A batch is a series of lines between "sync" and "eob", whose values are separated by tabs. A line "about"
// names the instance that the lines after it are for. "list" gives an endpoint list a number, by which
// "announce" refers to it. A reply ends with "yield".
//
// The protocol's words stay within this package; the names of package balancer stand for them elsewhere. A
// Decoder and an Encoder each belong to one goroutine.
package simwire

import (
	"time"

	"umberbank/balancer"
)

// Kind tells what a Message carries.
type Kind int

// Kinds of messages.
const (
	BatchStart   Kind = iota // a batch begins; Now is set
	InstanceInit             // a new instance begins; Seed and Settings are set
	Event                    // Event is set
	InstanceKill             // the instance was killed
	Ignored                  // known, but of no use to a Balancer
	BatchEnd                 // the batch is over; a reply is due
)

// Message is one line of a batch, resolved.
type Message struct {
	Kind     Kind
	Instance int // that the message is for; below 0: none yet
	Now      time.Duration
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
