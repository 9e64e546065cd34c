package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// ruleChecker follows the events given to one Balancer and its actions, and notes every broken rule.
// It shares no code with the module.
type ruleChecker struct {
	settings   Settings
	slack      time.Duration
	states     map[string]EndpointState
	cells      map[string]int
	zones      map[string]string
	requests   map[string]*checkedRequest
	violations []string
}

type checkedRequest struct {
	class    Class
	deadline time.Duration
	done     bool
	attempts []*checkedAttempt
}

type checkedAttempt struct {
	endpoint string
	sentAt   time.Duration
	ended    bool
	result   Result
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{settings: set, slack: 20 * ms, states: map[string]EndpointState{}, cells: map[string]int{},
		zones: map[string]string{}, requests: map[string]*checkedRequest{}}
}

func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (t *checkedAttempt) mayHaveExecuted() bool {
	return !t.ended || (t.result != Overloaded && t.result != Unreachable && t.result != NotSent)
}

func (c *ruleChecker) observeEvent(now time.Duration, e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		if e.Full {
			for id := range c.states {
				c.states[id] = Removed
			}
		}
		for _, s := range e.Endpoints {
			c.states[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
		}
	case Request:
		if c.requests[e.ID] == nil {
			cl := Class{Effect: NonIdempotent}
			for _, k := range c.settings.Classes {
				if k.Name == e.Class {
					cl = k
				}
			}
			c.requests[e.ID] = &checkedRequest{class: cl, deadline: e.Deadline}
		}
	case Outcome:
		if r := c.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.ended {
				t.ended, t.result = true, e.Result
				r.done = r.done || e.RequestDone
			}
		}
	case ClientDisconnected:
		if r := c.requests[e.ID]; r != nil {
			r.done = true
		}
	}
	for id, r := range c.requests {
		if !r.done && now > r.deadline+c.slack {
			c.violation("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.done = true
		}
	}
}

func (c *ruleChecker) observeActions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.observeSend(now, a)
		case Reject:
			if r := c.finalAnswer(a.ID); r != nil {
				for _, t := range r.attempts {
					loose := r.class.Effect == Idempotent || r.class.Effect == WithIdempotencyKey && r.class.IdempotencyScope == ScopeAll
					if t.mayHaveExecuted() && !loose {
						c.violation("rule 2: %s refused though it may have run", a.ID)
					}
				}
			}
		case Fail:
			c.finalAnswer(a.ID)
		case Cancel:
			if r := c.requests[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				c.violation("cancel of an attempt never made")
			}
			if !c.settings.Cancellation {
				c.violation("cancel is not allowed")
			}
		}
	}
}

func (c *ruleChecker) finalAnswer(id string) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.done {
		c.violation("rule 1: final answer for %s, which is over or unknown", id)
		return nil
	}
	r.done = true
	return r
}

func (c *ruleChecker) observeSend(now time.Duration, a Send) {
	r := c.requests[a.ID]
	if r == nil || r.done {
		c.violation("rule 1: sent %s, which is over or unknown", a.ID)
		return
	}
	state, known := c.states[a.Endpoint]
	if !known || state != Ready {
		c.violation("rule 3: sent to %s, which drains, is gone or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.violation("more than %d attempts", c.settings.MaxAttempts)
	}
	for _, t := range r.attempts {
		if !t.ended && !c.settings.Hedging {
			c.violation("second copy of %s", a.ID)
		}
		if !t.mayHaveExecuted() {
			continue
		}
		switch r.class.Effect {
		case NonIdempotent:
			c.violation("rule 2: unsafe %s sent again", a.ID)
		case WithIdempotencyKey:
			if now > t.sentAt+r.class.IdempotencyWindow {
				c.violation("rule 2: %s sent again outside its window", a.ID)
			}
			if r.class.IdempotencyScope != ScopeAll && c.zones[t.endpoint] != c.zones[a.Endpoint] ||
				r.class.IdempotencyScope == ScopeCell && c.cells[t.endpoint] != c.cells[a.Endpoint] {
				c.violation("rule 2: %s sent again outside its scope", a.ID)
			}
		}
	}
	r.attempts = append(r.attempts, &checkedAttempt{endpoint: a.Endpoint, sentAt: now})
}

// TestRuleCheckerFindsViolations gives the checker a trace that breaks each rule.
func TestRuleCheckerFindsViolations(t *testing.T) {
	list := EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * ms} }
	timedOut := Outcome{ID: "r", Attempt: 0, Result: TimedOut}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, TimerFired{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Endpoint: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), Send{ID: "r", Endpoint: "a"}, timedOut, Send{ID: "r", Endpoint: "a"}}},
		{"rule 2: r refused", []any{list, req("pay"), Send{ID: "r", Endpoint: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{list, req("post"), Send{ID: "r", Endpoint: "a"}, 950 * ms, timedOut,
			Send{ID: "r", Endpoint: "a"}}},
		{"outside its scope", []any{list, req("post"), Send{ID: "r", Endpoint: "a"}, timedOut, Send{ID: "r", Endpoint: "b"}}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Endpoint: "c"}}},
		{"never made", []any{list, req("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		c := newRuleChecker(testSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.observeEvent(now, s)
			case Action:
				c.observeActions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.violations, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.violations)
		}
	}
}

