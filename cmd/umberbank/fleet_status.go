package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

type fleetStatusCmd struct {
	registryFlags
	JSON bool `name:"json" help:"Print one JSON object."`
}

func (c *fleetStatusCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(view)
	}
	if view.Limits == nil {
		fmt.Fprintln(env.stdout, "no limits are set: nothing is counted, and there are no permits (umberbank fleet budget)")
		return nil
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "limit of\tcapacity\tout\tmay be out\t")
	for _, u := range view.Usages {
		over := ""
		if u.Unavailable > u.Allowed {
			over = "OVER"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\n", u.Scope, u.Capacity, u.Unavailable, u.Allowed, over)
	}
	for _, o := range view.Unavailable {
		by := "by permit"
		if !o.Permitted {
			by = "without a permit"
		}
		fmt.Fprintf(t, "out: %s\t%.0f%%\t%s\t%s\t\n", o.Unit, 100*o.Share, o.Reason, by)
	}
	for _, p := range view.Permits {
		did := "not begun"
		if p.Begun {
			did = "begun"
		}
		fmt.Fprintf(t, "permit: %s\t%s\t%s\t%s\t%s\n", p.Unit, p.Holder, p.Plan, p.TargetVersion, did)
	}
	if view.Leader != nil {
		fmt.Fprintf(t, "controller: %s\t\t\t\t\n", view.Leader.Endpoint)
	}
	for _, r := range listReleases(view) {
		fmt.Fprintf(t, "release: %s\t%s\t\t\t\n", r.plan.Name, r.status())
	}
	return t.Flush()
}

// releaseRecord is a release as the registry holds it.
type releaseRecord struct {
	plan     release.Plan
	progress release.Progress
	halt     string
}

func listReleases(v *state.CoordinationView) (l []releaseRecord) {
	view := release.View{Records: v.Records}
	for _, r := range v.Records {
		var x releaseRecord
		if strings.HasPrefix(r.Key, release.PlanKeyPrefix) && json.Unmarshal(r.Value, &x.plan) == nil {
			x.progress, x.halt = release.ProgressOf(view, x.plan.Name), release.HaltReason(view, x.plan.Name)
			l = append(l, x)
		}
	}
	return l
}

func (r releaseRecord) status() string {
	switch {
	case r.progress.Done:
		return "done"
	case r.halt != "":
		return fmt.Sprintf("HALTED at stage %d of %d: %s", r.progress.Stage+1, len(r.plan.Stages), r.halt)
	}
	return fmt.Sprintf("stage %d of %d", r.progress.Stage+1, len(r.plan.Stages))
}
