package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"umberbank/internal/coordination/faulttest"
)

type fleetFaultTestCmd struct {
	Runs     int    `name:"runs" help:"How many runs, each with a seed of its own." default:"10"`
	Seed     uint64 `name:"seed" help:"The first seed." default:"1"`
	Parallel int    `name:"parallel" help:"How many runs at once; each is some twenty processes." default:"2"`
	NoFaults bool   `name:"no-faults" aliases:"calm" help:"Play no faults."`
	Config   bool   `name:"config" help:"Versions of settings, on real nodes, in place of releases and drains."`
	Nodes    int    `name:"nodes" help:"With --config: how many; from 9 on one is killed for good in each run." default:"9"`
	JSON     bool   `name:"json" help:"Print one JSON object for each run, and one for all at the end."`
}

// Help is shown by --help.
func (fleetFaultTestCmd) Help() string {
	return `Each run is a site of real processes: three replicas of the registry, twelve servers and four nodes with their agents, three
controllers, and staff at the command line who release, halt, resume, take back and drain two zones at once. Processes are
killed, stopped, cut off both ways or one, disks are slow, backups are restored, clocks differ by up to an hour.
With --config a node is killed for good besides, zones are cut off or killed and come back, and a zone with a replica and a
controller is cut off from the rest as a region.
The judge reads what the processes did. Exit codes: 0 all held, 1 some run did not, 2 a run could not be played.

Example:
  umberbank fleet fault-test --runs 50 --json`
}

// fleetFaultTestSummary is what came of all runs.
type fleetFaultTestSummary struct {
	Runs       int     `json:"runs"`
	Failed     int     `json:"failed"`
	Faults     int     `json:"faults"`
	Permits    int     `json:"permits"`
	Acts       int     `json:"acts"`
	OverBudget int     `json:"over_budget"`
	TwoActors  int     `json:"two_actors"`
	LateBegins int     `json:"late_begins"`
	SettleS    float64 `json:"settle_s_max"`
}

// print prints one run: all of it, or what did not hold.
func (c *fleetFaultTestCmd) print(env *environment, r any, seed uint64, broken, faults []string) (err error) {
	switch {
	case c.JSON:
		err = json.NewEncoder(env.stdout).Encode(r)
	case len(broken) > 0:
		_, err = fmt.Fprintf(env.stdout, "BROKEN seed %d: %s\n  after %s\n", seed, strings.Join(broken, "; "), strings.Join(faults, ", "))
	}
	return err
}

func (c *fleetFaultTestCmd) Run(env *environment) error {
	if c.Config {
		return c.runRollouts(env)
	}
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.Result, error) {
		return faulttest.Run(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.NoFaults})
	})
	if err != nil {
		return err
	}
	var sum fleetFaultTestSummary
	for _, r := range results {
		sum.Runs++
		sum.Faults, sum.Permits, sum.Acts = sum.Faults+len(r.Faults), sum.Permits+r.Permits, sum.Acts+r.Acts
		sum.OverBudget, sum.TwoActors, sum.LateBegins = sum.OverBudget+r.OverBudget, sum.TwoActors+r.ActsWithoutLease, sum.LateBegins+r.BegunAfterHalt
		sum.SettleS = max(sum.SettleS, r.SettleS)
		if len(r.Violations) > 0 {
			sum.Failed++
		}
		if err := c.print(env, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(env.stdout).Encode(sum); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(env.stdout, "%d runs, %d failed; %d faults, %d permits, %d acts of controllers; over budget %d, two actors %d, begun after a halt %d; settled within %.1f s\n",
			sum.Runs, sum.Failed, sum.Faults, sum.Permits, sum.Acts, sum.OverBudget, sum.TwoActors, sum.LateBegins, sum.SettleS)
	}
	if sum.Failed > 0 {
		return errCheckFailed
	}
	return nil
}
