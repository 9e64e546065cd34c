package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

// fleetStatusCmd is "umberbank fleet status".
type fleetStatusCmd struct {
	registryFlags
	JSON bool `name:"json" help:"Print a JSON object."`
}

// Run prints limits, unavailable units, permits and releases.
func (c *fleetStatusCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(view)
	}
	if view.Limits == nil {
		fmt.Fprintln(env.stdout, "no limits are set, so nothing is counted and no permits are granted (umberbank fleet budget)")
		return nil
	}
	return printCoordination(env.stdout, view)
}

// printCoordination prints the state as a table.
func printCoordination(w io.Writer, view *state.CoordinationView) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "limit of\tcapacity\tout\tallowed out\t")
	for _, usage := range view.Usages {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\n", usage.Scope, usage.Capacity, usage.Unavailable, usage.Allowed, choose(usage.Unavailable > usage.Allowed, "OVER", ""))
	}
	for _, unit := range view.Unavailable {
		fmt.Fprintf(t, "out: %s\t%.0f%%\t%s\t%s\t\n", unit.Unit, 100*unit.Fraction, unit.Reason, choose(unit.Permitted, "by permit", "without a permit"))
	}
	for _, permit := range view.Permits {
		fmt.Fprintf(t, "permit: %s\t%s\t%s\t%s\t%s\n", permit.Unit, permit.Holder, permit.Plan, permit.TargetVersion, choose(permit.Begun, "begun", "not begun"))
	}
	if view.Leader != nil {
		fmt.Fprintf(t, "controller: %s\t\t\t\t\n", view.Leader.Endpoint)
	}
	for _, r := range listReleases(view) {
		fmt.Fprintf(t, "release: %s\t%s\t\t\t\n", r.plan.Name, r.status())
	}
	return t.Flush()
}

// choose returns one of two texts.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// releaseRecord is a release as stored in the registry.
type releaseRecord struct {
	plan       release.Plan
	progress   release.Progress
	haltReason string // empty if the release is not halted
}

// listReleases returns the releases among the records of a view.
func listReleases(view *state.CoordinationView) []releaseRecord {
	records := release.View{Records: view.Records}
	var releases []releaseRecord
	for _, r := range view.Records {
		var record releaseRecord
		if !strings.HasPrefix(r.Key, release.PlanKeyPrefix) || json.Unmarshal(r.Value, &record.plan) != nil {
			continue
		}
		record.progress = release.ProgressOf(records, record.plan.Name)
		record.haltReason = release.HaltReason(records, record.plan.Name)
		releases = append(releases, record)
	}
	return releases
}

// status describes the progress of the release.
func (r releaseRecord) status() string {
	switch {
	case r.progress.Done:
		return "done"
	case r.haltReason != "":
		return fmt.Sprintf("HALTED at stage %d of %d: %s", r.progress.Stage+1, len(r.plan.Stages), r.haltReason)
	}
	return fmt.Sprintf("stage %d of %d", r.progress.Stage+1, len(r.plan.Stages))
}
