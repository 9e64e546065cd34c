package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// lease is a server's lease; cancel ends its heartbeats.
type lease struct{ cancel context.CancelFunc }

// instance returns the registration of a server.
func (r *registry) instance(server int, st model.State) *state.Instance {
	s := &r.fleet.world.Site.Servers[server]
	e := &state.Instance{UID: s.Name, Endpoint: "-", Tier: r.fleet.world.Site.Tiers[s.Tier].Name, Zone: r.fleet.world.Site.Zones[s.Zone].Name, Region: r.fleet.world.Site.Zones[s.Zone].Region, Kind: s.MachineType.Name,
		Rack: s.Rack, State: st.String(), Capacity: s.AdvertisedCapacity(), TTLMS: time.Duration(r.fleet.world.Site.Registry.LeaseTTL).Milliseconds()}
	if start := r.fleet.world.Servers[server].StartTime(); start >= 0 {
		e.StartTimeMS = float64(r.fleet.startedAt.Add(start).UnixMicro()) / 1000
	}
	return e
}

// acquireLease registers a server and renews its lease until dropLease is called. While the server's heartbeats do not reach the
// registry, it only drops the current lease. It is called on the loop, or before the run.
func (r *registry) acquireLease(server int, st model.State) {
	r.dropLease(server)
	if r.heartbeatsLost[server] {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.leases[server] = &lease{cancel}
	e := r.instance(server, st)
	ttl := r.fleet.world.Site.Registry.LeaseTTL.Std()
	w, err := client.New(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return // client.New fails only without endpoints
	}
	r.running.Go(func() {
		h := client.NewLeaseHolder(w)
		for h.Register(ctx, e) != nil { // rejected in favor of a newer registration, or not reachable
			select {
			case <-time.After(ttl / 4):
			case <-ctx.Done():
				return
			}
		}
		h.Run(ctx, ttl)
	})
}

// dropLease ends a server's heartbeats, as if its process had ended.
func (r *registry) dropLease(server int) {
	if h := r.leases[server]; h != nil {
		h.cancel()
		r.leases[server] = nil
	}
}

// PublishState registers the state of a server that serves or drains. It does not publish model.Deleted, which the registry
// detects by the expiry of the server's lease. It returns false if the run has no registry.
func (f *Fleet) PublishState(server int, st model.State) bool {
	if f.registry == nil {
		return false
	}
	if st != model.Deleted {
		f.registry.acquireLease(server, st)
	}
	return true
}

// SetHeartbeats determines whether a server's heartbeats reach the registry.
func (f *Fleet) SetHeartbeats(server int, reach bool) {
	r := f.registry
	if r == nil {
		return
	}
	r.heartbeatsLost[server] = !reach
	if !reach {
		r.dropLease(server)
	} else if f.world.Servers[server].IsUp() {
		r.acquireLease(server, model.Serving)
	}
}

// permitTimeout is the timeout of a request for a permit.
const permitTimeout = 2 * time.Second

// RequestPermit requests a disruption permit for a server from the registry and begins it. done is called on the loop, with a nil
// error if the server may drain.
func (f *Fleet) RequestPermit(server int, done func(error)) {
	r := f.registry
	if r == nil {
		done(errors.New("a budget needs a registry in a run on real processes"))
		return
	}
	uid := f.world.Site.Servers[server].Name
	r.running.Go(func() {
		err := r.requestPermit(uid)
		if err != nil {
			f.options.Log("%s is not drained: %v", uid, err)
		}
		f.world.Loop.Post(func() { done(err) })
	})
}

// requestPermit requests a permit and begins it.
func (r *registry) requestPermit(uid string) error {
	ctx, cancel := context.WithTimeout(r.ctx, permitTimeout)
	defer cancel()
	w, err := client.New(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return err
	}
	v, err := w.PollCoordination(ctx, url.Values{"unit": {uid}, "consistent": {"1"}}, 0, 0)
	if err != nil {
		return err
	}
	if len(v.Units) == 0 {
		return errors.New("the server is not registered")
	}
	permit, err := writeOne(ctx, w, state.Op{Kind: state.OpGrantPermit, UID: uid, Incarnation: v.Units[0].Token, Holder: "staff"})
	if err != nil {
		return err
	}
	_, err = writeOne(ctx, w, state.Op{Kind: state.OpBeginPermit, UID: uid, Token: permit.Token})
	return err
}

// writeOne writes one operation. It returns a rejection as an error.
func writeOne(ctx context.Context, w *client.Client, op state.Op) (state.Result, error) {
	a, err := w.WriteOne(ctx, op)
	if err == nil && a.Code != "" {
		err = fmt.Errorf("%s: %s", a.Code, a.Reason)
	}
	return a, err
}
