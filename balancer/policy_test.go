package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const msec = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, IdempotencyScope: ScopeAll, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 1},
			{Name: "post", Effect: WithIdempotencyKey, IdempotencyScope: ScopeCell, IdempotencyWindow: 900 * msec, LatencyObjective: 500 * msec,
				Deadline: 1500 * msec, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalValueWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, Hedging: true, Cancellation: true, Tick: 2 * msec,
		PollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		ColdFrom: 0.2, WarmAfter: 10 * time.Second, FallMultiple: 3, FallFor: 2 * time.Second,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func servers(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

func TestPickFollowsTheDesign(t *testing.T) {
	mk := func(calls ...int) []*server {
		var l []*server
		for i, c := range calls {
			l = append(l, &server{Endpoint: Endpoint{ID: fmt.Sprint(i, c)}, calls: c})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*server) float64 {
		got := 0
		for range n {
			s := b.pick(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*server
		want        float64
	}{
		{"fewer left", mk(1), mk(2), 1},
		{"fewer right", mk(2), mk(1), 0},
		{"zero beats one", mk(1), mk(0), 0},
		{"zero left beats one", mk(0), mk(1), 1},
		{"nonzero tie goes left", mk(3), mk(3), 1},
		{"zero tie by shares", mk(0, 0, 0), mk(0), 0.75},
		{"left empty", nil, mk(1), 0},
		{"right empty", mk(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

func TestCopiesShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Full: true, Endpoints: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: l[i : i+1]})
	}
	for i := range l {
		if a.ready[i].ID != b.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready[i].ID, b.ready[i].ID)
		}
	}
}

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestHeldRequestIsAnsweredThoughTimersComeEarly(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// settle answers the single attempt of a request.
func settle(b *Balancer, now time.Duration, id string, s Send, e Result) []Action {
	return b.Handle(now, Outcome{ID: id, Endpoint: s.Endpoint, Result: e, RequestDone: e == Success})
}

// traffic sends n requests one after another; fate decides how attempts at a server end. It
// returns how many first tries each server got in the second half.
func traffic(b *Balancer, n int, class string, fate func(server string) Result) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Endpoint]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Endpoint)
				now += 10 * msec
				again := sends(b.Handle(now, Outcome{ID: id, Attempt: k, Endpoint: s.Endpoint, Result: e, RequestDone: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// A server that errs at once drains its count; without ejection it would win every draw.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Result{Failure, Unreachable, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
		got := traffic(b, 600, "get", func(s string) Result {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// When every server fails alike the trouble is below them: nobody may be starved of calls.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
	got := traffic(b, 800, "get", func(string) Result { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A machine gone quiet shows nothing but an old unanswered call while others answer.
func TestSilentServerIsPassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Endpoint == "s03" {
				stuck++
			} else {
				settle(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// After an ejection the first trial must not be a request that cannot be repeated.
func TestTrialIsNeverUnsafe(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
	s := b.servers["s03"]
	s.level, s.until = 1, 0
	b.watch(s)
	if got := traffic(b, 400, "pay", func(string) Result { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := traffic(b, 400, "get", func(string) Result { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// At full size the copies' subsets must cover all servers about evenly, span the pods, and hold
// servers of both groups; a list no longer than a subset is drawn from whole.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	const copies, fleet = 300, 90
	list := servers(fleet)
	for i := range list {
		list[i].Cell = i / 6
	}
	drawn := map[string]int{}
	for me := range copies {
		b := newBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = copies, me })
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		right, cells := 0, map[int]int{}
		for _, s := range b.subset {
			drawn[s.ID]++
			cells[s.Cell]++
			if s.right {
				right++
			}
		}
		if len(b.subset) != subsetLeast || right != len(b.subset)/2 {
			t.Fatalf("copy %d draws from %d servers, %d of them right", me, len(b.subset), right)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("copy %d has %d servers of pod %d", me, n, cell)
			}
		}
	}
	for _, s := range list {
		mean := float64(copies*subsetLeast) / fleet
		if n := float64(drawn[s.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("server %s is drawn from by %.0f copies, mean %.0f", s.ID, n, mean)
		}
	}
	b := newBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = copies, 7 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: list[:subsetLeast]})
	if len(b.subset) != subsetLeast {
		t.Errorf("a list of a subset's length is cut to %d", len(b.subset))
	}
}

// Where the list tells sizes, a server is drawn in proportion; where it does not, or tells a load of
// a while ago, all alike.
func TestDrawsFollowRegisteredSizes(t *testing.T) {
	for kind, want := range map[WeightKind]float64{WeightNominal: 3, WeightApproximate: 3, WeightUnknown: 1, WeightLive: 1} {
		b := newBalancer(t, func(s *Settings) { s.WeightKind = kind })
		list := servers(8)
		for i := range list {
			list[i].Weight = []float64{1, 3}[i%2]
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		got, large, small := traffic(b, 8000, "get", func(string) Result { return Success }), 0, 0
		for i, s := range list {
			if i%2 == 1 {
				large += got[s.ID]
			} else {
				small += got[s.ID]
			}
		}
		if ratio := float64(large) / float64(small); ratio < 0.75*want || ratio > 1.25*want {
			t.Errorf("sizes %d: large to small %.2f, want %.0f", kind, ratio, want)
		}
	}
}

// A server half as quick as its peers is drawn less, though not ejected; one that got heavy requests,
// as their hints say, is not taken for slow.
func TestDrawsFollowMeasuredSpeed(t *testing.T) {
	for _, heavy := range []time.Duration{0, 16} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
		got, n, now := 0, 0, time.Duration(0)
		for i := range 4000 {
			id, cost := fmt.Sprint(i), 10*msec
			if heavy > 0 && i%40 < 4 {
				cost *= heavy
			}
			now += time.Second
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second, CostHint: cost})) {
				took := 100 * msec
				if s.Endpoint == "s03" && (heavy == 0 || cost > 10*msec) {
					took *= 2
				}
				if n++; s.Endpoint == "s03" {
					got++
				}
				settle(b, now+took, id, s, Success)
			}
		}
		share := float64(got) / float64(n)
		if heavy == 0 && (share > 0.14 || share < 0.03) || heavy > 0 && share < 0.2 {
			t.Errorf("heavy %d: the server got %.3f of the draws", heavy, share)
		}
	}
}

// A small machine is slower by nature: that is no sign of trouble, and no reason to thin its draw twice.
func TestSmallMachinesAreNotTakenForSlow(t *testing.T) {
	for kind, slow := range map[WeightKind]bool{WeightNominal: false, WeightUnknown: true} {
		b := newBalancer(t, func(s *Settings) { s.WeightKind = kind })
		list := servers(4)
		for i := range list {
			list[i].Weight = []float64{1, 3}[i/2]
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		for i := range 400 {
			now, id := time.Duration(i)*time.Second, fmt.Sprint(i)
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				settle(b, now+time.Duration(120/b.servers[s.Endpoint].Weight)*msec, id, s, Success)
			}
		}
		if got := max(b.servers["s00"].slow, b.servers["s01"].slow); got > 0.3 != slow {
			t.Errorf("sizes %d: slowness %.2f", kind, got)
		}
	}
}

// A deploy can leave a copy with cold servers only in its subset: while there are warm ones in the list
// it must go there, or all copies that share the cold ones push them over.
func TestWarmStrangersBeforeColdFriends(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas, s.ColdFrom = 100, 0 })
	list := servers(40)
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: list})
	cold := map[string]bool{}
	for _, s := range b.subset {
		cold[s.ID] = true
	}
	for i := range list {
		if cold[list[i].ID] {
			list[i].StartTime = time.Minute
		}
	}
	b.Handle(time.Minute, EndpointUpdate{Full: true, Endpoints: list})
	for i := range 20 {
		for _, s := range sends(b.Handle(time.Minute+time.Duration(i)*msec, Request{ID: fmt.Sprint(i), Class: "get",
			Deadline: 2 * time.Minute})) {
			if cold[s.Endpoint] {
				t.Fatalf("request %d went to a server that started %d ms ago", i, i)
			}
		}
	}
}

// A server that holds more own calls than the subset's mean, and two at the least, is passed over while
// others are not; one call never rules a server out, for the comparison is the pick's.
func TestCrowdedServersArePassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(6)})
	for _, tc := range []struct{ calls, ok [6]int }{
		{[6]int{2, 1, 0, 0, 1, 0}, [6]int{0, 1, 1, 1, 1, 1}},
		{[6]int{3, 2, 2, 1, 2, 3}, [6]int{0, 1, 1, 1, 1, 0}},
		{[6]int{1, 1, 1, 1, 1, 1}, [6]int{1, 1, 1, 1, 1, 1}},
	} {
		b.inFlight = 0
		for i, s := range b.ready {
			s.calls = tc.calls[i]
			b.inFlight += s.calls
		}
		var ok [6]int
		for _, s := range b.eligible(&request{class: b.classes["get"]}) {
			for i := range b.ready {
				if b.ready[i] == s {
					ok[i] = 1
				}
			}
		}
		if ok != tc.ok {
			t.Errorf("own calls %v: may be drawn %v, want %v", tc.calls, ok, tc.ok)
		}
	}
}

// Each tier's retries multiply the next one's load: they are earned by successes, and what can be saved
// up is bounded.
func TestRetriesKeepWithinTheirBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
	traffic(b, 2000, "get", func(string) Result { return Success })
	again := 0
	for i := range 200 {
		now, id := b.now+20*msec, fmt.Sprint("bad", i)
		l := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for k := 0; len(l) > 0; k++ {
			l = sends(b.Handle(now+msec, Outcome{ID: id, Attempt: k, Endpoint: l[0].Endpoint, Result: Failure}))
			again += len(l)
		}
	}
	if again < 5 || again > retryPurse {
		t.Errorf("%d further attempts for 200 failed requests, want %d at the most", again, retryPurse)
	}
}

