package model

import "time"

// Attempt is a call that has arrived complete at a server.
type Attempt struct {
	Call          *Call
	Node          int           // that sent it
	FirstByteAt   time.Duration // when its first byte arrived
	NewConnection bool          // it is the first call on its connection
	// Done gets the response, once; nil: nobody waits for it any more.
	Done func(o Outcome, body string)

	server         *Server
	phase          phase
	finishesAt     float64 // Server.workDone at which its own work is done
	index          int     // in the heap of running attempts; -1: not there
	remainingCalls int     // downstream calls still to make
	abandonCall    func()  // abandons the downstream call that it waits for; nil: none
}

// phase is what an attempt does at its server.
type phase int

const (
	phaseQueued  phase = iota
	phaseRunning       // it shares the cores
	phaseCalling       // it keeps its slot and waits for a downstream call
	phaseHanging       // it was accepted and is never answered
	phaseEnded
)

// attemptHeap is a heap of running attempts by the work at which they finish.
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
