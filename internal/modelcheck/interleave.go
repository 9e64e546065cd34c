// Package modelcheck runs a few threads of real code under every order in which their synchronising steps can come, and
// reports the order in which an invariant breaks, a thread panics, or no thread can proceed: a deadlock or a lost wake-up.
//
// Code is checked by synchronising through package checkedsync, whose types are those of sync and sync/atomic, and under the build
// tag interleave those of this package. Threads take turns: one runs until it is about to take a step, and the checker
// decides who goes on. It searches depth first by running the whole again for each order, with sleep sets (Godefroid,
// Partial-Order Methods for the Verification of Concurrent Systems, 1996): of orders that differ only in steps
// that do not touch the same object, or only read it, one is run. That prunes orders, never outcomes. What it cannot see are data
// races, which the race detector shows, and loops that wait without a step, which run into a bound.
package modelcheck

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// Options bound a search.
type Options struct {
	MaxPreemptions int // most times that a thread is made to wait that could go on; 0: no bound
	MaxSchedules   int // fail after so many; 0: a million
}

// ReplayEnv names the environment's variable with the schedule to run alone, as a failure prints it.
const ReplayEnv = "INTERLEAVE_REPLAY"

const (
	mostSchedules = 1_000_000
	mostSteps     = 10_000 // of one schedule
)

// Failure is how a schedule went wrong.
type Failure struct {
	Reason   string
	Schedule []int    // which thread took each step
	Steps    []string // in words
}

func (f *Failure) Error() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s\n%s=", f.Reason, ReplayEnv)
	for i, id := range f.Schedule {
		if i > 0 {
			s.WriteByte(',')
		}
		s.WriteString(strconv.Itoa(id))
	}
	for _, step := range f.Steps {
		s.WriteString("\n  " + step)
	}
	return s.String()
}

// Execution is one run of the threads under one schedule.
type Execution struct {
	threads   []*thread
	finally   func()
	running   *thread
	parked    chan *thread
	objects   map[any]int
	steps     []string
	schedule  []int
	abandoned bool
	failed    any
}

type thread struct {
	id     int
	name   string
	f      func()
	resume chan struct{}
	next   op
	done   bool
}

// op is a step that a thread is about to take.
type op struct {
	what    string
	object  int
	write   bool
	enabled func() bool // nil: always
}

func (o op) on() bool { return o.enabled == nil || o.enabled() }

// depends says that two steps do not commute.
func (o op) depends(p op) bool { return o.object == p.object && (o.write || p.write) }

// current is the run that goes on; nil: none, and steps are taken as they come.
var current *Execution

// Go adds a thread. Threads must be the same for every schedule.
func (x *Execution) Go(name string, f func()) {
	x.threads = append(x.threads, &thread{id: len(x.threads), name: name, f: f, resume: make(chan struct{})})
}

// Finally is run once all threads have ended.
func (x *Execution) Finally(f func()) { x.finally = f }

// broken is a panic by Failf.
type broken string

// Failf reports a broken invariant.
func Failf(format string, args ...any) { panic(broken(fmt.Sprintf(format, args...))) }

// point lets the checker decide who goes on before a step. enabled says whether it could be taken now.
func point(object any, write bool, what string, enabled func() bool) {
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
	t.next = op{fmt.Sprintf("%s %d", what, id), id, write, enabled}
	x.parked <- t
	<-t.resume
	if x.abandoned {
		runtime.Goexit()
	}
}

// Step is a step by itself, such as an act that others can see: it touches an object.
func Step(object any, what string) { point(object, true, what, nil) }

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
	point(c, true, "wait for", closed) // whoever closes it does so within a step on another object, which nothing must commute with
	if current == nil || current.running == nil {
		<-c
	}
}

// node is a state on the path of the search: who could go on, and who has been tried.
type node struct {
	enabled []int
	ops     map[int]op // of all threads that have not ended
	sleep   map[int]bool
	tried   []int
	chosen  int
	last    int // thread that took the step before; -1: none
	spent   int // preemptions until here
}

// preempts says that choosing a thread makes another wait that could go on.
func (n *node) preempts(id int) bool {
	for _, e := range n.enabled {
		if e == n.last {
			return id != n.last
		}
	}
	return false
}

// pick chooses the next thread to try; false: there is none left.
func (n *node) pick(o Options) bool {
	for _, id := range n.enabled {
		over := o.MaxPreemptions > 0 && n.spent >= o.MaxPreemptions && n.preempts(id)
		if !n.sleep[id] && !contains(n.tried, id) && !over {
			n.chosen = id
			return true
		}
	}
	return false
}

func contains(l []int, id int) bool {
	for _, v := range l {
		if v == id {
			return true
		}
	}
	return false
}

// wakes says that a step may let threads go on that wait for a channel: that is not seen by objects.
func wakes(o op) bool { return strings.HasPrefix(o.what, "wait for") }

// child is the state after the chosen step, but for who can go on there.
func (n *node) child() *node {
	c := &node{sleep: map[int]bool{}, last: n.chosen, spent: n.spent}
	if n.preempts(n.chosen) {
		c.spent++
	}
	step := n.ops[n.chosen]
	for id, o := range n.ops {
		if id != n.chosen && (n.sleep[id] || contains(n.tried, id)) && !o.depends(step) && !wakes(o) && !wakes(step) {
			c.sleep[id] = true
		}
	}
	return c
}

