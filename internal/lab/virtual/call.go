package virtual

import (
	"strconv"
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

// call is a request that a node has accepted and that has not ended.
type call struct {
	*model.Call
	id          string
	sequence    uint64 // position in the order of arrival, from 1
	done        func(model.Response)
	deadline    time.Duration // on the loop's clock
	finished    bool          // whether it was answered or its client has disconnected
	attempts    []*attempt
	outstanding int // attempts that have not ended
}

// responseMargin is the part of a client's timeout that a node reserves for returning the response. It is limited to a quarter of
// the timeout.
const responseMargin = 20 * time.Millisecond

// handle passes an event to the Balancer and executes the resulting actions. An event that an action causes immediately is queued
// until all actions of the current event have been executed.
func (n *node) handle(e balancer.Event) {
	n.queue = append(n.queue, e)
	if n.dispatching {
		return
	}
	n.dispatching = true
	for len(n.queue) > 0 {
		e := n.queue[0]
		n.queue = n.queue[1:]
		for _, a := range n.balancer.Handle(n.clock(), e) {
			n.execute(a)
		}
	}
	n.dispatching = false
}

// execute executes one action of the Balancer.
func (n *node) execute(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Cancel:
		if c := n.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			n.finishAttempt(c.attempts[a.Attempt], balancer.Cancelled, true, "")
		}
	case balancer.Reject:
		n.respond(a.ID, model.Response{Result: model.Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		n.respond(a.ID, model.Response{Result: model.Failed})
	case balancer.SetTimer:
		n.setTimer(a)
	case balancer.Subscribe: // needs no action, because discovery pushes its updates
	}
}

// setTimer schedules a timer of the Balancer. The timer has no effect after the process has ended.
func (n *node) setTimer(a balancer.SetTimer) {
	incarnation := n.incarnation
	n.fleet.world.Loop.At(a.At-epoch, func() {
		n.run(func() {
			if n.incarnation == incarnation {
				n.handle(balancer.TimerFired{Token: a.Token})
			}
		})
	})
}

// accept creates the call for a request and passes the request to the Balancer.
func (n *node) accept(request *model.Call, done func(model.Response)) *call {
	w := n.fleet.world
	n.nextID++
	margin := min(responseMargin, request.Timeout/4)
	c := &call{
		Call:     request,
		id:       strconv.FormatUint(n.nextID, 10),
		sequence: n.nextID,
		done:     done,
		deadline: w.Loop.Now() + request.Timeout - margin,
	}
	n.calls[c.id] = c
	n.handle(balancer.Request{
		ID:          c.id,
		Class:       w.Site.Classes[request.Class].Name,
		Deadline:    epoch + c.deadline,
		ClientRetry: request.IsRetry,
	})
	return c
}

// clientDisconnected ends a call whose client has closed its connection. It does nothing if the call has ended.
func (n *node) clientDisconnected(c *call) {
	if n.calls[c.id] == c && !c.finished {
		c.finished = true
		n.handle(balancer.ClientDisconnected{ID: c.id})
		n.removeIfEnded(c)
	}
}

// respond sends the final response to a call, unless the call has been answered or its client has disconnected.
func (n *node) respond(id string, r model.Response) {
	c := n.calls[id]
	if c == nil || c.finished {
		return
	}
	c.finished = true
	n.fleet.world.Loop.After(n.fleet.localLatency(), func() { c.done(r) })
	n.removeIfEnded(c)
}

// removeIfEnded removes a call that is finished and has no attempt in flight.
func (n *node) removeIfEnded(c *call) {
	if c.finished && c.outstanding == 0 {
		delete(n.calls, c.id)
	}
}
