package scale

import (
	"context"
	"fmt"
	"strings"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// pollUntil calls condition at an interval until it returns true. The string that condition returns describes what is missing.
func pollUntil(ctx context.Context, interval, timeout time.Duration, condition func(context.Context) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		done, missing := condition(ctx)
		if done {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("not completed within %v: %s", timeout, missing)
		}
	}
}

// awaitConvergence waits until all nodes are registered, including the real node with control, no version is pending, and every
// node in sync runs the version in force. It also reads the number of that version, which the next proposal must contain,
// because the response to an earlier proposal may have been lost.
func (p *measurement) awaitConvergence(ctx context.Context) error {
	return pollUntil(ctx, pollInterval, convergeTimeout, func(ctx context.Context) (bool, string) {
		view, err := p.coordinationView(ctx)
		switch {
		case err != nil:
			return false, err.Error()
		case view.Rollout == nil || len(view.Rollout.Nodes) < p.nodes+1:
			return false, "not all nodes are registered"
		case !view.Rollout.Converged():
			return false, "not all nodes run the version in force"
		}
		p.versionNumber = view.Rollout.Committed.Number
		return true, ""
	})
}

// sleep waits for d, or returns ctx's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// firstLine returns the first line of a text, truncated to 240 bytes.
func firstLine(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	return text[:min(len(text), 240)]
}

// endpoints returns the addresses of the replicas.
func (p *measurement) endpoints() []string { return p.cluster.Addresses() }

// coordinationView reads the coordination state, without the units, from the registry.
func (p *measurement) coordinationView(ctx context.Context) (*state.CoordinationView, error) {
	var view state.CoordinationView
	return &view, p.client.Call(ctx, "GET", api.PathCoordination+"?consistent=1", nil, &view)
}

// reachableNodes returns the names of the hollow nodes that are alive and on the side of the registry's majority.
func (p *measurement) reachableNodes() (names []string) {
	for _, h := range p.hollowNodes {
		if h != nil && h.region != p.partitionedRegion {
			names = append(names, h.node)
		}
	}
	return names
}
