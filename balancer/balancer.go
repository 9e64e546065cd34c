// Package balancer decides where a load balancer sends each request, when it tries again and
// when it gives up. It does no I/O: the host feeds events to a Balancer and carries out the
// actions it returns, and may ask how many servers it Avoided and what it has Learned. This file is the whole
// interface but for New, those and Memory; every decision is in policy.go and memory.go.
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must
// never go back, and its only randomness is the seed given to New, so the same events always
// give the same actions. Balancers share nothing. Memory is held for each request until it is
// answered and its attempts have ended, and for each server until it has left the list and its
// attempts have ended.
package balancer

import (
	"fmt"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// The zero Effect is the careful one.
const (
	NonIdempotent      Effect = iota // must never run twice
	WithIdempotencyKey               // the servers of one scope discard repeats for a while
	Idempotent                       // may run any number of times
)

// IdempotencyScope names the servers that discard the repeats of a keyed request.
type IdempotencyScope int

// Scopes, from the narrowest.
const (
	ScopeCell IdempotencyScope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name              string
	Effect            Effect
	IdempotencyScope  IdempotencyScope // for Keyed
	IdempotencyWindow time.Duration    // for Keyed: how long repeats are discarded, from the first send
	LatencyObjective  time.Duration    // answers within it earn full worth
	Deadline          time.Duration    // how long a client waits over all its tries
	LateCredit        float64          // share of the worth that an answer after the aim earns
	PriorityWeight    float64
	Streaming         bool
}

// WeightKind says what Server.Size means.
type WeightKind int

// Meanings of Server.Size.
const (
	WeightUnknown     WeightKind = iota // nothing
	WeightNominal                       // the registered capacity
	WeightApproximate                   // about the capacity
	WeightLive                          // the capacity over the load of a while ago
)

// Settings hold for a Balancer until Retuned brings others.
type Settings struct {
	Classes          []Class
	Replicas         int     // copies that place calls on this tier
	ReplicaIndex     int     // of this copy among them, from 0
	Tier             int     // the tier sent to, 0 being the clients' first
	TotalValueWeight float64 // how much the whole of the worth counts when shedding
	WorstClassWeight float64 // how much the worst-served class counts when shedding

	MaxAttempts   int
	Hedging       bool // two attempts of a request may be out at once
	Cancellation  bool
	WeightKind    WeightKind
	PollDiscovery bool          // the list follows only a Subscribe
	PollInterval  time.Duration // an unsubscribed copy must ask at least this often
	Tick          time.Duration // events come no more often than this
	MaxRetryAfter time.Duration // longest advice that clients heed

	ColdFrom     float64       // share of its capacity that a fresh server has at least
	WarmAfter    time.Duration // time after which it has all of it
	FallMultiple float64       // a fresh server sent more than this times its capacity
	FallFor      time.Duration // for this long falls over

	SnapshotMaxAge time.Duration // what was learned so long ago counts for nothing; 0: nothing is taken over
}

// Validate returns an error that names the setting at fault, or nil.
func (s Settings) Validate() error {
	type check struct {
		name string
		ok   bool
	}
	checks := []check{
		{"Classes", len(s.Classes) > 0}, {"Balancers", s.Replicas >= 0}, {"Index", s.ReplicaIndex >= 0},
		{"Tier", s.Tier >= 0}, {"MaxAttempts", s.MaxAttempts >= 0}, {"AskWithin", s.PollInterval >= 0},
		{"Tick", s.Tick >= 0}, {"MaxRetryAfter", s.MaxRetryAfter >= 0},
		{"ColdFrom", s.ColdFrom >= 0 && s.ColdFrom <= 1}, {"WarmAfter", s.WarmAfter >= 0},
		{"FallMultiple", s.FallMultiple >= 0}, {"FallFor", s.FallFor >= 0}, {"Remember", s.SnapshotMaxAge >= 0},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d]", i)
		checks = append(checks, check{at + ".Name", c.Name != ""}, check{at + ".Aim", c.LatencyObjective > 0},
			check{at + ".Deadline", c.Deadline > 0}, check{at + ".Window", c.IdempotencyWindow >= 0},
			check{at + ".Worth", c.PriorityWeight >= 0},
			check{at + ".LateShare", c.LateCredit >= 0 && c.LateCredit <= 1})
	}
	for _, c := range checks {
		if !c.ok {
			return fmt.Errorf("balancer: setting %s is missing or out of range", c.name)
		}
	}
	return nil
}

// EndpointState is what discovery says of a server.
type EndpointState int

// Endpoint states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the discovery list.
type Endpoint struct {
	ID        string
	Zone      string
	Cell      int
	State     EndpointState
	Weight    float64       // as registered, against other servers'; see Settings.Sizes. 0: as 1
	StartTime time.Duration // clock time of its last start; 0: long ago
}

// Result says how an attempt ended.
type Result int

// Endings. Overloaded, Unreachable and Void prove that the attempt never ran.
const (
	Success Result = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
)

// LoadReport is a server's own report, late and noisy. Absent values are negative.
type LoadReport struct {
	ActiveRequests float64       // requests it holds
	ServiceTime    time.Duration // recent service time without waiting
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings news from discovery. Full: the complete list, absent servers are gone.
	// Otherwise only changed entries. Asked marks an answer to Subscribe.
	EndpointUpdate struct {
		Full      bool
		Cached    bool // last held before a restart, possibly out of date
		Endpoints []Endpoint
	}
	// SubscriptionFailed says that a Subscribe failed or that the subscription broke.
	SubscriptionFailed struct{}
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID            string
		Class         string
		Deadline      time.Duration // clock time
		ClientRetry   bool          // the client marked it as a repeat
		CostHint      time.Duration // hint of its work, as time on a standard core; 0: no hint
		StreamingBody bool          // its body is passed on as it comes; its time begins when it is Taken
	}
	// Outcome ends one attempt. Ended: the request has its final answer.
	Outcome struct {
		ID           string
		Attempt      int
		Endpoint     string
		Result       Result
		Latency      time.Duration
		RequestDone  bool
		BodyConsumed bool // a Long request's body cannot be sent again
		Load         *LoadReport
	}
	// RequestBodySent says that the last byte of a Long request has gone out, and when it is to be answered by.
	RequestBodySent struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time
	}
	// ResponseStarted says that a streamed or long answer has begun: the attempt is the client's from here on.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client left; nothing more is owed.
	ClientDisconnected struct{ ID string }
	// TimerFired is a Wake come due.
	TimerFired struct{ Token string }
	// Reconfigure brings other settings, for requests that come from now on.
	Reconfigure struct{ Settings Settings }
	// Restore brings what an earlier process had Learned, Age ago, to one that has heard of no server yet. Settings.Remember
	// bounds the age; what cannot be, or was learned under other settings, is passed over.
	Restore struct {
		Snapshot Snapshot
		Age      time.Duration
	}
)

func (EndpointUpdate) event()     {}
func (SubscriptionFailed) event() {}
func (Request) event()            {}
func (Outcome) event()            {}
func (RequestBodySent) event()    {}
func (ResponseStarted) event()    {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (Reconfigure) event()        {}
func (Restore) event()            {}

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout.
	Send struct {
		ID, Endpoint string
		Timeout      time.Duration
	}
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
