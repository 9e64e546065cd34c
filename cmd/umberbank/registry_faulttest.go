package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"umberbank/internal/registry/faulttest"
)

type registryFaultTestCmd struct {
	Runs     int    `name:"runs" help:"How many runs, each with a seed of its own." default:"20"`
	Seed     uint64 `name:"seed" help:"The first seed." default:"1"`
	Replicas int    `name:"replicas" help:"Replicas of each; 0: three and five in turn." default:"0" enum:"0,1,3,5"`
	Parallel int    `name:"parallel" help:"How many runs at once." default:"4"`
	JSON     bool   `name:"json" help:"Print one JSON object for each run."`
}

// Help is shown by --help.
func (registryFaultTestCmd) Help() string {
	return `Replicas are killed, stopped, cut off both ways or one, and slowed, one after another and over each other, while users write
and read. Writes and consistent reads are judged for linearizability, watches for gaps and for going back.
Exit codes: 0 all held, 1 some run did not hold, 2 a run could not be played.

Example:
  umberbank registry fault-test --runs 200`
}

func (c *registryFaultTestCmd) Run(env *environment) error {
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.Result, error) {
		n := c.Replicas
		if n == 0 {
			n = 3 + 2*(i%2)
		}
		return faulttest.Run(ctx, faulttest.Options{Seed: c.Seed + uint64(i), Replicas: n})
	})
	if err != nil {
		return err
	}
	return c.print(env, results)
}

func (c *registryFaultTestCmd) print(env *environment, results []*faulttest.Result) error {
	var sum faulttest.Result
	failed, faults, worst := 0, 0, 0.0
	for _, r := range results {
		if c.JSON {
			if err := json.NewEncoder(env.stdout).Encode(r); err != nil {
				return err
			}
		}
		sum.Writes, sum.UnknownWrites, sum.Reads, sum.WatchEvents = sum.Writes+r.Writes, sum.UnknownWrites+r.UnknownWrites, sum.Reads+r.Reads, sum.WatchEvents+r.WatchEvents
		faults += len(r.Faults)
		worst = max(worst, r.RecoverySeconds)
		if len(r.Violations) > 0 {
			failed++
			if !c.JSON {
				fmt.Fprintf(env.stdout, "BROKEN seed %d: %s\n  after %s\n", r.Seed, strings.Join(r.Violations, "; "), strings.Join(r.Faults, ", "))
			}
		}
	}
	if !c.JSON {
		fmt.Fprintf(env.stdout, "%d runs, %d failed; %d faults, %d writes (%d without an answer), %d consistent reads, %d states of watchers; back within %.1f s\n",
			len(results), failed, faults, sum.Writes, sum.UnknownWrites, sum.Reads, sum.WatchEvents, worst)
	}
	if failed > 0 {
		return errCheckFailed
	}
	return nil
}
