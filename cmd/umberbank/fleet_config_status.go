package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/coordination/rollout"
)

// fleetConfigStatusCmd is "umberbank fleet config status".
type fleetConfigStatusCmd struct {
	registryFlags
	JSON bool `name:"json" help:"Print one JSON object."`
}

// Run prints the state of the rollout and of each node.
func (c *fleetConfigStatusCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	b := view.Rollout
	if b == nil {
		return errNoRollout
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(b)
	}
	fmt.Fprintf(env.stdout, "in force: version %d %.12s\n", b.Committed.Number, b.Committed.Hash)
	if p := b.Pending; p != nil {
		stands := "is told on"
		if b.HaltReason != "" {
			stands = "HALTED: " + b.HaltReason
		} else if err := b.CheckReady(); err != nil {
			stands = "waits: " + err.Error()
		}
		fmt.Fprintf(env.stdout, "under way: version %d %.12s, %d of %d stages told; %s\n", p.Number, p.Hash, b.Stage, len(p.Stages), stands)
	}
	for _, zone := range slices.Sorted(maps.Keys(b.LostZones)) {
		fmt.Fprintf(env.stdout, "zone %s is LOST since %s: its quorum is passed over\n", zone, formatTime(b.LostZones[zone]))
	}
	if l := b.OutOfSync(); len(l) > 0 {
		fmt.Fprintf(env.stdout, "%d of %d nodes are not in touch: nothing waits for them, and they take what is in force before they count\n", len(l), len(b.Nodes))
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "node\tzone\truns\ttold\tacknowledged\t")
	for _, id := range slices.Sorted(maps.Keys(b.Nodes)) {
		n := b.Nodes[id]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", id, n.Zone, runningVersion(n), n.TargetVersion, n.Acknowledged, strings.TrimSpace(n.Violation+" "+n.RejectReason))
	}
	return t.Flush()
}

// runningVersion says what is known of what a node runs.
func runningVersion(n *rollout.Node) string {
	switch {
	case n.InSync():
		return fmt.Sprint(n.RunningVersion)
	case n.Unreachable:
		return fmt.Sprintf("%s, out of touch since %s", possibleVersions(n), formatTime(*cmp.Or(n.OutOfSyncSince, &rollout.Timestamp{})))
	case n.Reported:
		return fmt.Sprintf("%d, catching up", n.RunningVersion)
	}
	return possibleVersions(n) + ", catching up"
}

// possibleVersions is what a node may run that is not in touch.
func possibleVersions(n *rollout.Node) string {
	if n.HighestPossible <= n.RunningVersion {
		return fmt.Sprint(n.RunningVersion)
	}
	return fmt.Sprintf("%d to %d", n.RunningVersion, n.HighestPossible)
}

// formatTime is when something was written, for people: by the leader's clock, or where that is not said by the revision.
func formatTime(m rollout.Timestamp) string {
	switch {
	case m.UnixMS > 0:
		return time.UnixMilli(m.UnixMS).UTC().Format(time.RFC3339)
	case m.Revision == 0:
		return "an unknown time"
	}
	return fmt.Sprintf("revision %d", m.Revision)
}
