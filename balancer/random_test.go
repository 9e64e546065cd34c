package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// randomHost drives a Balancer with random events, both valid and invalid: repeated timers and
// outcomes, requests of an unknown class, and events for requests that do not exist.
type randomHost struct {
	b         *Balancer
	checker   *ruleChecker // may be nil
	random    *rand.Rand
	now       time.Duration
	endpoints []Endpoint
	active    []activeSendUntil
	bodies    []activeSendUntil // attempts whose body is being sent, until its last byte
	timers    []SetTimer
	requests  []string        // IDs
	done      map[string]bool // requests whose outcomes now have RequestDone set
	log       []string        // every action
}

// maxBodyTime is the longest time from the first to the last byte of a streaming body.
const maxBodyTime = time.Second

// activeSendUntil is an attempt with the time at which it ends.
type activeSendUntil struct {
	activeSend
	at       time.Duration
	timesOut bool
}

func newRandomHost(t testing.TB, settings Settings, seed uint64, checker *ruleChecker) *randomHost {
	t.Helper()
	b, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &randomHost{
		b:         b,
		checker:   checker,
		random:    rand.New(rand.NewPCG(seed, 1)),
		endpoints: testEndpoints(8),
		done:      map[string]bool{},
	}
}

// run runs this number of steps. No request is sent in the last quarter, so that all can finish.
func (h *randomHost) run(steps int) {
	h.handle(EndpointUpdate{Full: true, Cached: true, Endpoints: slices.Clone(h.endpoints)})
	for step := range steps {
		h.now += 2 * ms
		h.fireTimers()
		h.sendBodies()
		h.endAttempts()
		if step < steps*3/4 && h.random.IntN(3) == 0 {
			h.sendRequest(fmt.Sprint("r", step))
		}
		if h.random.IntN(60) == 0 {
			h.changeEndpoint()
		}
		if h.random.IntN(40) == 0 {
			h.handleUnknownRequest()
		}
		if h.random.IntN(50) == 0 && len(h.requests) > 0 {
			h.disconnect(h.requests[h.random.IntN(len(h.requests))])
		}
	}
}

// handle passes an event to the Balancer, logs its actions and schedules the events that follow
// from them.
func (h *randomHost) handle(event Event) {
	if h.checker != nil {
		h.checker.observeEvent(h.now, event)
	}
	actions := h.b.Handle(h.now, event)
	if h.checker != nil {
		h.checker.observeActions(h.now, actions)
	}
	for _, action := range actions {
		h.log = append(h.log, fmt.Sprintf("%v %T%v", h.now, action, action))
		switch a := action.(type) {
		case Send:
			h.scheduleOutcome(a)
		case SetTimer:
			h.timers = append(h.timers, a)
		}
	}
}

// scheduleOutcome draws the time at which the attempt ends. One in eight attempts times out
// regardless of its latency. The last byte of a streaming body is sent before the attempt ends.
func (h *randomHost) scheduleOutcome(s Send) {
	r := h.b.requests[s.ID]
	start := h.now
	if r.bodyPending {
		start += time.Duration(h.random.IntN(int(maxBodyTime)))
		h.bodies = append(h.bodies, activeSendUntil{activeSend: activeSend{s, len(r.attempts) - 1}, at: start})
	}
	latency := time.Duration(h.random.ExpFloat64() * float64(120*ms))
	a := activeSendUntil{activeSend: activeSend{s, len(r.attempts) - 1}, at: start + latency}
	if h.random.IntN(8) == 0 || latency > s.Timeout {
		a.at, a.timesOut = start+s.Timeout, true
	}
	h.active = append(h.active, a)
}

// sendBodies passes on the last bytes of bodies that are due. Each sets the deadline of its request.
func (h *randomHost) sendBodies() {
	for k := 0; k < len(h.bodies); k++ {
		body := h.bodies[k]
		if body.at > h.now {
			continue
		}
		h.bodies = slices.Delete(h.bodies, k, k+1)
		k--
		h.handle(RequestBodySent{ID: body.ID, Attempt: body.attempt, Deadline: h.now + body.Timeout})
	}
}

// fireTimers fires the timers that are due, one in twenty of them twice.
func (h *randomHost) fireTimers() {
	for k := 0; k < len(h.timers); k++ {
		timer := h.timers[k]
		if timer.At > h.now {
			continue
		}
		h.timers = slices.Delete(h.timers, k, k+1)
		k--
		h.handle(TimerFired{Token: timer.Token})
		if h.random.IntN(20) == 0 {
			h.handle(TimerFired{Token: timer.Token})
		}
	}
}

// endAttempts passes the outcomes that are due, one in ten of them twice.
func (h *randomHost) endAttempts() {
	for k := 0; k < len(h.active); k++ {
		a := h.active[k]
		if a.at > h.now {
			continue
		}
		h.active = slices.Delete(h.active, k, k+1)
		k--
		outcome := h.outcomeOf(a)
		h.handle(outcome)
		if h.random.IntN(10) == 0 {
			h.handle(outcome)
		}
		if h.random.IntN(30) == 0 {
			h.disconnect(a.ID)
		}
	}
}

