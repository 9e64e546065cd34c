// Package model is the fleet as the lab plays it: servers that work, queue, choke and start cold, and discovery
// that tells of them late. All of it runs on one sim.Loop, so the real and the virtual clock play the same
// model; what differs is the Backend, which carries requests to nodes and from them to servers.
package model

import (
	"math/rand/v2"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// Call is one request to a node, by a client or by a server that calls the next tier. Each has an id of its own.
type Call struct {
	ID      string
	Class   int
	Tier    int // that serves it
	Node    int // that it is sent to
	Key     string
	Work    time.Duration // on a yardstick core
	Timeout time.Duration // for which the sender waits, from Sent
	SentAt  time.Duration
	IsRetry bool
}

// Reply is what became of a call, as its sender sees it.
type Reply int

// Replies. Unreached: no connection came up. Lost: the connection ended without a whole answer.
const (
	Served Reply = iota
	Rejected
	Failed
	Unreachable
	ConnectionLost
)

func (r Reply) String() string {
	return [...]string{"served", "refused", "failed", "unreached", "lost"}[r]
}

// Answer is the end of a call. Body is what a server made, for a Served one.
type Answer struct {
	Reply      Reply
	RetryAfter time.Duration
	Body       string
	SendDelay  time.Duration // how much later than Sent the call was written
}

// Outcome is how an attempt ended at the server.
type Outcome int

// Outcomes. ServerRejected proves that it never ran.
const (
	Completed Outcome = iota
	ServerError
	ServerRejected
	ConnectionReset
	Abandoned // the sender had gone
)

func (o Outcome) String() string {
	return [...]string{"done", "error", "turned away", "reset", "dropped"}[o]
}

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

// World is the fleet without its nodes.
type World struct {
	Loop           *sim.Loop
	Site           *scenario.Site
	Backend        Backend
	Observer       Observer
	Servers        []*Server
	Directory      *Directory
	ControlProcess func(node int, act ProcessAction) // does it and tells all who must know

	recentKeys      map[rackKey]time.Duration // when a keyed request was first taken by a rack
	lastCallID      uint64
	rng             *rand.Rand
	openServerCalls int // remainingCalls between servers that have not ended
}

type rackKey struct {
	rack int
	key  string
}

// NewWorld returns the fleet of a site. The Backend is set before the loop runs.
func NewWorld(loop *sim.Loop, site *scenario.Site, o Observer) *World {
	w := &World{Loop: loop, Site: site, Observer: o, recentKeys: map[rackKey]time.Duration{}, rng: scenario.NewRand(site.Seed, "calls")}
	for i := range site.Servers {
		w.Servers = append(w.Servers, newServer(w, i))
	}
	w.Directory = newDirectory(w)
	return w
}

// NodeReady hears that a node's process serves: a server that waited for its own node to start is up now.
func (w *World) NodeReady(node int) {
	if owner := w.Site.Nodes[node].OwnerServer; owner >= 0 && w.Servers[owner].starting {
		w.Servers[owner].becomeReady()
	}
}

// isDuplicate tells whether the rack drops a keyed call as a repeat, and remembers it if not.
func (w *World) isDuplicate(rack int, c *Call) bool {
	class := &w.Site.Classes[c.Class]
	if c.Key == "" || class.Idempotency != "keyed" {
		return false
	}
	switch class.KeyScope {
	case "all":
		rack = -1
	case "zone":
		rack = -2 - w.Site.Nodes[c.Node].Zone
	}
	k, now := rackKey{rack, c.Key}, w.Loop.Now()
	if at, seen := w.recentKeys[k]; seen && now-at < class.KeyWindow.Std() {
		return true
	}
	if len(w.recentKeys) > 1<<16 {
		for old, at := range w.recentKeys {
			if now-at > time.Minute {
				delete(w.recentKeys, old)
			}
		}
	}
	w.recentKeys[k] = now
	return false
}

// Body is what a server answers to a call that it has done.
func Body(c *Call, server string) string { return c.ID + "@" + server }
