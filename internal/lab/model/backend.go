package model

import "time"

// ProcessAction is an action on a node's process.
type ProcessAction int

// Process actions.
const (
	Start     ProcessAction = iota
	Kill                    // SIGKILL
	Terminate               // SIGTERM, for a graceful shutdown
	Pause                   // SIGSTOP
	Resume                  // SIGCONT
)

// String returns the action as a verb in lower case.
func (a ProcessAction) String() string {
	return [...]string{"start", "kill", "terminate", "pause", "resume"}[a]
}

// Impairment is a network fault on a link. If several apply to a link at once, their delays add up, and a link stalls or refuses
// connections if any of them does. Of several rate limits the lowest applies on real processes. On the virtual clock the
// transmission times of all of them add up.
type Impairment struct {
	Delay, Jitter    time.Duration // one way, in each impaired direction
	Stall            bool          // no data arrives until the impairment ends; on the virtual clock the data is lost
	Refuse           bool          // new connections are refused
	Reset            bool          // established connections are reset once, when the impairment begins
	BytesPerSecond   int           // zero means no limit
	ToServer, ToNode bool          // the impaired directions; Refuse and Reset do not depend on them
}

// Backend delivers calls to nodes, and applies faults to processes and links. Its methods run on the loop.
type Backend interface {
	// Send sends a call to its node. done runs once on the loop with the response, unless abandon is called first.
	Send(c *Call, done func(Response)) (abandon func())
	// SendList sends a discovery update to a node.
	SendList(node int, l EndpointList)
	// MuteWatches begins or ends a fault of a node's watches. The watches that are open when the fault begins, and those that the
	// node opens during the fault, are silent. A silent watch remains silent until the node closes it.
	MuteWatches(node int, on bool)
	// ControlProcess applies an action to a node's process.
	ControlProcess(node int, action ProcessAction)
	// ImpairLinks applies an impairment to the links from nodes to servers, or ends it.
	ImpairLinks(nodes, servers []int, i *Impairment, on bool)
	// ServerDown stops a server's traffic. If silent is false, the server's connections are reset. If silent is true, its
	// machine is down and sends nothing, not even a reset.
	ServerDown(server int, silent bool)
	// ServerUp makes a server accept connections again after ServerDown.
	ServerUp(server int)
	// RequestPermit requests a disruption permit for a server. done runs on the loop with nil if the permit was granted, or
	// with the reason why it was not.
	RequestPermit(server int, done func(err error))
	// PublishState writes a server's state to the registry. It does not write Deleted, which the registry detects by the expiry
	// of the server's lease. It returns false if the run has no registry.
	PublishState(server int, state State) bool
	// SetHeartbeats sets whether a server's heartbeats reach the registry.
	SetHeartbeats(server int, reachable bool)
	// SetReplicaFault applies a fault to replicas of the registry, or ends it. kind is one of the scenario's kinds of faults.
	SetReplicaFault(replicas []int, kind string, on bool)
}

// Observer is notified of events of calls, servers and discovery. Its methods run on the loop.
type Observer interface {
	// CallSent is called just before a call is sent.
	CallSent(c *Call)
	// ResponseReceived is called when a call ends with a response or with the failure of its connection.
	ResponseReceived(c *Call, r Response)
	// CallAbandoned is called when the sender of a call stops waiting for the response.
	CallAbandoned(c *Call)
	// AttemptArrived is called when the last byte of a call has arrived at a server.
	AttemptArrived(a *Attempt, server int)
	// AttemptEnded is called when the server has ended an attempt.
	AttemptEnded(a *Attempt, o Outcome)
	// NodeNotified is called when discovery has sent the state of a server to a node. Deleted means that discovery no longer
	// lists the server.
	NodeNotified(node, server int, state State)
	// ServerCrashed is called when a server crashes because of too much load during its warm-up.
	ServerCrashed(server int)
}
