package lab

import (
	"context"
	"errors"
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/fault"
	"umberbank/internal/lab/fleet"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/virtual"
	"umberbank/internal/simwire"
)

// errRegistryOnVirtualClock is returned for a scenario with a registry on the virtual clock.
var errRegistryOnVirtualClock = errors.New("a registry needs real processes; use --set registry.replicas=0 for simulated discovery")

// runVirtual executes the run on the virtual clock.
func (r *run) runVirtual(ctx context.Context) error {
	if r.site.Registry.Replicas > 0 {
		return errRegistryOnVirtualClock
	}
	settings := nodeSettings{site: r.site, byTier: map[int]balancer.Settings{}}
	nodes := virtual.New(r.world, settings.of, r.newBalancer, r.nodeReady)
	r.world.Backend = nodes
	events := fault.Schedule(r.site)
	nodes.StartAll()
	r.start(events)
	err := r.loop.RunVirtual(ctx, r.site.Duration.Std()+r.drainTime())
	return errors.Join(err, settings.err, nodes.Err())
}

// newBalancer creates the Balancer of a node.
func (r *run) newBalancer(_ int, settings balancer.Settings, seed uint64) (virtual.Balancer, error) {
	if r.options.NewBalancer != nil {
		return r.options.NewBalancer(settings, seed)
	}
	return balancer.New(settings, seed)
}

// nodeSettings derives the settings of nodes from a site. The settings of nodes with the same target tier differ only in
// ReplicaIndex, so they are parsed once for each tier.
type nodeSettings struct {
	site   *scenario.Site
	byTier map[int]balancer.Settings
	err    error // parse error of the last tier with invalid settings
}

// of returns the settings of a node.
func (n *nodeSettings) of(node int) balancer.Settings {
	site := n.site.Nodes[node]
	settings, parsed := n.byTier[site.TargetTier]
	if !parsed {
		var err error
		settings, _, err = simwire.ParseSettings(n.site.NodeSettings(node))
		if err != nil {
			n.err = err
		}
		n.byTier[site.TargetTier] = settings
	}
	settings.ReplicaIndex = site.Index
	if n.site.Snapshots.Enabled {
		settings.SnapshotMaxAge = n.site.Snapshots.MaxAge.Std()
	}
	return settings
}

// runReal executes the run with real processes.
func (r *run) runReal(ctx context.Context) error {
	events := fault.Schedule(r.site)
	processes, err := fleet.New(r.world, r.oracle, fleet.Options{
		Node:    r.options.Node,
		Replica: r.options.Replica,
		Events:  events,
		Ready:   r.nodeReady,
		Log:     r.options.Log,
	})
	if err != nil {
		return err
	}
	r.world.Backend, r.processUsage = processes, processes.Usage
	return processes.Run(ctx, func() { r.start(events) }, r.site.Duration.Std()+r.drainTime())
}

// drainTime returns how long a run continues after its load, so that calls in flight can complete.
func (r *run) drainTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.site.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return longest + time.Second
}
