package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"umberbank/balancer"
)

// A host passes an endpoint list, a request, an attempt that was not executed, and its retry to a
// Balancer.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Idempotent, IdempotencyScope: balancer.ScopeAll,
			LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, Tick: time.Millisecond,
		SlowStart: balancer.SlowStart{InitialFraction: 0.2, Duration: 10 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, balancer.EndpointUpdate{Full: true, Endpoints: []balancer.Endpoint{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	actions := b.Handle(now, balancer.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := actions[0].(balancer.Send)
	fmt.Println("sent", first.ID, "with a timeout of", first.Timeout)

	now += 3 * time.Millisecond
	actions = b.Handle(now, balancer.Outcome{ID: "r1", Attempt: 0, Endpoint: first.Endpoint,
		Result: balancer.Unreachable, Latency: 3 * time.Millisecond})
	second := actions[0].(balancer.Send)
	fmt.Println("retried at another endpoint:", second.Endpoint != first.Endpoint)

	now += 20 * time.Millisecond
	actions = b.Handle(now, balancer.Outcome{ID: "r1", Attempt: 1, Endpoint: second.Endpoint,
		Result: balancer.Success, Latency: 20 * time.Millisecond, RequestDone: true})
	fmt.Println("left to do:", len(actions))
	// Output:
	// sent r1 with a timeout of 1s
	// retried at another endpoint: true
	// left to do: 0
}

func BenchmarkHandle(bench *testing.B) {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Idempotent, LatencyObjective: time.Second,
			Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var endpoints []balancer.Endpoint
	for i := range 50 {
		endpoints = append(endpoints, balancer.Endpoint{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, balancer.EndpointUpdate{Full: true, Endpoints: endpoints})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(balancer.Send)
		b.Handle(now, balancer.Outcome{ID: id, Endpoint: s.Endpoint, Result: balancer.Success, RequestDone: true})
	}
}
