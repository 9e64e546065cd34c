// Package agent supervises the process of one unit. It starts the process, holds the unit's lease in the registry for as
// long as the process runs, and replaces the process when the target version of a permit is another one.
//
// The only state that an agent stores is the unit's version. Permits and releases are in the registry, so that a new agent
// can continue after the old one was killed at any point. An agent begins a permit with a write to the registry before it
// stops the process. The write fails if the agent cannot reach the registry, if the permit has ended, or if the release was
// halted before the permit began. The process then keeps running.
//
// An [Agent] runs in the goroutine that calls [Agent.Run]. A second goroutine renews the lease until the renewal is stopped, and
// a third one waits for the process to exit.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"os"
	"time"

	"github.com/google/renameio/v2"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// Agent supervises one unit. The exported fields must be set before Run and not be changed after.
type Agent struct {
	Registry    []string       // addresses of the replicas, host:port
	Instance    state.Instance // of the unit; Run sets the start time, state and TTL, and a stored or changed version
	TTL         time.Duration  // of the unit's lease
	Command     []string       // starts the process, with {version} replaced; empty if the agent only holds the lease
	ReadyURL    string         // returns status 200 once the process is ready; if empty, the process counts as ready after 500 ms
	DrainTime   time.Duration  // from the start of draining until the process is stopped
	StopTimeout time.Duration  // from SIGTERM until the process is killed
	VersionFile string         // keeps the version across restarts of the agent; empty to start with Instance.Version each time
	Events      *eventlog.Log  // nil if events are not to be recorded
	Log         *slog.Logger
	Clock       func() time.Time // defaults to time.Now
	Dial        client.DialFunc  // defaults to that of [client.Options]

	registry       registry
	newLeaseHolder func() leaseHolder
	holder         leaseHolder        // of the unit's lease
	stopLease      context.CancelFunc // stops the renewal of the lease, nil if the lease is not being renewed
	process        *process           // nil if the agent has not started a process or has stopped it
}

// registry is the part of the registry's client that an agent uses. [client.Client] implements it.
type registry interface {
	PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error)
	Write(ctx context.Context, ops ...state.Op) ([]state.Result, error)
	WriteOne(ctx context.Context, op state.Op) (state.Result, error)
	NextStartTime(ctx context.Context, uid string, clock time.Time) (float64, error)
}

// leaseHolder registers the unit and renews its lease. [client.LeaseHolder] implements it.
type leaseHolder interface {
	Register(ctx context.Context, instances ...*state.Instance) error
	Token(uid string) int64
	Run(ctx context.Context, ttl time.Duration)
}

const (
	readyTimeout      = 10 * time.Second       // of waiting for the process to be ready, and of registering the unit
	restartDelay      = time.Second            // after a failure to start or register the unit
	pollWait          = time.Second            // longest time that a poll of the registry waits for a change
	deregisterTimeout = time.Second            // of the write that removes the unit at shutdown
	maxBackoff        = 300 * time.Millisecond // longest delay between two attempts to reach the registry
)

// Run keeps the unit running until ctx ends. It then removes the unit from the registry and stops the process. The error wraps
// [client.ErrFenced] if another agent has registered the same unit. Run also fails if a.Registry is invalid, if the stored
// version cannot be read, or if the unit cannot be removed from the registry.
func (a *Agent) Run(ctx context.Context) error {
	registry, err := client.New(client.Options{Endpoints: a.Registry, MaxBackoff: maxBackoff, Dial: a.Dial})
	if err != nil {
		return err
	}
	return a.run(ctx, registry, func() leaseHolder { return client.NewLeaseHolder(registry) })
}

// run implements Run with the given registry and lease holder.
func (a *Agent) run(ctx context.Context, r registry, newLeaseHolder func() leaseHolder) error {
	a.registry, a.newLeaseHolder = r, newLeaseHolder
	if err := a.prepare(); err != nil {
		return err
	}
	defer a.stopUnit()
	if err := a.serve(ctx); err != nil {
		return err
	}
	return a.deregister(ctx)
}

// prepare sets defaults and reads the stored version.
func (a *Agent) prepare() error {
	if a.Clock == nil {
		a.Clock = time.Now
	}
	a.Instance.TTLMS = a.TTL.Milliseconds()
	if a.VersionFile == "" {
		return nil
	}
	version, err := os.ReadFile(a.VersionFile)
	switch {
	case err == nil && len(version) > 0:
		a.Instance.Version = string(version)
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return err
	}
	return nil
}

// serve keeps the unit running and carries out its permits until ctx ends or another agent has registered the unit.
func (a *Agent) serve(ctx context.Context) error {
	var revision int64
	for ctx.Err() == nil {
		err := a.ensureServing(ctx)
		if errors.Is(err, client.ErrFenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			a.Log.Warn("unit is not serving", "unit", a.Instance.UID, "version", a.Instance.Version, "error", err)
			sleep(ctx, restartDelay)
		}
		view, err := a.registry.PollCoordination(ctx, url.Values{"unit": {a.Instance.UID}}, revision, pollWait)
		if err != nil {
			revision = 0
			continue
		}
		revision = view.Revision
		if len(view.Permits) == 1 && len(view.Units) == 1 {
			a.followPermit(ctx, view.Permits[0], view.Units[0])
		}
	}
	return nil
}

