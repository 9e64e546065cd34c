package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
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
	JSON bool `name:"json" help:"Print a JSON object."`
}

// Run prints the state of the rollout and of each node.
func (c *fleetConfigStatusCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	if view.Rollout == nil {
		return errNoRollout
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(view.Rollout)
	}
	printRollout(env.stdout, view.Rollout)
	return printRolloutNodes(env.stdout, view.Rollout)
}

// printRollout prints the version in force, the pending version, lost zones and the number of nodes that are out of sync.
func printRollout(w io.Writer, s *rollout.State) {
	fmt.Fprintf(w, "in force: version %d %.12s\n", s.Committed.Number, s.Committed.Hash)
	if p := s.Pending; p != nil {
		fmt.Fprintf(w, "pending: version %d %.12s, %d of %d stages started; %s\n", p.Number, p.Hash, s.StartedStages, len(p.Stages), pendingStatus(s))
	}
	for _, zone := range slices.Sorted(maps.Keys(s.LostZones)) {
		fmt.Fprintf(w, "zone %s is LOST since %s: its quorum is passed over\n", zone, formatTime(s.LostZones[zone]))
	}
	if outOfSync := s.OutOfSync(); len(outOfSync) > 0 {
		fmt.Fprintf(w, "%d of %d nodes are out of sync: each must run its target version before it counts as in sync; the rollout goes on without them if enough other nodes acknowledge and run the version\n", len(outOfSync), len(s.Nodes))
	}
}

// pendingStatus describes whether the rollout of the pending version is halted, waiting or in progress.
func pendingStatus(s *rollout.State) string {
	if s.HaltReason != "" {
		return "HALTED: " + s.HaltReason
	}
	if err := s.CheckReady(); err != nil {
		return "waits: " + err.Error()
	}
	return "in progress"
}

// printRolloutNodes prints a line for each node.
func printRolloutNodes(w io.Writer, s *rollout.State) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "node\tzone\truns\ttarget\tacknowledged\t")
	for _, id := range slices.Sorted(maps.Keys(s.Nodes)) {
		n := s.Nodes[id]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", id, n.Zone, runningVersion(n), n.TargetVersion, n.AcknowledgedVersion, strings.TrimSpace(n.Violation+" "+n.RejectReason))
	}
	return t.Flush()
}

// runningVersion describes which version a node runs. For a node that is out of sync it gives the versions that it may run.
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

// possibleVersions returns the version, or the range of versions, that a node which is out of sync may run.
func possibleVersions(n *rollout.Node) string {
	if n.HighestPossibleVersion <= n.RunningVersion {
		return fmt.Sprint(n.RunningVersion)
	}
	return fmt.Sprintf("%d to %d", n.RunningVersion, n.HighestPossibleVersion)
}

// formatTime formats the time of a write by the leader's clock. If the time is unknown, it gives the write's revision, if known.
func formatTime(ts rollout.Timestamp) string {
	switch {
	case ts.UnixMS > 0:
		return time.UnixMilli(ts.UnixMS).UTC().Format(time.RFC3339)
	case ts.Revision == 0:
		return "an unknown time"
	}
	return fmt.Sprintf("revision %d", ts.Revision)
}
