package model

import (
	"time"
)

// Attempt is a call that has arrived at a server whole.
type Attempt struct {
	Call          *Call
	Node          int           // that sent it
	FirstByteAt   time.Duration // when its first byte came
	NewConnection bool          // it is the first on its connection
	Done          func(o Outcome, body string)

	server         *Server
	phase          phase
	finishesAt     float64 // workDone work at which it is done
	index          int     // among the running
	remainingCalls int     // still to make
	abandonCall    func()  // finishesAt the call that it waits for
}

type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseCalling // holds its slot and waits for the next tier
	phaseHanging // taken and never answered
	phaseEnded
)

// attemptHeap is a heap by the work at which they end.
type attemptHeap []*Attempt

func (h attemptHeap) Len() int { return len(h) }

func (h attemptHeap) Less(i, j int) bool {
	return h[i].finishesAt < h[j].finishesAt || h[i].finishesAt == h[j].finishesAt && h[i].Call.ID < h[j].Call.ID
}

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	a.index = len(*h)
	*h = append(*h, a)
}

func (h *attemptHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
