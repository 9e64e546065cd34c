package modelcheck

import (
	"fmt"
	"slices"
)

// Options bound a search.
type Options struct {
	MaxPreemptions int // how often a thread may be interrupted that could proceed; 0: no bound
	MaxSchedules   int // the search fails after so many; 0: a million
}

const defaultMaxSchedules = 1_000_000

// Explore runs the threads that body adds under all schedules. It returns how many there were and how one failed; nil: none
// did. Body is called anew for each schedule and must build everything anew. With ReplayEnv in the environment that schedule
// alone is run.
func Explore(o Options, body func(x *Execution)) (schedules int, failure *Failure) {
	if o.MaxSchedules == 0 {
		o.MaxSchedules = defaultMaxSchedules
	}
	replay, err := replaySchedule()
	if err != nil {
		return 0, &Failure{Reason: err.Error()}
	}
	var path []*searchNode
	for {
		x := newExecution()
		body(x)
		var complete bool
		path, complete = x.run(o, path, replay)
		if complete {
			schedules++
		}
		switch {
		case x.failure != nil:
			return schedules, &Failure{Reason: fmt.Sprint(x.failure), Schedule: x.schedule, Steps: x.steps}
		case replay != nil:
			return schedules, nil
		case schedules >= o.MaxSchedules:
			return schedules, &Failure{Reason: fmt.Sprintf("over %d schedules", o.MaxSchedules)}
		}
		if path = backtrack(o, path); len(path) == 0 {
			return schedules, nil
		}
	}
}

// backtrack shortens a path to its last node with a thread left to try, and chooses that thread there. It returns an empty
// path when the search is over.
func backtrack(o Options, path []*searchNode) []*searchNode {
	for len(path) > 0 {
		last := path[len(path)-1]
		last.tried = append(last.tried, last.chosen)
		if last.choose(o) {
			break
		}
		path = path[:len(path)-1]
	}
	return path
}

// searchNode is a state on the path of the search.
type searchNode struct {
	enabled     []int             // threads that can proceed
	operations  map[int]operation // next ones of all threads that have not ended
	sleep       map[int]bool      // the sleep set: threads whose operation was tried before in an order that commutes with this one
	tried       []int
	chosen      int
	previous    int // the thread that performed the operation before; noThread: none
	preemptions int // until here
}

const noThread = -1

func newRoot() *searchNode {
	return &searchNode{operations: map[int]operation{}, sleep: map[int]bool{}, previous: noThread}
}

// preempts reports whether choosing a thread interrupts another that could proceed.
func (n *searchNode) preempts(id int) bool {
	return id != n.previous && slices.Contains(n.enabled, n.previous)
}

// choose chooses the next thread to try; false: none is left.
func (n *searchNode) choose(o Options) bool {
	for _, id := range n.enabled {
		overBound := o.MaxPreemptions > 0 && n.preemptions >= o.MaxPreemptions && n.preempts(id)
		if !n.sleep[id] && !slices.Contains(n.tried, id) && !overBound {
			n.chosen = id
			return true
		}
	}
	return false
}

// child returns the state after the chosen operation, without the threads' next operations.
func (n *searchNode) child() *searchNode {
	c := &searchNode{operations: map[int]operation{}, sleep: map[int]bool{}, previous: n.chosen, preemptions: n.preemptions}
	if n.preempts(n.chosen) {
		c.preemptions++
	}
	step := n.operations[n.chosen]
	for id, o := range n.operations {
		wasTried := n.sleep[id] || slices.Contains(n.tried, id)
		if id != n.chosen && wasTried && !o.dependsOn(step) && !o.isWait() && !step.isWait() {
			c.sleep[id] = true
		}
	}
	return c
}
