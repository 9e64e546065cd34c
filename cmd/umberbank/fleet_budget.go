package main

import (
	"fmt"
	"os"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
	"umberbank/internal/stricttoml"
)

// fleetBudgetCmd is "umberbank fleet budget".
type fleetBudgetCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"Disruption limits (TOML)."`
}

// Help is shown by --help.
func (fleetBudgetCmd) Help() string {
	return `For each tier the file sets the share of the capacity that may be unavailable at a time, for any reason: of the whole tier and,
optionally, of each zone, region and rack. No permits are granted for a tier that the file does not list.

Example:
  cold_from = 0.33
  warm_ms = 8800
  lapse_ms = 2000
  [[tier]]
  tier = "web"
  whole = 0.2
  zone = 0.4
  rack = 1.0`
}

// Run reads disruption limits from a file and stores them in the registry.
func (c *fleetBudgetCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var limits disruption.Limits
	if err := stricttoml.Decode(c.File, text, &limits); err != nil {
		return err
	}
	if err := limits.Validate(); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if _, err := c.apply(env.ctx, state.Op{Kind: state.OpSetLimits, Limits: &limits}); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "limits of %d tiers are in force\n", len(limits.Tiers))
	return nil
}
