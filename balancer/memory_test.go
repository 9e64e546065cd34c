package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const minute = time.Minute

func remembering(s *Settings) { s.SnapshotMaxAge = minute }

// learned is a Balancer that has served for a while: s00 is slow, s01 fails, the window has grown.
func learned(t testing.TB) (*Balancer, time.Duration) {
	b := newBalancer(t, remembering)
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(10)})
	now := time.Duration(0)
	for i := range 4000 {
		now += msec
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec})) {
			took, ending := 30*msec, Success
			switch s.Endpoint {
			case "s00":
				took = 90 * msec
			case "s01":
				ending = Failure
			}
			now += msec
			b.Handle(now+took, Outcome{ID: s.ID, Attempt: 0, Endpoint: s.Endpoint, Result: ending, Latency: took, RequestDone: true})
		}
	}
	b.window = 100
	return b, b.now
}

// fresh is a Balancer that has heard of what another had learned, and then of a list.
func fresh(t testing.TB, m Snapshot, age time.Duration, list []Endpoint, change func(*Settings)) *Balancer {
	b := newBalancer(t, func(s *Settings) {
		remembering(s)
		if change != nil {
			change(s)
		}
	})
	b.Handle(0, Restore{m, age})
	b.Handle(0, EndpointUpdate{Full: true, Cached: true, Endpoints: list})
	return b
}

// What is remembered counts by its age: all of it at once, nothing from Settings.Remember on, nothing where that is 0.
func TestMemoryCountsByAge(t *testing.T) {
	was, now := learned(t)
	m := was.Snapshot(now)
	if len(m.Endpoints) < 2 || m.LimitPerEndpoint != 20 {
		t.Fatalf("%+v", m)
	}
	new := newBalancer(t, nil)
	last := math.Inf(1)
	for _, age := range []time.Duration{0, minute / 4, minute / 2, minute - 1, minute, time.Hour} {
		b := fresh(t, m, age, servers(10), nil)
		if b.window > last {
			t.Errorf("%v: a window of %v, after %v for what is younger", age, b.window, last)
		}
		last = b.window
		switch {
		case age == 0:
			for _, s := range []string{"s00", "s01"} {
				got, want := b.servers[s], was.servers[s]
				if got.slow != want.slow || got.level != want.level || got.samples != want.samples {
					t.Errorf("%s: %+v, was %+v", s, got, want)
				}
			}
			near := func(x, y float64) bool { return math.Abs(x-y) < 1e-9*(1+y) }
			if !near(b.window, was.window) || !near(b.classes["get"].mean, was.classes["get"].mean) || !near(b.bare, was.bare) {
				t.Errorf("window %v, mean %v, bare %v", b.window, b.classes["get"].mean, b.bare)
			}
		case age >= minute:
			if b.window != windowStart*5 || b.recalled != nil || b.classes["get"].mean != new.classes["get"].mean {
				t.Errorf("%v: window %v, mean %v", age, b.window, b.classes["get"].mean)
			}
		}
	}
	if b := fresh(t, m, 0, servers(10), func(s *Settings) { s.SnapshotMaxAge = 0 }); b.window != windowStart*5 {
		t.Errorf("not asked to remember: a window of %v", b.window)
	}
}

// What the settings or the list say otherwise wins, and a memory that cannot be is passed over whole.
func TestMemoryGivesWay(t *testing.T) {
	was, now := learned(t)
	m := was.Snapshot(now)
	floor := windowStart * 5
	restarted := servers(10)
	restarted[0].StartTime = 5 * msec
	b := fresh(t, m, 0, restarted, nil)
	if s := b.servers["s00"]; s.samples != 0 || s.slow != 0 {
		t.Errorf("a server that was started again: %+v", s)
	}
	if b.servers["s01"].level == 0 {
		t.Error("another's ejection is forgotten")
	}
	b = fresh(t, m, 0, servers(10), func(s *Settings) { s.Classes[0].LatencyObjective *= 2 })
	if b.window != floor || b.classes["get"].mean != float64(b.classes["get"].LatencyObjective)/4 || b.classes["pay"].mean != was.classes["pay"].mean {
		t.Errorf("another aim: window %v, means %v %v", b.window, b.classes["get"].mean, b.classes["pay"].mean)
	}
	if b := fresh(t, m, 0, servers(20), nil); b.window != 200 {
		t.Errorf("twice the servers: a window of %v", b.window)
	}
	if b := fresh(t, m, -1, servers(10), nil); b.window != floor {
		t.Errorf("from the future: a window of %v", b.window)
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
		if b := fresh(t, bad, 0, servers(10), nil); b.window != floor || b.recalled != nil {
			t.Errorf("%s: a window of %v", name, b.window)
		}
	}
}

// A window from before the start that is far too large shrinks to twice what is out at the first sign of a crowd.
func TestRememberedWindowGivesWay(t *testing.T) {
	was, now := learned(t)
	m := was.Snapshot(now)
	m.LimitPerEndpoint = 1e12
	b := fresh(t, m, 0, servers(10), nil)
	at := time.Duration(0)
	var out []Send
	for i := range 300 {
		at += msec
		out = append(out, sends(b.Handle(at, Request{ID: time.Duration(i).String(), Class: "get", Deadline: at + 1500*msec}))...)
	}
	if len(out) != 300 {
		t.Fatalf("%d of 300 were let in", len(out))
	}
	at += 600 * msec
	for i := 0; i < len(out) && b.window > 1e6; i++ { // one late answer after another
		b.Handle(at, Outcome{ID: out[i].ID, Endpoint: out[i].Endpoint, Result: Success, Latency: 600 * msec, RequestDone: true})
	}
	if b.window > 600 {
		t.Errorf("a window of %v", b.window)
	}
}

// However a memory came about, what is handed on is valid, survives its way through JSON, and handing it on again
// at once changes nothing but levels, which stay.
func TestMemoryIsHandedOnWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(func() Settings { s := testSettings(); s.SnapshotMaxAge = minute; return s }(), 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Full: true, Endpoints: servers(rapid.IntRange(1, 30).Draw(t, "servers"))})
		now := time.Duration(0)
		for i := range rapid.IntRange(0, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * msec
			for _, s := range sends(b.Handle(now, Request{ID: time.Duration(i).String(), Class: "get", Deadline: now + 1500*msec})) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * msec
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
		next, err := New(b.set, 4)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, Restore{Snapshot: read})
		var list []Endpoint
		for _, s := range b.ready {
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
func BenchmarkLearned(b *testing.B) {
	from, list := wide(b)
	b.ResetTimer()
	for range b.N {
		from.Snapshot(minute)
	}
	_ = list
}

func BenchmarkRecalled(b *testing.B) {
	from, list := wide(b)
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

// wide is a Balancer that knows something of each of 10,000 servers.
func wide(b *testing.B) (*Balancer, []Endpoint) {
	from := newBalancer(b, remembering)
	list := servers(10_000)
	from.Handle(0, EndpointUpdate{Full: true, Endpoints: list})
	for i, s := range from.ready {
		s.samples, s.slow = 3, 0.1+float64(i)/1e5
	}
	return from, list
}
