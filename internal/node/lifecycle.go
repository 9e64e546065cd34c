package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/follower"
)

const (
	// acceptLingerTimeout is how long a stopping node goes on to accept. New connections come for up to 0.4 s after the signal, and
	// closing the listener would reset those not yet accepted.
	acceptLingerTimeout = 500 * time.Millisecond
	// The platform kills a stopping node with SIGKILL once the longest deadline of a request, maxRequestTimeout at the most, and killGrace more have
	// passed. It answers everything by killMargin before that.
	maxRequestTimeout = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	killMargin        = 250 * time.Millisecond
	// firstUpdateTimeout is how long a node that starts waits for what its agent holds before it serves by the endpoint list in its
	// configuration. The agent answers at once if it can, and the node is expected to know what the agent knows from its start on.
	firstUpdateTimeout = 250 * time.Millisecond
)

// Run serves until ctx ends, and then until all that was accepted is answered. A long response or body that is under way goes on
// until its end, or until the process is killed: ending before would truncate it.
func (n *Node) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(running)
	listKnown := make(chan struct{})
	if n.control != nil {
		defer n.control.Close()
		go func() {
			<-listKnown // else the first figures would tell of no endpoint
			n.control.Serve()
		}()
	}
	n.startBackground(running, listKnown)
	defer n.frontend.drain.Stop()
	if n.lock != nil {
		defer n.lock.Close()
		go n.awaitPredecessor(running)
	}
	if !n.awaitReady(ctx) {
		return n.listener.Close()
	}
	return n.serve(ctx)
}

// startBackground restores the last snapshot, applies the endpoint list to start with, and starts what goes on beside the event
// loop. listKnown is closed once the list is applied.
func (n *Node) startBackground(running context.Context, listKnown chan<- struct{}) {
	var snapshot balancer.Restore
	restored := false
	if n.snapshotter != nil {
		snapshot, restored = n.snapshotter.Restore(time.Now())
		go n.snapshotter.Run(running, n.loop.snapshot)
	}
	n.loop.post(func() {
		if restored {
			n.loop.handle(snapshot)
		}
		n.loop.applyUpdate(n.initialList, true)
		close(listKnown)
		if n.loop.watcher.pushed {
			n.loop.watcher.subscribe()
		}
	})
	if n.registryWatcher != nil {
		go n.readRegistry(running)
	}
	if n.follower != nil {
		go n.follower.Run(running)
	}
}

// awaitPredecessor widens the process's quota once no predecessor is left. Without the lock it stays at the lesser one, which is
// safe.
func (n *Node) awaitPredecessor(ctx context.Context) {
	err := n.lock.Acquire(ctx)
	switch {
	case err == nil:
		slog.Info("no other process of this node is left")
		n.setQuota(servingQuota)
	case ctx.Err() == nil:
		slog.Error("lock of the serving process", "error", err)
	}
}

// awaitReady waits until the node may serve; false: ctx ended first.
func (n *Node) awaitReady(ctx context.Context) bool {
	if !n.cfg.Settings.PollDiscovery && n.registryWatcher == nil {
		n.awaitFirstUpdate(ctx)
	}
	return n.awaitInSync(ctx)
}

// awaitFirstUpdate waits until the node knows the list of its discovery agent, for firstUpdateTimeout at the most.
func (n *Node) awaitFirstUpdate(ctx context.Context) {
	select {
	case <-n.loop.watcher.firstAnswer:
	case <-time.After(firstUpdateTimeout):
		slog.Warn("discovery did not answer; serving by the endpoint list in the configuration", "timeout", firstUpdateTimeout)
	case <-ctx.Done():
	}
}

// awaitInSync waits until this start of the node runs the settings in force, so that it never serves by those before; false: ctx
// ended first. While the registry cannot be reached that lasts as long as it cannot.
func (n *Node) awaitInSync(ctx context.Context) bool {
	if n.follower == nil {
		return true
	}
	select {
	case <-n.follower.InSync():
		logVersionEvent(follower.NewServingEvent())
		return true
	case <-ctx.Done():
		return false
	}
}

// serve serves clients until ctx ends, and then shuts down.
func (n *Node) serve(ctx context.Context) error {
	n.serving.Store(true)
	server := n.frontend.server()
	defer server.Close()
	served := make(chan error, 1)
	go func() { served <- server.Serve(n.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	return n.shutdown(served)
}

// shutdown answers what was accepted and returns once all connections are closed. served is what Serve returns.
func (n *Node) shutdown(served <-chan error) error {
	n.serving.Store(false)
	n.stopping.Store(true)
	cutoff := time.Now().Add(time.Duration(n.longestRequest.Load()) + killGrace - killMargin)
	n.loop.after(time.Until(cutoff), n.loop.abandonAll)
	n.frontend.drain.Start()
	if n.lock == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serving clients: %w", err)
		case <-time.After(n.acceptLingerTimeout):
		}
	} // else the successor accepts what is in the backlog
	_ = n.listener.Close()
	<-served //nolint:errcheck // the listener was closed on purpose
	n.frontend.awaitClosed(n.listener.OpenConnections)
	return nil
}

// longestRequestOf is how long clients may wait for what a stopping node has accepted.
func longestRequestOf(settings balancer.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Deadline, maxRequestTimeout))
	}
	return longest
}
