package simwire

import (
	"bytes"
	"testing"
	"time"

	"umberbank/balancer"
)

// Consecutive actions of the same instance share one "instance" line.
func TestEncodeReply(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Action(3, balancer.Send{ID: "a", Endpoint: "s", Timeout: 80500 * time.Microsecond})
	e.Action(3, balancer.Cancel{ID: "a", Attempt: 1})
	e.Action(5, balancer.Reject{ID: "b"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	const want = "instance\t3\nforward\ta\ts\t80.5\nretract\ta\t1\ninstance\t5\nturn_away\tb\t0\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}

// Every action is encoded with all its values.
func TestEncodeActionMessages(t *testing.T) {
	for want, action := range map[string]balancer.Action{
		"forward\tid\ts\t80.5\n": balancer.Send{ID: "id", Endpoint: "s", Timeout: 80500 * time.Microsecond},
		"retract\tid\t2\n":       balancer.Cancel{ID: "id", Attempt: 2},
		"turn_away\tid\t3\n":     balancer.Reject{ID: "id", RetryAfter: 3 * time.Millisecond},
		"report_failure\tid\n":   balancer.Fail{ID: "id"},
		"remind\t4.25\tr:id\n":   balancer.SetTimer{At: 4250 * time.Microsecond, Token: "r:id"},
		"subscribe\t1\n":         balancer.Subscribe{},
	} {
		var out bytes.Buffer
		e := NewEncoder(&out)
		e.Action(7, action)
		if err := e.Flush(); err != nil {
			t.Fatal(err)
		}
		if got, want := out.String(), "instance\t7\n"+want+"yield\n"; got != want {
			t.Errorf("%T: got %q, want %q", action, got, want)
		}
	}
}
