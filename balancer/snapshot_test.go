package balancer

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxAge is the SnapshotMaxAge in these tests. The benchmarks also use it as a clock time.
const maxAge = time.Minute

func withSnapshots(s *Settings) { s.SnapshotMaxAge = maxAge }

// newTrainedBalancer returns a Balancer that has served requests, and its time. s00 is slow, s01
// fails, and the concurrency limit has grown to 100.
func newTrainedBalancer(t testing.TB) (*Balancer, time.Duration) {
	t.Helper()
	b := newServingBalancer(t, 10, withSnapshots)
	now := time.Duration(0)
	for i := range 4000 {
		now += ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		for _, s := range sendsOf(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*ms})) {
			latency, result := 30*ms, Success
			switch s.Endpoint {
			case "s00":
				latency = 90 * ms
			case "s01":
				result = Failure
			}
			now += ms
			b.Handle(now+latency,
				Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: result, Latency: latency, RequestDone: true})
		}
	}
	b.limiter.limit = 100
	return b, b.now
}

// newRestoredBalancer returns a Balancer that restored a snapshot and then received a cached list
// of endpoints.
func newRestoredBalancer(t testing.TB, s Snapshot, age time.Duration, endpoints []Endpoint,
	change func(*Settings)) *Balancer {
	t.Helper()
	b := newTestBalancer(t, func(settings *Settings) {
		withSnapshots(settings)
		if change != nil {
			change(settings)
		}
	})
	b.Handle(0, Restore{Snapshot: s, Age: age})
	b.Handle(0, EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints})
	return b
}

// initialLimit is the concurrency limit of a test Balancer without history. The Balancer has 10
// endpoints for 2 replicas.
const initialLimit = initialLimitPerEndpoint * 5

// The weight of a snapshot decreases with its age. A new snapshot has the weight 1. A snapshot of
// SnapshotMaxAge or older has the weight 0. If SnapshotMaxAge is zero, every snapshot has the weight 0.
func TestSnapshotWeightDecreasesWithAge(t *testing.T) {
	trained, now := newTrainedBalancer(t)
	snapshot := trained.Snapshot(now)
	if len(snapshot.Endpoints) < 2 || snapshot.LimitPerEndpoint != 20 {
		t.Fatalf("%+v", snapshot)
	}
	previous := math.Inf(1)
	for _, age := range []time.Duration{0, maxAge / 4, maxAge / 2, maxAge - 1, maxAge, time.Hour} {
		b := newRestoredBalancer(t, snapshot, age, testEndpoints(10), nil)
		if b.limiter.limit > previous {
			t.Errorf("age %v: limit %v, more than %v of a newer snapshot", age, b.limiter.limit, previous)
		}
		previous = b.limiter.limit
		if age == 0 {
			checkRestored(t, b, trained)
		}
		if age >= maxAge {
			checkNotRestored(t, b)
		}
	}
	b := newRestoredBalancer(t, snapshot, 0, testEndpoints(10), func(s *Settings) { s.SnapshotMaxAge = 0 })
	if b.limiter.limit != initialLimit {
		t.Errorf("SnapshotMaxAge 0: limit %v, want the initial one", b.limiter.limit)
	}
}

