package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ruleChecker observes the events passed to one Balancer and its actions, and records each violation of these
// rules:
//
//  1. Every request has one final response by its deadline. No attempt is sent after the final response.
//  2. A request is sent again, or rejected, only as its effect allows.
//  3. Attempts are sent only to ready endpoints.
//
// It uses the types of the package, but none of its functions.
type ruleChecker struct {
	settings   Settings
	slack      time.Duration // by which a final response may be late
	endpoints  map[string]Endpoint
	requests   map[string]*checkedRequest
	violations []string
}

type checkedRequest struct {
	class       Class
	deadline    time.Duration
	bodyPending bool // the deadline is not known before the last byte of the body is sent
	done        bool
	attempts    []*checkedAttempt
}

type checkedAttempt struct {
	endpoint string
	sentAt   time.Duration
	ended    bool
	result   Result
}

func newRuleChecker(settings Settings) *ruleChecker {
	return &ruleChecker{
		settings:  settings,
		slack:     20 * ms,
		endpoints: map[string]Endpoint{},
		requests:  map[string]*checkedRequest{},
	}
}

func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (a *checkedAttempt) mayHaveExecuted() bool {
	return !a.ended || (a.result != Overloaded && a.result != Unreachable && a.result != NotSent)
}

// mayRejectAfter reports whether a request may be rejected although one of its attempts may have been executed. The client
// can retry until MaxRetryAfter has passed, and the retry must arrive while all endpoints know the idempotency key.
func (c *ruleChecker) mayRejectAfter(now time.Duration, r *checkedRequest, a *checkedAttempt) bool {
	switch r.class.Effect {
	case Idempotent:
		return true
	case WithIdempotencyKey:
		return r.class.IdempotencyScope == ScopeAll && c.settings.MaxRetryAfter > 0 &&
			now+c.settings.MaxRetryAfter < a.sentAt+r.class.IdempotencyWindow
	}
	return false
}

func (c *ruleChecker) observeEvent(now time.Duration, event Event) {
	switch e := event.(type) {
	case EndpointUpdate:
		c.observeUpdate(e)
	case Request:
		if c.requests[e.ID] == nil {
			c.requests[e.ID] = &checkedRequest{class: c.classOf(e.Class), deadline: e.Deadline, bodyPending: e.StreamingBody}
		}
	case RequestBodySent:
		c.observeBodySent(e)
	case Outcome:
		c.observeOutcome(e)
	case ClientDisconnected:
		if r := c.requests[e.ID]; r != nil {
			r.done = true
		}
	}
	for id, r := range c.requests {
		if !r.done && !r.bodyPending && now > r.deadline+c.slack {
			c.violation("rule 1: %s has no final response %v after its deadline", id, now-r.deadline)
			r.done = true
		}
	}
}

func (c *ruleChecker) observeBodySent(e RequestBodySent) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, e.Deadline
}

func (c *ruleChecker) observeUpdate(e EndpointUpdate) {
	if e.Full {
		for id, endpoint := range c.endpoints {
			endpoint.State = Removed
			c.endpoints[id] = endpoint
		}
	}
	for _, endpoint := range e.Endpoints {
		c.endpoints[endpoint.ID] = endpoint
	}
}

// classOf returns the class with this name. An unknown class is not idempotent.
func (c *ruleChecker) classOf(name string) Class {
	for _, class := range c.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	return Class{Effect: NonIdempotent}
}

func (c *ruleChecker) observeOutcome(e Outcome) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	if !a.ended {
		a.ended, a.result = true, e.Result
		r.done = r.done || e.RequestDone
	}
}

func (c *ruleChecker) observeActions(now time.Duration, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			c.observeSend(now, a)
		case Reject:
			c.observeReject(now, a)
		case Fail:
			c.observeFinalResponse(a.ID)
		case Cancel:
			c.observeCancel(a)
		}
	}
}

func (c *ruleChecker) observeReject(now time.Duration, a Reject) {
	r := c.observeFinalResponse(a.ID)
	if r == nil {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveExecuted() && !c.mayRejectAfter(now, r, attempt) {
			c.violation("rule 2: %s rejected although it may have been executed", a.ID)
		}
	}
}

