package main

import (
	"context"
	"encoding/json"
	"fmt"

	"umberbank/internal/registry/faulttest"
)

// registryFaultTestCmd is "umberbank registry fault-test".
type registryFaultTestCmd struct {
	Runs     int    `name:"runs" help:"Number of runs, each with its own seed." default:"20"`
	Seed     uint64 `name:"seed" help:"First seed." default:"1"`
	Replicas int    `name:"replicas" help:"Replicas of each registry. 0 alternates between three and five." default:"0" enum:"0,1,3,5"`
	Parallel int    `name:"parallel" help:"Runs in parallel." default:"4"`
	JSON     bool   `name:"json" help:"Print a JSON object for each run."`
}

// Help is shown by --help.
func (registryFaultTestCmd) Help() string {
	return `Replicas are killed, stopped, partitioned in one or both directions, and slowed, one at a time and several at once, while clients
write and read. Writes and consistent reads are checked for linearizability, and watches for gaps and decreasing revisions.
Exit codes: 0 no violation, 1 a violation, 2 a run could not be carried out.

Example:
  umberbank registry fault-test --runs 200`
}

// Run runs the fault-injection tests and prints their results.
func (c *registryFaultTestCmd) Run(env *environment) error {
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.Result, error) {
		replicas := c.Replicas
		if replicas == 0 {
			replicas = 3 + 2*(i%2) // alternates between three and five
		}
		return faulttest.Run(ctx, faulttest.Options{Seed: c.Seed + uint64(i), Replicas: replicas})
	})
	if err != nil {
		return err
	}
	return c.print(env, results)
}

// registryFaultTestSummary is the summary of several runs.
type registryFaultTestSummary struct {
	runs, failed, faults         int
	writes, unknownWrites, reads int
	watchEvents                  int
	maxRecoverySeconds           float64
}

func (s *registryFaultTestSummary) add(r *faulttest.Result) {
	s.runs++
	s.faults += len(r.Faults)
	s.writes += r.Writes
	s.unknownWrites += r.UnknownWrites
	s.reads += r.Reads
	s.watchEvents += r.WatchEvents
	s.maxRecoverySeconds = max(s.maxRecoverySeconds, r.RecoverySeconds)
	if len(r.Violations) > 0 {
		s.failed++
	}
}

// print prints the results as JSON, or the violations and a summary as text.
func (c *registryFaultTestCmd) print(env *environment, results []*faulttest.Result) error {
	var summary registryFaultTestSummary
	for _, r := range results {
		summary.add(r)
		if !c.JSON {
			printViolations(env.stdout, r.Seed, r.Violations, r.Faults)
		} else if err := json.NewEncoder(env.stdout).Encode(r); err != nil {
			return err
		}
	}
	if !c.JSON {
		fmt.Fprintf(env.stdout, "%d runs, %d failed; %d faults, %d writes (%d without a response), %d consistent reads, %d watch events; recovered within %.1f s\n",
			summary.runs, summary.failed, summary.faults, summary.writes, summary.unknownWrites, summary.reads, summary.watchEvents, summary.maxRecoverySeconds)
	}
	if summary.failed > 0 {
		return errCheckFailed
	}
	return nil
}