// checkRestored compares a Balancer that restored a new snapshot with the one that it was taken
// from.
func checkRestored(t *testing.T, b, original *Balancer) {
	t.Helper()
	for _, id := range []string{"s00", "s01"} {
		got, want := b.endpoints.byID[id], original.endpoints.byID[id]
		if got.slowness != want.slowness || got.ejectionLevel != want.ejectionLevel ||
			got.latencySamples != want.latencySamples {
			t.Errorf("%s: got %+v, want %+v", id, got, want)
		}
	}
	for name, values := range map[string][2]float64{
		"limit":        {b.limiter.limit, original.limiter.limit},
		"mean latency": {b.classes.find("get").meanLatency, original.classes.find("get").meanLatency},
		"baseline":     {b.limiter.baselineUtilization, original.limiter.baselineUtilization},
	} {
		if got, want := values[0], values[1]; math.Abs(got-want) >= 1e-9*(1+want) {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}

// checkNotRestored checks that a Balancer has initial values.
func checkNotRestored(t *testing.T, b *Balancer) {
	t.Helper()
	mean, want := b.classes.find("get").meanLatency, newTestBalancer(t, nil).classes.find("get").meanLatency
	if b.limiter.limit != initialLimit || b.restored != nil || mean != want {
		t.Errorf("snapshot was restored: limit %v, mean latency %v", b.limiter.limit, mean)
	}
}

// Settings and an endpoint list that differ from the snapshot take precedence.
func TestSettingsAndListOverrideSnapshot(t *testing.T) {
	trained, now := newTrainedBalancer(t)
	snapshot := trained.Snapshot(now)
	t.Run("restarted endpoint", func(t *testing.T) {
		endpoints := testEndpoints(10)
		endpoints[0].StartTime = 5 * ms
		b := newRestoredBalancer(t, snapshot, 0, endpoints, nil)
		if e := b.endpoints.byID["s00"]; e.latencySamples != 0 || e.slowness != 0 {
			t.Errorf("history restored for another process: %+v", e)
		}
		if b.endpoints.byID["s01"].ejectionLevel == 0 {
			t.Error("ejection of another endpoint is lost")
		}
	})
	t.Run("other latency objective", func(t *testing.T) {
		b := newRestoredBalancer(t, snapshot, 0, testEndpoints(10),
			func(s *Settings) { s.Classes[0].LatencyObjective *= 2 })
		changed, unchanged := b.classes.find("get"), b.classes.find("pay")
		if b.limiter.limit != initialLimit || changed.meanLatency != float64(changed.LatencyObjective)/4 ||
			unchanged.meanLatency != trained.classes.find("pay").meanLatency {
			t.Errorf("limit %v, mean latencies %v, %v", b.limiter.limit, changed.meanLatency, unchanged.meanLatency)
		}
	})
	t.Run("twice the endpoints", func(t *testing.T) {
		if b := newRestoredBalancer(t, snapshot, 0, testEndpoints(20), nil); b.limiter.limit != 200 {
			t.Errorf("limit %v, want 200", b.limiter.limit)
		}
	})
	t.Run("negative age", func(t *testing.T) {
		if b := newRestoredBalancer(t, snapshot, -1, testEndpoints(10), nil); b.limiter.limit != initialLimit {
			t.Errorf("limit %v, want %v", b.limiter.limit, initialLimit)
		}
	})
}

// A snapshot is ignored as a whole if a Balancer cannot have produced it or if it is of another tier.
func TestInvalidSnapshotIgnored(t *testing.T) {
	trained, now := newTrainedBalancer(t)
	snapshot := trained.Snapshot(now)
	for _, c := range []struct {
		name     string
		change   func(*Snapshot)
		wantPart string // of the *SnapshotError; empty if the snapshot is valid
	}{
		{"limit", func(s *Snapshot) { s.LimitPerEndpoint = math.NaN() }, "a top-level field"},
		{"utilization", func(s *Snapshot) { s.Utilization = 3 }, "a top-level field"},
		{"retry tokens", func(s *Snapshot) { s.RetryTokens = math.Inf(1) }, "a top-level field"},
		{"mean latency", func(s *Snapshot) { s.Classes[0].MeanLatency = -1 }, "class get"},
		{"slowness", func(s *Snapshot) { s.Endpoints[0].Slowness = math.NaN() }, "endpoint s00"},
		{"ejection level", func(s *Snapshot) { s.Endpoints[0].EjectionLevel = 1 << 40 }, "endpoint s00"},
		{"another tier", func(s *Snapshot) { s.Tier = 2 }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := snapshot
			changed.Classes = slices.Clone(snapshot.Classes)
			changed.Endpoints = slices.Clone(snapshot.Endpoints)
			c.change(&changed)
			b := newRestoredBalancer(t, changed, 0, testEndpoints(10), nil)
			if b.limiter.limit != initialLimit || b.restored != nil {
				t.Errorf("snapshot was restored: limit %v", b.limiter.limit)
			}
			var invalid *SnapshotError
			if err := changed.Validate(); errors.As(err, &invalid) != (c.wantPart != "") ||
				invalid != nil && invalid.Part != c.wantPart {
				t.Errorf("got %v, want an error for %q", err, c.wantPart)
			}
		})
	}
}

// A restored limit that is far too high falls to twice the attempts in flight at the first sign of
// overload.
func TestRestoredLimitFalls(t *testing.T) {
	const requests = 300
	trained, now := newTrainedBalancer(t)
	snapshot := trained.Snapshot(now)
	snapshot.LimitPerEndpoint = 1e12
	b := newRestoredBalancer(t, snapshot, 0, testEndpoints(10), nil)
	now = 0
	var active []Send
	for i := range requests {
		now += ms
		request := Request{ID: time.Duration(i).String(), Class: "get", Deadline: now + 1500*ms}
		active = append(active, sendsOf(b.Handle(now, request))...)
	}
	if len(active) != requests {
		t.Fatalf("%d of %d requests were admitted", len(active), requests)
	}
	now += 600 * ms
	for i := 0; i < len(active) && b.limiter.limit > 1e6; i++ { // one late response after another
		endFirstAttempt(b, now, active[i], Success)
	}
	if b.limiter.limit > 2*requests {
		t.Errorf("got limit %v, want at most twice the attempts in flight", b.limiter.limit)
	}
}

// After any events, a snapshot is valid and survives a JSON round trip. A Balancer that
// restores it returns the same endpoints, the same classes apart from rounding, and no lower limit.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		withSnapshots(&settings)
		b, err := New(settings, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := runDrawnRequests(t, b)
		snapshot := b.Snapshot(now)
		if err := snapshot.Validate(); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Snapshot
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(snapshot, decoded) {
			t.Fatalf("error %v: %+v is decoded as %+v", err, snapshot, decoded)
		}
		next, err := New(settings, 4)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, Restore{Snapshot: decoded})
		var endpoints []Endpoint
		for _, e := range b.endpoints.ready {
			endpoints = append(endpoints, e.Endpoint)
		}
		next.Handle(now, EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints})
		again := next.Snapshot(now)
		roundLatencies(snapshot)
		roundLatencies(again)
		if !reflect.DeepEqual(snapshot.Endpoints, again.Endpoints) ||
			!reflect.DeepEqual(snapshot.Classes, again.Classes) ||
			again.LimitPerEndpoint < snapshot.LimitPerEndpoint-1e-9 {
			t.Fatalf("%+v is restored as %+v", snapshot, again)
		}
	})
}

