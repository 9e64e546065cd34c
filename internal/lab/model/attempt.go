package model

import "time"

// Attempt is a call whose last byte has arrived at a server.
type Attempt struct {
	Call          *Call
	Node          int           // index of the node that sent it
	FirstByteAt   time.Duration // when its first byte arrived or, on real processes, when its header had been read
	NewConnection bool          // whether it is the first call on its connection
	// Done is called once with the outcome and the response body. It is nil if no caller waits for the response.
	Done func(o Outcome, body string)

	server         *Server
	phase          phase
	finishesAt     float64 // value of Server.workDone at which its own work is complete
	index          int     // in the heap of running attempts, or -1 if it is not running
	remainingCalls int     // downstream calls that it has not made yet
	abandonCall    func()  // abandons the pending downstream call; nil if none is pending
}

// phase is the processing state of an attempt at its server.
type phase int

const (
	phaseQueued  phase = iota
	phaseRunning       // shares the cores with the other running attempts
	phaseCalling       // holds its slot while it waits for a downstream call
	phaseHanging       // was accepted and never gets a response
	phaseEnded
)

// attemptHeap is a heap of running attempts, ordered by finishesAt and then by call ID.
type attemptHeap []*Attempt

// Len implements heap.Interface.
func (h attemptHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h attemptHeap) Less(i, j int) bool {
	return h[i].finishesAt < h[j].finishesAt || h[i].finishesAt == h[j].finishesAt && h[i].Call.ID < h[j].Call.ID
}

// Swap implements heap.Interface.
func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
