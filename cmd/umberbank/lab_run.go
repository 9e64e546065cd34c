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
	File     string `name:"file" arg:"" optional:"" help:"The scenario (TOML); none: the default one, which is built in."`
	Seed     uint64 `name:"seed" help:"Draws all that the file leaves to chance." default:"1"`
	Virtual  bool   `name:"virtual" help:"Play on the virtual clock, with the decision module in place of processes."`
	Node     string `name:"node" help:"Command of the node to try, such as an earlier build; none: this program's own." placeholder:"COMMAND"`
	Attempts int    `name:"attempts" aliases:"tries" help:"Play again, up to so many times in all, while the run is not valid." default:"1"`
	JSON     bool   `name:"json" help:"Print one JSON object."`
	Output   string `name:"output" aliases:"out" help:"Keep the result in this file, for lab report." placeholder:"FILE"`
}

// Help is shown by --help.
func (labRunCmd) Help() string {
	return `Without --virtual every node is a process of its own, and faults strike between them, on loopback alone.
A run whose load this machine could not send in time is not valid: it says nothing, and counts as not run.
Exit codes: 0 all held, 1 something did not hold, 2 it could not be run.

Examples:
  umberbank lab run
  umberbank lab run labs/partition.toml --seed 3 --duration 30s --json
  umberbank lab run labs/amman.toml --virtual --set load.rate=200
  umberbank lab run --node "bin/umberbank-node"`
}

// Run plays a scenario, prints the result, and fails if an expectation was missed.
func (c *labRunCmd) Run(env *environment) error {
	sc, err := c.load(c.File)
	if err != nil {
		return err
	}
	result, err := c.play(env, sc)
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
	return verdict(result)
}

// play plays the scenario until a run is valid, at most as often as the flags allow. A run that was interrupted is returned as
// far as it came.
func (c *labRunCmd) play(env *environment, sc *scenario.Scenario) (*lab.Result, error) {
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

// verdict returns the error that gives a result its exit code.
func verdict(r *lab.Result) error {
	switch {
	case r.Partial:
		return errors.New("the run was broken off")
	case !r.Valid:
		return errors.New("the run is not valid: this machine could not send the load in time")
	case !r.Passed():
		return errCheckFailed
	}
	return nil
}
