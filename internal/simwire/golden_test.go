package simwire

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"umberbank/balancer"
)

const ms1 = time.Millisecond

// Every key of the settings object, each with a value of its own.
func TestSettingsKeys(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, conns, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	want := balancer.Settings{
		Classes: []balancer.Class{
			{Name: "get", Effect: balancer.Idempotent, IdempotencyScope: balancer.ScopeAll, IdempotencyWindow: 31 * ms1, LatencyObjective: 32 * ms1,
				Deadline: 33 * ms1, LateCredit: 0.34, PriorityWeight: 35, Streaming: true},
			{Name: "put", Effect: balancer.WithIdempotencyKey, IdempotencyScope: balancer.ScopeZone, IdempotencyWindow: 41 * ms1, LatencyObjective: 42 * ms1,
				Deadline: 43 * ms1, LateCredit: 0.44, PriorityWeight: 45},
			{Name: "post", Effect: balancer.NonIdempotent, IdempotencyScope: balancer.ScopeCell, IdempotencyWindow: 51 * ms1, LatencyObjective: 52 * ms1,
				Deadline: 53 * ms1, LateCredit: 0.54, PriorityWeight: 55},
		},
		Replicas: 2, ReplicaIndex: 1, Tier: 3, TotalValueWeight: 0.4, WorstClassWeight: 0.5,
		MaxAttempts: 6, Hedging: true, Cancellation: true, WeightKind: balancer.WeightApproximate,
		PollDiscovery: true, PollInterval: 7 * ms1, Tick: 8 * ms1, MaxRetryAfter: 9 * ms1,
		SlowStart: balancer.SlowStart{InitialFraction: 0.11, Duration: 12 * ms1,
			OverloadMultiple: 13, OverloadWindow: 14 * ms1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if want := (Connections{IdleTimeout: 15 * ms1, ConnectTimeout: 16 * ms1}); conns != want {
		t.Errorf("got %+v, want %+v", conns, want)
	}
	for name, kind := range map[string]balancer.WeightKind{"nominal": balancer.WeightNominal, "rough": balancer.WeightApproximate,
		"live": balancer.WeightLive, "": balancer.WeightUnknown, "odd": balancer.WeightUnknown} {
		if s, _, err := ParseSettings([]byte(`{"weights":"` + name + `"}`)); err != nil || s.WeightKind != kind {
			t.Errorf("weights %q: %v, %v", name, s.WeightKind, err)
		}
	}
}

// Every message that carries an event, with all its values.
func TestEventMessages(t *testing.T) {
	server := balancer.Endpoint{ID: "s", Zone: "z", Cell: 4, Weight: 1.5, StartTime: 6 * ms1}
	gone, draining := server, server
	gone.State, draining.State = balancer.Removed, balancer.Draining
	const list = "list\t1\t3\nitem\ts\tz\tk\t4\t2\t1.5\t6\nitem\ts\tz\tk\t4\t1\t1.5\t6\nitem\ts\tz\tk\t4\t0\t1.5\t6\n"
	servers := []balancer.Endpoint{server, gone, draining}
	outcome := func(e balancer.Result) balancer.Event {
		return balancer.Outcome{ID: "id", Endpoint: "s", Latency: 2 * ms1, Attempt: 1, Result: e}
	}
	for text, want := range map[string]balancer.Event{
		list + "announce\t0\t1\t0":               balancer.EndpointUpdate{Endpoints: servers},
		list + "announce\t1\t1\t0":               balancer.EndpointUpdate{Full: true, Endpoints: servers},
		list + "announce\t2\t1\t0":               balancer.EndpointUpdate{Full: true, Cached: true, Endpoints: servers},
		"announce\t3\t0\t0":                      balancer.SubscriptionFailed{},
		"job_in\tid\t9\t-\tget\t0\t-\t12":        balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1},
		"job_in\tid\t9\t-\tget\t1\t-\t12":        balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1, CostHint: 12 * ms1},
		"job_in\tid\t9\t-\tget\t2\t-\t-":         balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1, ClientRetry: true},
		"ring\tr:x":                              balancer.TimerFired{Token: "r:x"},
		"timed_out_client\tid":                   balancer.ClientDisconnected{ID: "id"},
		"flowing\tid\t-\t-\t1":                   balancer.ResponseStarted{ID: "id", Attempt: 1},
		"outcome\tid\ts\t2\t0\t1\tsuccess\t-":    outcome(balancer.Success),
		"outcome\tid\ts\t2\t0\t1\tfailure":       outcome(balancer.Failure),
		"outcome\tid\ts\t2\t0\t1\toverloaded\t-": outcome(balancer.Overloaded),
		"outcome\tid\ts\t2\t0\t1\ttimed_out":     outcome(balancer.TimedOut),
		"outcome\tid\ts\t2\t0\t1\tunreachable":   outcome(balancer.Unreachable),
		"outcome\tid\ts\t2\t0\t1\tbroken":        outcome(balancer.ConnectionLost),
		"outcome\tid\ts\t2\t0\t1\twithdrawn":     outcome(balancer.Cancelled),
		"outcome\tid\ts\t2\t0\t1\tvoid":          outcome(balancer.NotSent),
		"outcome\tid\ts\t2\t1\t0\tsuccess\tbusy_reqs:3,svc_ms:4": balancer.Outcome{ID: "id", Endpoint: "s", Latency: 2 * ms1,
			RequestDone: true, Load: &balancer.LoadReport{ActiveRequests: 3, ServiceTime: 4 * ms1}},
	} {
		l, err := all(t, "sync\t1\nabout\t0\n"+text+"\neob\n")
		if err != nil || len(l) != 3 || !reflect.DeepEqual(l[1], Message{Kind: Event, Event: want}) {
			t.Errorf("%q: %v, got %+v, want %+v", text, err, l, want)
		}
	}
}

// Every message that carries an action, with all its values.
func TestActionMessages(t *testing.T) {
	for want, a := range map[string]balancer.Action{
		"forward\tid\ts\t80.5\n": balancer.Send{ID: "id", Endpoint: "s", Timeout: 80500 * time.Microsecond},
		"retract\tid\t2\n":       balancer.Cancel{ID: "id", Attempt: 2},
		"turn_away\tid\t3\n":     balancer.Reject{ID: "id", RetryAfter: 3 * ms1},
		"report_failure\tid\n":   balancer.Fail{ID: "id"},
		"remind\t4.25\tr:id\n":   balancer.SetTimer{At: 4250 * time.Microsecond, Token: "r:id"},
		"subscribe\t1\n":         balancer.Subscribe{},
	} {
		var out bytes.Buffer
		e := NewEncoder(&out)
		e.Action(7, a)
		if err := e.Flush(); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != "instance\t7\n"+want+"yield\n" {
			t.Errorf("%T: %q", a, got)
		}
	}
}