// outcomeOf draws the result of an attempt. Two in three attempts that do not time out succeed.
func (h *randomHost) outcomeOf(a activeSendUntil) Outcome {
	outcome := Outcome{ID: a.ID, Attempt: a.attempt, Endpoint: a.Endpoint, Result: Success}
	if a.timesOut {
		outcome.Result = TimedOut
	} else if h.random.IntN(3) == 0 {
		outcome.Result = Result(1 + h.random.IntN(int(NotSent)))
	}
	r := h.b.requests[a.ID]
	if outcome.Result == Success || r == nil || r.finished {
		h.done[a.ID] = true
	}
	outcome.RequestDone = h.done[a.ID]
	return outcome
}

func (h *randomHost) sendRequest(id string) {
	class := []string{"get", "post", "pay", "put", "unknown"}[h.random.IntN(5)]
	h.requests = append(h.requests, id)
	timeout := time.Duration(1+h.random.IntN(1500)) * ms
	h.handle(Request{ID: id, Class: class, Deadline: h.now + timeout, StreamingBody: h.random.IntN(6) == 0})
}

// changeEndpoint changes or restarts an endpoint and reports it in one of the ways in which
// discovery does.
func (h *randomHost) changeEndpoint() {
	e := &h.endpoints[h.random.IntN(len(h.endpoints))]
	e.State = EndpointState(h.random.IntN(3))
	if h.random.IntN(2) == 0 {
		e.State, e.StartTime = Ready, h.now
	}
	switch h.random.IntN(4) {
	case 0:
		var listed []Endpoint
		for _, e := range h.endpoints {
			if e.State != Removed {
				listed = append(listed, e)
			}
		}
		h.handle(EndpointUpdate{Full: true, Endpoints: listed})
	case 1:
		h.handle(SubscriptionFailed{})
		h.handle(EndpointUpdate{Endpoints: []Endpoint{*e}})
	default:
		h.handle(EndpointUpdate{Endpoints: []Endpoint{*e}})
	}
}

func (h *randomHost) handleUnknownRequest() {
	h.handle(Outcome{ID: "unknown", Attempt: 3, Result: Success})
	h.handle(TimerFired{Token: "r:unknown"})
	h.handle(TimerFired{Token: "x"})
	h.handle(ClientDisconnected{ID: "unknown"})
}

func (h *randomHost) disconnect(id string) {
	h.handle(ClientDisconnected{ID: id})
	h.done[id] = true
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			settings := settingsWithSharedKeys()
			settings.Tier = int(seed % 2)
			settings.Hedging = seed%3 != 0
			settings.PollDiscovery = seed%4 == 0
			checker := newRuleChecker(settings)
			h := newRandomHost(t, settings, seed, checker)
			h.run(6000)
			for _, violation := range checker.violations[:min(5, len(checker.violations))] {
				t.Error(violation)
			}
			if len(h.log) < 1000 {
				t.Errorf("only %d actions", len(h.log))
			}
			checkNoLeaks(t, h.b)
		})
	}
}

// checkNoLeaks checks that a Balancer holds no state of its requests once all are finished.
func checkNoLeaks(t *testing.T, b *Balancer) {
	t.Helper()
	if len(b.requests) > 0 || len(b.queue.requests) > 0 || b.limiter.inFlight != 0 {
		t.Errorf("%d requests, %d pending requests and %d attempts in flight remain", len(b.requests),
			len(b.queue.requests), b.limiter.inFlight)
	}
	for id, e := range b.endpoints.byID {
		if !e.listed || e.activeAttempts != 0 || len(e.awaited) != 0 {
			t.Errorf("endpoint %s is unlisted or has active attempts", id)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	logOf := func() []string {
		h := newRandomHost(t, testSettings(), 5, nil)
		h.run(3000)
		return h.log
	}
	first := logOf()
	other, err := New(testSettings(), 99) // another Balancer in the process has no effect
	if err != nil {
		t.Fatal(err)
	}
	other.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(3)})
	second := logOf()
	if len(first) < 500 {
		t.Fatalf("got only %d actions, want at least 500", len(first))
	}
	if strings.Join(first, "\n") != strings.Join(second, "\n") {
		t.Fatal("the same events and seed produced different actions")
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newTestBalancer(t, nil)
		now, endpoints := time.Duration(0), testEndpoints(4)
		for i, x := range data {
			b.Handle(now, fuzzEvent(now, i, x, endpoints))
			now += time.Duration(x) * ms / 4
		}
	})
}

// fuzzEvent returns the event encoded by the byte x at index i.
func fuzzEvent(now time.Duration, i int, x byte, endpoints []Endpoint) Event {
	id := fmt.Sprint("r", x%5)
	switch x % 7 {
	case 0:
		endpoints[int(x/7)%4].State = EndpointState(x % 3)
		return EndpointUpdate{Full: x%2 == 0, Endpoints: endpoints[:int(x)%5]}
	case 1, 2:
		class := testSettings().Classes[x%3].Name
		return Request{ID: id, Class: class, Deadline: now + time.Duration(x)*ms}
	case 3:
		return Outcome{ID: id, Attempt: int(x%4) - 1, Result: Result(x % 9), RequestDone: x%2 == 0}
	case 4:
		return TimerFired{Token: "r:" + id}
	case 5:
		return ClientDisconnected{ID: id}
	default:
		return ResponseStarted{ID: id, Attempt: i % 3}
	}
}