// runDrawnRequests lets b serve requests with drawn latencies and results, and returns the time at
// the end.
func runDrawnRequests(t *rapid.T, b *Balancer) time.Duration {
	b.Handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(rapid.IntRange(1, 30).Draw(t, "endpoints"))})
	now := time.Duration(0)
	for i := range rapid.IntRange(0, 200).Draw(t, "requests") {
		now += time.Duration(rapid.IntRange(1, 50).Draw(t, "gap in ms")) * ms
		request := Request{ID: time.Duration(i).String(), Class: "get", Deadline: now + 1500*ms}
		for _, s := range sendsOf(b.Handle(now, request)) {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "latency in ms")) * ms
			result := Result(rapid.IntRange(int(Success), int(NotSent)).Draw(t, "result"))
			b.Handle(now, Outcome{ID: s.ID, Endpoint: s.Endpoint, Result: result, RequestDone: true})
		}
	}
	return now
}

// roundLatencies rounds the latencies, because blending a restored value with the initial one is not
// exact.
func roundLatencies(s Snapshot) {
	for i := range s.Classes {
		c := &s.Classes[i]
		c.MeanLatency, c.LatencyDeviation = math.Round(c.MeanLatency), math.Round(c.LatencyDeviation)
	}
}

// snapshotFile contains the snapshot of the Balancer that newTrainedBalancer returns, as written by an
// earlier version.
const snapshotFile = "testdata/snapshot.json"

