package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"hollyspur/internal/agree/trial"
)

type fleetTrialCmd struct {
	Runs     int    `help:"How many runs, each with a seed of its own." default:"10"`
	Seed     uint64 `help:"The first seed." default:"1"`
	Parallel int    `help:"How many runs at once; each is some twenty processes." default:"2"`
	Calm     bool   `help:"Play no faults."`
	JSON     bool   `help:"Print one JSON object for each run, and one for all at the end."`
}

// Help is shown by --help.
func (fleetTrialCmd) Help() string {
	return `Each run is a site of real processes: three replicas of the registry, twelve servers and four nodes with their agents, three
controllers, and staff at the command line who release, halt, resume, take back and drain two zones at once. Processes are
killed, stopped, cut off both ways or one, disks are slow, backups are restored, clocks differ by up to an hour.
The judge reads what the processes did. Exit codes: 0 all held, 1 some run did not, 2 a run could not be played.

Example:
  umberbank fleet trial --runs 50 --json`
}

// fleetTrialSum is what came of all runs.
type fleetTrialSum struct {
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

func (c *fleetTrialCmd) Run(a *app) error {
	results, err := runs(a, c.Runs, c.Parallel, func(ctx context.Context, i int) (*trial.Result, error) {
		return trial.Run(ctx, trial.Options{Seed: c.Seed + uint64(i), Calm: c.Calm})
	})
	if err != nil {
		return err
	}
	print := json.NewEncoder(a.out).Encode
	var sum fleetTrialSum
	for _, r := range results {
		sum.Runs++
		sum.Faults, sum.Permits, sum.Acts = sum.Faults+len(r.Faults), sum.Permits+r.Permits, sum.Acts+r.Acts
		sum.OverBudget, sum.TwoActors, sum.LateBegins = sum.OverBudget+r.OverBudget, sum.TwoActors+r.TwoActors, sum.LateBegins+r.LateBegins
		sum.SettleS = max(sum.SettleS, r.SettleS)
		if len(r.Broken) > 0 {
			sum.Failed++
		}
		switch {
		case c.JSON:
			if err := print(r); err != nil {
				return err
			}
		case len(r.Broken) > 0:
			fmt.Fprintf(a.out, "BROKEN seed %d: %s\n  after %s\n", r.Seed, strings.Join(r.Broken, "; "), strings.Join(r.Faults, ", "))
		}
	}
	if c.JSON {
		if err := print(sum); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "%d runs, %d failed; %d faults, %d permits, %d acts of controllers; over budget %d, two actors %d, begun after a halt %d; settled within %.1f s\n",
			sum.Runs, sum.Failed, sum.Faults, sum.Permits, sum.Acts, sum.OverBudget, sum.TwoActors, sum.LateBegins, sum.SettleS)
	}
	if sum.Failed > 0 {
		return errNotHeld
	}
	return nil
}
