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

// fixture is a registry in memory with controllers. Every test runs in a bubble with its own time.
type fixture struct {
	t        *testing.T
	registry *fakeregistry.Registry
}

// start starts a controller, and returns a function that stops it and waits for its end.
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

// write applies a write that must be applied.
func (f *fixture) write(op state.Op) state.Result {
	f.t.Helper()
	result, err := f.registry.WriteOne(f.t.Context(), op)
	if err = errors.Join(err, result.Err()); err != nil {
		f.t.Fatal(err)
	}
	return result
}

// leader returns the name of the leading controller, and the token of its lease.
func (f *fixture) leader() (name string, token int64) {
	f.registry.Read(func(s *state.State) {
		if e := s.Get(LeaderUID); e != nil {
			name, token = e.Endpoint, e.Token
		}
	})
	return name, token
}

// poll lets controllers poll the registry a few times.
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
			t.Errorf("%q leads", name)
		}
		stopFirst()
		f.poll()
		if next, nextToken := f.leader(); next != "second" || nextToken <= token {
			t.Errorf("%q leads with the lease %d, after %d", next, nextToken, token)
		}
		stopSecond()
		if name, _ := f.leader(); name != "" {
			t.Errorf("%q has ended and leads", name)
		}
	})
}

// A controller whose lease has ended asks for another.
func TestLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t, fakeregistry.New()}
		stop := f.start("c0")
		_, token := f.leader()
		f.write(state.Op{Kind: state.OpExpire, UID: LeaderUID, Token: token})
		f.poll()
		time.Sleep(time.Second) // until the next renewal, which finds the lease ended
		f.poll()
		if name, next := f.leader(); name != "c0" || next <= token {
			t.Errorf("%q leads with the lease %d, after %d", name, next, token)
		}
		stop()
	})
}

// addNodes registers nodes that run version 0, one in each of three zones.
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
			t.Errorf("stage %d starts without a quorum", got)
		}
		for uid, token := range tokens {
			f.write(state.Op{Kind: state.OpAcknowledge, UID: uid, Token: token, Number: number, Hash: hash})
		}
		if got, _ := stage(); got != 1 {
			t.Errorf("%d stages have started with a quorum", got)
		}
		f.write(state.Op{Kind: state.OpReport, UID: "n0", Token: tokens["n0"], Number: number, Hash: hash})
		if got, committed := stage(); got != 1 || committed != 0 {
			t.Errorf("stage %d, version %d is committed before the bake time", got, committed)
		}
		time.Sleep(bakeTime)
		if _, committed := stage(); committed != number {
			t.Errorf("version %d is committed after the bake time", committed)
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
				t.Errorf("permits within a limit of one unit: %+v", permits)
			}
			if s.Record(release.ProgressKeyPrefix+plan.Name) == nil {
				t.Error("no progress is stored")
			}
		})
	})
}