// The stored format of a snapshot must not change. The same events produce the same bytes, and a
// stored snapshot is decoded and restored completely.
func TestStoredSnapshotFormat(t *testing.T) {
	stored, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	trained, now := newTrainedBalancer(t)
	if text := encodeSnapshot(t, trained.Snapshot(now)); !bytes.Equal(text, stored) {
		t.Errorf("the same events produced another snapshot:\n%s", text)
	}
	var snapshot Snapshot
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&snapshot); err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Validate(); err != nil {
		t.Fatal(err)
	}
	if text := encodeSnapshot(t, snapshot); !bytes.Equal(text, stored) {
		t.Errorf("a stored snapshot is decoded as:\n%s", text)
	}
	b := newRestoredBalancer(t, snapshot, 0, testEndpoints(10), nil)
	if b.restored == nil || b.limiter.limit != 100 {
		t.Errorf("a stored snapshot is not restored: limit %v", b.limiter.limit)
	}
	if e := b.endpoints.byID["s00"]; e.latencySamples == 0 || e.slowness < 0.1 {
		t.Errorf("the slow endpoint is restored as %+v", e)
	}
	if e := b.endpoints.byID["s01"]; e.ejectionLevel == 0 {
		t.Errorf("the faulty endpoint is restored as %+v", e)
	}
}

func encodeSnapshot(t *testing.T, s Snapshot) []byte {
	t.Helper()
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// Each field of a snapshot is stored under its key. Every field has a different value.
func TestSnapshotKeys(t *testing.T) {
	const stored = `{"tier":1,"errors":0.1,"tokens":2,"window":3,"fill":0.4,"calm":0.5,"bare":0.6,` +
		`"classes":[{"name":"c","aim":7,"deadline":80,"mean":9,"dev":10,"cost":11,"longest_try":12}],` +
		`"servers":[{"id":"s","boot":13,"slow":1.4,"samples":15,"level":4,"left":17}]}`
	snapshot := Snapshot{
		Tier: 1, ErrorRate: 0.1, RetryTokens: 2, LimitPerEndpoint: 3,
		Utilization: 0.4, SlowUtilization: 0.5, BaselineUtilization: 0.6,
		Classes: []ClassSnapshot{{Name: "c", LatencyObjective: 7, Deadline: 80, MeanLatency: 9,
			LatencyDeviation: 10, MeanCost: 11, LongestTimeout: 12}},
		Endpoints: []EndpointSnapshot{{ID: "s", StartTime: 13, Slowness: 1.4, LatencySamples: 15,
			EjectionLevel: 4, EjectionRemaining: 17}},
	}
	text, err := json.Marshal(snapshot)
	if err != nil || string(text) != stored {
		t.Errorf("error %v, stored as %s", err, text)
	}
}

// newBalancerWithHistory returns a Balancer with a history of each of 10,000 endpoints.
func newBalancerWithHistory(b *testing.B) (*Balancer, []Endpoint) {
	b.Helper()
	endpoints := testEndpoints(10_000)
	bal := newTestBalancer(b, withSnapshots)
	bal.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
	for i, e := range bal.endpoints.ready {
		e.latencySamples, e.slowness = 3, 0.1+float64(i)/1e5
	}
	return bal, endpoints
}

// BenchmarkSnapshot measures how long the host waits for a snapshot of 10,000 endpoints.
func BenchmarkSnapshot(b *testing.B) {
	bal, _ := newBalancerWithHistory(b)
	b.ResetTimer()
	for range b.N {
		bal.Snapshot(maxAge)
	}
}

// BenchmarkRestore measures how long it takes to decode and restore a snapshot of 10,000 endpoints.
func BenchmarkRestore(b *testing.B) {
	bal, endpoints := newBalancerWithHistory(b)
	text, err := json.Marshal(bal.Snapshot(maxAge))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(text))/float64(len(endpoints)), "bytes/server")
	settings := testSettings()
	withSnapshots(&settings)
	b.ResetTimer()
	for range b.N {
		var snapshot Snapshot
		if err := json.Unmarshal(text, &snapshot); err != nil {
			b.Fatal(err)
		}
		next, err := New(settings, 4)
		if err != nil {
			b.Fatal(err)
		}
		next.Handle(maxAge, Restore{Snapshot: snapshot})
		next.Handle(maxAge, EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints})
	}
}
