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
	// acceptLingerTimeout is how long a stopping node continues to accept connections. New connections from clients arrive
	// for up to 0.4 s after the stop signal, and closing the listener resets those that are not yet accepted.
	acceptLingerTimeout = 500 * time.Millisecond
	// The platform kills a stopping node with SIGKILL after the longest deadline of any class, counted as at most
	// maxDeadline, plus killGrace. The node fails the requests that are unfinished killMargin before that.
	maxDeadline = 3 * time.Second
	killGrace   = 700 * time.Millisecond
	killMargin  = 250 * time.Millisecond
	// firstUpdateTimeout is how long a starting node waits for the list of discovery before it serves with the endpoint list
	// from its configuration. Discovery responds at once if it has the list, and the node is required to use that list from
	// its first request on.
	firstUpdateTimeout = 250 * time.Millisecond
)

// Run serves until ctx ends, and then until all accepted requests are completed. Requests that are unfinished shortly
// before the platform kills the process are failed. A streamed response is not failed, because that would truncate it: Run
// waits for its end, for at most maxCloseWait.
func (n *Node) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(loopCtx)
	listApplied := make(chan struct{})
	if n.control != nil {
		defer n.control.Close()
		go func() {
			<-listApplied // otherwise the first "vars" response would report no endpoints
			n.control.Serve()
		}()
	}
	n.startBackground(loopCtx, listApplied)
	defer n.frontend.drain.Stop()
	if n.lock != nil {
		defer n.lock.Close()
		go n.awaitPredecessor(loopCtx)
	}
	if !n.awaitAccepting(ctx) {
		return n.listener.Close()
	}
	return n.serve(ctx)
}

// startBackground restores the last snapshot, applies the initial endpoint list, and starts the goroutines that run beside
// the event loop. It closes listApplied once the list is applied.
func (n *Node) startBackground(loopCtx context.Context, listApplied chan<- struct{}) {
	var snapshot balancer.Restore
	restored := false
	if n.snapshotter != nil {
		snapshot, restored = n.snapshotter.Restore(time.Now())
		go n.snapshotter.Run(loopCtx, n.loop.snapshot)
	}
	n.loop.post(func() {
		if restored {
			n.loop.handle(snapshot)
		}
		n.loop.applyUpdate(n.initialList, true)
		close(listApplied)
		if n.loop.watcher.pushMode {
			n.loop.watcher.subscribe()
		}
	})
	if n.registryWatcher != nil {
		go n.readRegistry(loopCtx)
	}
	if n.follower != nil {
		go n.follower.Run(loopCtx)
	}
}

// awaitPredecessor raises the quota of the process once its predecessor has exited. If the lock cannot be acquired, the
// process keeps the smaller quota, which is safe.
func (n *Node) awaitPredecessor(ctx context.Context) {
	err := n.lock.Acquire(ctx)
	switch {
	case err == nil:
		slog.Info("no other process of this node is left")
		close(n.predecessorGone)
		n.setQuota(servingQuota)
	case ctx.Err() == nil:
		slog.Error("could not acquire the process lock; keeping the quota of a starting process", "error", err)
	}
}

// awaitAccepting waits until the node may accept connections. It returns false if ctx ended first. While a predecessor accepts
// connections from the same socket, a node that follows rollouts waits until it is in sync.
func (n *Node) awaitAccepting(ctx context.Context) bool {
	if !n.cfg.Settings.PollDiscovery && n.registryWatcher == nil {
		n.awaitFirstUpdate(ctx)
	}
	if n.follower == nil || n.lock == nil {
		return true
	}
	select {
	case <-n.predecessorGone:
		return true
	case <-n.follower.InSync():
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitFirstUpdate waits until the endpoint list is as new as that of discovery, for at most firstUpdateTimeout.
func (n *Node) awaitFirstUpdate(ctx context.Context) {
	select {
	case <-n.loop.watcher.listReady:
	case <-time.After(firstUpdateTimeout):
		slog.Warn("discovery did not respond; serving with the endpoint list from the configuration", "timeout", firstUpdateTimeout)
	case <-ctx.Done():
	}
}

// serve accepts connections until ctx ends, and then shuts the node down. A node that follows rollouts is ready once the
// registry counts this incarnation as in sync, so that it never serves with outdated settings. Until then the frontend
// rejects the requests that cannot wait. While the registry is unreachable, this has no limit.
func (n *Node) serve(ctx context.Context) error {
	var inSync <-chan struct{} // nil once the node is ready
	if n.follower == nil {
		n.becomeReady()
	} else {
		inSync = n.follower.InSync()
	}
	server := n.frontend.server()
	defer server.Close()
	served := make(chan error, 1)
	go func() { served <- server.Serve(n.listener) }()
	for {
		select {
		case <-inSync:
			inSync = nil
			logVersionEvent(follower.NewServingEvent())
			n.becomeReady()
		case err := <-served:
			return fmt.Errorf("serving clients: %w", err)
		case <-ctx.Done():
			return n.shutdown(served)
		}
	}
}

// becomeReady makes the frontend handle requests.
func (n *Node) becomeReady() {
	n.serving.Store(true)
	n.frontend.readiness.becomeReady()
}

// shutdown completes the accepted requests and returns once all connections are closed. served receives the result of the
// HTTP server's Serve.
func (n *Node) shutdown(served <-chan error) error {
	n.serving.Store(false)
	n.stopping.Store(true)
	n.frontend.readiness.stop()
	cutoff := time.Now().Add(time.Duration(n.longestDeadline.Load()) + killGrace - killMargin)
	n.loop.after(time.Until(cutoff), n.loop.abandonAll)
	n.frontend.drain.Start()
	if n.lock == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serving clients: %w", err)
		case <-time.After(n.acceptLingerTimeout):
		}
	} // otherwise the successor accepts the connections in the backlog
	_ = n.listener.Close()
	<-served //nolint:errcheck // the listener was closed on purpose
	n.frontend.awaitClosed(n.listener.OpenConnections)
	return nil
}

// longestDeadlineOf returns the longest deadline of any class, limited to maxDeadline.
func longestDeadlineOf(settings balancer.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Deadline, maxDeadline))
	}
	return longest
}
