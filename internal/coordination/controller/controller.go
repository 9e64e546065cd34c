// Package controller carries releases and rollouts of settings on. Any number of controllers may run; the one that holds
// the leader's lease in the registry acts.
//
// A controller stores nothing: what it must know is in the registry, so that another goes on after it was killed at any
// point. Every write is fenced by the lease: one that arrives after the lease has ended is not applied.
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

// LeaderUID is the UID of the instance that the leading controller registers and holds.
const LeaderUID = "controller"

// ReadView reads everything that the registry tells of budgets, releases and versions, units included, as of a time after
// the call.
func ReadView(ctx context.Context, w *client.Client) (*state.CoordinationView, error) {
	query := url.Values{"consistent": {"1"}, "units": {"1"}, "lead": {LeaderUID}}
	var v state.CoordinationView
	return &v, w.Call(ctx, http.MethodGet, api.PathCoordination+"?"+query.Encode(), nil, &v)
}

// Controller is one controller. Its exported fields must be set before Run and not change after.
type Controller struct {
	Registry []string // endpoints, host:port
	Name     string
	TTL      time.Duration // of the leader's lease
	Events   *eventlog.Log // nil: none
	Log      *slog.Logger

	registry  registry
	token     int64     // of the leader's lease; 0: this controller does not lead
	renewedAt time.Time // when the last renewal that succeeded was sent
	scheduler release.Scheduler
	bakeTimer rollout.BakeTimer
}

const (
	pollInterval      = 200 * time.Millisecond // while nothing changes
	renewalsPerTTL    = 3
	deregisterTimeout = time.Second            // for the write at the end
	maxBackoff        = 300 * time.Millisecond // between attempts to reach the registry
)

// registry is what a controller needs of the registry; [client.Client] implements it.
type registry interface {
	PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error)
	Write(ctx context.Context, ops ...state.Op) ([]state.Result, error)
	WriteOne(ctx context.Context, op state.Op) (state.Result, error)
	Call(ctx context.Context, method, path string, body, response any) error
}

// Run acts, while it leads, until ctx ends, and then gives the lease up. The error says that the endpoints are malformed.
func (c *Controller) Run(ctx context.Context) error {
	registry, err := client.New(client.Options{Endpoints: c.Registry, MaxBackoff: maxBackoff})
	if err != nil {
		return err
	}
	c.run(ctx, registry)
	return nil
}

// run is Run with a registry.
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
			c.act(ctx, view, time.Since(startedAt))
		}
	}
	c.releaseLease(ctx)
}

// act sends the writes that carry the rollout and the releases on. now is the time since the controller has started.
func (c *Controller) act(ctx context.Context, view *state.CoordinationView, now time.Duration) {
	if c.bakeTimer.StageDue(view.Rollout, now) {
		c.startStage(ctx, view.Rollout)
	}
	releases := release.View{Units: view.Units, Unavailable: view.Unavailable, Permits: view.Permits, Records: view.Records}
	c.send(ctx, c.scheduler.NextWrites(releases, now))
}

// startStage starts the next stage of the pending version.
func (c *Controller) startStage(ctx context.Context, r *rollout.State) {
	version := strconv.FormatInt(r.Pending.Number, 10)
	sentAt := eventlog.Now()
	// Before the write: the controller may be killed before it has the result.
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

// send sends the writes of a release in order. After the first that is not applied, the rest waits for the next poll.
func (c *Controller) send(ctx context.Context, writes []release.Write) {
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
		c.appendEvent(eventlog.Event{Kind: eventlog.WriteApplied, Unit: w.UID, Plan: w.Plan, Token: c.token, SentAt: sentAt, Reason: w.Reason})
		if w.Reason != "" {
			c.Log.Info("release write applied", "controller", c.Name, "kind", w.Kind, "reason", w.Reason)
		}
	}
}

// fence makes a write conditional on this controller's lease.
func (c *Controller) fence() *state.Fence { return &state.Fence{UID: LeaderUID, Token: c.token} }

func (c *Controller) appendEvent(e eventlog.Event) {
	e.Process = c.Name
	if err := c.Events.Append(e); err != nil {
		c.Log.Error("cannot append event", "error", err)
	}
}
