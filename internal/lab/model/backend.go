package model

import (
	"time"
)

// ProcessAction is something done to a node's process.
type ProcessAction int

// What can be done to a process.
const (
	Start ProcessAction = iota
	Kill
	Terminate
	Pause
	Resume
)

func (a ProcessAction) String() string {
	return [...]string{"start", "kill", "terminate", "pause", "resume"}[a]
}

// Impairment is what a link does to bytes, each way. Several may hold at once: delays add up, and the worst of the rest
// counts.
type Impairment struct {
	Delay, Jitter    time.Duration // each way that is hit
	Stall            bool          // nothing arrives, nothing is said
	Refuse           bool          // new connections are refused
	Reset            bool          // open ones are reset, once
	BytesPerSecond   int           // bytes a second; 0: as fast as may be
	ToServer, ToNode bool          // which way is hit: to the server, to the node
}

// Backend carries calls to nodes, and lets the faults act on processes and links. Its methods run on the loop.
type Backend interface {
	// Send gives a call to its node. done runs on the loop, once, unless the sender leaves before.
	Send(c *Call, done func(Answer)) (leave func())
	// SendList brings a node news from discovery.
	SendList(node int, l EndpointList)
	// MuteWatches lets the watches that a node has open say nothing any more, for good, nor, until it is off, what the
	// node opens anew.
	MuteWatches(node int, on bool)
	// ControlProcess acts on a node's process.
	ControlProcess(node int, act ProcessAction)
	// ImpairLinks puts an effect on the links from nodes to servers, or takes it off again.
	ImpairLinks(nodes, servers []int, e *Impairment, on bool)
	// ServerDown ends a server's connections; silent: its machine says nothing any more.
	ServerDown(server int, silent bool)
	// ServerUp lets connections come again.
	ServerUp(server int)
	// RequestPermit asks for a permit to take a server out, where there is a budget. done runs on the loop with why it was refused;
	// nil: it was given.
	RequestPermit(server int, done func(refused error))
	// PublishState tells the registry of a server's state, where there is one; false: there is none.
	PublishState(server int, st State) bool
	// SetHeartbeats lets a server's heartbeats reach the registry, or not.
	SetHeartbeats(server int, reach bool)
	// FaultReplicas does something to replicas of the registry, or ends it. What is a fault's kind.
	FaultReplicas(replicas []int, what string, on bool)
}

// Observer sees what happens at servers and what nodes are told; the oracle is one.
type Observer interface {
	CallSent(c *Call)
	CallAnswered(c *Call, a Answer)
	CallAbandoned(c *Call)
	AttemptArrived(a *Attempt, server int)
	AttemptEnded(a *Attempt, o Outcome)
	NodeNotified(node, server int, st State)
	ServerCrashed(server int)
}
