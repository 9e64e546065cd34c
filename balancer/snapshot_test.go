package balancer

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const minute = time.Minute

func withSnapshots(s *Settings) { s.SnapshotMaxAge = minute }

// trainedBalancer is a Balancer that has served for a while: s00 is slow, s01 fails, the window has grown.
func trainedBalancer(t testing.TB) (*Balancer, time.Duration) {
	b := newTestBalancer(t, withSnapshots)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(10)})
	now := time.Duration(0)
	for i := range 4000 {
		now += ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*ms})) {
			took, ending := 30*ms, Success
			switch s.Endpoint {
			case "s00":
				took = 90 * ms
			case "s01":
				ending = Failure
			}
			now += ms
			b.Handle(now+took, Outcome{ID: s.ID, Attempt: 0, Endpoint: s.Endpoint, Result: ending, Latency: took, RequestDone: true})
		}
	}
	b.limiter.limit = 100
	return b, b.now
}

// restoredBalancer is a Balancer that has heard of what another had learned, and then of a list.
func restoredBalancer(t testing.TB, m Snapshot, age time.Duration, list []Endpoint, change func(*Settings)) *Balancer {
	b := newTestBalancer(t, func(s *Settings) {
		withSnapshots(s)
		if change != nil {
			change(s)
		}
	})
	b.Handle(0, Restore{m, age})
	b.Handle(0, EndpointUpdate{Full: true, Cached: true, Endpoints: list})
	return b
}

// What is remembered counts by its age: all of it at once, nothing from Settings.Remember on, nothing where that is 0.
func TestSnapshotCountsByAge(t *testing.T) {
	was, now := trainedBalancer(t)
	m := was.Snapshot(now)
	if len(m.Endpoints) < 2 || m.LimitPerEndpoint != 20 {
		t.Fatalf("%+v", m)
	}
	new := newTestBalancer(t, nil)
	last := math.Inf(1)
	for _, age := range []time.Duration{0, minute / 4, minute / 2, minute - 1, minute, time.Hour} {
		b := restoredBalancer(t, m, age, testEndpoints(10), nil)
		if b.limiter.limit > last {
			t.Errorf("%v: a window of %v, after %v for what is younger", age, b.limiter.limit, last)
		}
		last = b.limiter.limit
		switch {
		case age == 0:
			for _, s := range []string{"s00", "s01"} {
				got, want := b.endpoints.byID[s], was.endpoints.byID[s]
				if got.slowness != want.slowness || got.ejectionLevel != want.ejectionLevel || got.latencySamples != want.latencySamples {
					t.Errorf("%s: %+v, was %+v", s, got, want)
				}
			}
			near := func(x, y float64) bool { return math.Abs(x-y) < 1e-9*(1+y) }
			if !near(b.limiter.limit, was.limiter.limit) || !near(b.classes.byName["get"].meanLatency, was.classes.byName["get"].meanLatency) || !near(b.limiter.baselineUtilization, was.limiter.baselineUtilization) {
				t.Errorf("window %v, mean %v, bare %v", b.limiter.limit, b.classes.byName["get"].meanLatency, b.limiter.baselineUtilization)
			}
		case age >= minute:
			if b.limiter.limit != initialLimitPerEndpoint*5 || b.restored != nil || b.classes.byName["get"].meanLatency != new.classes.byName["get"].meanLatency {
				t.Errorf("%v: window %v, mean %v", age, b.limiter.limit, b.classes.byName["get"].meanLatency)
			}
		}
	}
	if b := restoredBalancer(t, m, 0, testEndpoints(10), func(s *Settings) { s.SnapshotMaxAge = 0 }); b.limiter.limit != initialLimitPerEndpoint*5 {
		t.Errorf("not asked to remember: a window of %v", b.limiter.limit)
	}
}

