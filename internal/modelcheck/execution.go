package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
)

// maxSteps is the maximum number of operations in a schedule.
const maxSteps = 10_000

// Execution is one run of the threads under one schedule.
type Execution struct {
	threads   []*thread
	finally   func()
	running   *thread      // nil while the checker decides
	parked    chan *thread // receives a thread that is about to perform an operation or has ended
	objects   map[any]int  // identifiers of the objects that operations touch, in order of first use
	steps     []string
	schedule  []int
	abandoned bool // the threads must end
	failure   any  // nil unless the execution has failed
}

// thread is a goroutine that the checker schedules.
type thread struct {
	id     int
	name   string
	body   func()
	resume chan struct{}
	next   operation
	done   bool
}

// operation is the operation that a thread is about to perform.
type operation struct {
	name    string
	object  int
	write   bool
	enabled func() bool // reports whether it can be performed; nil if it always can
}

func (o operation) isEnabled() bool { return o.enabled == nil || o.enabled() }

// dependsOn reports whether two operations do not commute.
func (o operation) dependsOn(other operation) bool {
	return o.object == other.object && (o.write || other.write)
}

const waitOperation = "wait for"

// isWait reports whether the operation waits for a channel to be closed. The operation that closes the channel touches another
// object, so dependsOn does not show that it enables the wait.
func (o operation) isWait() bool { return strings.HasPrefix(o.name, waitOperation) }

// current is the running execution. While it is nil, operations are performed without scheduling.
var current *Execution

func newExecution() *Execution {
	return &Execution{parked: make(chan *thread), objects: map[any]int{}}
}

// Go adds a thread. A body must add the same threads in every execution.
func (x *Execution) Go(name string, body func()) {
	x.threads = append(x.threads, &thread{id: len(x.threads), name: name, body: body, resume: make(chan struct{})})
}

// Finally sets a check that runs after all threads have ended.
func (x *Execution) Finally(check func()) { x.finally = check }

// beforeOperation lets the checker decide which thread proceeds. enabled reports whether the operation can be performed. It is
// nil for an operation that always can. beforeOperation does nothing if no thread of an Execution is running.
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

// Step marks an operation that writes an object, such as an action that is visible to other threads.
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

// run starts the threads, lets them proceed along a path, and extends the path from its end. It returns the extended path. While
// replay has a thread for the next step, the extension follows it. complete is false if every continuation was run before in an
// equivalent order or exceeds the limit on preemptions.
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

// nodeAt returns the node of a path at a depth, or a new node after its end.
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

// observe records the threads' next operations in a node and returns the number of threads that have not ended.
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

// stuck returns the reason why the execution cannot continue from a node, or "" if it can.
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
		return fmt.Sprintf("more than %d steps", maxSteps)
	}
	return ""
}

// proceed lets a thread perform its operation and run until it is about to perform the next one or ends.
func (x *Execution) proceed(id, depth int) {
	t := x.threads[id]
	if t.done || !t.next.isEnabled() {
		x.failure = fmt.Sprintf("step %d: thread %d cannot proceed: the schedule belongs to other code, or the code depends on time or randomness", depth, id)
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

// checkEnd runs the check set by Finally.
func (x *Execution) checkEnd() {
	defer func() {
		if r := recover(); r != nil {
			x.failure = fmt.Sprint("final check: ", r)
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
