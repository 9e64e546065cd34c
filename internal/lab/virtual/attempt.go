package virtual

import (
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
	"umberbank/internal/lab/sim"
)

// attempt is one attempt of a call, requested by a balancer.Send.
type attempt struct {
	call     *call
	index    int // in call.attempts
	server   int
	sent     time.Duration
	delivery *model.Attempt // nil until the attempt is written to its connection
	timer    *sim.Timer
	ended    bool
	reusable bool // whether its connection may be reused when the attempt ends
}

// send starts the attempt that a balancer.Send requests. Each Send for a call in flight results in exactly one balancer.Outcome,
// unless the process ends first.
func (n *node) send(s balancer.Send) {
	c := n.calls[s.ID]
	if c == nil {
		return
	}
	f, loop := n.fleet, n.fleet.world.Loop
	server, known := f.serverIndex[s.Endpoint]
	a := &attempt{call: c, index: len(c.attempts), server: server, sent: loop.Now()}
	c.attempts = append(c.attempts, a)
	c.outstanding++
	timeout := c.deadline - loop.Now()
	if s.Timeout != 0 {
		timeout = min(timeout, s.Timeout)
	}
	if !known || c.finished || timeout <= 0 || n.excluded[server] || a.index >= f.world.Site.Limits.MaxAttempts {
		n.finishAttempt(a, balancer.NotSent, false, "")
		return
	}
	a.timer = loop.After(timeout, func() { n.run(func() { n.finishAttempt(a, balancer.TimedOut, true, "") }) })
	if n.reuseIdleConnection(server) {
		n.write(a, false)
		return
	}
	n.connect(a)
}

// connect opens a connection for an attempt and writes the attempt to it. The attempt ends as unreachable if the server refuses
// the connection, does not respond, or has its maximum number of connections open.
func (n *node) connect(a *attempt) {
	f, server := n.fleet, a.server
	l := f.link(n.index, server)
	roundTrip := l.forward + l.backward
	fail := func() { n.finishAttempt(a, balancer.Unreachable, false, "") }
	switch {
	case l.refused || f.stopped[server] && !f.unreachable[server]:
		n.afterDelay(a, roundTrip, fail)
	case f.unreachable[server] || l.lostForward || l.lostBackward:
		n.afterDelay(a, f.world.Site.Limits.ConnectTimeout.Std(), fail)
	case f.openConnections[server] >= f.world.Servers[server].MachineType.MaxConnections:
		n.afterDelay(a, roundTrip, fail)
	default:
		f.openConnections[server]++
		n.afterDelay(a, roundTrip, func() { n.write(a, true) })
	}
}

// afterDelay calls do after a delay, unless the attempt or the process has ended by then.
func (n *node) afterDelay(a *attempt, d time.Duration, do func()) {
	incarnation := n.incarnation
	n.fleet.world.Loop.After(d, func() {
		n.run(func() {
			if n.incarnation == incarnation && !a.ended {
				do()
			}
		})
	})
}

// write sends an attempt on its connection, which is either new or a reused idle one.
func (n *node) write(a *attempt, newConnection bool) {
	f, loop := n.fleet, n.fleet.world.Loop
	if n.excluded[a.server] {
		n.finishAttempt(a, balancer.Unreachable, true, "")
		return
	}
	l := f.link(n.index, a.server)
	a.reusable = true
	a.delivery = &model.Attempt{Call: a.call.Call, Node: n.index, FirstByteAt: loop.Now(), NewConnection: newConnection,
		Done: n.responder(a)}
	if l.lostForward || f.unreachable[a.server] {
		a.reusable = false
		return
	}
	if f.stopped[a.server] {
		a.reusable = false
		n.afterDelay(a, l.backward, func() { n.finishAttempt(a, balancer.ConnectionLost, true, "") })
		return
	}
	delivery := a.delivery
	loop.After(l.forward, func() {
		if f.unreachable[a.server] {
			return
		}
		delivery.FirstByteAt = loop.Now()
		f.world.Servers[a.server].Receive(delivery)
		if a.ended { // cancelled in transit
			f.world.Servers[a.server].Cancel(delivery)
		}
	})
}

