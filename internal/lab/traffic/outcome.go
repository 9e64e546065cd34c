package traffic

import (
	"time"
)

// Outcome is what became of a client's request, over all its tries.
type Outcome int

// Ends. Late is served after the aim; Gone has left by itself.
const (
	Served Outcome = iota
	Late
	Rejected
	Failed
	Abandoned
)

// Result is the end of one request.
type Result struct {
	Class        int
	Zone         int
	ArrivedAt    time.Duration // intended arrival
	Latency      time.Duration // from it to the end
	Outcome      Outcome
	Attempts     int
	MaxSendDelay time.Duration // how late the worst try was written
}
