package balancer

import "time"

// EndpointState is what discovery says of an endpoint.
type EndpointState int

// Endpoint states. Only a Ready endpoint gets new attempts.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the endpoint list: one server that attempts can be sent to.
type Endpoint struct {
	ID        string
	Zone      string
	Cell      int
	State     EndpointState
	Weight    float64       // capacity in proportion to other endpoints', see Settings.WeightKind; 0: as 1
	StartTime time.Duration // clock time of its process's start; 0: long ago
}

// Result says how an attempt ended.
type Result int

// Results. Overloaded, Unreachable and NotSent prove that the attempt never ran.
const (
	Success        Result = iota
	Failure               // an answer that reports an error
	Overloaded            // the endpoint rejected the attempt
	TimedOut              // no answer within Send.Timeout
	Unreachable           // no connection
	ConnectionLost        // the connection broke before the answer was complete
	Cancelled             // by a Cancel, or because its client disconnected
	NotSent               // given up by the host before anything was sent
)

// provesNotExecuted reports whether an attempt with this result cannot have run.
func (r Result) provesNotExecuted() bool {
	return r == Overloaded || r == Unreachable || r == NotSent
}

// LoadReport is an endpoint's own report, late and noisy. Absent values are negative. No decision depends on
// it.
type LoadReport struct {
	ActiveRequests float64
	ServiceTime    time.Duration // recent, without waiting
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings a change of the endpoint list, or all of it.
	EndpointUpdate struct {
		Full      bool // the complete list: absent endpoints are removed. Otherwise only changed entries
		Cached    bool // as last held before a restart, possibly out of date
		Endpoints []Endpoint
	}
	// SubscriptionFailed says that a Subscribe failed or that the subscription broke.
	SubscriptionFailed struct{}
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID            string
		Class         string
		Deadline      time.Duration // clock time
		ClientRetry   bool          // the client marked it as a retry of its own
		CostHint      time.Duration // expected work, as time on a standard core; 0: no hint
		StreamingBody bool          // forwarded as it comes; the deadline runs from RequestBodySent
	}
	// Outcome ends one attempt.
	Outcome struct {
		ID           string
		Attempt      int    // number of the attempt, from 0
		Endpoint     string // of the Send
		Result       Result
		Latency      time.Duration // as the host measured it; decisions use the time of the event
		RequestDone  bool          // the request has its final answer
		BodyConsumed bool          // a streaming body cannot be sent again
		Load         *LoadReport
	}
	// RequestBodySent says that the last byte of a streaming body has gone out.
	RequestBodySent struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time by which the request must be answered
	}
	// ResponseStarted says that the response is being forwarded to the client: no other attempt can
	// answer the request from here on.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client left; no answer is owed.
	ClientDisconnected struct{ ID string }
	// TimerFired says that a SetTimer came due.
	TimerFired struct{ Token string }
	// Reconfigure brings new settings, for requests that come from now on. Settings that New would
	// reject change nothing.
	Reconfigure struct{ Settings Settings }
	// Restore brings the Snapshot of an earlier process, taken Age ago, to a Balancer that knows no
	// endpoint yet. A snapshot that is invalid, older than Settings.SnapshotMaxAge or of another tier
	// changes nothing.
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
