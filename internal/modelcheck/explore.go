package modelcheck

import (
	"fmt"
	"slices"
)

// Options limits a search.
type Options struct {
	MaxPreemptions int // maximum number of times a thread that could proceed is interrupted; no limit if zero
	MaxSchedules   int // number of schedules at which the search fails; one million if zero
}

const defaultMaxSchedules = 1_000_000

// Explore runs the threads that body adds under all schedules. It returns the number of schedules and the first failure, or nil
// if none failed. It calls body before each execution, and body must create all objects again. If ReplayEnv is set, Explore
// runs only that schedule.
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
			return schedules, &Failure{Reason: fmt.Sprintf("reached the limit of %d schedules", o.MaxSchedules)}
		}
		if path = backtrack(o, path); len(path) == 0 {
			return schedules, nil
		}
	}
}

// backtrack shortens a path to its last node with a thread left to try, and chooses that thread there. It returns an empty
// path when the search is complete.
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
	operations  map[int]operation // next operation of each thread that has not ended
	sleep       map[int]bool      // the sleep set: threads whose next operation was run before in an equivalent order
	tried       []int
	chosen      int
	previous    int // thread that performed the previous operation, or noThread
	preemptions int // number of preemptions on the path to this node
}

const noThread = -1

func newRoot() *searchNode {
	return &searchNode{operations: map[int]operation{}, sleep: map[int]bool{}, previous: noThread}
}

// preempts reports whether choosing a thread interrupts another that could proceed.
func (n *searchNode) preempts(id int) bool {
	return id != n.previous && slices.Contains(n.enabled, n.previous)
}

// choose chooses the next thread to try. It returns false if none is left.
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