// What the settings or the list say otherwise wins, and a memory that cannot be is passed over whole.
func TestSnapshotYieldsToSettingsAndList(t *testing.T) {
	was, now := trainedBalancer(t)
	m := was.Snapshot(now)
	floor := initialLimitPerEndpoint * 5
	restarted := testEndpoints(10)
	restarted[0].StartTime = 5 * ms
	b := restoredBalancer(t, m, 0, restarted, nil)
	if s := b.endpoints.byID["s00"]; s.latencySamples != 0 || s.slowness != 0 {
		t.Errorf("a server that was started again: %+v", s)
	}
	if b.endpoints.byID["s01"].ejectionLevel == 0 {
		t.Error("another's ejection is forgotten")
	}
	b = restoredBalancer(t, m, 0, testEndpoints(10), func(s *Settings) { s.Classes[0].LatencyObjective *= 2 })
	if b.limiter.limit != floor || b.classes.byName["get"].meanLatency != float64(b.classes.byName["get"].LatencyObjective)/4 || b.classes.byName["pay"].meanLatency != was.classes.byName["pay"].meanLatency {
		t.Errorf("another aim: window %v, means %v %v", b.limiter.limit, b.classes.byName["get"].meanLatency, b.classes.byName["pay"].meanLatency)
	}
	if b := restoredBalancer(t, m, 0, testEndpoints(20), nil); b.limiter.limit != 200 {
		t.Errorf("twice the servers: a window of %v", b.limiter.limit)
	}
	if b := restoredBalancer(t, m, -1, testEndpoints(10), nil); b.limiter.limit != floor {
		t.Errorf("from the future: a window of %v", b.limiter.limit)
	}
	for name, spoil := range map[string]func(*Snapshot){
		"window":       func(m *Snapshot) { m.LimitPerEndpoint = math.NaN() },
		"fill":         func(m *Snapshot) { m.Utilization = 3 },
		"tokens":       func(m *Snapshot) { m.RetryTokens = math.Inf(1) },
		"mean":         func(m *Snapshot) { m.Classes[0].MeanLatency = -1 },
		"slow":         func(m *Snapshot) { m.Endpoints[0].Slowness = math.NaN() },
		"level":        func(m *Snapshot) { m.Endpoints[0].EjectionLevel = 1 << 40 },
		"another tier": func(m *Snapshot) { m.Tier = 2 },
	} {
		bad := m
		bad.Classes, bad.Endpoints = slices.Clone(m.Classes), slices.Clone(m.Endpoints)
		spoil(&bad)
		if b := restoredBalancer(t, bad, 0, testEndpoints(10), nil); b.limiter.limit != floor || b.restored != nil {
			t.Errorf("%s: a window of %v", name, b.limiter.limit)
		}
	}
}

// A window from before the start that is far too large shrinks to twice what is out at the first sign of a crowd.
func TestRestoredLimitShrinks(t *testing.T) {
	was, now := trainedBalancer(t)
	m := was.Snapshot(now)
	m.LimitPerEndpoint = 1e12
	b := restoredBalancer(t, m, 0, testEndpoints(10), nil)
	at := time.Duration(0)
	var out []Send
	for i := range 300 {
		at += ms
		out = append(out, sendsOf(b.Handle(at, Request{ID: time.Duration(i).String(), Class: "get", Deadline: at + 1500*ms}))...)
	}
	if len(out) != 300 {
		t.Fatalf("%d of 300 were let in", len(out))
	}
	at += 600 * ms
	for i := 0; i < len(out) && b.limiter.limit > 1e6; i++ { // one late answer after another
		b.Handle(at, Outcome{ID: out[i].ID, Endpoint: out[i].Endpoint, Result: Success, Latency: 600 * ms, RequestDone: true})
	}
	if b.limiter.limit > 600 {
		t.Errorf("a window of %v", b.limiter.limit)
	}
}

// However a memory came about, what is handed on is valid, survives its way through JSON, and handing it on again
// at once changes nothing but levels, which stay.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(func() Settings { s := testSettings(); s.SnapshotMaxAge = minute; return s }(), 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(rapid.IntRange(1, 30).Draw(t, "servers"))})
		now := time.Duration(0)
		for i := range rapid.IntRange(0, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * ms
			for _, s := range sendsOf(b.Handle(now, Request{ID: time.Duration(i).String(), Class: "get", Deadline: now + 1500*ms})) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * ms
				b.Handle(now, Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: Result(rapid.IntRange(0, 7).Draw(t, "ending")), RequestDone: true})
			}
		}
		m := b.Snapshot(now)
		if err := m.Validate(); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var read Snapshot
		if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(m, read) {
			t.Fatalf("%v: %+v is read as %+v", err, m, read)
		}
		for i := range m.Classes { // what is blended is rounded
			c := &m.Classes[i]
			c.MeanLatency, c.LatencyDeviation = math.Round(c.MeanLatency), math.Round(c.LatencyDeviation)
		}
		next, err := New(b.settings, 4)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, Restore{Snapshot: read})
		var list []Endpoint
		for _, s := range b.endpoints.ready {
			list = append(list, s.Endpoint)
		}
		next.Handle(now, EndpointUpdate{Full: true, Cached: true, Endpoints: list})
		again := next.Snapshot(now)
		for i := range again.Classes {
			c := &again.Classes[i]
			c.MeanLatency, c.LatencyDeviation = math.Round(c.MeanLatency), math.Round(c.LatencyDeviation)
		}
		if !reflect.DeepEqual(m.Endpoints, again.Endpoints) || again.LimitPerEndpoint < m.LimitPerEndpoint-1e-9 || !reflect.DeepEqual(m.Classes, again.Classes) {
			t.Fatalf("%+v is handed on as %+v", m, again)
		}
	})
}