func (c *ruleChecker) observeCancel(a Cancel) {
	if r := c.requests[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
		c.violation("cancel of an attempt that does not exist")
	}
	if !c.settings.Cancellation {
		c.violation("cancel without support for cancellation")
	}
}

// observeFinalResponse returns the request that is finished, or nil if no final response is
// allowed.
func (c *ruleChecker) observeFinalResponse(id string) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.done {
		c.violation("rule 1: final response for %s, which is done or unknown", id)
		return nil
	}
	r.done = true
	return r
}

func (c *ruleChecker) observeSend(now time.Duration, s Send) {
	r := c.requests[s.ID]
	if r == nil || r.done {
		c.violation("rule 1: sent %s, which is done or unknown", s.ID)
		return
	}
	if endpoint, known := c.endpoints[s.Endpoint]; !known || endpoint.State != Ready {
		c.violation("rule 3: sent to %s, which is draining, removed or unknown", s.Endpoint)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.violation("more than %d attempts", c.settings.MaxAttempts)
	}
	for _, a := range r.attempts {
		if !a.ended && !c.settings.Hedging {
			c.violation("request %s hedged although hedging is disabled", s.ID)
		}
		if a.mayHaveExecuted() {
			c.checkRepeat(now, r, a, s)
		}
	}
	r.attempts = append(r.attempts, &checkedAttempt{endpoint: s.Endpoint, sentAt: now})
}

// checkRepeat checks that a request may be sent although an earlier attempt may have been executed.
func (c *ruleChecker) checkRepeat(now time.Duration, r *checkedRequest, earlier *checkedAttempt, s Send) {
	switch r.class.Effect {
	case NonIdempotent:
		c.violation("rule 2: %s sent again although it is not idempotent", s.ID)
	case WithIdempotencyKey:
		if now > earlier.sentAt+r.class.IdempotencyWindow {
			c.violation("rule 2: %s sent again outside its window", s.ID)
		}
		x, y := c.endpoints[earlier.endpoint], c.endpoints[s.Endpoint]
		if r.class.IdempotencyScope != ScopeAll && x.Zone != y.Zone ||
			r.class.IdempotencyScope == ScopeCell && x.Cell != y.Cell {
			c.violation("rule 2: %s sent again outside its scope", s.ID)
		}
	}
}

// TestRuleCheckerFindsViolations passes sequences that violate each rule to the checker.
func TestRuleCheckerFindsViolations(t *testing.T) {
	update := EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	request := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * ms} }
	send := func(endpoint string) Send { return Send{ID: "r", Endpoint: endpoint} }
	timedOut := Outcome{ID: "r", Attempt: 0, Result: TimedOut}
	for _, c := range []struct {
		want  string
		steps []any // events, actions, and the times of the steps that follow
	}{
		{"rule 1: r has no final response", []any{update, request("get"), 2 * time.Second, TimerFired{}}},
		{"rule 1: final response", []any{update, request("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is done", []any{update, request("get"), Fail{ID: "r"}, send("a")}},
		{"although it is not idempotent", []any{update, request("pay"), send("a"), timedOut, send("a")}},
		{"rule 2: r rejected", []any{update, request("pay"), send("a"), timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{update, request("post"), send("a"), 950 * ms, timedOut, send("a")}},
		{"outside its window", []any{update, Request{ID: "r", Class: "post", Deadline: 1000 * ms, StreamingBody: true}, send("a"),
			800 * ms, RequestBodySent{ID: "r", Deadline: 1800 * ms}, 1000 * ms, timedOut, send("a")}},
		{"rule 2: r rejected", []any{update, request("put"), send("a"), 800 * ms, timedOut, Reject{ID: "r"}}},
		{"outside its scope", []any{update, request("post"), send("a"), timedOut, send("b")}},
		{"rule 3", []any{update, request("get"), send("c")}},
		{"does not exist", []any{update, request("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		t.Run(c.want, func(t *testing.T) {
			checker := newRuleChecker(settingsWithSharedKeys())
			var now time.Duration
			for _, step := range c.steps {
				switch s := step.(type) {
				case time.Duration:
					now = s
				case Event:
					checker.observeEvent(now, s)
				case Action:
					checker.observeActions(now, []Action{s})
				}
			}
			if !strings.Contains(strings.Join(checker.violations, "\n"), c.want) {
				t.Errorf("got %q", checker.violations)
			}
		})
	}
}
