package upstream

import "sync/atomic"

// Phase is the part of an attempt during which it ended.
type Phase int32

// Phases of an attempt, in their order.
const (
	Connecting    Phase = iota // until the first byte of the request is written
	Sending                    // until its last byte is written
	AwaitingHead               // until the head of the response has arrived
	ReceivingBody              // until the end of the response
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"connecting", "sending", "awaiting_head", "receiving_body"}[p]
}

// phaseTracker holds the current phase of an attempt, which several goroutines change.
type phaseTracker struct{ phase atomic.Int32 }

// enter records that a phase has begun. A phase that lies before the current one is ignored.
func (t *phaseTracker) enter(p Phase) {
	for {
		current := t.phase.Load()
		if int32(p) <= current || t.phase.CompareAndSwap(current, int32(p)) {
			return
		}
	}
}

func (t *phaseTracker) current() Phase { return Phase(t.phase.Load()) }
