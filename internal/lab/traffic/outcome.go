package traffic

import "time"

// Outcome is what became of a client's request, over all its attempts.
type Outcome int

// Outcomes.
const (
	Served    Outcome = iota // within the latency objective
	Late                     // served later
	Rejected                 // by the last attempt's node
	Failed                   // by an error, a timeout or a lost connection
	Abandoned                // the client left by itself
)

// Result is the result of one request.
type Result struct {
	Class        int
	Zone         int
	ArrivedAt    time.Duration // when it was meant to be sent
	Latency      time.Duration // from ArrivedAt until it ended
	Outcome      Outcome
	Attempts     int
	MaxSendDelay time.Duration // the longest from when an attempt was meant to be sent until it was written
}
