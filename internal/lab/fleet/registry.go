package fleet

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// registry runs a registry as real processes. Servers hold leases in it, and the agents of nodes follow it.
type registry struct {
	fleet          *Fleet
	cluster        *cluster.Cluster
	ctx            context.Context
	cancel         context.CancelFunc
	running        sync.WaitGroup
	serverIndex    map[string]int // servers by name
	leases         []*lease       // by server; nil if it has none
	heartbeatsLost []bool         // by server; true while its heartbeats do not reach the registry
	views          []map[int]model.Entry
	partitions     map[int]*relay.Impairment // by replica
	jobs           chan func()               // run in order on a separate goroutine, because the loop must not wait for a process
}

// registryStartTimeout is the timeout for starting the registry and registering all servers.
const registryStartTimeout = 30 * time.Second

// unguarded is the configuration of replicas without the guard against mass expiry.
const unguarded = "[guard]\nshare = 1.0\nleast = 1000000\nwindow = \"100ms\"\n"

// startRegistry starts the replicas, registers all servers and starts to follow the registry. It returns when every agent has the
// full list.
func (f *Fleet) startRegistry() error {
	config := ""
	if f.world.Site.Registry.DisableExpiryGuard {
		config = unguarded
	}
	replicas, err := cluster.New(f.options.Replica, f.world.Site.Registry.Replicas, config)
	if err != nil {
		return err
	}
	r := newRegistry(f, replicas)
	f.registry = r // from here on Fleet.close closes it
	for i := range replicas.Len() {
		if err := replicas.Start(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(r.ctx, registryStartTimeout)
	defer cancel()
	if err := replicas.AwaitReady(ctx); err != nil {
		return err
	}
	if err := r.setLimits(ctx); err != nil {
		return err
	}
	for i := range f.world.Site.Servers {
		r.acquireLease(i, model.Serving)
	}
	return r.followAll(ctx)
}

// newRegistry returns a registry whose replicas have not started, and starts the goroutine that runs its jobs.
func newRegistry(f *Fleet, replicas *cluster.Cluster) *registry {
	servers := f.world.Site.Servers
	r := &registry{
		fleet:          f,
		cluster:        replicas,
		serverIndex:    map[string]int{},
		leases:         make([]*lease, len(servers)),
		heartbeatsLost: make([]bool, len(servers)),
		views:          make([]map[int]model.Entry, len(f.world.Site.Nodes)),
		partitions:     map[int]*relay.Impairment{},
		jobs:           make(chan func(), maxQueuedJobs),
	}
	for i := range servers {
		r.serverIndex[servers[i].Name] = i
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.running.Go(func() {
		for do := range r.jobs {
			do()
		}
	})
	return r
}

// setLimits writes the site's disruption budget, if it has one.
func (r *registry) setLimits(ctx context.Context) error {
	if !r.fleet.world.Site.Budget.Enabled() {
		return nil
	}
	limits := r.fleet.world.Site.DisruptionLimits()
	writer, err := client.New(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return err
	}
	_, err = writer.Write(ctx, state.Op{Kind: state.OpSetLimits, Limits: &limits})
	return err
}

// followAll makes the agents of all nodes follow the registry, and returns when each has the full list.
func (r *registry) followAll(ctx context.Context) error {
	nodes := len(r.fleet.world.Site.Nodes)
	var following sync.WaitGroup
	errs := make([]error, nodes)
	for n := range nodes {
		following.Go(func() { errs[n] = r.follow(ctx, n) })
	}
	following.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// close ends replicas, leases and watches.
func (r *registry) close() {
	r.cancel()
	close(r.jobs)
	r.running.Wait()
	r.cluster.Close()
}

// SetReplicaFault begins or ends a fault at replicas. kind is one of the scenario package's kinds of faults of replicas.
func (f *Fleet) SetReplicaFault(replicas []int, kind string, on bool) {
	r := f.registry
	if r == nil {
		return
	}
	for _, i := range replicas {
		r.jobs <- func() { r.applyFault(i, kind, on) }
	}
}

// applyFault begins or ends a fault at a replica. It is called on the goroutine that runs the jobs.
func (r *registry) applyFault(i int, kind string, on bool) {
	switch {
	case kind == scenario.FaultRegistryKill && on:
		r.cluster.Kill(i)
	case kind == scenario.FaultRegistryKill:
		if err := r.cluster.Start(i); err != nil {
			r.fleet.world.Loop.Post(func() { r.fleet.abort(err) })
		}
	case kind == scenario.FaultRegistryPause && on:
		r.cluster.Signal(i, syscall.SIGSTOP)
	case kind == scenario.FaultRegistryPause:
		r.cluster.Signal(i, syscall.SIGCONT)
	case on:
		r.partitions[i] = &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
		r.eachLink(i, func(l *relay.Relay) error { return l.Add(r.partitions[i]) })
	default:
		r.eachLink(i, func(l *relay.Relay) error { return l.Remove(r.partitions[i]) })
	}
}

// eachLink calls do for all links of a replica.
func (r *registry) eachLink(i int, do func(*relay.Relay) error) {
	r.cluster.EachLink(func(from, to int, l *relay.Relay) {
		if from == i || to == i {
			if err := do(l); err != nil {
				r.fleet.world.Loop.Post(func() { r.fleet.abort(err) })
			}
		}
	})
}

// follow makes a node's agent follow the registry. It returns when the agent has all servers of the node's target tier.
func (r *registry) follow(ctx context.Context, node int) error {
	reader, err := client.NewWatcher(client.Options{Endpoints: r.cluster.Addresses()})
	if err != nil {
		return err
	}
	want := 0
	for i := range r.fleet.world.Site.Servers {
		if r.fleet.world.Site.Servers[i].Tier == r.fleet.world.Site.Nodes[node].TargetTier {
			want++
		}
	}
	synced := make(chan struct{})
	first := true
	r.running.Go(func() {
		_ = reader.Run(r.ctx, func(client.WatchEvent) { // returns when ctx ends
			view := r.entries(node, reader.View())
			rev := reader.View().Revision
			if first {
				if len(view) < want {
					return
				}
				first = false
				r.pushView(node, rev, view, false)
				close(synced)
				return
			}
			r.fleet.world.Loop.Post(func() { r.pushView(node, rev, view, true) })
		})
	})
	select {
	case <-synced:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the agent of %s did not receive all servers", r.fleet.world.Site.Nodes[node].Name)
	}
}

// entries returns the servers of a node's target tier as listed by the registry.
func (r *registry) entries(node int, v client.View) map[int]model.Entry {
	l := map[int]model.Entry{}
	for _, e := range v.Instances {
		i, known := r.serverIndex[e.UID]
		if !known || r.fleet.world.Site.Servers[i].Tier != r.fleet.world.Site.Nodes[node].TargetTier {
			continue
		}
		en := model.Entry{Server: i, StartTime: -time.Hour}
		if e.State == state.Draining {
			en.State = model.Draining
		}
		if e.StartTimeMS > 0 {
			en.StartTime = time.UnixMicro(int64(e.StartTimeMS * 1000)).Sub(r.fleet.startedAt)
		}
		l[i] = en
	}
	return l
}

// pushView updates an agent to the registry's list. If observed is set, it notifies the observer of the changes; it is not set
// before the run begins.
func (r *registry) pushView(node int, rev int64, view map[int]model.Entry, observed bool) {
	before := r.views[node]
	r.views[node] = view
	var changed, full []model.Entry
	for i := range r.fleet.world.Site.Servers {
		is, listed := view[i]
		was, had := before[i]
		if listed {
			full = append(full, is)
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
			r.fleet.observer.NodeNotified(node, e.Server, e.State)
		}
	}
	rev-- // encodeList adds 1
	r.fleet.agents[node].push(rev+1, r.fleet.encodeList(node, model.EndpointList{Revision: rev, Entries: changed}), r.fleet.encodeList(node, model.EndpointList{Revision: rev, Complete: true, Entries: full}), !observed)
}