// A keyed request that may have run is not sent again once its servers may have forgotten it.
func TestKeyedRequestStaysWithinItsWindow(t *testing.T) {
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{{300 * msec, 1}, {899 * msec, 0}, {1000 * msec, 0}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(8)})
		s := sends(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * msec}))[0]
		if got := len(sends(settle(b, tc.at, "k", s, Failure))); got != tc.want {
			t.Errorf("failed after %v: sent again %d times, want %d", tc.at, got, tc.want)
		}
	}
}

// An unanswered call is a sign of silence once calls sent later were answered elsewhere, not before.
func TestSilenceNeedsAnswersElsewhere(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
	stuck := b.servers[sends(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0].Endpoint]
	b.Handle(5*time.Second, TimerFired{Token: "x"})
	if b.silent(stuck) {
		t.Error("silent although nothing was answered anywhere")
	}
	now := 5 * time.Second
	s := sends(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	settle(b, now+10*msec, "new", s, Success)
	if s.Endpoint != stuck.ID && !b.unfit(stuck, &request{class: b.classes["get"]}) || b.silent(b.servers[s.Endpoint]) && s.Endpoint != stuck.ID {
		t.Error("the wrong server is taken for silent")
	}
}

// A server that comes back with a new start time is another one: what was held against it is forgotten.
func TestRestartForgetsTheServersRecord(t *testing.T) {
	b := newBalancer(t, nil)
	list := servers(4)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
	s := b.servers["s01"]
	s.until, s.level, s.slow = time.Hour, 3, 1
	list[1].StartTime = time.Second
	b.Handle(2*time.Second, EndpointUpdate{Endpoints: list[1:2]})
	if s := b.servers["s01"]; s.until != 0 || s.level != 0 || s.slow != 0 {
		t.Errorf("after its restart: %+v", s)
	}
}

// In overload the window must shrink, and never under its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
		start, now := b.window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(settle(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < windowFloor*b.fairServers() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > windowFloor*b.fairServers()+1 {
			t.Errorf("late answers left the window at %.1f", b.window)
		}
	}
}

// Crowding is judged against the latency of quiet times: an answer at half the aim is bare work where
// it always was so, and a crowd where it took an eighth before.
func TestWindowJudgesLatencyByQuietTimes(t *testing.T) {
	window := func(before, after time.Duration) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(4)})
		b.window = 40
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for i := range 400 {
			b.now, b.inFlight = before, 5
			if i >= 300 {
				b.now, b.inFlight = after, 40
			}
			if b.steer(r, Outcome{Result: Success}); i == 300 {
				b.window = 40
			}
		}
		return b.window
	}
	if slow, crowded := window(250*msec, 250*msec), window(60*msec, 250*msec); slow <= 40 || crowded >= 40 {
		t.Errorf("window from 40: slow work %.1f, want growth; crowded %.1f, want shrinking", slow, crowded)
	}
}

