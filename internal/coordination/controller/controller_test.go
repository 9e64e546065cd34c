package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/fakeregistry"
	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

// fixture is an in-memory registry with controllers. Every test runs in a synctest bubble, which has its own clock.
type fixture struct {
	t        *testing.T
	registry *fakeregistry.Registry
}

// start starts a controller. The returned function stops it and waits until it has ended.
func (f *fixture) start(name string) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan struct{})
	c := &Controller{Name: name, TTL: time.Second, Log: slog.New(slog.DiscardHandler)}
	go func() {
		defer close(ended)
		c.run(ctx, f.registry)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-ended
	}
}

// write applies op and fails the test if the registry rejects it.
func (f *fixture) write(op state.Op) state.Result {
	f.t.Helper()
	result, err := f.registry.WriteOne(f.t.Context(), op)
	if err = errors.Join(err, result.Err()); err != nil {
		f.t.Fatal(err)
	}
	return result
}

// leader returns the name of the leader and the token of its lease, or zero values if there is no leader.
func (f *fixture) leader() (name string, token int64) {
	f.registry.Read(func(s *state.State) {
		if e := s.Get(LeaderUID); e != nil {
			name, token = e.Endpoint, e.Token
		}
	})
	return name, token
}

// poll waits until the controllers have polled the registry a few times.
func (f *fixture) poll() {
	time.Sleep(3 * pollInterval)
	synctest.Wait()
}

func TestOneControllerLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t, fakeregistry.New()}
		stopFirst := f.start("first")
		stopSecond := f.start("second")
		f.poll()
		name, token := f.leader()
		if name != "first" {
			t.Errorf("leader is %q, want first", name)
		}
		stopFirst()
		f.poll()
		if next, nextToken := f.leader(); next != "second" || nextToken <= token {
			t.Errorf("leader is %q with token %d, want second with a token above %d", next, nextToken, token)
		}
		stopSecond()
		if name, _ := f.leader(); name != "" {
			t.Errorf("leader is %q after all controllers have stopped", name)
		}
	})
}

// TestReacquiresExpiredLease checks that a controller whose lease has expired acquires a new one.
func TestReacquiresExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t, fakeregistry.New()}
		stop := f.start("c0")
		_, token := f.leader()
		f.write(state.Op{Kind: state.OpExpire, UID: LeaderUID, Token: token})
		f.poll()
		time.Sleep(time.Second) // until the next renewal, which discovers that the lease has expired
		f.poll()
		if name, next := f.leader(); name != "c0" || next <= token {
			t.Errorf("leader is %q with token %d, want c0 with a token above %d", name, next, token)
		}
		stop()
	})
}

// addNodes registers three nodes that run version 0, each in a zone of its own, and returns their tokens by UID.
func (f *fixture) addNodes() (tokens map[string]int64) {
	f.t.Helper()
	tokens = map[string]int64{}
	for i := range 3 {
		uid := fmt.Sprint("n", i)
		tokens[uid] = f.write(state.Op{Kind: state.OpRegister, Instance: &state.Instance{
			UID: uid, Endpoint: "10.0.1.1:80", Role: state.RoleNode, Tier: "front", Zone: string("abc"[i]), State: state.Serving, Capacity: 1,
		}}).Token
		f.write(state.Op{Kind: state.OpReport, UID: uid, Token: tokens[uid]})
	}
	return tokens
}

func TestStartsStagesAfterBakeTime(t *testing.T) {
	const bakeTime = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t, fakeregistry.New()}
		tokens := f.addNodes()
		defer f.start("c0")()
		number := f.write(state.Op{
			Kind: state.OpPropose, Value: json.RawMessage(`{}`), Stages: []float64{0.3, 1}, BakeMS: bakeTime.Milliseconds(),
		}).Token
		hash := state.ContentHash([]byte(`{}`))
		stage := func() (stage int, committed int64) {
			f.poll()
			f.registry.Read(func(s *state.State) { stage, committed = s.Rollout().StartedStages, s.Rollout().Committed.Number })
			return stage, committed
		}
		if got, _ := stage(); got != 0 {
			t.Errorf("%d stages have started without a quorum, want 0", got)
		}
		for uid, token := range tokens {
			f.write(state.Op{Kind: state.OpAcknowledge, UID: uid, Token: token, Number: number, Hash: hash})
		}
		if got, _ := stage(); got != 1 {
			t.Errorf("%d stages have started with a quorum, want 1", got)
		}
		f.write(state.Op{Kind: state.OpReport, UID: "n0", Token: tokens["n0"], Number: number, Hash: hash})
		if got, committed := stage(); got != 1 || committed != 0 {
			t.Errorf("before the bake time has elapsed: %d stages started, version %d committed, want 1 and 0", got, committed)
		}
		time.Sleep(bakeTime)
		if _, committed := stage(); committed != number {
			t.Errorf("version %d is committed after the bake time, want the proposed one", committed)
		}
	})
}

func TestRequestsPermitsOfRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t, fakeregistry.New()}
		half := 0.5
		f.write(state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &half}}}})
		for i := range 2 {
			f.write(state.Op{Kind: state.OpRegister, Instance: &state.Instance{
				UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:80", Tier: "web", State: state.Serving, Capacity: 1, Version: "v1",
			}})
		}
		plan := release.Plan{Name: "p", RecoveryTimeoutMS: 1000, Stages: [][]release.Step{{
			{Unit: "s0", FromVersion: "v1", ToVersion: "v2"}, {Unit: "s1", FromVersion: "v1", ToVersion: "v2"},
		}}}
		value, err := json.Marshal(plan)
		if err != nil {
			t.Fatal(err)
		}
		f.write(state.Op{Kind: state.OpPutRecord, Key: release.PlanKeyPrefix + plan.Name, Value: value})
		defer f.start("c0")()
		f.poll()
		f.registry.Read(func(s *state.State) {
			permits := s.Budget().Permits()
			if len(permits) != 1 || permits[0].Unit != "s0" || permits[0].Holder != "c0" || permits[0].TargetVersion != "v2" {
				t.Errorf("permits with a limit of one unavailable unit: %+v, want one for s0 to v2 held by c0", permits)
			}
			if s.Record(release.ProgressKeyPrefix+plan.Name) == nil {
				t.Error("the release has no progress record")
			}
		})
	})
}