// Explore runs body's threads under all schedules, and gives how many there were and how one failed; nil: none did. Body
// makes everything anew each time that it is called, and nothing that it uses may depend on time or chance.
func Explore(o Options, body func(x *Execution)) (schedules int, failed *Failure) {
	if o.MaxSchedules == 0 {
		o.MaxSchedules = mostSchedules
	}
	var replay []int
	if text := os.Getenv(ReplayEnv); text != "" {
		for _, id := range strings.Split(text, ",") {
			n, err := strconv.Atoi(id)
			if err != nil {
				return 0, &Failure{Reason: ReplayEnv + ": " + err.Error()}
			}
			replay = append(replay, n)
		}
	}
	var path []*node
	for {
		x := &Execution{parked: make(chan *thread), objects: map[any]int{}}
		body(x)
		complete := true
		path, complete = x.run(o, path, replay)
		if complete {
			schedules++
		}
		if x.failed != nil {
			return schedules, &Failure{fmt.Sprint(x.failed), x.schedule, x.steps}
		}
		if replay != nil {
			return schedules, nil
		}
		if schedules >= o.MaxSchedules {
			return schedules, &Failure{Reason: fmt.Sprintf("over %d schedules", o.MaxSchedules)}
		}
		for len(path) > 0 {
			n := path[len(path)-1]
			n.tried = append(n.tried, n.chosen)
			if n.pick(o) {
				break
			}
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return schedules, nil
		}
	}
}

// run runs the threads along a path and on from its end; false: what follows was run before in another order.
func (x *Execution) run(o Options, path []*node, replay []int) ([]*node, bool) {
	current = x
	defer func() { current = nil }()
	for _, t := range x.threads {
		x.start(t)
	}
	defer x.abandon()
	for depth := 0; ; depth++ {
		n := &node{sleep: map[int]bool{}, last: -1}
		if depth < len(path) {
			n = path[depth]
		} else if depth > 0 {
			n = path[depth-1].child()
		}
		left := 0
		if depth >= len(path) {
			n.ops = map[int]op{}
		}
		n.enabled = n.enabled[:0]
		for _, t := range x.threads {
			if t.done {
				continue
			}
			left++
			n.ops[t.id] = t.next
			if t.next.on() {
				n.enabled = append(n.enabled, t.id)
			}
		}
		switch {
		case left == 0:
			x.end()
			return path, true
		case len(n.enabled) == 0:
			var who []string
			for _, t := range x.threads {
				if !t.done {
					who = append(who, t.name+" at "+t.next.what)
				}
			}
			x.failed = "no thread can proceed: " + strings.Join(who, ", ")
			return path, true
		case depth > mostSteps:
			x.failed = fmt.Sprintf("over %d steps", mostSteps)
			return path, true
		}
		if depth >= len(path) {
			if depth < len(replay) {
				n.chosen = replay[depth]
			} else if !n.pick(o) {
				return path, false
			}
			path = append(path, n)
		}
		t := x.threads[n.chosen]
		if t.done || !t.next.on() {
			x.failed = fmt.Sprintf("step %d: thread %d cannot go on: the schedule is of other code, or the code depends on time or chance", depth, n.chosen)
			return path, true
		}
		x.schedule = append(x.schedule, t.id)
		x.steps = append(x.steps, t.name+": "+t.next.what)
		x.running = t
		t.resume <- struct{}{}
		<-x.parked
		x.running = nil
		if x.failed != nil {
			return path, true
		}
	}
}

// start brings a thread to its first step.
func (x *Execution) start(t *thread) {
	x.running = t
	go func() {
		defer func() {
			if r := recover(); r != nil && x.failed == nil {
				x.failed = r
				if why, is := r.(broken); is {
					x.failed = string(why)
				}
			}
			t.done = true
			x.parked <- t
		}()
		t.f()
	}()
	<-x.parked
	x.running = nil
}

// end looks at what the threads have left.
func (x *Execution) end() {
	defer func() {
		if r := recover(); r != nil {
			x.failed = fmt.Sprint("in the end: ", r)
		}
	}()
	if x.finally != nil {
		x.finally()
	}
}

// abandon ends the threads that have not.
func (x *Execution) abandon() {
	x.abandoned = true
	for _, t := range x.threads {
		if !t.done {
			close(t.resume)
			<-x.parked
		}
	}
}

// Check explores body and fails t with the schedule that breaks it.
func Check(t *testing.T, o Options, body func(x *Execution)) {
	t.Helper()
	n, failed := Explore(o, body)
	if failed != nil {
		t.Fatal(failed)
	}
	t.Logf("schedules: %d", n)
}

// CheckFails explores a body in which a fault was planted, and fails t unless some schedule fails for the reason.
func CheckFails(t *testing.T, o Options, why string, body func(x *Execution)) {
	t.Helper()
	n, failed := Explore(o, body)
	if failed == nil || !strings.Contains(failed.Reason, why) {
		t.Fatalf("the planted fault was not found in %d schedules: %v", n, failed)
	}
	t.Logf("schedules: %d until %s", n, failed.Reason)
}
