package sim

import (
	"container/heap"
	"time"
)

// Timer is a function that is scheduled on a Loop. Loop.Stop cancels it.
type Timer struct {
	at    time.Duration
	seq   uint64 // order of scheduling
	f     func()
	index int // in the heap, or -1 after the timer has run or was stopped
}

// timerHeap is a heap of timers, ordered by time and then by order of scheduling.
type timerHeap []*Timer

func (h *timerHeap) push(t *Timer)   { heap.Push(h, t) }
func (h *timerHeap) pop() *Timer     { return heap.Pop(h).(*Timer) }
func (h *timerHeap) remove(t *Timer) { heap.Remove(h, t.index) }

// dueBy reports whether the earliest timer is due at or before a time.
func (h timerHeap) dueBy(t time.Duration) bool { return len(h) > 0 && h[0].at <= t }

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
