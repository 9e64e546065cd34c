package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"umberbank/internal/process"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
)

// measurement is the measurement of one size in one play. It has the processes, the hollow nodes, and the figures up to now.
type measurement struct {
	options  Options
	nodes    int
	figures  *Figures
	dir      string
	cluster  *cluster.Cluster
	client   *client.Client
	launcher *process.Launcher
	guard    *guard

	controller         *process.Process
	nodeWithControl    *process.Process // a real node that follows the registry
	nodeWithoutControl *process.Process // a real node that does not
	staticDiscovery    *staticDiscovery // the discovery of both

	hollowNodes        []*hollowNode // nil for a dead node
	partitionedRegion  string        // region partitioned from the registry's majority; empty without a partition
	versions           versionTracker
	versionNumber      int64   // number of the version in force, or of the last proposal
	settingsMark       int     // makes the content of each version unique
	idleBytesPerSecond int64   // traffic of an idle node
	idleReplicaCores   float64 // processor usage of all replicas while idle
}

const (
	// replicaCount is the number of replicas of the registry.
	replicaCount = 3
	// startTimeout bounds the start of processes, and of replicas after a kill.
	startTimeout = 30 * time.Second
	// convergeTimeout bounds the wait until all nodes run the version in force.
	convergeTimeout = 30 * time.Second
	// detectTimeout bounds the wait until a node's death is detected.
	detectTimeout = 20 * time.Second
	// pollInterval is the interval at which the registry is polled during these waits.
	pollInterval = 100 * time.Millisecond
	// proposalRetryInterval is the pause before a rejected proposal is retried.
	proposalRetryInterval = 30 * time.Millisecond
)

// step is one step of a measurement.
type step struct {
	name    string
	measure func(context.Context) error
}

// steps returns the steps of a measurement in their order. After each step all nodes are alive and run the version in force.
func (p *measurement) steps() []step {
	return []step{
		{"connecting all nodes", p.connectAll},
		{"idle", p.measureIdle},
		{"list change", p.measureListChange},
		{"single versions", p.measureSingleVersions},
		{"bursts", p.measureBursts},
		{"reconnecting all clients", p.measureReconnect},
		{"leader killed", p.measureReplicaKilled},
		{"one node dead", p.measureDeadNode},
		{"zone lost", p.measureLostZone},
		{"regions partitioned", p.measurePartitionedRegions},
	}
}

// measure measures one size in one play. With an error it returns the figures measured before it. label is the prefix of progress
// messages.
func measure(ctx context.Context, options Options, nodes int, maxMB float64, label string) (*Figures, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &measurement{
		options:  options,
		nodes:    nodes,
		figures:  newFigures(nodes),
		launcher: process.NewLauncher(),
		guard:    &guard{maxMB: maxMB, maxProcesses: MaxProcesses},
	}
	defer p.close()
	err := p.run(ctx, cancel, label)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	mb, processes := p.guard.peak()
	p.figures.set(KeyPeakMB, mb)
	p.figures.set(KeyProcesses, float64(processes))
	p.figures.WithinBounds = !errors.Is(err, ErrBounds)
	reason := "an earlier step skipped it"
	if err != nil {
		reason = "the play ended earlier: " + firstLine(err.Error())
	}
	p.figures.fillMissing(reason)
	return p.figures, err
}

// run starts the processes and performs the steps in order, while the guard watches the processes.
func (p *measurement) run(ctx context.Context, cancel context.CancelCauseFunc, label string) error {
	began := time.Now()
	measureStep := func(s step) error {
		p.options.Step(fmt.Sprintf("%s%s, at %.1f s", label, s.name, time.Since(began).Seconds()))
		p.restartExitedReplicas()
		if err := s.measure(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		return nil
	}
	if err := measureStep(step{"starting processes", p.startProcesses}); err != nil {
		return err
	}
	guardCtx, stopGuard := context.WithCancel(ctx)
	var guarding sync.WaitGroup
	guarding.Go(func() { p.guard.watch(guardCtx, p.pids, cancel) })
	defer guarding.Wait()
	defer stopGuard()
	for _, s := range p.steps() {
		if err := measureStep(s); err != nil {
			return err
		}
	}
	return nil
}
