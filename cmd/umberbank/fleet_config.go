package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"umberbank/internal/registry/state"
	"umberbank/internal/simwire"
)

// fleetConfigCmd groups the commands for the rollout of settings.
type fleetConfigCmd struct {
	Push     fleetConfigPushCmd     `name:"push" cmd:"" help:"Propose a version, which controllers roll out in stages."`
	Status   fleetConfigStatusCmd   `name:"status" cmd:"" help:"Print the version in force, the pending version, and what each node runs."`
	Halt     fleetConfigHaltCmd     `name:"halt" cmd:"" help:"Halt the rollout of the pending version."`
	Withdraw fleetConfigWithdrawCmd `name:"withdraw" cmd:"" help:"Withdraw the pending version before its first stage starts."`
	Rollback fleetConfigRollbackCmd `name:"rollback" aliases:"back" cmd:"" help:"Replace the pending version by a new one with the content of the version in force."`
}

// fleetConfigPushCmd is "umberbank fleet config push".
type fleetConfigPushCmd struct {
	registryFlags
	File     string        `name:"file" arg:"" help:"Settings, as in a node's configuration (JSON)."`
	Stages   []float64     `name:"stages" help:"Shares of all nodes that the stages reach." default:"0.1,1"`
	Bake     time.Duration `name:"bake" help:"Bake time: how long a stage must last before the next begins." default:"5s"`
	Replaces int64         `name:"replaces" help:"Version to replace. -1 is the version in force." default:"-1"`
}

// Help is shown by --help.
func (fleetConfigPushCmd) Help() string {
	return `Every node validates the version as it does at SIGHUP, and acknowledges it or rejects it with a reason. The first stage begins once
more than half of the nodes of each zone, and more than half of all nodes, have acknowledged it. Unreachable nodes count in these
quorums until they are decommissioned; the nodes of a lost zone count only in the quorum of all nodes. A later stage begins once
the nodes that the earlier stages reached run the version. It does not wait for the unreachable ones if they are at most half.

Example:
  umberbank fleet config push settings.json --stages 0.1,0.5,1 --bake 30s`
}

// errNoRollout is returned if no node takes its settings from the registry.
var errNoRollout = errors.New("no node takes its settings from this registry (set the key agreed in the configuration of nodes)")

// Run proposes a version of the settings.
func (c *fleetConfigPushCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	settings, _, err := simwire.ParseSettings(text)
	if err == nil {
		err = settings.Validate()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Bake < 0 {
		return fmt.Errorf("--bake: %v is negative", c.Bake)
	}
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	if view.Rollout == nil {
		return errNoRollout
	}
	if c.Replaces < 0 {
		c.Replaces = view.Rollout.Committed.Number
	}
	result, err := c.apply(env.ctx, state.Op{Kind: state.OpPropose, Value: text, Replaces: c.Replaces, Stages: c.Stages, BakeMS: c.Bake.Milliseconds()})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "version %d is proposed to replace version %d\n", result.Token, c.Replaces)
	return nil
}

// fleetConfigHaltCmd is "umberbank fleet config halt".
type fleetConfigHaltCmd struct {
	registryFlags
	Reason string `name:"reason" aliases:"why" help:"Reason, which the status shows." default:"by staff"`
}

// Run halts the rollout of the pending version.
func (c *fleetConfigHaltCmd) Run(env *environment) error {
	if _, err := c.apply(env.ctx, state.Op{Kind: state.OpHalt, Holder: c.Reason}); err != nil {
		return err
	}
	fmt.Fprintln(env.stdout, "the rollout of the pending version is halted: withdraw the version or roll it back")
	return nil
}

// fleetConfigWithdrawCmd is "umberbank fleet config withdraw".
type fleetConfigWithdrawCmd struct{ registryFlags }

// Run withdraws the pending version.
func (c *fleetConfigWithdrawCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	switch {
	case err != nil:
		return err
	case view.Rollout == nil || view.Rollout.Pending == nil:
		return errors.New("no version is pending")
	}
	if _, err := c.apply(env.ctx, state.Op{Kind: state.OpWithdraw, Number: view.Rollout.Pending.Number}); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "version %d is withdrawn\n", view.Rollout.Pending.Number)
	return nil
}

// fleetConfigRollbackCmd is "umberbank fleet config rollback".
type fleetConfigRollbackCmd struct{ registryFlags }

// Run replaces the pending version by a new one with the content of the version in force.
func (c *fleetConfigRollbackCmd) Run(env *environment) error {
	result, err := c.apply(env.ctx, state.Op{Kind: state.OpRollback})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "version %d is proposed, with the content of the version in force\n", result.Token)
	return nil
}
