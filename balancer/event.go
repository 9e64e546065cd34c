package balancer

import "time"

// EndpointState is the state of an endpoint as reported by discovery. The zero value is Ready.
type EndpointState int

// Endpoint states. Only a Ready endpoint receives new attempts.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the endpoint list: a server that attempts can be sent to.
type Endpoint struct {
	ID        string
	Zone      string
	Cell      int // group of endpoints in the zone, such as a rack; see ScopeCell
	State     EndpointState
	Weight    float64       // capacity relative to other endpoints, see Settings.WeightKind; zero counts as 1
	StartTime time.Duration // clock time at which its process started; zero if it started long ago
}

// Result is the result of an attempt, as reported by its Outcome.
type Result int

// Results of attempts. Overloaded, Unreachable and NotSent prove that the attempt was not executed.
const (
	Success        Result = iota
	Failure               // the response reports an error
	Overloaded            // the endpoint rejected the attempt
	TimedOut              // no response within Send.Timeout
	Unreachable           // no connection could be established
	ConnectionLost        // the connection was lost before the response was complete
	Cancelled             // by a Cancel, or because the client disconnected
	NotSent               // abandoned by the host before anything was sent
)

// provesNotExecuted reports whether an attempt with this result cannot have been executed.
func (r Result) provesNotExecuted() bool {
	return r == Overloaded || r == Unreachable || r == NotSent
}

// LoadReport is an endpoint's own report of its load, which is delayed and noisy. Absent values are
// negative. No decision depends on it.
type LoadReport struct {
	ActiveRequests float64
	ServiceTime    time.Duration // recent, excluding waiting time
}

// Event is an input of the Balancer. Its implementations are the types below.
type Event interface{ event() }

type (
	// EndpointUpdate carries changes of the endpoint list, or the complete list.
	EndpointUpdate struct {
		Full      bool // the list is complete and absent endpoints are removed; otherwise it holds changes
		Cached    bool // the list was stored before a restart and may be outdated
		Endpoints []Endpoint
	}
	// SubscriptionFailed reports that a Subscribe failed or that the subscription was lost.
	SubscriptionFailed struct{}
	// Request is a client's request. It gets exactly one final response, at most about one tick after
	// Deadline, unless its client disconnects.
	Request struct {
		ID            string
		Class         string
		Deadline      time.Duration // clock time
		ClientRetry   bool          // marked by the client as a retry
		CostHint      time.Duration // expected processing time, compared within the class; zero if unknown
		StreamingBody bool          // forwarded while it is received; RequestBodySent then sets the deadline
	}
	// Outcome reports the end of one attempt.
	Outcome struct {
		ID           string
		Attempt      int    // number of the attempt, from 0
		Endpoint     string // the endpoint of the Send
		Result       Result
		Latency      time.Duration // as measured by the host; decisions use the time of the event instead
		RequestDone  bool          // the request has its final response
		BodyConsumed bool          // the streaming body cannot be sent again
		Load         *LoadReport
	}
	// RequestBodySent reports that the last byte of a streaming body has been sent.
	RequestBodySent struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time by which the request needs its final response
	}
	// ResponseStarted reports that the response of an attempt is being forwarded to the client.
	// From then on, the request is not retried.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected reports that the client disconnected, so no final response is needed.
	ClientDisconnected struct{ ID string }
	// TimerFired reports that a timer requested by SetTimer fired.
	TimerFired struct{ Token string }
	// Reconfigure carries new settings for requests that arrive from now on. Settings that New
	// would reject are ignored.
	Reconfigure struct{ Settings Settings }
	// Restore carries the Snapshot of an earlier process, taken Age ago. It is ignored if the
	// Balancer already has endpoints, or if the snapshot is invalid or of another tier. It is also
	// ignored if Age is negative or has reached Settings.SnapshotMaxAge.
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

// resultNames are the names of the results in logs and metrics.
var resultNames = [...]string{
	Success:        "success",
	Failure:        "failure",
	Overloaded:     "overloaded",
	TimedOut:       "timed_out",
	Unreachable:    "unreachable",
	ConnectionLost: "connection_lost",
	Cancelled:      "cancelled",
	NotSent:        "not_sent",
}

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}
