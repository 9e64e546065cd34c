package controller

import (
	"context"
	"net/http"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// holdLease renews the leader's lease when it is due, or asks for it when nobody holds it.
func (c *Controller) holdLease(ctx context.Context, view *state.CoordinationView) {
	sentAt := time.Now()
	switch {
	case c.token != 0 && time.Since(c.renewedAt) > c.TTL/renewalsPerTTL:
		if c.renewLease(ctx) {
			c.renewedAt = sentAt
		}
	case c.token == 0 && view.Leader == nil:
		c.acquireLease(ctx)
		c.renewedAt = sentAt
	}
}

// acquireLease asks for the lease.
func (c *Controller) acquireLease(ctx context.Context) {
	instance := &state.Instance{
		UID: LeaderUID, Endpoint: c.Name, State: state.Serving, Role: state.RoleController, TTLMS: c.TTL.Milliseconds(),
	}
	result, err := c.registry.WriteOne(ctx, state.Op{Kind: state.OpRegister, Instance: instance, IfModRevision: state.Absent})
	if err == nil && result.Code == "" {
		c.token = result.Token
		c.Log.Info("became leader", "controller", c.Name, "token", result.Token)
	}
}

// renewLease renews the lease, or notes that it is lost. It reports whether the registry answered.
func (c *Controller) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.TTL)
	defer cancel()
	request := api.RenewRequest{Leases: []api.Lease{{UID: LeaderUID, Token: c.token}}}
	var response api.RenewResponse
	err := c.registry.Call(ctx, http.MethodPost, api.PathRenew, request, &response)
	if err == nil && len(response.Unknown) > 0 {
		c.noteLeaseLost()
	}
	return err == nil
}

func (c *Controller) noteLeaseLost() {
	c.Log.Info("lost leadership", "controller", c.Name, "token", c.token)
	c.token = 0
}

// releaseLease gives the lease up if this controller holds it. If that fails, the lease ends by itself.
func (c *Controller) releaseLease(ctx context.Context) {
	if c.token == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	_, _ = c.registry.Write(ctx, state.Op{Kind: state.OpRemove, UID: LeaderUID, Token: c.token})
}