// What 10,000 servers cost: the pause that handing on takes, and the way back.
func BenchmarkSnapshot(b *testing.B) {
	from, list := balancerWithHistory(b)
	b.ResetTimer()
	for range b.N {
		from.Snapshot(minute)
	}
	_ = list
}

func BenchmarkRestore(b *testing.B) {
	from, list := balancerWithHistory(b)
	text, err := json.Marshal(from.Snapshot(minute))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(text))/float64(len(list)), "bytes/server")
	set := testSettings()
	set.SnapshotMaxAge = minute
	b.ResetTimer()
	for range b.N {
		var m Snapshot
		if err := json.Unmarshal(text, &m); err != nil {
			b.Fatal(err)
		}
		next, err := New(set, 4)
		if err != nil {
			b.Fatal(err)
		}
		next.Handle(minute, Restore{Snapshot: m})
		next.Handle(minute, EndpointUpdate{Full: true, Cached: true, Endpoints: list})
	}
}

// balancerWithHistory is a Balancer that knows something of each of 10,000 servers.
func balancerWithHistory(b *testing.B) (*Balancer, []Endpoint) {
	from := newTestBalancer(b, withSnapshots)
	list := testEndpoints(10_000)
	from.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
	for i, s := range from.endpoints.ready {
		s.latencySamples, s.slowness = 3, 0.1+float64(i)/1e5
	}
	return from, list
}

// snapshotFile is what the first version that stored snapshots learned from the events of learned.
const snapshotFile = "testdata/snapshot.json"

// The stored form of a snapshot does not change: the same events give the same bytes, and a stored one is read whole.
func TestStoredSnapshotForm(t *testing.T) {
	stored, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	was, now := trainedBalancer(t)
	text, err := json.MarshalIndent(was.Snapshot(now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if text = append(text, '\n'); !bytes.Equal(text, stored) {
		t.Errorf("the same events give another snapshot:\n%s", text)
	}
	var m Snapshot
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		t.Fatal(err)
	}
	if err := m.Validate(); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if again = append(again, '\n'); !bytes.Equal(again, stored) {
		t.Errorf("a stored snapshot is read as:\n%s", again)
	}
	b := restoredBalancer(t, m, 0, testEndpoints(10), nil)
	s := b.endpoints.byID["s00"]
	if b.restored == nil || b.limiter.limit != 100 || s.latencySamples == 0 || s.slowness < 0.1 || b.endpoints.byID["s01"].ejectionLevel == 0 {
		t.Errorf("a stored snapshot is not restored: window %v, %+v", b.limiter.limit, s)
	}
}

// A snapshot of which every field has a value of its own, with the keys that it is stored under.
func TestSnapshotKeys(t *testing.T) {
	const stored = `{"tier":1,"errors":0.1,"tokens":2,"window":3,"fill":0.4,"calm":0.5,"bare":0.6,` +
		`"classes":[{"name":"c","aim":7,"deadline":80,"mean":9,"dev":10,"cost":11,"longest_try":12}],` +
		`"servers":[{"id":"s","boot":13,"slow":1.4,"samples":15,"level":4,"left":17}]}`
	want := Snapshot{
		Tier: 1, ErrorRate: 0.1, RetryTokens: 2, LimitPerEndpoint: 3, Utilization: 0.4, SlowUtilization: 0.5, BaselineUtilization: 0.6,
		Classes:   []ClassSnapshot{{Name: "c", LatencyObjective: 7, Deadline: 80, MeanLatency: 9, LatencyDeviation: 10, MeanCost: 11, LongestTimeout: 12}},
		Endpoints: []EndpointSnapshot{{ID: "s", StartTime: 13, Slowness: 1.4, LatencySamples: 15, EjectionLevel: 4, EjectionRemaining: 17 * time.Nanosecond}},
	}
	text, err := json.Marshal(want)
	if err != nil || string(text) != stored {
		t.Errorf("%v, stored as %s", err, text)
	}
}
