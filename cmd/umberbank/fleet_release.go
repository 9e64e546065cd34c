package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

// fleetReleaseCmd is "umberbank fleet release".
type fleetReleaseCmd struct {
	registryFlags
	Plan  string `name:"plan" arg:"" help:"Release plan (TOML)."`
	Check bool   `name:"check" help:"Check the plan without storing it."`
}

// Help is shown by --help.
func (fleetReleaseCmd) Help() string {
	return `The plan is stored in the registry, and controllers (umberbank fleet controller) carry it out within the disruption budget.
needs gives the capacity that the current load needs, by tier. A plan that would leave less is rejected.

Example:
  name = "web-v2"
  version = "v2"
  at_once = 4
  bake = "5s"
  back_within = "60s"
  needs = { web = 12.0 }
  [[stage]]
  tier = "web"
  share = 0.05
  [[stage]]
  tier = "web"
  share = 1.0`
}

// Run checks a plan against the current state and, without --check, stores it in the registry.
func (c *fleetReleaseCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	if view.Limits == nil {
		return errors.New("no limits are set (umberbank fleet budget)")
	}
	plan, file, err := release.ParsePlan(c.Plan, text, view.Units)
	if err != nil {
		return err
	}
	if err := release.CheckCapacity(plan, file.RequiredCapacity, view.Units, *view.Limits, view.Unavailable); err != nil {
		return fmt.Errorf("%s: needs: %w", c.Plan, err)
	}
	steps := 0
	for _, s := range plan.Stages {
		steps += len(s)
	}
	if c.Check {
		fmt.Fprintf(env.stdout, "%s: %d units in %d stages\n", plan.Name, steps, len(plan.Stages))
		return nil
	}
	if err := c.putPlan(env, plan, view); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "%s: stored; %d units in %d stages will change\n", plan.Name, steps, len(plan.Stages))
	return nil
}

// putPlan stores a plan in the registry. It fails if a release is active, or if one of the same name exists.
func (r registryFlags) putPlan(env *environment, plan *release.Plan, view *state.CoordinationView) error {
	if active := release.ActivePlans(release.View{Records: view.Records}); len(active) > 0 {
		return fmt.Errorf("release %s is active", active[0].Name)
	}
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	op := state.Op{Kind: state.OpPutRecord, Key: release.PlanKeyPrefix + plan.Name, Value: value, IfModRevision: state.Absent}
	if _, err := r.apply(env.ctx, op); err != nil {
		return fmt.Errorf("cannot store release %s: %w", plan.Name, err)
	}
	return nil
}
