package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// registry is a registry of real processes that servers hold leases at and nodes' agents follow.
type registry struct {
	f       *Fleet
	cluster *cluster.Cluster
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	index   map[string]int // servers by name
	holds   []*hold        // by server; nil: not held
	lost    []bool         // by server: its heartbeats do not arrive
	views   []map[int]model.Entry
	cuts    map[int]*relay.Impairment // by replica
	jobs    chan func()               // on processes, in order: they may take a moment, and the loop must not wait
}

// hold is a server's lease.
type hold struct{ cancel context.CancelFunc }

// registryWithin is how long the registry may take to be there with all servers.
const registryWithin = 30 * time.Second

// startRegistry starts the replicas, registers all servers and lets the agents follow. It returns once every agent has
// the whole list.
func (f *Fleet) startRegistry() error {
	guard := ""
	if f.w.Site.Registry.NoGuard {
		guard = "[guard]\nshare = 1.0\nleast = 1000000\nwindow = \"100ms\"\n"
	}
	c, err := cluster.New(f.opt.Replica, f.w.Site.Registry.Replicas, guard)
	if err != nil {
		return err
	}
	r := &registry{f: f, cluster: c, index: map[string]int{}, holds: make([]*hold, len(f.w.Site.Servers)), lost: make([]bool, len(f.w.Site.Servers)),
		views: make([]map[int]model.Entry, len(f.w.Site.Nodes)), cuts: map[int]*relay.Impairment{}, jobs: make(chan func(), linkJobs)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	f.registry = r
	r.running.Go(func() {
		for do := range r.jobs {
			do()
		}
	})
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			return err
		}
	}
	starting, cancel := context.WithTimeout(r.ctx, registryWithin)
	defer cancel()
	for i := range f.w.Site.Servers {
		r.index[f.w.Site.Servers[i].Name] = i
	}
	if err := c.AwaitReady(starting); err != nil {
		return err
	}
	if f.w.Site.Budget.Set() {
		limits := f.w.Site.BudgetLimits()
		w, err := client.New(client.Options{Endpoints: c.Addresses()})
		if err != nil {
			return err
		}
		if _, err := w.Write(starting, state.Op{Kind: state.OpSetLimits, Limits: &limits}); err != nil {
			return err
		}
	}
	for i := range f.w.Site.Servers {
		r.hold(i, model.Serving)
	}
	var all sync.WaitGroup
	failed := make(chan error, len(f.w.Site.Nodes))
	for n := range f.w.Site.Nodes {
		all.Go(func() {
			if err := r.follow(starting, n); err != nil {
				failed <- err
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func (r *registry) close() {
	r.cancel()
	close(r.jobs)
	r.running.Wait()
	r.cluster.Close()
}

// entry is a server as it registers itself.
func (r *registry) entry(server int, st model.State) *state.Instance {
	s := &r.f.w.Site.Servers[server]
	e := &state.Instance{UID: s.Name, Endpoint: "-", Tier: r.f.w.Site.Tiers[s.Tier].Name, Zone: r.f.w.Site.Zones[s.Zone].Name, Region: r.f.w.Site.Zones[s.Zone].Region, Kind: s.Kind.Name,
		Rack: s.Rack, State: st.String(), Capacity: s.Size(), TTLMS: time.Duration(r.f.w.Site.Registry.TTL).Milliseconds()}
	if boot := r.f.w.Servers[server].Boot(); boot >= 0 {
		e.StartTimeMS = float64(r.f.began.Add(boot).UnixMicro()) / 1000
	}
	return e
}

// hold registers a server and keeps its lease until release. The loop's, but for the start.
func (r *registry) hold(server int, st model.State) {
	r.release(server)
	if r.lost[server] {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.holds[server] = &hold{cancel}
	e := r.entry(server, st)
	ttl := r.f.w.Site.Registry.TTL.D()
	w, err := client.New(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return // there are endpoints
	}
	r.running.Go(func() {
		h := client.NewLeaseHolder(w)
		for h.Register(ctx, e) != nil { // fenced, or it was told to stop
			select {
			case <-time.After(ttl / 4):
			case <-ctx.Done():
				return
			}
		}
		h.Run(ctx, ttl)
	})
}

// release ends a server's heartbeats: its process has gone.
func (r *registry) release(server int) {
	if h := r.holds[server]; h != nil {
		h.cancel()
		r.holds[server] = nil
	}
}

// takeWithin is how long a permit is asked for.
const takeWithin = 2 * time.Second

// Take asks the registry for a permit for a server, and begins it.
func (f *Fleet) Take(server int, done func(error)) {
	r := f.registry
	if r == nil {
		done(errors.New("a budget wants a registry on real processes"))
		return
	}
	uid := f.w.Site.Servers[server].Name
	r.running.Go(func() {
		err := r.take(uid)
		if err != nil {
			f.opt.Log("%s is not drained: %v", uid, err)
		}
		f.w.Loop.Post(func() { done(err) })
	})
}

func (r *registry) take(uid string) error {
	ctx, cancel := context.WithTimeout(r.ctx, takeWithin)
	defer cancel()
	w, err := client.New(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return err
	}
	v, err := w.Agreed(ctx, url.Values{"unit": {uid}, "consistent": {"1"}}, 0, 0)
	if err != nil {
		return err
	}
	if len(v.Units) == 0 {
		return errors.New("the registry does not know it")
	}
	permit, err := one(ctx, w, state.Op{Kind: state.OpGrantPermit, UID: uid, Incarnation: v.Units[0].Token, Holder: "staff"})
	if err != nil {
		return err
	}
	_, err = one(ctx, w, state.Op{Kind: state.OpBeginPermit, UID: uid, Token: permit.Token})
	return err
}

// one has one write carried out; a fault is an error.
func one(ctx context.Context, w *client.Client, op state.Op) (state.Result, error) {
	a, err := w.WriteOne(ctx, op)
	if err == nil && a.Code != "" {
		err = fmt.Errorf("%s: %s", a.Code, a.Reason)
	}
	return a, err
}

// Publish tells the registry of a server that serves or drains. That one has gone the registry finds by itself.
func (f *Fleet) Publish(server int, st model.State) bool {
	if f.registry == nil {
		return false
	}
	if st != model.Deleted {
		f.registry.hold(server, st)
	}
	return true
}

// Lease lets a server's heartbeats reach the registry, or not.
func (f *Fleet) Lease(server int, reach bool) {
	r := f.registry
	if r == nil {
		return
	}
	r.lost[server] = !reach
	if !reach {
		r.release(server)
	} else if f.w.Servers[server].Up() {
		r.hold(server, model.Serving)
	}
}

// Replicas kills, stops or cuts off replicas, or ends that.
func (f *Fleet) Replicas(replicas []int, what string, on bool) {
	r := f.registry
	if r == nil {
		return
	}
	for _, i := range replicas {
		r.jobs <- func() { r.act(i, what, on) }
	}
}

// act runs beside the loop.
func (r *registry) act(i int, what string, on bool) {
	switch {
	case what == "registry-kill" && on:
		r.cluster.Kill(i)
	case what == "registry-kill":
		if err := r.cluster.Start(i); err != nil {
			r.f.w.Loop.Post(func() { r.f.fail(err) })
		}
	case what == "registry-stop" && on:
		r.cluster.Signal(i, syscall.SIGSTOP)
	case what == "registry-stop":
		r.cluster.Signal(i, syscall.SIGCONT)
	case on:
		r.cuts[i] = &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
		r.eachLink(i, func(l *relay.Relay) error { return l.Add(r.cuts[i]) })
	default:
		r.eachLink(i, func(l *relay.Relay) error { return l.Remove(r.cuts[i]) })
	}
}

// eachLink does something to all links of a replica.
func (r *registry) eachLink(i int, do func(*relay.Relay) error) {
	r.cluster.EachLink(func(from, to int, l *relay.Relay) {
		if from == i || to == i {
			if err := do(l); err != nil {
				r.f.w.Loop.Post(func() { r.f.fail(err) })
			}
		}
	})
}

// follow lets a node's agent follow the registry, and returns once it has all servers of the node's tier.
func (r *registry) follow(ctx context.Context, node int) error {
	reader, err := client.NewWatcher(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return err
	}
	want := 0
	for i := range r.f.w.Site.Servers {
		if r.f.w.Site.Servers[i].Tier == r.f.w.Site.Nodes[node].Tier {
			want++
		}
	}
	there := make(chan struct{})
	first := true
	r.running.Go(func() {
		reader.Run(r.ctx, func(client.WatchEvent) {
			view := r.entries(node, reader.View())
			rev := reader.View().Revision
			if first {
				if len(view) < want {
					return
				}
				first = false
				r.tell(node, rev, view, false)
				close(there)
				return
			}
			r.f.w.Loop.Post(func() { r.tell(node, rev, view, true) })
		})
	})
	select {
	case <-there:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the agent of %s has not heard of all servers", r.f.w.Site.Nodes[node].Name)
	}
}

// entries are the servers of a node's tier as the registry lists them.
func (r *registry) entries(node int, v client.View) map[int]model.Entry {
	l := map[int]model.Entry{}
	for _, e := range v.Instances {
		i, known := r.index[e.UID]
		if !known || r.f.w.Site.Servers[i].Tier != r.f.w.Site.Nodes[node].Tier {
			continue
		}
		en := model.Entry{Server: i, Boot: -time.Hour}
		if e.State == state.Draining {
			en.State = model.Draining
		}
		if e.StartTimeMS > 0 {
			en.Boot = time.UnixMicro(int64(e.StartTimeMS * 1000)).Sub(r.f.began)
		}
		l[i] = en
	}
	return l
}

// tell gives an agent what the registry lists, and the oracle what has changed. observed is false before the run.
func (r *registry) tell(node int, rev int64, view map[int]model.Entry, observed bool) {
	before := r.views[node]
	r.views[node] = view
	var changed, whole []model.Entry
	for i := range r.f.w.Site.Servers {
		is, listed := view[i]
		was, had := before[i]
		if listed {
			whole = append(whole, is)
		}
		switch {
		case listed && is != was:
			changed = append(changed, is)
		case !listed && had:
			changed = append(changed, model.Entry{Server: i, State: model.Deleted})
		}
	}
	if len(changed) == 0 {
		return
	}
	if observed {
		for _, e := range changed {
			r.f.observer.Told(node, e.Server, e.State)
		}
	}
	rev-- // messages count from 1
	r.f.agents[node].push(rev+1, r.f.message(node, model.List{Rev: rev, Entries: changed}), r.f.message(node, model.List{Rev: rev, All: true, Entries: whole}), !observed)
}
