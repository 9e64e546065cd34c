package model

import (
	"slices"
	"strconv"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// continueAttempt makes the next downstream call of an attempt whose own work is complete. It ends the attempt if no call remains
// or if the call cannot be made.
func (s *Server) continueAttempt(a *Attempt) {
	if a.remainingCalls == 0 {
		s.end(a, s.drawOutcome())
		return
	}
	a.remainingCalls--
	c := s.world.newDownstreamCall(a)
	if c == nil {
		s.end(a, ServerError)
		return
	}
	s.callDownstream(a, c)
}

// drawOutcome returns ServerError with the probability that results from the server's error rates together, and Completed
// otherwise.
func (s *Server) drawOutcome() Outcome {
	rate := s.MachineType.ErrorRate
	for _, r := range s.errorRates {
		rate = 1 - (1-rate)*(1-r)
	}
	if rate > 0 && s.rng.Float64() < rate {
		return ServerError
	}
	return Completed
}

// downstreamCall is a call that an attempt waits for. It ends exactly once, because of its response, its timeout, or the end of
// the attempt.
type downstreamCall struct {
	server  *Server
	attempt *Attempt
	call    *Call
	ended   bool
	timer   *sim.Timer
	abandon func() // returned by Backend.Send
}

// callDownstream sends a call and continues the attempt when the call has ended.
func (s *Server) callDownstream(a *Attempt, c *Call) {
	d := &downstreamCall{server: s, attempt: a, call: c}
	s.world.Observer.CallSent(c)
	d.abandon = s.world.Backend.Send(c, d.responded)
	a.abandonCall = func() { d.abandoned() }
	if !d.ended {
		// The wait is longer than the call's timeout, so that a response sent just before the timeout still arrives.
		d.timer = s.world.Loop.After(c.Timeout+2*s.world.Site.Limits.Slack.Std(), d.timedOut)
	}
}

// markEnded marks the call as ended. It returns false if the call had ended before.
func (d *downstreamCall) markEnded() bool {
	if d.ended {
		return false
	}
	d.ended = true
	d.server.world.Loop.Stop(d.timer)
	return true
}

// responded ends the call with its response.
func (d *downstreamCall) responded(r Response) {
	if d.markEnded() {
		d.server.world.Observer.ResponseReceived(d.call, r)
		d.continueAttempt(r.Result == Served)
	}
}

// abandoned ends the call without a response. It returns false if the call had ended before.
func (d *downstreamCall) abandoned() bool {
	if !d.markEnded() {
		return false
	}
	d.server.world.Observer.CallAbandoned(d.call)
	d.abandon()
	return true
}

// timedOut ends the call because no response arrived in time. It does nothing if the call had ended before.
func (d *downstreamCall) timedOut() {
	if d.abandoned() {
		d.continueAttempt(false)
	}
}

// continueAttempt continues the attempt, or ends it with an error if the call has failed.
func (d *downstreamCall) continueAttempt(served bool) {
	d.attempt.abandonCall = nil
	if served {
		d.server.continueAttempt(d.attempt)
	} else {
		d.server.end(d.attempt, ServerError)
	}
}

// newDownstreamCall returns a call of an attempt to the next tier. It returns nil if no time is left before the deadline, or if
// the server has no node to send the call to.
func (w *World) newDownstreamCall(a *Attempt) *Call {
	tier := a.server.Tier + 1
	node := w.ownedNode(a.server.Index)
	class := &w.Site.Classes[a.Call.Class]
	timeout := class.Deadline.Std()
	now := w.Loop.Now()
	if w.Site.Limits.PropagateDeadline {
		timeout = a.Call.SentAt + a.Call.Timeout - now
	}
	if timeout <= 0 || node < 0 {
		return nil
	}
	w.lastCallID++
	work := float64(a.Call.Work) / w.Site.Tiers[a.server.Tier].WorkFactor * w.Site.Tiers[tier].WorkFactor
	c := &Call{
		ID:      "t" + strconv.Itoa(tier) + "-" + strconv.FormatUint(w.lastCallID, 10),
		Class:   a.Call.Class,
		Tier:    tier,
		Node:    node,
		Work:    time.Duration(work),
		Timeout: timeout,
		SentAt:  now,
	}
	if class.Idempotency == scenario.IdempotentByKey {
		c.Key = "k" + c.ID
	}
	return c
}

// ownedNode returns the index of the node through which a server calls the next tier, or -1 if the server has none.
func (w *World) ownedNode(server int) int {
	i, found := slices.BinarySearchFunc(w.Site.Nodes, server, func(n scenario.Node, server int) int {
		return n.OwnerServer - server
	})
	if !found {
		return -1
	}
	return i
}
