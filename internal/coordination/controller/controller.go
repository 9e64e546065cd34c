// Package controller drives releases and rollouts of settings. Any number of controllers may run at the same time. Only the
// leader, which is the controller that holds the leader lease in the registry, sends the writes of releases and rollouts.
//
// A controller keeps no state on disk. All state that must survive is in the registry, so that another controller can take over
// at any point. Every write of a release or a rollout is fenced by the leader lease: the registry does not apply one that
// arrives after the lease has ended.
//
// A [Controller] runs in the goroutine that calls [Controller.Run].
package controller

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/coordination/release"
	"umberbank/internal/coordination/rollout"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// LeaderUID is the UID of the instance that the leader registers. The lease of this instance is the leader lease.
const LeaderUID = "controller"

// ReadView reads the registry's complete view of budgets, releases and rollouts, including the units. The read is
// consistent: it includes every write that was committed before the call.
func ReadView(ctx context.Context, c *client.Client) (*state.CoordinationView, error) {
	query := url.Values{"consistent": {"1"}, "units": {"1"}, "lead": {LeaderUID}}
	var v state.CoordinationView
	return &v, c.Call(ctx, http.MethodGet, api.PathCoordination+"?"+query.Encode(), nil, &v)
}

// Controller is one of the controllers of a registry. The exported fields must be set before Run and not be changed after.
type Controller struct {
	Registry []string // addresses of the replicas, host:port
	Name     string
	TTL      time.Duration // of the leader lease
	Events   *eventlog.Log // nil if events are not to be recorded
	Log      *slog.Logger

	registry  registry
	token     int64     // of the leader lease, 0 if this controller is not the leader
	renewedAt time.Time // when the last successful renewal, or the last attempt to acquire the lease, was sent
	scheduler release.Scheduler
	bakeTimer rollout.BakeTimer
}

const (
	pollInterval      = 200 * time.Millisecond // longest time that a poll waits for a change
	renewalsPerTTL    = 3
	deregisterTimeout = time.Second            // of the write that releases the leader lease at shutdown
	maxBackoff        = 300 * time.Millisecond // longest delay between two attempts to reach the registry
)

// registry is the part of the registry's client that a controller uses. [client.Client] implements it.
type registry interface {
	PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error)
	Write(ctx context.Context, ops ...state.Op) ([]state.Result, error)
	WriteOne(ctx context.Context, op state.Op) (state.Result, error)
	Call(ctx context.Context, method, path string, body, response any) error
}

// Run takes part in the leader election until ctx ends, and drives releases and rollouts while this controller is the
// leader. It then releases the leader lease. Run returns an error only if c.Registry is invalid.
func (c *Controller) Run(ctx context.Context) error {
	registry, err := client.New(client.Options{Endpoints: c.Registry, MaxBackoff: maxBackoff})
	if err != nil {
		return err
	}
	c.run(ctx, registry)
	return nil
}

// run implements Run with the given registry.
func (c *Controller) run(ctx context.Context, r registry) {
	c.registry = r
	c.scheduler.Holder = c.Name
	startedAt := time.Now()
	var revision int64
	for ctx.Err() == nil {
		view, err := r.PollCoordination(ctx, url.Values{"units": {"1"}, "lead": {LeaderUID}}, revision, pollInterval)
		if err != nil {
			revision = 0
			continue
		}
		revision = view.Revision
		c.holdLease(ctx, view)
		if c.token != 0 {
			c.advance(ctx, view, time.Since(startedAt))
		}
	}
	c.releaseLease(ctx)
}

// advance sends the writes that are due for the rollout and the releases. now is the time since the controller started.
func (c *Controller) advance(ctx context.Context, view *state.CoordinationView, now time.Duration) {
	if c.bakeTimer.StageDue(view.Rollout, now) {
		c.startStage(ctx, view.Rollout)
	}
	releases := release.View{Units: view.Units, Unavailable: view.Unavailable, Permits: view.Permits, Records: view.Records}
	c.sendReleaseWrites(ctx, c.scheduler.NextWrites(releases, now))
}

// startStage requests the next stage of the pending version.
func (c *Controller) startStage(ctx context.Context, r *rollout.State) {
	version := strconv.FormatInt(r.Pending.Number, 10)
	sentAt := eventlog.Now()
	// The event precedes the write, because the controller may be killed before it receives the result.
	c.appendEvent(eventlog.Event{Kind: eventlog.StageRequested, Version: version, Token: c.token})
	result, err := c.registry.WriteOne(ctx, state.Op{Kind: state.OpAdvance, Number: r.Pending.Number, Stage: r.StartedStages, Fence: c.fence()})
	if err != nil || result.Code != "" {
		return
	}
	reason := "stage"
	if result.Token == r.Pending.Number {
		reason = "in force"
	}
	c.appendEvent(eventlog.Event{Kind: eventlog.WriteApplied, Version: version, Token: c.token, SentAt: sentAt, Reason: reason})
	c.Log.Info("started rollout stage", "controller", c.Name, "version", r.Pending.Number, "stage", r.StartedStages)
}

// sendReleaseWrites sends writes of releases in order, up to the first that is not applied. After the next poll the scheduler
// returns those of them that are still due.
func (c *Controller) sendReleaseWrites(ctx context.Context, writes []release.Write) {
	for _, w := range writes {
		w.Fence = c.fence()
		sentAt := eventlog.Now()
		result, err := c.registry.WriteOne(ctx, w.Op)
		if err != nil {
			return
		}
		if result.Code == state.CodeFenced {
			c.noteLeaseLost()
		}
		if result.Code != "" {
			return
		}
		c.scheduler.WriteApplied(w)
		c.appendEvent(eventlog.Event{Kind: eventlog.WriteApplied, Unit: w.UID, Plan: w.Plan, Token: c.token,
			SentAt: sentAt, Reason: w.Reason})
		if w.Reason != "" {
			c.Log.Info("release write applied", "controller", c.Name, "kind", w.Kind, "reason", w.Reason)
		}
	}
}

// fence returns the condition that this controller still holds the leader lease.
func (c *Controller) fence() *state.Fence { return &state.Fence{UID: LeaderUID, Token: c.token} }

func (c *Controller) appendEvent(e eventlog.Event) {
	e.Process = c.Name
	if err := c.Events.Append(e); err != nil {
		c.Log.Error("cannot append event", "error", err)
	}
}
