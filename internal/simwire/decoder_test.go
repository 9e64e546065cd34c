package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
)

const sampleBatch = "sync\t8412.25\nabout\t3\n" +
	"list\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\n" +
	"outcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

// decodeAll returns the messages of the input up to its end or the first error.
func decodeAll(t *testing.T, input string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(input))
	var messages []Message
	for {
		m, err := d.Next()
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func TestDecodeBatch(t *testing.T) {
	got, err := decodeAll(t, sampleBatch)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: BatchStart, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: Event, Instance: 3, Event: balancer.EndpointUpdate{Full: true, Cached: true, Endpoints: []balancer.Endpoint{
			{ID: "s:1", Zone: "z", Cell: 4, Weight: 1.5, StartTime: 6100500 * time.Microsecond}}}},
		{Kind: Event, Instance: 3, Event: balancer.Request{ID: "id", Class: "get", ClientRetry: true,
			CostHint: 12 * time.Millisecond, Deadline: 8652250 * time.Microsecond}},
		{Kind: Event, Instance: 3, Event: balancer.Outcome{ID: "id", Endpoint: "s:1", RequestDone: true,
			Latency: 18500 * time.Microsecond, Load: &balancer.LoadReport{ActiveRequests: 3, ServiceTime: -1}}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

func TestDecodeErrorNamesLineAndValue(t *testing.T) {
	for input, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is not a time",
		"sync\t1\nxyz\t1\n":                    "line 2: \"xyz\" before any about",
		"sync\t1\nabout\t1\nxyz\t1\n":          "line 3: unknown message \"xyz\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",
	} {
		if _, err := decodeAll(t, input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", input, err, want)
		}
	}
}

// Every message that carries an event is decoded with all its values.
func TestDecodeEventMessages(t *testing.T) {
	ready := balancer.Endpoint{ID: "s", Zone: "z", Cell: 4, Weight: 1.5, StartTime: 6 * time.Millisecond}
	removed, draining := ready, ready
	removed.State, draining.State = balancer.Removed, balancer.Draining
	const list = "list\t1\t3\nitem\ts\tz\tk\t4\t2\t1.5\t6\nitem\ts\tz\tk\t4\t1\t1.5\t6\nitem\ts\tz\tk\t4\t0\t1.5\t6\n"
	endpoints := []balancer.Endpoint{ready, removed, draining}
	request := balancer.Request{ID: "id", Class: "get", Deadline: 9 * time.Millisecond}
	requestWithCost, clientRetry := request, request
	requestWithCost.CostHint = 12 * time.Millisecond
	clientRetry.ClientRetry = true
	outcome := func(r balancer.Result) balancer.Event {
		return balancer.Outcome{ID: "id", Endpoint: "s", Latency: 2 * time.Millisecond, Attempt: 1, Result: r}
	}
	for text, want := range map[string]balancer.Event{
		list + "announce\t0\t1\t0":               balancer.EndpointUpdate{Endpoints: endpoints},
		list + "announce\t1\t1\t0":               balancer.EndpointUpdate{Full: true, Endpoints: endpoints},
		list + "announce\t2\t1\t0":               balancer.EndpointUpdate{Full: true, Cached: true, Endpoints: endpoints},
		"announce\t3\t0\t0":                      balancer.SubscriptionFailed{},
		"job_in\tid\t9\t-\tget\t0\t-\t12":        request,
		"job_in\tid\t9\t-\tget\t1\t-\t12":        requestWithCost,
		"job_in\tid\t9\t-\tget\t2\t-\t-":         clientRetry,
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
		"outcome\tid\ts\t2\t1\t0\tsuccess\tbusy_reqs:3,svc_ms:4": balancer.Outcome{
			ID: "id", Endpoint: "s", Latency: 2 * time.Millisecond, RequestDone: true,
			Load: &balancer.LoadReport{ActiveRequests: 3, ServiceTime: 4 * time.Millisecond}},
	} {
		got, err := decodeAll(t, "sync\t1\nabout\t0\n"+text+"\neob\n")
		if err != nil || len(got) != 3 || !reflect.DeepEqual(got[1], Message{Kind: Event, Event: want}) {
			t.Errorf("%q: %v, got %+v, want %+v", text, err, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleBatch)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(_ *testing.T, input string) {
		d := NewDecoder(strings.NewReader(input))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
