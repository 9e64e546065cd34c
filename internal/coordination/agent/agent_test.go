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

// fixture is an agent that is the unit itself, on a registry in memory. Every test runs in a bubble with its own time.
type fixture struct {
	t        *testing.T
	registry *fakeregistry.Registry
	agent    *Agent
	events   string // the event log's file
	stop     context.CancelFunc
	result   chan error // of Agent.run
}

// start starts an agent whose unit runs v1.
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

// write applies a write that must be applied, and lets the agent follow.
func (f *fixture) write(op state.Op) state.Result {
	f.t.Helper()
	result, err := f.registry.WriteOne(f.t.Context(), op)
	if err = errors.Join(err, result.Err()); err != nil {
		f.t.Fatal(err)
	}
	return result
}

// instance returns the unit as it is registered; nil: it is not.
func (f *fixture) instance() (e *state.Instance) {
	f.registry.Read(func(s *state.State) { e = s.Get(unitUID) })
	return e
}

// end stops the agent and returns what its run returned.
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
			t.Errorf("registered: %+v", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
		if e := f.instance(); e != nil {
			t.Errorf("still registered: %+v", e)
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
			t.Errorf("while it drains: %+v", e)
		}
		time.Sleep(f.agent.DrainTime)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v2" || e.Token <= before.Token || e.StartTimeMS <= before.StartTimeMS {
			t.Errorf("after the change: %+v, before %+v", e, before)
		}
		if version, err := os.ReadFile(f.agent.VersionFile); err != nil || string(version) != "v2" {
			t.Errorf("the stored version is %q, %v", version, err)
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

// A permit of a halted release does not begin, and the unit stays as it is.
func TestDoesNotChangeVersionOfHaltedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.write(state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + "p", Value: json.RawMessage(`{"why":"by staff"}`)})
		f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: f.instance().Token, Holder: "c0", Plan: "p", TargetVersion: "v2"})
		time.Sleep(10 * f.agent.DrainTime)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v1" {
			t.Errorf("%+v", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
	})
}

// A unit that drains for a permit to the version that it runs serves again: the release was rolled back before the unit was
// touched.
func TestServesAgainAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		permit := f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: f.instance().Token, Holder: "c0", Plan: "p-back", TargetVersion: "v1"})
		f.write(state.Op{Kind: state.OpBeginPermit, UID: unitUID, Token: permit.Token})
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v1" {
			t.Errorf("%+v", e)
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
			t.Errorf("the agent ended with %v", err)
		}
	})
}

// While the registry is unreachable the unit keeps running, and it follows permits once the registry is reachable again.
func TestRegistryUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		before := f.instance().Token
		f.registry.SetUnreachable(true)
		time.Sleep(time.Minute)
		f.registry.SetUnreachable(false)
		synctest.Wait()
		if e := f.instance(); e.Token != before || e.Version != "v1" {
			t.Errorf("after the partition: %+v", e)
		}
		f.write(state.Op{Kind: state.OpGrantPermit, UID: unitUID, Incarnation: before, Holder: "c0", TargetVersion: "v2"})
		time.Sleep(time.Minute)
		synctest.Wait()
		if e := f.instance(); e.State != state.Serving || e.Version != "v2" {
			t.Errorf("%+v", e)
		}
		if err := f.end(); err != nil {
			t.Error(err)
		}
	})
}

// A stored version takes precedence over the one that the agent was started with.
func TestStoredVersion(t *testing.T) {
	a := &Agent{Instance: state.Instance{Version: "v1"}, VersionFile: filepath.Join(t.TempDir(), "version")}
	for _, c := range []struct{ stored, want string }{{"", "v1"}, {"v7", "v7"}} {
		if err := os.WriteFile(a.VersionFile, []byte(c.stored), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := a.prepare(); err != nil || a.Instance.Version != c.want {
			t.Errorf("stored %q: %q, %v", c.stored, a.Instance.Version, err)
		}
	}
}
