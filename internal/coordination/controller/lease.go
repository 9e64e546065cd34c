package controller

import (
	"context"
	"net/http"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// holdLease renews the leader lease when a renewal is due, and tries to acquire the lease when it is free.
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

// acquireLease tries to acquire the leader lease. The write fails if another controller has registered first.
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

// renewLease renews the leader lease and reports whether the request succeeded. If the response says that the lease has ended,
// the request counts as successful, and this controller is no longer the leader.
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

// releaseLease releases the leader lease if this controller holds it. If the write fails, the lease expires after its TTL.
func (c *Controller) releaseLease(ctx context.Context) {
	if c.token == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	_, _ = c.registry.Write(ctx, state.Op{Kind: state.OpRemove, UID: LeaderUID, Token: c.token})
}