// A thousand copies with one call each are a crowd: where there are many more copies than servers,
// what a copy has out stays under one on the average, though two may go at once after a rest. A call
// that timed out is held against it as well, for the server may still work on it.
func TestManyCopiesKeepUnderOneCallEach(t *testing.T) {
	for _, end := range []Result{Success, TimedOut} {
		b := newBalancer(t, func(s *Settings) { s.Replicas, s.MaxAttempts = 100, 1 })
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
		const took, gap, n = 300 * msec, 25 * msec, 1200
		type call struct {
			Send
			at time.Duration
		}
		var open []call
		var out time.Duration // time that calls were out
		most := 0
		for i := range n {
			now := time.Duration(i) * gap
			for len(open) > 0 && open[0].at+took <= now {
				s := open[0]
				open = open[1:]
				for _, s := range sends(settle(b, now, s.ID, s.Send, end)) {
					open = append(open, call{s, now})
				}
			}
			for _, s := range sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
				open = append(open, call{s, now})
			}
			out += time.Duration(len(open)) * gap
			most = max(most, len(open))
		}
		mean := float64(out) / float64(n*gap)
		if limit := windowFloor * b.fairServers(); mean > 1.25*limit || mean < 0.25*limit || most < 2 {
			t.Errorf("ending %d: %.2f calls out on the average, %d at most, window floor %.2f", end, mean, most, limit)
		}
	}
}