// responder returns the function that delivers a server's response to an attempt.
func (n *node) responder(a *attempt) func(model.Outcome, string) {
	f, incarnation := n.fleet, n.incarnation
	return func(o model.Outcome, body string) {
		l := f.link(n.index, a.server)
		if l.lostBackward || f.unreachable[a.server] {
			return // the response is lost, and the attempt times out
		}
		f.world.Loop.After(l.backward, func() {
			n.run(func() {
				if n.incarnation == incarnation {
					n.finishAttempt(a, resultsByOutcome[o], o == model.ConnectionReset, body)
				}
			})
		})
	}
}

// resultsByOutcome maps the outcome of an attempt at its server to the result that its node observes.
var resultsByOutcome = map[model.Outcome]balancer.Result{
	model.Completed: balancer.Success, model.ServerError: balancer.Failure, model.ServerRejected: balancer.Overloaded,
	model.ConnectionReset: balancer.ConnectionLost, model.Abandoned: balancer.Cancelled,
}

// finishAttempt ends an attempt and passes its outcome to the Balancer. If the attempt succeeded, it first responds to the
// client. If broken is true, the connection of the attempt is not reused.
func (n *node) finishAttempt(a *attempt, result balancer.Result, broken bool, body string) {
	if a.ended {
		return
	}
	n.abandonAttempt(a)
	if a.reusable && !broken {
		n.idleConnections[a.server] = append(n.idleConnections[a.server], n.fleet.world.Loop.Now())
	} else if a.reusable {
		n.fleet.openConnections[a.server] = max(0, n.fleet.openConnections[a.server]-1)
	}
	c := a.call
	c.outstanding--
	if result == balancer.Success {
		n.respond(c.id, model.Response{Result: model.Served, Body: body})
	}
	n.removeIfEnded(c)
	n.handle(balancer.Outcome{
		ID:          c.id,
		Attempt:     a.index,
		Endpoint:    n.fleet.world.Site.Servers[a.server].Name,
		Result:      result,
		Latency:     n.fleet.world.Loop.Now() - a.sent,
		RequestDone: c.finished,
	})
}

// abandonAttempt stops waiting for an attempt. The closed connection cancels the attempt at its server after the latency of the
// link.
func (n *node) abandonAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	n.fleet.world.Loop.Stop(a.timer)
	if a.delivery != nil {
		l := n.fleet.link(n.index, a.server)
		delivery := a.delivery
		if !l.lostForward {
			n.fleet.world.Loop.After(l.forward, func() { n.fleet.world.Servers[a.server].Cancel(delivery) })
		}
	}
}

// reuseIdleConnection takes the most recently used idle connection to a server, and returns false if there is none. If that
// connection has been idle for more than three quarters of the server's idle timeout, all idle connections to the server are
// closed.
func (n *node) reuseIdleConnection(server int) bool {
	idle := n.idleConnections[server]
	if len(idle) == 0 {
		return false
	}
	oldest := n.fleet.world.Loop.Now() - n.fleet.world.Site.Limits.IdleTimeout.Std()*3/4
	if idle[len(idle)-1] < oldest {
		n.closeIdleConnections(server)
		return false
	}
	n.idleConnections[server] = idle[:len(idle)-1]
	return true
}

// closeIdleConnections closes all idle connections of the node to a server.
func (n *node) closeIdleConnections(server int) {
	n.fleet.openConnections[server] = max(0, n.fleet.openConnections[server]-len(n.idleConnections[server]))
	delete(n.idleConnections, server)
}

// resetConnections resets all connections of the node to a server. Attempts in flight on them end with balancer.ConnectionLost.
func (n *node) resetConnections(server int) {
	n.closeIdleConnections(server)
	for _, c := range n.openCalls() {
		for _, a := range c.attempts {
			if !a.ended && a.server == server && a.delivery != nil {
				n.finishAttempt(a, balancer.ConnectionLost, true, "")
			}
		}
	}
}
