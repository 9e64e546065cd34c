// Package simwire implements the simulator's text protocol. It decodes batches of events and encodes the replies,
// and contains no balancing logic.
//
// A batch is a series of lines from "sync" to "eob". The values of a line are separated by tabs. An "about" line
// selects the instance that the following lines are for. A "list" line assigns a number to an endpoint list, by
// which "announce" refers to it. A reply ends with "yield".
//
// Names of the protocol are used only in this package, which maps them to those of package balancer. A Decoder or
// an Encoder must not be used by several goroutines at the same time.
package simwire

import (
	"time"

	"umberbank/balancer"
)

// Kind is the type of a Message.
type Kind int

// Kinds of messages.
const (
	BatchStart   Kind = iota // a batch begins; Now is set
	InstanceInit             // a new instance begins; Seed and Settings are set
	Event                    // Event is set
	InstanceKill             // the instance was killed
	Ignored                  // a known message that a Balancer does not need
	BatchEnd                 // a batch ends; a reply is expected
)

// Message is a decoded line of a batch.
type Message struct {
	Kind     Kind
	Instance int // instance that the message is for; negative before the first "about" of a batch
	Now      time.Duration
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