// What was sent under a wide window is not owed when the fleet shrinks and the window with it: the
// copies of incident i587823 refused nearly all for five seconds.
func TestNothingIsOwedFromAWideWindow(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(1)})
	for i := range 400 {
		now := time.Duration(i) * 5 * msec
		b.window = 3
		for _, s := range sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
			settle(b, now+msec, s.ID, s, Failure) // quicker than the mean that a send owes
		}
	}
	b.window = 1
	now := b.now + 100*msec
	if len(sends(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a copy at rest holds a request until %v", b.pause()-now)
	}
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":              func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":      func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[2].Aim":       func(s *Settings) { s.Classes[2].LatencyObjective = 0 },
		"Classes[1].Deadline":  func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[1].Window":    func(s *Settings) { s.Classes[1].IdempotencyWindow = -1 },
		"Classes[0].Worth":     func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"Classes[0].LateShare": func(s *Settings) { s.Classes[0].LateCredit = 2 },
		"ColdFrom":             func(s *Settings) { s.ColdFrom = 1.5 },
		"WarmAfter":            func(s *Settings) { s.WarmAfter = -1 },
		"Index":                func(s *Settings) { s.ReplicaIndex = -1 },
		"FallMultiple":         func(s *Settings) { s.FallMultiple = math.NaN() },
	} {
		want := "setting " + want + " is"
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// A marked repeat is mostly past its aim already: while there is little room, first tries go first.
func TestFirstTriesGoBeforeRepeats(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes["get"].LateCredit = 0.5
	b.inFlight = int(windowFloor*b.fairServers()) + 2
	b.window = float64(b.inFlight) // one comes free by the next answer
	next := sends(settle(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// An unmarked repeat shows by a deadline shorter than other tries have.
func TestShortDeadlineTellsARepeat(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.repeat || r.arrived != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The repeat's aim of 500 ms ended 100 ms before it came: without a server it is still held.
	r := b.requests["again"]
	if r == nil || !r.repeat || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// In overload every server is missed: the more is shed, the fewer may be ruled out for their health.
func TestSheddingLeavesMoreServersIn(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(20)})
		for _, s := range b.ready[:10] {
			s.until = time.Minute
			b.watch(s)
		}
		b.shed = c.shed
		out := len(b.ruledOut(&request{class: b.classes["get"]}))
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// Connection tables filled by other copies refuse at once: a server that refused gets no more own
// calls than it had, however many others refuse too, and is tried again later.
func TestRefusingServerKeepsOnlyWhatItHad(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(todo) > 0; try++ {
				end := Success
				if full[todo[0].Endpoint] {
					end = Unreachable
					count++
				}
				now += 2 * msec
				todo = sends(b.Handle(now, Outcome{ID: fmt.Sprint(id), Attempt: try, Endpoint: todo[0].Endpoint,
					Result: end, RequestDone: end == Success}))
			}
		}
		return count
	}
	first := refused(20)
	if first < 5 {
		t.Fatalf("only %d refusals, want the full servers found", first)
	}
	if got := refused(20); got > first/2 {
		t.Errorf("%d refusals after %d: full servers are still drawn", got, first)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// An answer that broke off says nothing of how crowded the servers are, however soon it came.
func TestBrokenAnswersLeaveTheWindow(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(10)})
	b.window = 100
	r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
	for range 50 {
		b.now, b.inFlight = 200*msec, int(b.window)
		before := b.fill
		if b.steer(r, Outcome{Result: ConnectionLost}); b.fill != before {
			t.Fatalf("a broken answer took fill from %.2f to %.2f", before, b.fill)
		}
	}
	if b.window != 100 {
		t.Errorf("window from 100 to %.1f", b.window)
	}
}

// What is shed must not hold the window down: a smaller window sheds more, and the copy would stay at
// its floor long after the crowd has gone. Unevenness does not either: fast and slow machines differ.
func TestSheddingLeavesTheWindow(t *testing.T) {
	window := func(shed, spread float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(10)})
		b.window, b.fill = 100, 0.4
		r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
		for i := range 50 {
			b.shed = shed
			for k, s := range b.ready {
				s.samples, s.slow = 5, spread*float64(k%2)
			}
			b.now, b.inFlight = 200*msec, int(b.window)
			if b.steer(r, Outcome{Result: Success}); b.fill < 0.39 {
				t.Fatalf("fill fell to %.2f at answer %d", b.fill, i)
			}
		}
		return b.window
	}
	for _, spread := range []float64{0, 0.7, 1} {
		if none, much := window(0, spread), window(0.8, spread); none <= 100 || much != none {
			t.Errorf("spread %.1f: window from 100: %.1f with nothing shed, %.1f with much", spread, none, much)
		}
	}
}

