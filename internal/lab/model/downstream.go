package model

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// continueAttempt goes on with an attempt whose own work is done: the next call, or the end.
func (s *Server) continueAttempt(a *Attempt) {
	if a.remainingCalls == 0 {
		failed := s.MachineType.ErrorRate
		for _, e := range s.errorRates {
			failed = 1 - (1-failed)*(1-e)
		}
		if failed > 0 && s.rng.Float64() < failed {
			s.end(a, ServerError)
		} else {
			s.end(a, Completed)
		}
		return
	}
	a.remainingCalls--
	c := s.world.newDownstreamCall(a)
	if c == nil {
		s.end(a, ServerError)
		return
	}
	s.world.Observer.CallSent(c)
	s.world.openServerCalls++
	ended := false
	var leave func()
	var timer *sim.Timer
	close := func() bool { // true once
		first := !ended
		if first {
			ended = true
			s.world.openServerCalls--
			s.world.Loop.Stop(timer)
		}
		return first
	}
	goOn := func(ok bool) {
		a.abandonCall = nil
		if ok {
			s.continueAttempt(a)
		} else {
			s.end(a, ServerError)
		}
	}
	leave = s.world.Backend.Send(c, func(ans Answer) {
		if close() {
			s.world.Observer.CallAnswered(c, ans)
			goOn(ans.Reply == Served)
		}
	})
	a.abandonCall = func() {
		if close() {
			s.world.Observer.CallAbandoned(c)
			leave()
		}
	}
	if !ended {
		// It waits a little longer than it says, to hear the answer that comes at the last moment.
		timer = s.world.Loop.After(c.Timeout+2*s.world.Site.Limits.Slack.Std(), func() {
			if close() {
				s.world.Observer.CallAbandoned(c)
				leave()
				goOn(false)
			}
		})
	}
}

// newDownstreamCall makes the call of an attempt to the next tier; nil: it has no time left.
func (w *World) newDownstreamCall(a *Attempt) *Call {
	s := a.server
	tier := s.Tier + 1
	node := w.ownedNode(s.Index)
	class := &w.Site.Classes[a.Call.Class]
	left := class.Deadline.Std()
	now := w.Loop.Now()
	if w.Site.Limits.PropagateDeadline {
		left = a.Call.SentAt + a.Call.Timeout - now
	}
	if left <= 0 || node < 0 {
		return nil
	}
	w.lastCallID++
	work := float64(a.Call.Work) / w.Site.Tiers[s.Tier].WorkFactor * w.Site.Tiers[tier].WorkFactor
	c := &Call{ID: "t" + strconv.Itoa(tier) + "-" + strconv.FormatUint(w.lastCallID, 10), Class: a.Call.Class, Tier: tier, Node: node,
		Work: time.Duration(work), Timeout: left, SentAt: now}
	if class.Idempotency == "keyed" {
		c.Key = fmt.Sprintf("k%s", c.ID)
	}
	return c
}

// ownedNode is the node that a server calls through; -1: none.
func (w *World) ownedNode(server int) int {
	i, ok := slices.BinarySearchFunc(w.Site.Nodes, server, func(n scenario.Node, server int) int { return n.OwnerServer - server })
	if !ok {
		return -1
	}
	return i
}
