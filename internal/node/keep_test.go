package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/durable"
)

// What the configuration may say of the state, and how a fault of it is worded.
func TestParseState(t *testing.T) {
	for text, want := range map[string]struct {
		state State
		fault string
	}{
		"":                 {State{}, ""},
		"null":             {State{}, ""},
		`{"every_ms": 50}`: {State{}, ""}, // nowhere to keep it
		`{"dir": "d"}`:     {State{"d", time.Second, time.Minute}, ""},
		`{"dir":"d","every_ms":250,"max_age_ms":1500.5}`: {State{"d", 250 * time.Millisecond, 1500500 * time.Microsecond}, ""},
		`{"dir":"d","every_ms":0}`:                       {State{}, "state.every_ms: 0 is no time"},
		`{"dir":"d","max_age_ms":-3}`:                    {State{}, "state.max_age_ms: -3 is no time"},
		`{"dir":"d","max_age_ms":1e300}`:                 {State{}, "state.max_age_ms: 1e+300 is no time"},
		`{"dir":7}`:                                      {State{}, "state: json"},
	} {
		got, err := parseState([]byte(text))
		if got != want.state || (err == nil) != (want.fault == "") || err != nil && !strings.HasPrefix(err.Error(), want.fault) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

// What one snapshot of 10,000 servers costs beside the loop; the node rests for keepShare times as long after it.
func BenchmarkSave(b *testing.B) {
	m := balancer.Snapshot{LimitPerEndpoint: 4}
	for i := range 10_000 {
		m.Endpoints = append(m.Endpoints, balancer.EndpointSnapshot{ID: fmt.Sprintf("s-%08x", i*7919), Slowness: 0.1 + float64(i)/1e5, LatencySamples: 3})
	}
	k := &keeper{opt: durable.Options{Dir: b.TempDir(), Kind: StateKind, Schema: stateSchema, MaxPayload: maxState}}
	var took time.Duration
	for range b.N {
		d, err := k.save(func() (balancer.Snapshot, bool) { return m, true })
		if err != nil {
			b.Fatal(err)
		}
		took += d
	}
	per := took.Seconds() / float64(b.N)
	b.ReportMetric(per*1000, "ms-words/op")
	b.ReportMetric(100*per/max(defaultEvery.Seconds(), keepShare*per), "%core")
}