// Requests differ, so a mean of few answers wavers; the least of it must not pass for the quiet level,
// or a steady mean looks like a crowd half of the time and holds the window at its floor.
func TestWindowBearsUnevenWork(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(4)})
	rng := rand.New(rand.NewPCG(1, 2))
	r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
	start := b.window
	for range 2000 {
		b.now = time.Duration(math.Exp(rng.NormFloat64()) * float64(60*msec))
		b.inFlight = int(b.window)
		b.steer(r, Outcome{Result: Success})
	}
	if b.window < 4*start {
		t.Errorf("steady uneven work took the window from %.1f to %.1f", start, b.window)
	}
}

// A request is held for less than half of its time, with servers that are full and with none.
func TestHeldForLessThanHalf(t *testing.T) {
	for _, n := range []int{0, 2} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(n)})
		b.window, b.inFlight = 1, windowLeast
		const came, left = 2 * msec, 400 * msec
		var refused time.Duration
		acts := b.Handle(came, Request{ID: "a", Class: "get", Deadline: came + left})
		for len(acts) > 0 && refused == 0 {
			a := acts[0]
			acts = acts[1:]
			switch a := a.(type) {
			case SetTimer:
				acts = append(acts, b.Handle(a.At, TimerFired{Token: a.Token})...)
			case Reject, Fail:
				refused = b.now
			}
		}
		if refused == 0 || refused-came >= left/2 {
			t.Errorf("%d servers: refused after %v of %v", n, refused-came, left)
		}
	}
}

// A refused client is not sent away for long: it would come back when its aim is mostly over.
func TestRefusalsBringClientsBackSoon(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Full: true, Endpoints: servers(2)})
	b.window, b.inFlight = 1, windowLeast
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.set.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}

