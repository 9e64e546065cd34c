package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/coordination/fakeregistry"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

const unitUID = "s1"

// fixture is an agent without a process, on an in-memory registry. Every test runs in a synctest bubble, which has its own
// clock.
type fixture struct {
	t        *testing.T
	registry *fakeregistry.Registry
	agent    *Agent
	events   string // path of the event log
	stop     context.CancelFunc
	result   chan error // of Agent.run
}

// start starts the agent of a unit that runs v1.
func start(t *testing.T) *fixture {
	t.Helper()
	dir := t.TempDir()
	f := &fixture{t: t, registry: fakeregistry.New(), events: filepath.Join(dir, "events"), result: make(chan error, 1)}
	log, err := eventlog.Open(f.events)
	if err != nil {
		t.Fatal(err)
	}
	f.agent = &Agent{
		Instance:  state.Instance{UID: unitUID, Endpoint: "10.0.0.1:3000", Tier: "web", Version: "v1", Capacity: 1},
		TTL:       time.Second,
		DrainTime: 100 * time.Millisecond, VersionFile: filepath.Join(dir, "version"),
		Events: log, Log: slog.New(slog.DiscardHandler),
	}
	total := 1.0
	f.write(state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &total}}}})
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() {
		f.result <- f.agent.run(ctx, f.registry, func() leaseHolder { return &fakeregistry.LeaseHolder{Registry: f.registry} })
	}()
	synctest.Wait()
	return f
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

// instance returns the unit's registered instance, nil if the unit is not registered.
func (f *fixture) instance() (e *state.Instance) {
	f.registry.Read(func(s *state.State) { e = s.Get(unitUID) })
	return e
}

// end stops the agent and returns the error of its run.
func (f *fixture) end() error {
	f.stop()
	return <-f.result
}

// kinds returns the kinds of events that the agent has logged.
func (f *fixture) kinds() (kinds []eventlog.Kind) {
	f.t.Helper()
	file, err := os.Open(f.events)
	if err != nil {
		f.t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e eventlog.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			f.t.Fatal(err)
		}
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

func TestRegistersAndDeregisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		if e := f.instance(); e == nil || e.State != state.Serving || e.Version != "v1" || e.TTLMS != 1000 || e.StartTimeMS == 0 {
			t.Errorf("registered instance: %+v, want v1 serving with a TTL of 1000 ms and a start time", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
		if e := f.instance(); e != nil {
			t.Errorf("instance after the agent has ended: %+v, want none", e)
		}
		if want := []eventlog.Kind{eventlog.UnitStarted, eventlog.UnitStopped}; !slices.Equal(f.kinds(), want) {
			t.Errorf("events: %v, want %v", f.kinds(), want)
		}
	})
}

func TestChangesVersionByPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		before := f.instance()
		f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: before.Token, Holder: "c0", Plan: "p", TargetVersion: "v2"})
		synctest.Wait()
		if e := f.instance(); e.State != state.Draining || e.Version != "v1" {
			t.Errorf("instance during the drain time: %+v, want v1 draining", e)
		}
		time.Sleep(f.agent.DrainTime)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v2" || e.Token <= before.Token || e.StartTimeMS <= before.StartTimeMS {
			t.Errorf("instance after the change: %+v, want a later incarnation that serves v2; before: %+v", e, before)
		}
		if version, err := os.ReadFile(f.agent.VersionFile); err != nil || string(version) != "v2" {
			t.Errorf("stored version is %q (error %v), want v2", version, err)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
		want := []eventlog.Kind{eventlog.UnitStarted, eventlog.PermitBegun, eventlog.UnitStopped, eventlog.UnitStarted, eventlog.UnitStopped}
		if !slices.Equal(f.kinds(), want) {
			t.Errorf("events: %v, want %v", f.kinds(), want)
		}
	})
}

// TestDoesNotChangeVersionOfHaltedRelease checks that a permit of a halted release does not begin and the unit keeps serving
// its version.
func TestDoesNotChangeVersionOfHaltedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.write(state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + "p", Value: json.RawMessage(`{"why":"by staff"}`)})
		f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: f.instance().Token, Holder: "c0", Plan: "p", TargetVersion: "v2"})
		time.Sleep(10 * f.agent.DrainTime)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v1" {
			t.Errorf("instance: %+v, want v1 serving", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
	})
}

// TestServesAgainAfterRollback checks that a unit returns to service if it drains for a change to the version that it already
// runs. This happens when a release is rolled back before the agent has stopped the process.
func TestServesAgainAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		permit := f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: f.instance().Token, Holder: "c0", Plan: "p-back", TargetVersion: "v1"})
		f.write(state.Op{Kind: state.OpBeginPermit, UID: unitUID, Token: permit.Token})
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v1" {
			t.Errorf("instance: %+v, want v1 serving", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
	})
}

func TestEndsWhenAnotherAgentRegisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		another := *f.instance()
		another.StartTimeMS++
		f.write(state.Op{Kind: state.OpRegister, Instance: &another})
		if err := <-f.result; !errors.Is(err, client.ErrFenced) {
			t.Errorf("agent ended with error %v, want ErrFenced", err)
		}
	})
}

// TestRegistryUnreachable checks that the unit keeps running while the registry is unreachable, and that the agent carries out
// permits once the registry is reachable again.
func TestRegistryUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		before := f.instance().Token
		f.registry.SetUnreachable(true)
		time.Sleep(time.Minute)
		f.registry.SetUnreachable(false)
		synctest.Wait()
		if e := f.instance(); e.Token != before || e.Version != "v1" {
			t.Errorf("instance after the partition: %+v, want the same incarnation of v1", e)
		}
		f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: before, Holder: "c0", TargetVersion: "v2"})
		time.Sleep(time.Minute)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v2" {
			t.Errorf("instance after the permit: %+v, want v2 serving", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
	})
}

// TestStoredVersion checks that a stored version takes precedence over the version that the agent was started with.
func TestStoredVersion(t *testing.T) {
	a := &Agent{Instance: state.Instance{Version: "v1"}, VersionFile: filepath.Join(t.TempDir(), "version")}
	for _, c := range []struct{ stored, want string }{{"", "v1"}, {"v7", "v7"}} {
		if err := os.WriteFile(a.VersionFile, []byte(c.stored), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := a.prepare(); err != nil || a.Instance.Version != c.want {
			t.Errorf("version after %q was stored: got %q (error %v)", c.stored, a.Instance.Version, err)
		}
	}
}
