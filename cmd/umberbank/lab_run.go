package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"umberbank/internal/lab"
	"umberbank/internal/lab/scenario"
)

// labRunCmd is "umberbank lab run".
type labRunCmd struct {
	scenarioFlags
	File     string `name:"file" arg:"" optional:"" help:"Scenario file (TOML). Default: a built-in scenario."`
	Seed     uint64 `name:"seed" help:"Seed of all random choices." default:"1"`
	Virtual  bool   `name:"virtual" help:"Simulate on a virtual clock, with the balancer package in place of node processes."`
	Node     string `name:"node" help:"Command of the node, such as one of an earlier build. Default: this program." placeholder:"COMMAND"`
	Attempts int    `name:"attempts" aliases:"tries" help:"Maximum number of attempts to get a valid run." default:"1"`
	JSON     bool   `name:"json" help:"Print a JSON object."`
	Output   string `name:"output" aliases:"out" help:"Write the result to this file, for lab report." placeholder:"FILE"`
}

// Help is shown by --help.
func (labRunCmd) Help() string {
	return `Without --virtual every node is a process, and faults are injected between the processes, on loopback only. A run is not valid if
this machine could not send the load in time. Its figures are then meaningless, and it counts as not run.
Exit codes: 0 all expectations met, 1 an expectation missed or a rule broken, 2 could not be run or not valid.

Examples:
  umberbank lab run
  umberbank lab run labs/partition.toml --seed 3 --duration 30s --json
  umberbank lab run labs/amman.toml --virtual --set load.rate=200
  umberbank lab run --node "bin/umberbank-node"`
}

// Run runs a scenario and prints the result. It returns errCheckFailed if an expectation was missed or a rule was broken.
func (c *labRunCmd) Run(env *environment) error {
	sc, err := c.load(c.File)
	if err != nil {
		return err
	}
	result, err := c.runUntilValid(env, sc)
	if err != nil {
		return err
	}
	if c.Output != "" {
		if err := writeJSON(c.Output, result); err != nil {
			return err
		}
	}
	if c.JSON {
		err = json.NewEncoder(env.stdout).Encode(result)
	} else {
		err = printResult(env.stdout, result)
	}
	if err != nil {
		return err
	}
	return resultError(result)
}

// runUntilValid runs the scenario until a run is valid, at most c.Attempts times, and returns the last result. The result of an
// interrupted run is partial.
func (c *labRunCmd) runUntilValid(env *environment, sc *scenario.Scenario) (*lab.Result, error) {
	options := lab.Options{Seed: c.Seed, Virtual: c.Virtual, Progress: progress(env.stderr, sc.Name),
		Log: func(format string, args ...any) { env.log.Info(strings.TrimSpace(fmt.Sprintf(format, args...))) }}
	if c.Node != "" {
		options.Node = strings.Fields(c.Node)
	}
	var result *lab.Result
	for range max(1, c.Attempts) {
		var err error
		result, err = lab.Run(env.ctx, sc, options)
		if err != nil && (result == nil || !errors.Is(err, context.Canceled)) {
			return nil, err
		}
		if result.Valid || result.Partial {
			break
		}
	}
	return result, nil
}

// resultError returns the error that determines the exit code for a result, nil if the run is valid and passed.
func resultError(r *lab.Result) error {
	switch {
	case r.Partial:
		return errors.New("the run was interrupted")
	case !r.Valid:
		return errors.New("the run is not valid: this machine could not send the load in time")
	case !r.Passed():
		return errCheckFailed
	}
	return nil
}