// Operators see how many servers are kept out for their health, and no more than are.
func TestAvoidedCountsTheServersKeptOut(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
	if n := b.EjectedCount(0); n != 0 {
		t.Errorf("%d avoided at the start", n)
	}
	for i, s := range b.ready[:4] {
		b.eject(s, b.classes["get"])
		if n := b.EjectedCount(0); n != min(i+1, 2) {
			t.Errorf("%d ejected, %d avoided; 2 of 10 may be", i+1, n)
		}
	}
	if n := b.EjectedCount(time.Hour); n != 0 {
		t.Errorf("%d avoided when every ejection is over", n)
	}
}

// New settings bind the requests that come after them. Those in hand keep their class and attempts, and
// what was learned stays.
func TestNewSettingsBindNewRequests(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(8)})
	b.classes["get"].mean, b.window = float64(77*msec), 33
	b.ready[0].slow = 0.5
	sent := sends(b.Handle(0, Request{ID: "old", Class: "get", Deadline: 1500 * msec}))[0]
	next := testSettings()
	next.MaxAttempts = 1
	next.Classes[0].Effect = NonIdempotent
	next.Classes[2] = Class{Name: "put", Effect: Idempotent, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 1}
	b.Handle(msec, Reconfigure{Settings: next})
	if b.classes["get"].mean != float64(77*msec) || b.window != 33 || b.ready[0].slow != 0.5 {
		t.Error("what was learned is lost")
	}
	if again := sends(b.Handle(2*msec, Outcome{ID: "old", Endpoint: sent.Endpoint, Result: Failure})); len(again) != 1 {
		t.Errorf("the request in hand, safe when it came, got %d more attempts", len(again))
	}
	for id, class := range map[string]string{"now unsafe": "get", "new": "put"} {
		s := sends(b.Handle(3*msec, Request{ID: id, Class: class, Deadline: 1500 * msec}))
		if len(s) != 1 {
			t.Fatalf("%s: %d sends", id, len(s))
		}
		if again := sends(b.Handle(4*msec, Outcome{ID: id, Endpoint: s[0].Endpoint, Result: Failure})); len(again) > 0 {
			t.Errorf("%s: a second attempt, of 1", id)
		}
	}
	b.Handle(5*msec, Reconfigure{})
	if b.set.MaxAttempts != 1 || b.classes["put"] == nil {
		t.Error("settings that make no sense were taken")
	}
}

// A long answer is judged by its first bytes, and no longer holds the window; what breaks later counts
// against the server, what its reader breaks off does not.
func TestLongAnswerIsJudgedByItsFirstBytes(t *testing.T) {
	for ending, bad := range map[Result]int{Success: 0, Cancelled: 0, ConnectionLost: 1} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
		s := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))[0]
		srv := b.servers[s.Endpoint]
		b.Handle(100*msec, ResponseStarted{ID: "a"})
		if b.inFlight != 0 || srv.calls != 1 || srv.lastOK != 100*msec || b.classes["get"].serve != 1 {
			t.Errorf("begun: %d in flight, %d calls, last good at %v", b.inFlight, srv.calls, srv.lastOK)
		}
		mean := b.classes["get"].mean
		acts := b.Handle(time.Hour, Outcome{ID: "a", Endpoint: s.Endpoint, Result: ending, RequestDone: true})
		if len(acts) > 0 || srv.calls != 0 || srv.streak != bad || b.inFlight != 0 || len(b.requests) > 0 {
			t.Errorf("ending %d: %v, %d calls, streak %d", ending, acts, srv.calls, srv.streak)
		}
		if b.classes["get"].mean != mean {
			t.Error("the time its reader took passes for the server's")
		}
	}
}

