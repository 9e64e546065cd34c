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

// faultKind is what is done to a replica.
type faultKind string

// Kinds of faults.
const (
	killReplica    faultKind = "kill"
	killAll        faultKind = "kill-all"
	suspendReplica faultKind = "stop"
	isolate        faultKind = "isolate" // nothing passes between it and the other replicas
	blockIncoming  faultKind = "deaf"    // nothing from the other replicas reaches it
	blockOutgoing  faultKind = "mute"    // nothing from it reaches the other replicas
	cutOneLink     faultKind = "cut"     // nothing passes between it and one other replica
	delayLinks     faultKind = "slow"
	delaySyncs     faultKind = "slow-disk"
)

// faultKinds are all kinds, in the order in which they are drawn.
var faultKinds = []faultKind{
	killReplica, suspendReplica, isolate, blockIncoming, blockOutgoing, cutOneLink, killAll, delayLinks, delaySyncs,
}

// Bounds of what is drawn.
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

// injector injects faults into a cluster, one after another and over each other.
type injector struct {
	cluster *cluster.Cluster
	rand    *rand.Rand
	reverts sync.WaitGroup
}

// injectFaults injects faults drawn by the seed for the run's duration, and returns when all have ended.
func injectFaults(ctx context.Context, c *cluster.Cluster, opt Options, res *Result) error {
	in := &injector{cluster: c, rand: rand.New(rand.NewPCG(opt.Seed, faultStream))}
	defer in.reverts.Wait()
	for end := time.Now().Add(opt.Duration); time.Now().Before(end); {
		replica := in.drawReplica()
		duration := in.drawDuration(minFaultDuration, faultDurationSpread)
		kind := faultKinds[in.rand.IntN(len(faultKinds))]
		res.Faults = append(res.Faults, fmt.Sprintf("%s %s %v", kind, c.ID(replica), duration))
		opt.Logf("%s %s for %v", kind, c.ID(replica), duration)
		revert, err := in.inject(kind, replica)
		if err != nil {
			return err
		}
		in.revertAfter(ctx, duration, revert)
		select {
		case <-time.After(in.drawDuration(minPause, pauseSpread)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// drawReplica draws a replica, half of the time the leader, whose loss hurts.
func (in *injector) drawReplica() int {
	replica := in.rand.IntN(in.cluster.Len())
	if in.rand.IntN(2) == 0 {
		return in.cluster.Leader(replica)
	}
	return replica
}

// drawDuration draws a duration of shortest and up to spread milliseconds more.
func (in *injector) drawDuration(shortest time.Duration, spread int) time.Duration {
	return shortest + time.Duration(in.rand.IntN(spread))*time.Millisecond
}

// revertAfter ends a fault after a time, or with ctx.
func (in *injector) revertAfter(ctx context.Context, duration time.Duration, revert func()) {
	in.reverts.Go(func() {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		revert()
	})
}

// inject begins a fault, and returns what ends it. A replica that then does not start, or a delay that stays, shows in what
// follows.
func (in *injector) inject(kind faultKind, replica int) (revert func(), err error) {
	c := in.cluster
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
		delay := in.drawDuration(minSyncDelay, syncDelaySpread)
		return func() { c.SetSyncDelay(replica, 0) }, c.SetSyncDelay(replica, delay) //nolint:errcheck // see above
	default:
		return in.impairLinks(kind, replica)
	}
}

// impairLinks stalls or delays the links of a fault.
func (in *injector) impairLinks(kind faultKind, replica int) (revert func(), err error) {
	impairment := &relay.Impairment{Stall: kind != delayLinks, ToTarget: true, FromTarget: true}
	if kind == delayLinks {
		impairment.Delay, impairment.Jitter = linkDelay, linkJitter
	}
	links := affectedLinks(in.cluster, kind, replica, in.rand.IntN(in.cluster.Len()))
	for _, l := range links {
		if err := l.Add(impairment); err != nil {
			return nil, err
		}
	}
	return func() {
		for _, l := range links {
			l.Remove(impairment) //nolint:errcheck // no listener is opened again
		}
	}, nil
}

// affectedLinks are the links of a fault: all of a replica's, those by which it is called or calls others, or those to and
// from one other.
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
