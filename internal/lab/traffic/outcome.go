package traffic

import "time"

// Outcome is the final outcome of a client's request after all its attempts.
type Outcome int

// Outcomes.
const (
	Served    Outcome = iota // within the latency objective of its class
	Late                     // served after the latency objective
	Rejected                 // by the node of the last attempt
	Failed                   // the last attempt ended with an error or a timeout, or was lost or never sent
	Abandoned                // the client disconnected early
)

// Result is the result of one request.
type Result struct {
	Class        int
	Zone         int
	ArrivedAt    time.Duration // when it was intended to be sent
	Latency      time.Duration // time from ArrivedAt until the request ended
	Outcome      Outcome
	Attempts     int
	MaxSendDelay time.Duration // longest time from when an attempt was intended to be sent until it was written
}