// ensureServing starts the process if it is not running, and registers the unit if its lease is not being renewed. The error
// wraps [client.ErrFenced] if another agent has registered the unit.
func (a *Agent) ensureServing(ctx context.Context) error {
	if a.process != nil && a.process.hasExited() {
		a.Log.Warn("unit process exited", "unit", a.Instance.UID, "error", a.process.err)
		a.stopUnit()
	}
	if a.process == nil {
		if err := a.startProcess(ctx); err != nil {
			return err
		}
	}
	if a.stopLease == nil {
		return a.register(ctx)
	}
	if a.holder.Token(a.Instance.UID) == 0 {
		return client.ErrFenced
	}
	return nil
}

// startProcess starts the unit's process and waits until it is ready.
func (a *Agent) startProcess(ctx context.Context) error {
	p, err := startProcess(a.Command, a.Instance.Version)
	if err != nil {
		return err
	}
	if err := p.waitReady(ctx, a.ReadyURL); err != nil {
		p.stop(a.StopTimeout)
		return err
	}
	a.process = p
	a.Instance.StartTimeMS = 0
	a.appendEvent(eventlog.Event{Kind: eventlog.UnitStarted, Version: a.Instance.Version})
	return nil
}

// register registers the unit and starts to renew its lease.
func (a *Agent) register(ctx context.Context) error {
	if a.Instance.StartTimeMS == 0 {
		startTime, err := a.registry.NextStartTime(ctx, a.Instance.UID, a.Clock())
		if err != nil {
			return err
		}
		a.Instance.StartTimeMS = startTime
	}
	a.Instance.State = state.Serving
	instance := a.Instance
	a.holder = a.newLeaseHolder()
	registering, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := a.holder.Register(registering, &instance); err != nil {
		return err
	}
	renewing, stop := context.WithCancel(ctx)
	a.stopLease = stop
	go a.holder.Run(renewing, a.TTL)
	return nil
}

// deregister removes the unit from the registry. It does nothing if the unit's lease is not being renewed.
func (a *Agent) deregister(ctx context.Context) error {
	if a.stopLease == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	uid := a.Instance.UID
	_, err := a.registry.Write(ctx, state.Op{Kind: state.OpRemove, UID: uid, Token: a.holder.Token(uid)})
	return err
}

// followPermit changes the unit's version to the permit's target version. If the change was rolled back before the process
// was stopped, it returns the unit to service instead. A write that fails is retried after the next poll.
func (a *Agent) followPermit(ctx context.Context, p *disruption.Permit, instance *state.Instance) {
	if a.isRolledBack(p, instance) {
		_, _ = a.registry.WriteOne(ctx, state.Op{Kind: state.OpUpdate, UID: p.Unit, Token: a.holder.Token(p.Unit), State: state.Serving})
		return
	}
	if p.TargetVersion == "" || p.TargetVersion == a.Instance.Version {
		return
	}
	sentAt := eventlog.Now()
	result, err := a.registry.WriteOne(ctx, state.Op{Kind: state.OpBeginPermit, UID: p.Unit, Token: p.Token})
	if err != nil || result.Code != "" {
		return
	}
	a.appendEvent(eventlog.Event{Kind: eventlog.PermitBegun, Plan: p.Plan, Token: p.Token, Version: p.TargetVersion,
		SentAt: sentAt})
	a.changeVersion(ctx, p.TargetVersion)
}

// isRolledBack reports whether the permit's change was rolled back before the process was stopped: the unit is draining for
// a change to the version that it already runs.
func (a *Agent) isRolledBack(p *disruption.Permit, instance *state.Instance) bool {
	return p.TargetVersion == a.Instance.Version && p.Begun && instance.State == state.Draining &&
		instance.StartTimeMS == a.Instance.StartTimeMS && a.stopLease != nil
}

// changeVersion waits for the drain time, stops the unit and stores its next version. The process of that version is started
// by the next call of ensureServing.
func (a *Agent) changeVersion(ctx context.Context, version string) {
	a.Log.Info("changing version", "unit", a.Instance.UID, "from", a.Instance.Version, "to", version)
	if a.process != nil {
		sleep(ctx, a.DrainTime)
	}
	a.stopUnit()
	a.Instance.Version = version
	if a.VersionFile == "" {
		return
	}
	if err := renameio.WriteFile(a.VersionFile, []byte(version), 0o600); err != nil {
		a.Log.Error("cannot store version", "unit", a.Instance.UID, "error", err)
	}
}

// stopUnit stops the renewal of the unit's lease, and then the unit's process.
func (a *Agent) stopUnit() {
	if a.stopLease != nil {
		a.stopLease()
		a.stopLease = nil
	}
	if a.process == nil {
		return
	}
	a.appendEvent(eventlog.Event{Kind: eventlog.UnitStopped, Version: a.Instance.Version})
	a.process.stop(a.StopTimeout)
	a.process = nil
}

func (a *Agent) appendEvent(e eventlog.Event) {
	e.Process, e.Unit = a.Instance.UID, a.Instance.UID
	if err := a.Events.Append(e); err != nil {
		a.Log.Error("cannot append event", "error", err)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