// The time of a long request begins when it is taken. Until then its server has nothing to answer and the
// window nothing to hold; what cannot be sent again is not.
func TestLongRequestCountsFromItsLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(4)})
	s := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec, StreamingBody: true}))[0]
	srv := b.servers[s.Endpoint]
	if b.inFlight != 0 || srv.calls != 1 {
		t.Errorf("before its last byte: %d in flight, %d calls", b.inFlight, srv.calls)
	}
	b.lastOK = 5000 * msec
	b.now = 5000 * msec
	if b.silent(srv) {
		t.Error("a server is silent before it has the request")
	}
	b.Handle(5000*msec, RequestBodySent{ID: "a", Deadline: 6500 * msec})
	if r := b.requests["a"]; r.deadline != 6500*msec || r.arrived != 5000*msec || b.inFlight != 1 {
		t.Errorf("taken: deadline %v, arrived %v, %d in flight", r.deadline, r.arrived, b.inFlight)
	}
	mean := b.classes["get"].mean
	b.Handle(5100*msec, Outcome{ID: "a", Endpoint: s.Endpoint, Result: Success, RequestDone: true})
	if m := b.classes["get"].mean; m >= mean || b.inFlight != 0 {
		t.Errorf("the time of the body counts as the server's: mean %v after %v", m, mean)
	}

	b.Handle(6000*msec, Request{ID: "b", Class: "get", Deadline: 7500 * msec, StreamingBody: true})
	acts := b.Handle(6010*msec, Outcome{ID: "b", Result: Unreachable, BodyConsumed: true})
	if len(acts) != 1 {
		t.Fatalf("a spent body: %v", acts)
	}
	if _, refused := acts[0].(Reject); !refused {
		t.Errorf("a spent body that never ran: %v", acts[0])
	}
}

// A short list too can spare a server that fails at once; a list of two, or a node in overload, can not.
func TestOneOfAShortListIsRuledOut(t *testing.T) {
	for _, c := range []struct {
		servers int
		shed    float64
		want    int
	}{{4, 0, 1}, {3, 0.4, 1}, {2, 0, 0}, {1, 0, 0}, {4, 0.6, 0}, {10, 0, 2}, {9, 0, 1}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(c.servers)})
		b.shed = c.shed
		for _, s := range b.ready {
			b.eject(s, b.classes["get"])
		}
		if n := len(b.ruledOut(&request{class: b.classes["get"]})); n != c.want {
			t.Errorf("%d of %d servers are ruled out with %v shed, want %d", n, c.servers, c.shed, c.want)
		}
	}
}

// The servers that a pick looks at for their health are all that a look at the whole list would find, in the same
// order, and the ready ones are in the shared order, each once, whatever has happened; and none stays among them for nothing.
func TestWatchedMissesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testSettings(), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		list := servers(rapid.IntRange(1, 12).Draw(t, "servers"))
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
		type call struct {
			id string
			Send
			n int
		}
		var out []call
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * msec
			var did []Action
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				class := rapid.SampledFrom([]string{"get", "post", "pay"}).Draw(t, "class")
				did = b.Handle(now, Request{ID: fmt.Sprint(i), Class: class, Deadline: now + 1500*msec})
			case 3, 4:
				if len(out) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				c := out[k]
				out = append(out[:k:k], out[k+1:]...)
				e := rapid.SampledFrom([]Result{Success, Failure, TimedOut, ConnectionLost, Overloaded}).Draw(t, "ending")
				did = b.Handle(now, Outcome{ID: c.id, Attempt: c.n, Endpoint: c.Endpoint, Result: e, RequestDone: e == Success})
			case 5:
				k := rapid.IntRange(0, len(list)-1).Draw(t, "server")
				list[k].State = EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				list[k].StartTime += time.Duration(rapid.IntRange(0, 1).Draw(t, "boot"))
				did = b.Handle(now, EndpointUpdate{Endpoints: list[k : k+1]})
			}
			for _, a := range did {
				if s, is := a.(Send); is {
					out = append(out, call{s.ID, s, len(b.requests[s.ID].attempts) - 1})
				}
			}
			for _, class := range []string{"get", "pay"} {
				r := &request{class: b.classes[class]}
				var want []*server
				for _, s := range b.ready {
					if b.unfit(s, r) {
						want = append(want, s)
					}
				}
				sort.SliceStable(want, func(i, j int) bool { return want[i].streak > want[j].streak })
				if got := b.sick(r); !slices.Equal(got, want) {
					t.Fatalf("%s: %d found of %d", class, len(got), len(want))
				}
			}
			inOrder := slices.IsSortedFunc(b.ready, func(x, y *server) int { return min(1, 2*b.before(x, y)+1) })
			if ready := readyByScan(b); !inOrder || len(ready) != len(b.ready) {
				t.Fatalf("%d servers in order (%v), %d are ready", len(b.ready), inOrder, len(ready))
			}
			for _, s := range b.watched {
				if s.calls == 0 && s.level == 0 && now >= s.until {
					t.Fatalf("%s is watched for nothing", s.ID)
				}
			}
		}
	})
}

