package follower

import (
	"cmp"
	"context"
	"time"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

const (
	// defaultLeaseTTL is the time to live of a node's lease if the configuration does not set it.
	defaultLeaseTTL = 2 * time.Second
	// registerTimeout limits the write that registers the node.
	registerTimeout = time.Second
)

// register registers this start of the node's process, and starts renewing its lease until ctx ends. If
// the process is already registered, register only checks that, and returns client.ErrFenced if another
// process has registered the node's name since. It does nothing if an agent holds the entry.
func (f *Follower) register(ctx context.Context) error {
	if f.Rollout.ByAgent {
		return nil
	}
	if f.lease != nil {
		if f.lease.Token(f.Name) == 0 {
			return client.ErrFenced
		}
		return nil
	}
	startTime, err := f.writer.NextStartTime(ctx, f.Name, time.Now())
	if err != nil {
		return err
	}
	ttl := defaultLeaseTTL
	if f.Rollout.TTLMS > 0 {
		ttl = time.Duration(f.Rollout.TTLMS) * time.Millisecond
	}
	lease := client.NewLeaseHolder(f.writer)
	registering, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := lease.Register(registering, f.entry(startTime, ttl)); err != nil {
		return err
	}
	f.lease = lease
	go lease.Run(ctx, ttl)
	return nil
}

// entry returns the node's entry in the registry. startTime is Unix time in milliseconds.
func (f *Follower) entry(startTime float64, ttl time.Duration) *state.Instance {
	return &state.Instance{
		UID:         f.Name,
		Endpoint:    f.Addr(),
		Role:        state.RoleNode,
		Tier:        f.Rollout.Tier,
		Zone:        f.Rollout.Zone,
		Region:      f.Rollout.Region,
		Kind:        f.Rollout.SendsTo,
		Capacity:    cmp.Or(f.Rollout.Capacity, 1),
		State:       state.Serving,
		StartTimeMS: startTime,
		TTLMS:       ttl.Milliseconds(),
	}
}

// longestRenewal returns the longest time between two renewals of this node's lease since the last
// call, and starts a new measurement. It returns zero if an agent renews the lease.
func (f *Follower) longestRenewal() time.Duration {
	if f.lease == nil {
		return 0
	}
	return f.lease.MaxRenewalGap()
}
