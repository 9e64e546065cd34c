package model

import "time"

// ProcessAction is something done to a node's process.
type ProcessAction int

// Process actions.
const (
	Start     ProcessAction = iota
	Kill                    // SIGKILL
	Terminate               // SIGTERM, for a graceful shutdown
	Pause                   // SIGSTOP
	Resume                  // SIGCONT
)

// String returns the action in one word.
func (a ProcessAction) String() string {
	return [...]string{"start", "kill", "terminate", "pause", "resume"}[a]
}

// Impairment is what a link does to the bytes of its connections. Several may apply at once: delays add up, and of the rest
// the worst counts.
type Impairment struct {
	Delay, Jitter    time.Duration // in each impaired direction
	Stall            bool          // nothing arrives until the impairment ends
	Refuse           bool          // new connections are refused
	Reset            bool          // established connections are reset, once
	BytesPerSecond   int           // 0: no limit
	ToServer, ToNode bool          // the impaired directions
}

// Backend carries calls to nodes, and applies faults to processes and links. Its methods run on the loop.
type Backend interface {
	// Send sends a call to its node. done runs on the loop, once, unless abandon is called before.
	Send(c *Call, done func(Response)) (abandon func())
	// SendList sends a node an update of discovery.
	SendList(node int, l EndpointList)
	// MuteWatches makes the open watches of a node send nothing any more, for good, and until it is off also those that
	// the node opens.
	MuteWatches(node int, on bool)
	// ControlProcess acts on a node's process.
	ControlProcess(node int, action ProcessAction)
	// ImpairLinks applies an impairment to the links from nodes to servers, or ends it.
	ImpairLinks(nodes, servers []int, i *Impairment, on bool)
	// ServerDown ends a server's connections. If silent the server's machine is gone and resets none of them.
	ServerDown(server int, silent bool)
	// ServerUp lets a server accept connections.
	ServerUp(server int)
	// RequestPermit requests a disruption permit for a server. done runs on the loop with the reason why it was rejected;
	// nil: it was granted.
	RequestPermit(server int, done func(rejected error))
	// PublishState enters a server's state in the registry; false: the run has no registry.
	PublishState(server int, state State) bool
	// SetHeartbeats lets a server's heartbeats reach the registry, or not.
	SetHeartbeats(server int, reachable bool)
	// SetReplicaFault applies a fault of a kind of the scenario's to replicas of the registry, or ends it.
	SetReplicaFault(replicas []int, kind string, on bool)
}

// Observer is told what happens to calls, at servers and in discovery. Its methods run on the loop.
type Observer interface {
	// CallSent is called before a call is sent.
	CallSent(c *Call)
	// ResponseReceived is called when the sender gets the answer.
	ResponseReceived(c *Call, a Response)
	// CallAbandoned is called when the sender stops waiting.
	CallAbandoned(c *Call)
	// AttemptArrived is called when a call has arrived at a server.
	AttemptArrived(a *Attempt, server int)
	// AttemptEnded is called when the server has ended an attempt.
	AttemptEnded(a *Attempt, o Outcome)
	// NodeNotified is called when a node is told the state of a server.
	NodeNotified(node, server int, state State)
	// ServerCrashed is called when a server that warms up crashes under the load that nodes send.
	ServerCrashed(server int)
}
