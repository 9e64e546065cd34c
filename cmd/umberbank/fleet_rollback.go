package main

import (
	"fmt"

	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

// fleetHaltCmd is "umberbank fleet halt".
type fleetHaltCmd struct {
	registryFlags
	Name   string `name:"name" arg:"" help:"Name of the release."`
	Reason string `name:"reason" aliases:"why" help:"Reason, which the status shows." default:"by staff"`
}

// findRelease returns the release with a name and the view from which it was read.
func (r registryFlags) findRelease(env *environment, name string) (*releaseRecord, *state.CoordinationView, error) {
	view, err := r.coordinationState(env.ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, record := range listReleases(view) {
		if record.plan.Name == name {
			return &record, view, nil
		}
	}
	return nil, nil, fmt.Errorf("there is no release %q", name)
}

// Run halts a release.
func (c *fleetHaltCmd) Run(env *environment) error {
	if _, _, err := c.findRelease(env, c.Name); err != nil {
		return err
	}
	return c.haltRelease(env, c.Name, c.Reason)
}

// haltRelease halts a release. A release that is already halted keeps its reason.
func (r registryFlags) haltRelease(env *environment, name, reason string) error {
	result, err := r.apply(env.ctx, release.HaltOp(name, reason))
	if err != nil && result.Code != state.CodeConflict {
		return err
	}
	fmt.Fprintf(env.stdout, "%s: halted: no further change begins; changes that have begun are completed\n", name)
	return nil
}

// fleetResumeCmd is "umberbank fleet resume".
type fleetResumeCmd struct {
	registryFlags
	Name string `name:"name" arg:"" help:"Name of the release."`
}

// Run lifts the halt of a release.
func (c *fleetResumeCmd) Run(env *environment) error {
	_, err := c.apply(env.ctx, state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + c.Name})
	if err != nil {
		return fmt.Errorf("%s is not halted: %w", c.Name, err)
	}
	fmt.Fprintf(env.stdout, "%s: goes on\n", c.Name)
	return nil
}

// fleetRollbackCmd is "umberbank fleet rollback".
type fleetRollbackCmd struct {
	registryFlags
	Name string `name:"name" arg:"" help:"Name of the release."`
}

// Run halts a release and stores the plan that undoes it.
func (c *fleetRollbackCmd) Run(env *environment) error {
	if _, _, err := c.findRelease(env, c.Name); err != nil {
		return err
	}
	if err := c.haltRelease(env, c.Name, "taken back"); err != nil {
		return err
	}
	halted, view, err := c.findRelease(env, c.Name) // read after the halt, so that the progress has every unit whose permit began
	if err != nil {
		return err
	}
	plan := release.RollbackPlan(&halted.plan, halted.progress)
	if err := c.putPlan(env, plan, view); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "%s: %d units will be rolled back\n", plan.Name, len(plan.Stages[0]))
	return nil
}
