package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"umberbank/internal/process/relay"
)

// measureReplicaKilled kills the registry's leader and proposes a version.
func (p *measurement) measureReplicaKilled(ctx context.Context) error {
	leader := p.cluster.Leader(0)
	p.cluster.Kill(leader)
	began := time.Now()
	version, err := p.proposeNext(ctx, p.options.Pace.VersionTimeout)
	if _, err := p.recordVersion(KeyReplicaLost, version, err, time.Since(began)); err != nil {
		return err
	}
	p.cluster.ResumeAll()
	waiting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.cluster.AwaitReady(waiting); err != nil {
		return err
	}
	return p.awaitConvergence(ctx)
}

// killNodes kills the selected nodes with their servers. It returns a function that starts them again.
func (p *measurement) killNodes(selected func(*hollowNode) bool) (restart func(context.Context) error) {
	var killed []int
	var all sync.WaitGroup
	for i, h := range p.hollowNodes {
		if selected(h) {
			killed = append(killed, i)
			p.hollowNodes[i] = nil
			all.Go(h.kill)
		}
	}
	all.Wait()
	return func(ctx context.Context) error {
		for _, i := range killed {
			h, err := startHollow(ctx, i, p.endpoints(), p.versions.recordRunning)
			if err != nil {
				return err
			}
			p.hollowNodes[i] = h
		}
		return nil
	}
}

// measureDeadNode kills a node and proposes versions once its death has been detected.
func (p *measurement) measureDeadNode(ctx context.Context) error {
	name := p.hollowNodes[p.nodes-1].node
	restart := p.killNodes(func(h *hollowNode) bool { return h.node == name })
	if err := pollUntil(ctx, pollInterval, detectTimeout, func(ctx context.Context) (bool, string) {
		view, err := p.coordinationView(ctx)
		if err != nil {
			return false, err.Error()
		}
		detected := view.Rollout != nil && (view.Rollout.Nodes[name] == nil || view.Rollout.Nodes[name].Unreachable)
		return detected, name + " is not yet reported as unreachable"
	}); err != nil {
		return err
	}
	for _, key := range []Key{KeyDeadFirst, KeyDeadInForce} {
		began := time.Now()
		version, err := p.proposeNext(ctx, p.options.Pace.BlockedTimeout)
		isBlocked, err := p.recordVersion(key, version, err, time.Since(began))
		if err != nil {
			return err
		}
		if isBlocked {
			if key == KeyDeadFirst {
				p.figures.setMissing(KeyDeadInForce, "the version before it was blocked")
			}
			break
		}
	}
	if err := restart(ctx); err != nil {
		return err
	}
	return p.awaitConvergence(ctx)
}

// measureLostZone kills the nodes and servers of a zone at once, proposes a version, and starts them again.
func (p *measurement) measureLostZone(ctx context.Context) error {
	zone := fmt.Sprint("z", zoneCount-1)
	restart := p.killNodes(func(h *hollowNode) bool { return h.zone == zone })
	if err := sleep(ctx, p.options.Pace.LossTime); err != nil {
		return err
	}
	began := time.Now()
	version, err := p.proposeNext(ctx, p.options.Pace.BlockedTimeout)
	if _, err := p.recordVersion(KeyZoneLost, version, err, time.Since(began)); err != nil {
		return err
	}
	began = time.Now()
	if err := restart(ctx); err != nil {
		return err
	}
	if err := p.awaitConvergence(ctx); err != nil {
		return err
	}
	p.figures.set(KeyZoneRecovered, time.Since(began).Seconds())
	return nil
}

// measurePartitionedRegions partitions the regions from each other in both directions, proposes a version, and heals the
// partition.
func (p *measurement) measurePartitionedRegions(ctx context.Context) error {
	heal, err := p.partitionRegions()
	if err == nil {
		err = sleep(ctx, p.options.Pace.LossTime)
	}
	if err == nil {
		p.partitionedRegion = minorityRegion
		began := time.Now()
		version, proposeErr := p.proposeNext(ctx, p.options.Pace.BlockedTimeout)
		_, err = p.recordVersion(KeyPartitionInForce, version, proposeErr, time.Since(began))
		p.partitionedRegion = ""
	}
	began := time.Now()
	heal()
	if err != nil {
		return err
	}
	if err := p.awaitConvergence(ctx); err != nil {
		return err
	}
	p.figures.set(KeyPartitionHealed, time.Since(began).Seconds())
	if _, has := p.figures.Values[KeyBlocked]; !has {
		p.figures.set(KeyBlocked, 0)
	}
	return nil
}

const (
	// majorityRegion contains the first two replicas of the registry.
	majorityRegion = "r0"
	// minorityRegion contains the third replica.
	minorityRegion = "r1"
	// minorityReplica is the index of the replica in minorityRegion.
	minorityReplica = 2
)

// partitionRegions partitions the regions and returns a function that heals the partition. The function is valid even if
// an error is returned.
func (p *measurement) partitionRegions() (heal func(), err error) {
	endpoints := p.endpoints()
	unreachable := map[string]map[string]bool{
		majorityRegion: {endpoints[minorityReplica]: true},
		minorityRegion: {endpoints[0]: true, endpoints[1]: true},
	}
	healed := make(chan struct{})
	for _, h := range p.hollowNodes {
		for _, m := range h.meters() {
			m.partition(unreachable[h.region], healed)
		}
	}
	stalled := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
	var links []*relay.Relay
	p.cluster.EachLink(func(from, to int, link *relay.Relay) {
		if (from == minorityReplica) != (to == minorityReplica) {
			err = errors.Join(err, link.Add(stalled))
			links = append(links, link)
		}
	})
	heal = func() {
		for _, link := range links {
			_ = link.Remove(stalled) // fails only if the relay is closed
		}
		close(healed)
	}
	return heal, err
}
