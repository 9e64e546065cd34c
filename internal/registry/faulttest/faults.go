package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/process/relay"
	"umberbank/internal/registry/cluster"
)

// faultKind is a kind of fault. Its value appears in Result.Faults and in the log.
type faultKind string

// Kinds of faults.
const (
	killReplica    faultKind = "kill"
	killAll        faultKind = "kill-all"
	suspendReplica faultKind = "stop"
	isolate        faultKind = "isolate" // block all traffic between the replica and the others
	blockIncoming  faultKind = "deaf"    // block the connections that the other replicas open to it
	blockOutgoing  faultKind = "mute"    // block the connections that it opens to the other replicas
	cutOneLink     faultKind = "cut"     // block all traffic between the replica and one other
	delayLinks     faultKind = "slow"
	delaySyncs     faultKind = "slow-disk"
)

// faultKinds lists all kinds. A run chooses a kind by its index, so another order would change the faults of every seed.
var faultKinds = []faultKind{
	killReplica, suspendReplica, isolate, blockIncoming, blockOutgoing, cutOneLink, killAll, delayLinks, delaySyncs,
}

// Bounds of the random durations and delays. A spread is the width of the range above the minimum.
const (
	minFaultDuration    = 200 * time.Millisecond
	faultDurationSpread = 1000 // ms
	minPause            = 100 * time.Millisecond
	pauseSpread         = 900 // ms
	minSyncDelay        = 50 * time.Millisecond
	syncDelaySpread     = 500 // ms
	linkDelay           = 30 * time.Millisecond
	linkJitter          = 50 * time.Millisecond
)

// injector injects faults into a cluster. Faults start one after another and may overlap.
type injector struct {
	cluster *cluster.Cluster
	rand    *rand.Rand
	reverts sync.WaitGroup
}

// injectFaults injects random faults, determined by the seed, for the duration of the run. It returns when all of them have
// ended.
func injectFaults(ctx context.Context, c *cluster.Cluster, opt Options, res *Result) error {
	inj := &injector{cluster: c, rand: rand.New(rand.NewPCG(opt.Seed, faultStream))}
	defer inj.reverts.Wait()
	for end := time.Now().Add(opt.Duration); time.Now().Before(end); {
		replica := inj.drawReplica()
		duration := inj.drawDuration(minFaultDuration, faultDurationSpread)
		kind := faultKinds[inj.rand.IntN(len(faultKinds))]
		res.Faults = append(res.Faults, fmt.Sprintf("%s %s %v", kind, c.ID(replica), duration))
		opt.Logf("%s %s for %v", kind, c.ID(replica), duration)
		revert, err := inj.inject(kind, replica)
		if err != nil {
			return err
		}
		inj.revertAfter(ctx, duration, revert)
		select {
		case <-time.After(inj.drawDuration(minPause, pauseSpread)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// drawReplica returns a random replica. In half of the draws it returns the leader instead, because losing the leader has the
// largest effect.
func (inj *injector) drawReplica() int {
	replica := inj.rand.IntN(inj.cluster.Len())
	if inj.rand.IntN(2) == 0 {
		return inj.cluster.Leader(replica)
	}
	return replica
}

// drawDuration returns a random duration that exceeds shortest by 0 to spread-1 milliseconds.
func (inj *injector) drawDuration(shortest time.Duration, spread int) time.Duration {
	return shortest + time.Duration(inj.rand.IntN(spread))*time.Millisecond
}

// revertAfter ends a fault after its duration, or when ctx is done.
func (inj *injector) revertAfter(ctx context.Context, duration time.Duration, revert func()) {
	inj.reverts.Go(func() {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		revert()
	})
}

// inject starts a fault and returns a function that ends it. That function ignores errors, because a replica that does not
// start, or a delay that is not removed, shows in the result of the run.
func (inj *injector) inject(kind faultKind, replica int) (revert func(), err error) {
	c := inj.cluster
	switch kind {
	case killReplica:
		c.Kill(replica)
		return func() { c.Start(replica) }, nil //nolint:errcheck // see above
	case killAll:
		for i := range c.Len() {
			c.Kill(i)
		}
		return func() {
			for i := range c.Len() {
				c.Start(i) //nolint:errcheck // see above
			}
		}, nil
	case suspendReplica:
		c.Signal(replica, syscall.SIGSTOP)
		return func() { c.Signal(replica, syscall.SIGCONT) }, nil
	case delaySyncs:
		delay := inj.drawDuration(minSyncDelay, syncDelaySpread)
		return func() { c.SetSyncDelay(replica, 0) }, c.SetSyncDelay(replica, delay) //nolint:errcheck // see above
	default:
		return inj.impairLinks(kind, replica)
	}
}

// impairLinks stalls or delays the links that a fault affects.
func (inj *injector) impairLinks(kind faultKind, replica int) (revert func(), err error) {
	impairment := &relay.Impairment{Stall: kind != delayLinks, ToTarget: true, FromTarget: true}
	if kind == delayLinks {
		impairment.Delay, impairment.Jitter = linkDelay, linkJitter
	}
	links := affectedLinks(inj.cluster, kind, replica, inj.rand.IntN(inj.cluster.Len()))
	for _, l := range links {
		if err := l.Add(impairment); err != nil {
			return nil, err
		}
	}
	return func() {
		for _, l := range links {
			l.Remove(impairment) //nolint:errcheck // as in inject: a link that stays stalled shows in the result
		}
	}, nil
}

// affectedLinks returns the links that a fault affects. Depending on its kind, these are all links of the replica, its
// incoming links, its outgoing links, or its links to and from one other replica. There are none in a cluster of one replica,
// and for cutOneLink if other is the replica itself.
func affectedLinks(c *cluster.Cluster, kind faultKind, replica, other int) []*relay.Relay {
	var links []*relay.Relay
	c.EachLink(func(from, to int, r *relay.Relay) {
		incoming, outgoing := to == replica, from == replica
		affected := false
		switch kind {
		case isolate, delayLinks:
			affected = incoming || outgoing
		case blockIncoming:
			affected = incoming
		case blockOutgoing:
			affected = outgoing
		case cutOneLink:
			affected = incoming && from == other || outgoing && to == other
		}
		if affected {
			links = append(links, r)
		}
	})
	return links
}
