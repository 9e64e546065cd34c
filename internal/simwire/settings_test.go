package simwire

import (
	"os"
	"reflect"
	"testing"
	"time"

	"umberbank/balancer"
)

// Every key of the settings object sets its own field. The numbers in the file differ, so that swapped fields are
// detected.
func TestSettingsKeys(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, connections, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	want := balancer.Settings{
		Classes: []balancer.Class{
			{Name: "get", Effect: balancer.Idempotent, IdempotencyScope: balancer.ScopeAll, IdempotencyWindow: 31 * ms,
				LatencyObjective: 32 * ms, Deadline: 33 * ms, LateCredit: 0.34, PriorityWeight: 35, Streaming: true},
			{Name: "put", Effect: balancer.WithIdempotencyKey, IdempotencyScope: balancer.ScopeZone,
				IdempotencyWindow: 41 * ms, LatencyObjective: 42 * ms, Deadline: 43 * ms, LateCredit: 0.44,
				PriorityWeight: 45},
			{Name: "post", Effect: balancer.NonIdempotent, IdempotencyScope: balancer.ScopeCell,
				IdempotencyWindow: 51 * ms, LatencyObjective: 52 * ms, Deadline: 53 * ms, LateCredit: 0.54,
				PriorityWeight: 55},
		},
		Replicas: 2, ReplicaIndex: 1, Tier: 3, TotalValueWeight: 0.4, WorstClassWeight: 0.5,
		MaxAttempts: 6, Hedging: true, Cancellation: true, WeightKind: balancer.WeightApproximate,
		PollDiscovery: true, PollInterval: 7 * ms, Tick: 8 * ms, MaxRetryAfter: 9 * ms,
		SlowStart: balancer.SlowStart{InitialFraction: 0.11, Duration: 12 * ms, OverloadMultiple: 13,
			OverloadWindow: 14 * ms},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if want := (Connections{IdleTimeout: 15 * ms, ConnectTimeout: 16 * ms}); connections != want {
		t.Errorf("got %+v, want %+v", connections, want)
	}
}

func TestSettingsWeightKinds(t *testing.T) {
	for name, want := range map[string]balancer.WeightKind{
		"nominal": balancer.WeightNominal,
		"rough":   balancer.WeightApproximate,
		"live":    balancer.WeightLive,
		"":        balancer.WeightUnknown,
		"odd":     balancer.WeightUnknown,
	} {
		s, _, err := ParseSettings([]byte(`{"weights":"` + name + `"}`))
		if err != nil || s.WeightKind != want {
			t.Errorf("weights %q: got %v, %v, want %v", name, s.WeightKind, err, want)
		}
	}
}

func TestUnknownEffectIsNonIdempotent(t *testing.T) {
	const text = `{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1}`
	s, _, err := ParseSettings([]byte(text))
	if err != nil || s.Classes[0].Effect != balancer.NonIdempotent || s.Classes[1].Effect != balancer.Idempotent {
		t.Fatalf("got %+v, %v", s, err)
	}
}
