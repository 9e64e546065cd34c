package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
)

// maxSteps is how many operations a schedule may have.
const maxSteps = 10_000

// Execution is one run of the threads under one schedule.
type Execution struct {
	threads   []*thread
	finally   func()
	running   *thread      // nil: none, the checker decides
	parked    chan *thread // a thread is about to perform an operation, or has ended
	objects   map[any]int  // identifiers of the objects that operations touch, in the order of their first use
	steps     []string
	schedule  []int
	abandoned bool // the threads are to end
	failure   any  // nil: none so far
}

// thread is a goroutine that proceeds when the checker says so.
type thread struct {
	id     int
	name   string
	body   func()
	resume chan struct{}
	next   operation
	done   bool
}

// operation is what a thread is about to do.
type operation struct {
	name    string
	object  int
	write   bool
	enabled func() bool // nil: always
}

func (o operation) isEnabled() bool { return o.enabled == nil || o.enabled() }

// dependsOn reports whether two operations do not commute.
func (o operation) dependsOn(other operation) bool {
	return o.object == other.object && (o.write || other.write)
}

const waitOperation = "wait for"

// isWait reports whether the operation waits for a channel. Closing one touches another object and still enables it.
func (o operation) isWait() bool { return strings.HasPrefix(o.name, waitOperation) }

// current is the execution that runs; nil: none, and operations are performed as they come.
var current *Execution

func newExecution() *Execution {
	return &Execution{parked: make(chan *thread), objects: map[any]int{}}
}

// Go adds a thread. A body must add the same threads in every execution.
func (x *Execution) Go(name string, body func()) {
	x.threads = append(x.threads, &thread{id: len(x.threads), name: name, body: body, resume: make(chan struct{})})
}

// Finally sets what is run once all threads have ended, to check what they left.
func (x *Execution) Finally(check func()) { x.finally = check }

// beforeOperation lets the checker decide which thread proceeds. enabled reports whether the operation could be performed now;
// nil: always.
func beforeOperation(object any, write bool, name string, enabled func() bool) {
	x := current
	if x == nil || x.running == nil || x.abandoned {
		return
	}
	t := x.running
	id, known := x.objects[object]
	if !known {
		id = len(x.objects)
		x.objects[object] = id
	}
	t.next = operation{name: fmt.Sprintf("%s %d", name, id), object: id, write: write, enabled: enabled}
	x.parked <- t
	<-t.resume
	if x.abandoned {
		runtime.Goexit()
	}
}

// Step marks an operation that writes an object, such as an action that others can see.
func Step(object any, name string) { beforeOperation(object, true, name, nil) }

// Wait waits until a channel is closed.
func Wait(c <-chan struct{}) {
	closed := func() bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	beforeOperation(c, true, waitOperation, closed)
	if current == nil || current.running == nil {
		<-c
	}
}

// run starts the threads and lets them proceed along a path and on from its end. It returns the longer path; complete is false
// if what follows was run before in another order.
func (x *Execution) run(o Options, path []*searchNode, replay []int) (extended []*searchNode, complete bool) {
	current = x
	defer func() { current = nil }()
	for _, t := range x.threads {
		x.start(t)
	}
	defer x.abandon()
	for depth := 0; ; depth++ {
		isNew := depth >= len(path)
		n := nodeAt(path, depth)
		if alive := x.observe(n); alive == 0 {
			x.checkEnd()
			return path, true
		}
		if reason := x.stuck(n, depth); reason != "" {
			x.failure = reason
			return path, true
		}
		if isNew {
			if depth < len(replay) {
				n.chosen = replay[depth]
			} else if !n.choose(o) {
				return path, false
			}
			path = append(path, n)
		}
		if x.proceed(n.chosen, depth); x.failure != nil {
			return path, true
		}
	}
}

// nodeAt returns the node of a path at a depth, or a new one that follows its end.
func nodeAt(path []*searchNode, depth int) *searchNode {
	switch {
	case depth < len(path):
		return path[depth]
	case depth == 0:
		return newRoot()
	default:
		return path[depth-1].child()
	}
}

// observe enters the threads' next operations in a node and returns how many threads have not ended.
func (x *Execution) observe(n *searchNode) (alive int) {
	n.enabled = n.enabled[:0]
	for _, t := range x.threads {
		if t.done {
			continue
		}
		alive++
		n.operations[t.id] = t.next
		if t.next.isEnabled() {
			n.enabled = append(n.enabled, t.id)
		}
	}
	return alive
}

// stuck returns why the execution cannot go on from a node; "": it can.
func (x *Execution) stuck(n *searchNode, depth int) string {
	switch {
	case len(n.enabled) == 0:
		var waiting []string
		for _, t := range x.threads {
			if !t.done {
				waiting = append(waiting, t.name+" at "+t.next.name)
			}
		}
		return "no thread can proceed: " + strings.Join(waiting, ", ")
	case depth > maxSteps:
		return fmt.Sprintf("over %d steps", maxSteps)
	}
	return ""
}

// proceed lets a thread perform its operation and run until it is about to perform the next one or ends.
func (x *Execution) proceed(id, depth int) {
	t := x.threads[id]
	if t.done || !t.next.isEnabled() {
		x.failure = fmt.Sprintf("step %d: thread %d cannot proceed: the schedule is of other code, or the code depends on time or chance", depth, id)
		return
	}
	x.schedule = append(x.schedule, t.id)
	x.steps = append(x.steps, t.name+": "+t.next.name)
	x.running = t
	t.resume <- struct{}{}
	<-x.parked
	x.running = nil
}

// start runs a thread until its first operation.
func (x *Execution) start(t *thread) {
	x.running = t
	go func() {
		defer func() {
			if r := recover(); r != nil && x.failure == nil {
				x.failure = r
				if violation, ok := r.(invariantViolation); ok {
					x.failure = string(violation)
				}
			}
			t.done = true
			x.parked <- t
		}()
		t.body()
	}()
	<-x.parked
	x.running = nil
}

// checkEnd runs the check of Finally.
func (x *Execution) checkEnd() {
	defer func() {
		if r := recover(); r != nil {
			x.failure = fmt.Sprint("in the end: ", r)
		}
	}()
	if x.finally != nil {
		x.finally()
	}
}

// abandon ends the threads that have not ended.
func (x *Execution) abandon() {
	x.abandoned = true
	for _, t := range x.threads {
		if !t.done {
			close(t.resume)
			<-x.parked
		}
	}
}