// readyByScan finds the ready servers among all that are known.
func readyByScan(b *Balancer) map[string]bool {
	ready := map[string]bool{}
	for id, s := range b.servers {
		if s.listed && s.State == Ready {
			ready[id] = true
		}
	}
	return ready
}

// How the cost of a request, and of one server's news, grows with the list.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		start := func() *Balancer {
			bal := newBalancer(b, func(s *Settings) { s.Replicas = max(2, n/10) })
			bal.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(n)})
			return bal
		}
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			bal, now := start(), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += msec
				id := fmt.Sprint(i)
				for _, s := range sends(bal.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
					settle(bal, now, id, s, Success)
				}
			}
		})
		b.Run(fmt.Sprintf("news/%d", n), func(b *testing.B) {
			bal, now, list := start(), time.Duration(0), servers(n)
			for i := 0; b.Loop(); i++ {
				now += msec
				list[0].State = EndpointState(i % 2)
				bal.Handle(now, EndpointUpdate{Endpoints: list[:1]})
			}
		})
	}
}

// Copies that are left with cold servers alone keep together to what these bear, whichever of them have the requests:
// N and 2 roots of N + 2 within FallFor, N by what a warm server had borne.
func TestColdBudgetOverAllCopies(t *testing.T) {
	for _, copies := range []int{3, 30, 300} {
		rng := rand.New(rand.NewPCG(uint64(copies), 1))
		set := testSettings()
		set.Replicas = copies
		const listed, left, rate = 20, 2, 200.0 // requests a second
		all := servers(listed)
		var bs []*Balancer
		for i := range copies {
			set.ReplicaIndex = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Full: true, Endpoints: all})
			bs = append(bs, b)
		}
		type end struct {
			at  time.Duration
			b   *Balancer
			out Outcome
		}
		var ends []end
		sent := map[string][]time.Duration{}           // to cold servers
		shrink, over := 10*time.Second, 19*time.Second // by then they are warm
		do := func(b *Balancer, now time.Duration, acts []Action) {
			for _, s := range sends(acts) {
				ends = append(ends, end{now + 100*msec, b, Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: Success, RequestDone: true}})
				if now >= shrink {
					sent[s.Endpoint] = append(sent[s.Endpoint], now)
				}
			}
		}
		for now, n := time.Duration(0), 0; now < over; now += time.Duration(rng.ExpFloat64() / rate * 1e9) {
			for len(ends) > 0 && ends[0].at <= now {
				e := ends[0]
				ends = ends[1:]
				do(e.b, e.at, e.b.Handle(e.at, e.out))
			}
			if shrink > 0 && now >= shrink && n >= 0 {
				for _, b := range bs {
					cold := slices.Clone(all[:left])
					for i := range cold {
						cold[i].StartTime = shrink - time.Second
					}
					do(b, now, b.Handle(now, EndpointUpdate{Full: true, Endpoints: cold}))
				}
				n = -1 << 30
			}
			n++
			// Every third request goes to a tenth of the copies.
			b := bs[rng.IntN(copies)]
			if n%3 == 0 {
				b = bs[rng.IntN(max(1, copies/10))]
			}
			do(b, now, b.Handle(now, Request{ID: fmt.Sprint(copies, "-", now), Class: "get", Deadline: now + 1500*msec}))
		}
		for id, l := range sent {
			for i, from := range l {
				k := i
				for k < len(l) && l[k] < from+set.FallFor {
					k++
				}
				age := float64(from+set.FallFor-shrink+time.Second) / float64(set.WarmAfter)
				warmth := set.ColdFrom + (1-set.ColdFrom)*min(1, age)
				bears := set.FallMultiple * warmth * rate / listed / 0.75 * set.FallFor.Seconds()
				if most := bears + 2*math.Sqrt(bears) + 2; float64(k-i) > most {
					t.Fatalf("%d copies sent %d calls to %s within %v of %v, with %.0f at the most", copies, k-i, id, set.FallFor, from, most)
				}
			}
		}
		if len(sent) != left {
			t.Errorf("%d copies: cold servers got %v", copies, sent)
		}
	}
}