// runRandomEvents drives a Balancer with random legal events and odd ones, and returns all its actions.
func runRandomEvents(t testing.TB, set Settings, seed uint64, steps int, c *ruleChecker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pending struct {
		id      string
		n       int
		server  string
		due     time.Duration
		timeout bool
	}
	var out []pending
	var timers []SetTimer
	var ids []string
	fleet := testEndpoints(8)
	now := time.Duration(0)
	give := func(e Event) {
		if c != nil {
			c.observeEvent(now, e)
		}
		acts := b.Handle(now, e)
		if c != nil {
			c.observeActions(now, acts)
		}
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case Send:
				n := 0
				for _, p := range out {
					if p.id == a.ID && p.n >= n {
						n = p.n + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					n = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*ms))
				p := pending{a.ID, n, a.Endpoint, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.due, p.timeout = now+a.Timeout, true
				}
				out = append(out, p)
			case SetTimer:
				timers = append(timers, a)
			}
		}
	}
	give(EndpointUpdate{Full: true, Cached: true, Endpoints: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += 2 * ms
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				give(TimerFired{Token: w.Token})
				if rng.IntN(20) == 0 {
					give(TimerFired{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(out); k++ {
			p := out[k]
			if p.due > now {
				continue
			}
			out = append(out[:k], out[k+1:]...)
			k--
			e := Outcome{ID: p.id, Attempt: p.n, Endpoint: p.server, Result: Success}
			switch {
			case p.timeout:
				e.Result = TimedOut
			case rng.IntN(3) == 0:
				e.Result = Result(1 + rng.IntN(int(NotSent)))
			}
			if r := b.requests[p.id]; e.Result == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.RequestDone = ended[p.id]
			give(e)
			if rng.IntN(10) == 0 {
				give(e)
			}
			if rng.IntN(30) == 0 {
				give(ClientDisconnected{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd"}[rng.IntN(4)]
			ids = append(ids, id)
			give(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*ms})
		}
		if rng.IntN(60) == 0 {
			s := &fleet[rng.IntN(len(fleet))]
			s.State = EndpointState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.StartTime = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var l []Endpoint
				for _, s := range fleet {
					if s.State != Removed {
						l = append(l, s)
					}
				}
				give(EndpointUpdate{Full: true, Endpoints: l})
			case 1:
				give(SubscriptionFailed{})
				give(EndpointUpdate{Endpoints: []Endpoint{*s}})
			default:
				give(EndpointUpdate{Endpoints: []Endpoint{*s}})
			}
		}
		if rng.IntN(40) == 0 {
			give(Outcome{ID: "nobody", Attempt: 3, Result: Success})
			give(TimerFired{Token: "r:nobody"})
			give(TimerFired{Token: "x"})
			give(ClientDisconnected{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ClientDisconnected{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.Hedging = seed%3 != 0
		set.PollDiscovery = seed%4 == 0
		c := newRuleChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, c)
		for i, s := range c.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.queue.requests) > 0 || b.limiter.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d held and %d calls are left over", seed, len(b.requests),
				len(b.queue.requests), b.limiter.inFlight)
		}
		for id, s := range b.endpoints.byID {
			if !s.listed || s.activeAttempts != 0 || len(s.awaited) != 0 {
				t.Errorf("seed %d: server %s is left over", seed, id)
			}
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(3)})
	b, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), testEndpoints(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = EndpointState(x % 3)
				b.Handle(now, EndpointUpdate{Full: x%2 == 0, Endpoints: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*ms})
			case 3:
				b.Handle(now, Outcome{ID: id, Attempt: int(x%4) - 1, Result: Result(x % 9), RequestDone: x%2 == 0})
			case 4:
				b.Handle(now, TimerFired{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientDisconnected{ID: id})
			case 6:
				b.Handle(now, ResponseStarted{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * ms / 4
		}
	})
}
