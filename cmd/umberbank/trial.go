package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"hollyspur/internal/registry/trial"
)

type registryTrialCmd struct {
	Runs     int    `help:"How many runs, each with a seed of its own." default:"20"`
	Seed     uint64 `help:"The first seed." default:"1"`
	Replicas int    `help:"Replicas of each; 0: three and five in turn." default:"0" enum:"0,1,3,5"`
	Parallel int    `help:"How many runs at once." default:"4"`
	JSON     bool   `help:"Print one JSON object for each run."`
}

// Help is shown by --help.
func (registryTrialCmd) Help() string {
	return `Replicas are killed, stopped, cut off both ways or one, and slowed, one after another and over each other, while users write
and read. Writes and consistent reads are judged for linearizability, watches for gaps and for going back.
Exit codes: 0 all held, 1 some run did not hold, 2 a run could not be played.

Example:
  umberbank registry trial --runs 200`
}

func (c *registryTrialCmd) Run(a *app) error {
	if c.Runs < 1 || c.Parallel < 1 {
		return fmt.Errorf("--runs and --parallel: want 1 or more")
	}
	show := progress(a.err, "runs")
	var mu sync.Mutex
	var results []*trial.Result
	runs, ctx := errgroup.WithContext(a.ctx)
	runs.SetLimit(c.Parallel)
	for i := range c.Runs {
		n := c.Replicas
		if n == 0 {
			n = 3 + 2*(i%2)
		}
		runs.Go(func() error {
			r, err := trial.Run(ctx, trial.Options{Seed: c.Seed + uint64(i), Replicas: n})
			if err != nil {
				return fmt.Errorf("seed %d: %w", c.Seed+uint64(i), err)
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
			if show != nil {
				fmt.Fprintf(a.err, "\r%d of %d runs ", len(results), c.Runs)
			}
			return nil
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	if show != nil {
		fmt.Fprintln(a.err)
	}
	slices.SortFunc(results, func(x, y *trial.Result) int { return int(x.Seed) - int(y.Seed) })
	return c.print(a, results)
}

func (c *registryTrialCmd) print(a *app, results []*trial.Result) error {
	var sum trial.Result
	failed, faults, worst := 0, 0, 0.0
	for _, r := range results {
		if c.JSON {
			if err := json.NewEncoder(a.out).Encode(r); err != nil {
				return err
			}
		}
		sum.Writes, sum.Unknown, sum.Reads, sum.Watched = sum.Writes+r.Writes, sum.Unknown+r.Unknown, sum.Reads+r.Reads, sum.Watched+r.Watched
		faults += len(r.Faults)
		worst = max(worst, r.RecoverS)
		if len(r.Broken) > 0 {
			failed++
			if !c.JSON {
				fmt.Fprintf(a.out, "BROKEN seed %d: %s\n  after %s\n", r.Seed, strings.Join(r.Broken, "; "), strings.Join(r.Faults, ", "))
			}
		}
	}
	if !c.JSON {
		fmt.Fprintf(a.out, "%d runs, %d failed; %d faults, %d writes (%d without an answer), %d consistent reads, %d states of watchers; back within %.1f s\n",
			len(results), failed, faults, sum.Writes, sum.Unknown, sum.Reads, sum.Watched, worst)
	}
	if failed > 0 {
		return errNotHeld
	}
	return nil
}
