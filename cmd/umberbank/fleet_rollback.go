package main

import (
	"fmt"

	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
)

type fleetHaltCmd struct {
	registryFlags
	Name   string `name:"name" arg:"" help:"The release."`
	Reason string `name:"reason" aliases:"why" help:"What others are to read." default:"by staff"`
}

// findRelease gives a release by its name.
func (r registryFlags) findRelease(env *environment, name string) (*releaseRecord, *state.CoordinationView, error) {
	view, err := r.coordinationState(env.ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, x := range listReleases(view) {
		if x.plan.Name == name {
			return &x, view, nil
		}
	}
	return nil, nil, fmt.Errorf("there is no release %q", name)
}

func (c *fleetHaltCmd) Run(env *environment) error {
	if _, _, err := c.findRelease(env, c.Name); err != nil {
		return err
	}
	return c.haltRelease(env, c.Name, c.Reason)
}

// haltRelease halts a release; one that is halted stays so.
func (r registryFlags) haltRelease(env *environment, name, why string) error {
	answer, err := r.apply(env.ctx, release.HaltOp(name, why))
	if err != nil && answer.Code != state.CodeConflict {
		return err
	}
	fmt.Fprintf(env.stdout, "%s: nothing more of it begins; what has begun goes on to its end\n", name)
	return nil
}

type fleetResumeCmd struct {
	registryFlags
	Name string `name:"name" arg:"" help:"The release."`
}

func (c *fleetResumeCmd) Run(env *environment) error {
	_, err := c.apply(env.ctx, state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + c.Name})
	if err != nil {
		return fmt.Errorf("%s is not halted: %w", c.Name, err)
	}
	fmt.Fprintf(env.stdout, "%s: goes on\n", c.Name)
	return nil
}

type fleetRollbackCmd struct {
	registryFlags
	Name string `name:"name" arg:"" help:"The release."`
}

func (c *fleetRollbackCmd) Run(env *environment) error {
	if _, _, err := c.findRelease(env, c.Name); err != nil {
		return err
	}
	if err := c.haltRelease(env, c.Name, "taken back"); err != nil {
		return err
	}
	x, view, err := c.findRelease(env, c.Name) // what was asked for before the halt
	if err != nil {
		return err
	}
	b := release.RollbackPlan(&x.plan, x.progress)
	if err := c.putPlan(env, b, view); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "%s: %d units are to go back\n", b.Name, len(b.Stages[0]))
	return nil
}
