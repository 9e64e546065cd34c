package host

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"umberbank/internal/coordination/release"
	"umberbank/internal/coordination/rollout"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

// LeaderUID is the uid of the entry that the controller holds that acts.
const LeaderUID = "controller"

// Controller carries releases out while it holds the lead. Any number may run.
type Controller struct {
	Registry []string
	Name     string
	TTL      time.Duration // of the lead's lease
	Events   *Log
	Log      *slog.Logger

	writer  *client.Client
	token   int64 // of the lead; 0: another has it, or nobody
	machine release.Scheduler
	rollout rollout.BakeTimer
}

// look is how often a controller looks when nothing changes.
const look = 200 * time.Millisecond

// Run acts until ctx ends.
func (c *Controller) Run(ctx context.Context) (err error) {
	if c.writer, err = client.New(client.Options{Endpoints: c.Registry, MaxBackoff: 300 * time.Millisecond}); err != nil {
		return err
	}
	c.machine.Holder = c.Name
	var rev int64
	var renewed time.Time
	began := time.Now()
	for ctx.Err() == nil {
		v, err := c.writer.Agreed(ctx, url.Values{"units": {"1"}, "lead": {LeaderUID}}, rev, look)
		if err != nil {
			rev = 0
			continue
		}
		rev = v.Revision
		switch {
		case c.token != 0 && time.Since(renewed) > c.TTL/3:
			asked := time.Now()
			if c.renew(ctx) {
				renewed = asked
			}
		case c.token == 0 && v.Leader == nil:
			asked := time.Now()
			c.take(ctx)
			renewed = asked
		}
		if c.token != 0 {
			c.act(ctx, v, time.Since(began))
		}
	}
	if c.token != 0 {
		leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveWithin)
		defer cancel()
		c.writer.Write(leaving, state.Op{Kind: state.OpRemove, UID: LeaderUID, Token: c.token}) // else its lease ends
	}
	return nil
}

// take asks for the lead.
func (c *Controller) take(ctx context.Context) {
	e := &state.Instance{UID: LeaderUID, Endpoint: c.Name, State: state.Serving, Role: state.RoleController, TTLMS: c.TTL.Milliseconds()}
	a, err := c.writer.WriteOne(ctx, state.Op{Kind: state.OpRegister, Instance: e, IfModRevision: state.Absent})
	if err == nil && a.Code == "" {
		c.token = a.Token
		c.Log.Info("leads", "controller", c.Name, "token", a.Token)
	}
}

// renew renews the lead's lease; false: that could not be asked. A lead that was lost is given up.
func (c *Controller) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.TTL)
	defer cancel()
	var got struct {
		Unknown []string `json:"unknown"`
	}
	err := c.writer.Call(ctx, http.MethodPost, "/registry/renew", map[string]any{"leases": []replica.Lease{{UID: LeaderUID, Token: c.token}}}, &got)
	if err == nil && len(got.Unknown) > 0 {
		c.lost()
	}
	return err == nil
}

func (c *Controller) lost() {
	c.Log.Info("leads no more", "controller", c.Name, "token", c.token)
	c.token = 0
}

// Append writes an event of this controller down.
func (c *Controller) note(e Event) {
	e.Process = c.Name
	if err := c.Events.Append(e); err != nil {
		c.Log.Error("journal", "error", err)
	}
}

// act carries the machine's orders out. Each is fenced by the lead, so that one that comes late comes to nothing; after the
// first that does not go through the rest waits for the next look.
func (c *Controller) act(ctx context.Context, v *state.CoordinationView, now time.Duration) {
	if c.rollout.StageDue(v.Rollout, now) {
		p := v.Rollout.Pending
		sent := Now()
		c.note(Event{Kind: "asks", Version: strconv.FormatInt(p.Number, 10), Token: c.token}) // it may die before the answer
		op := state.Op{Kind: state.OpAdvance, Number: p.Number, Stage: v.Rollout.Stage, Fence: &state.Fence{UID: LeaderUID, Token: c.token}}
		if a, err := c.writer.WriteOne(ctx, op); err == nil && a.Code == "" {
			why := "stage"
			if a.Token == p.Number {
				why = "in force"
			}
			c.note(Event{Kind: "act", Version: strconv.FormatInt(p.Number, 10), Token: c.token, SentAt: sent, Reason: why})
			c.Log.Info("acts", "controller", c.Name, "version", p.Number, "stage", v.Rollout.Stage)
		}
	}
	orders := c.machine.NextWrites(release.View{Units: v.Units, Unavailable: v.Unavailable, Permits: v.Permits, Records: v.Records}, now)
	for _, o := range orders {
		o.Fence = &state.Fence{UID: LeaderUID, Token: c.token}
		sent := Now()
		a, err := c.writer.WriteOne(ctx, o.Op)
		if err != nil {
			return
		}
		switch a.Code {
		case "":
		case state.CodeFenced:
			c.lost()
			return
		default:
			return // over the budget, or another look tells more
		}
		c.machine.PermitGranted(o)
		c.note(Event{Kind: "act", Unit: o.UID, Plan: o.Plan, Token: c.token, SentAt: sent, Reason: o.Reason})
		if o.Reason != "" {
			c.Log.Info("acts", "controller", c.Name, "kind", o.Kind, "why", o.Reason)
		}
	}
}
