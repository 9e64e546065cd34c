package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"umberbank/internal/coordination/faulttest"
)

// fleetFaultTestCmd is "umberbank fleet fault-test".
type fleetFaultTestCmd struct {
	Runs     int    `name:"runs" help:"Number of runs, each with its own seed." default:"10"`
	Seed     uint64 `name:"seed" help:"First seed." default:"1"`
	Parallel int    `name:"parallel" help:"Runs in parallel. Each has about twenty processes." default:"2"`
	NoFaults bool   `name:"no-faults" aliases:"calm" help:"Inject no faults."`
	Config   bool   `name:"config" help:"Test versions of settings on real nodes, instead of releases and drains."`
	Nodes    int    `name:"nodes" help:"With --config: number of nodes. If there are 9 or more, one is killed in each run and not started again." default:"9"`
	JSON     bool   `name:"json" help:"Print a JSON object for each run and for the summary."`
}

// Help is shown by --help.
func (fleetFaultTestCmd) Help() string {
	return `Each run is a site of real processes. Without --config it has three replicas of the registry, twelve servers and four nodes
with their agents, three controllers, and operators that release, halt, resume and roll back, and drain servers of two zones at
once. Processes are killed, stopped, and partitioned in one or both directions; disks are slow, backups are restored, and the
clocks of agents are up to an hour off.
With --config one node is also killed and not started again, all nodes of a zone are partitioned from the registry or killed for
a time, and a zone with its nodes, a replica and a controller is partitioned from the rest.
The run is checked from the logs of the processes. Exit codes: 0 no violation, 1 a violation, 2 a run could not be carried out.

Example:
  umberbank fleet fault-test --runs 50 --json`
}

// fleetFaultTestSummary is the summary of runs with releases.
type fleetFaultTestSummary struct {
	Runs               int     `json:"runs"`
	Failed             int     `json:"failed"`
	Faults             int     `json:"faults"`
	Permits            int     `json:"permits"`
	AppliedWrites      int     `json:"acts"` // of controllers
	OverBudget         int     `json:"over_budget"`
	WritesWithoutLease int     `json:"two_actors"`
	BegunAfterHalt     int     `json:"late_begins"`
	MaxSettleS         float64 `json:"settle_s_max"` // from the end of the faults until all units ran their versions, in seconds
}

func (s *fleetFaultTestSummary) add(r *faulttest.Result) {
	s.Runs++
	s.Faults += len(r.Faults)
	s.Permits += r.Permits
	s.AppliedWrites += r.AppliedWrites
	s.OverBudget += r.OverBudget
	s.WritesWithoutLease += r.WritesWithoutLease
	s.BegunAfterHalt += r.BegunAfterHalt
	s.MaxSettleS = max(s.MaxSettleS, r.SettleS)
	if len(r.Violations) > 0 {
		s.Failed++
	}
}

func (s *fleetFaultTestSummary) print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d runs, %d failed; %d faults, %d permits, %d writes of controllers; over budget %d, writes without the lease %d, begun after a halt %d; settled within %.1f s\n",
		s.Runs, s.Failed, s.Faults, s.Permits, s.AppliedWrites, s.OverBudget, s.WritesWithoutLease, s.BegunAfterHalt, s.MaxSettleS)
	return err
}

// printRun prints the result of a run as JSON, or its violations as text.
func (c *fleetFaultTestCmd) printRun(env *environment, result any, seed uint64, violations, faults []string) error {
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(result)
	}
	printViolations(env.stdout, seed, violations, faults)
	return nil
}

// Run runs the fault-injection tests and prints their results.
func (c *fleetFaultTestCmd) Run(env *environment) error {
	if c.Config {
		return c.runSettings(env)
	}
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.Result, error) {
		return faulttest.Run(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.NoFaults})
	})
	if err != nil {
		return err
	}
	var summary fleetFaultTestSummary
	for _, r := range results {
		summary.add(r)
		if err := c.printRun(env, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	return c.printSummary(env, &summary, summary.Failed)
}

// printSummary prints the summary of all runs. It returns errCheckFailed if a run failed.
func (c *fleetFaultTestCmd) printSummary(env *environment, summary interface{ print(io.Writer) error }, failed int) error {
	var err error
	if c.JSON {
		err = json.NewEncoder(env.stdout).Encode(summary)
	} else {
		err = summary.print(env.stdout)
	}
	if err == nil && failed > 0 {
		err = errCheckFailed
	}
	return err
}
