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
			{Name: "get", Effect: balancer.Safe, Scope: balancer.ScopeAll, Window: 31 * ms1, Aim: 32 * ms1,
				Deadline: 33 * ms1, LateShare: 0.34, Worth: 35, Stream: true},
			{Name: "put", Effect: balancer.Keyed, Scope: balancer.ScopeZone, Window: 41 * ms1, Aim: 42 * ms1,
				Deadline: 43 * ms1, LateShare: 0.44, Worth: 45},
			{Name: "post", Effect: balancer.Unsafe, Scope: balancer.ScopeCell, Window: 51 * ms1, Aim: 52 * ms1,
				Deadline: 53 * ms1, LateShare: 0.54, Worth: 55},
		},
		Balancers: 2, Index: 1, Tier: 3, WholeWeight: 0.4, ClassWeight: 0.5,
		MaxAttempts: 6, SecondCopies: true, MayCancel: true, Sizes: balancer.SizesRough,
		AskDiscovery: true, AskWithin: 7 * ms1, Tick: 8 * ms1, MaxRetryAfter: 9 * ms1,
		ColdFrom: 0.11, WarmAfter: 12 * ms1, FallMultiple: 13, FallFor: 14 * ms1,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if want := (Connections{Idle: 15 * ms1, ConnectWithin: 16 * ms1}); conns != want {
		t.Errorf("got %+v, want %+v", conns, want)
	}
	for name, kind := range map[string]balancer.Sizes{"nominal": balancer.SizesNominal, "rough": balancer.SizesRough,
		"live": balancer.SizesLive, "": balancer.SizesUnknown, "odd": balancer.SizesUnknown} {
		if s, _, err := ParseSettings([]byte(`{"weights":"` + name + `"}`)); err != nil || s.Sizes != kind {
			t.Errorf("weights %q: %v, %v", name, s.Sizes, err)
		}
	}
}

// Every message that carries an event, with all its values.
func TestEventMessages(t *testing.T) {
	server := balancer.Server{ID: "s", Zone: "z", Cell: 4, Size: 1.5, Boot: 6 * ms1}
	gone, draining := server, server
	gone.State, draining.State = balancer.Gone, balancer.Draining
	const list = "list\t1\t3\nitem\ts\tz\tk\t4\t2\t1.5\t6\nitem\ts\tz\tk\t4\t1\t1.5\t6\nitem\ts\tz\tk\t4\t0\t1.5\t6\n"
	servers := []balancer.Server{server, gone, draining}
	outcome := func(e balancer.Ending) balancer.Event {
		return balancer.Outcome{ID: "id", Server: "s", Latency: 2 * ms1, Attempt: 1, Ending: e}
	}
	for text, want := range map[string]balancer.Event{
		list + "announce\t0\t1\t0":               balancer.ServerList{Servers: servers},
		list + "announce\t1\t1\t0":               balancer.ServerList{Full: true, Servers: servers},
		list + "announce\t2\t1\t0":               balancer.ServerList{Full: true, Cached: true, Servers: servers},
		"announce\t3\t0\t0":                      balancer.ListFailed{},
		"job_in\tid\t9\t-\tget\t0\t-\t12":        balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1},
		"job_in\tid\t9\t-\tget\t1\t-\t12":        balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1, Cost: 12 * ms1},
		"job_in\tid\t9\t-\tget\t2\t-\t-":         balancer.Request{ID: "id", Class: "get", Deadline: 9 * ms1, Repeat: true},
		"ring\tr:x":                              balancer.Timer{Token: "r:x"},
		"timed_out_client\tid":                   balancer.ClientGone{ID: "id"},
		"flowing\tid\t-\t-\t1":                   balancer.Started{ID: "id", Attempt: 1},
		"outcome\tid\ts\t2\t0\t1\tsuccess\t-":    outcome(balancer.Success),
		"outcome\tid\ts\t2\t0\t1\tfailure":       outcome(balancer.Failure),
		"outcome\tid\ts\t2\t0\t1\toverloaded\t-": outcome(balancer.Overloaded),
		"outcome\tid\ts\t2\t0\t1\ttimed_out":     outcome(balancer.TimedOut),
		"outcome\tid\ts\t2\t0\t1\tunreachable":   outcome(balancer.Unreachable),
		"outcome\tid\ts\t2\t0\t1\tbroken":        outcome(balancer.Broken),
		"outcome\tid\ts\t2\t0\t1\twithdrawn":     outcome(balancer.Withdrawn),
		"outcome\tid\ts\t2\t0\t1\tvoid":          outcome(balancer.Void),
		"outcome\tid\ts\t2\t1\t0\tsuccess\tbusy_reqs:3,svc_ms:4": balancer.Outcome{ID: "id", Server: "s", Latency: 2 * ms1,
			Ended: true, Load: &balancer.Load{Busy: 3, Service: 4 * ms1}},
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
		"forward\tid\ts\t80.5\n": balancer.Send{ID: "id", Server: "s", Timeout: 80500 * time.Microsecond},
		"retract\tid\t2\n":       balancer.Cancel{ID: "id", Attempt: 2},
		"turn_away\tid\t3\n":     balancer.Refuse{ID: "id", RetryAfter: 3 * ms1},
		"report_failure\tid\n":   balancer.Fail{ID: "id"},
		"remind\t4.25\tr:id\n":   balancer.Wake{At: 4250 * time.Microsecond, Token: "r:id"},
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
