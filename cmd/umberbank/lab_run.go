package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/lab"
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
	opt := lab.Options{Seed: c.Seed, Virtual: c.Virtual, Progress: progress(env.stderr, sc.Name),
		Log: func(format string, args ...any) { env.log.Info(strings.TrimSpace(fmt.Sprintf(format, args...))) }}
	if c.Node != "" {
		opt.Node = strings.Fields(c.Node)
	}
	var res *lab.Result
	for range max(1, c.Attempts) {
		res, err = lab.Run(env.ctx, sc, opt)
		if err != nil && (res == nil || !errors.Is(err, context.Canceled)) {
			return err
		}
		if res.Valid || res.Partial {
			break
		}
	}
	if c.Output != "" {
		if err := writeJSON(c.Output, res); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(env.stdout).Encode(res); err != nil {
			return err
		}
	} else if err := printResult(env.stdout, res); err != nil {
		return err
	}
	return verdict(res)
}

// verdict is what a result means for the exit code.
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

// printResult shows a result as a table.
func printResult(w io.Writer, r *lab.Result) error {
	clock := "real processes"
	if r.Virtual {
		clock = "virtual clock"
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d, %s, %.0f s of load, %d requests\n", r.Scenario, r.Seed, clock, r.Seconds, r.Requests)
	fmt.Fprintln(t, "class\tasked\tserved\tlate\trefused\tfailed\tleft\tshare\tp50 ms\tp90 ms\tp99 ms\t")
	for _, name := range r.ClassNames {
		c := r.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", name, c.Requests, c.Served, c.Late, c.Rejected, c.Failed, c.Abandoned, c.ServedShare, c.P50MS, c.P90MS, c.P99MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "served %.3f, worth %.3f, last quarter %.3f; %.2f tries and %.2f attempts a request\n", r.ServedShare, r.WeightedServedShare, r.LastQuarterServedShare, r.ClientAttemptsPerRequest, r.AttemptsPerRequest)
	fmt.Fprintf(w, "loader late (over 5 ms): %.4f of requests, worst %.1f ms\n", r.LoaderLateShare, r.LoaderMaxDelayMS)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %s from %.1f s to %.1f s: %s\n", f.Kind, f.FromSeconds, f.ToSeconds, abbreviate(append(f.Nodes, f.Servers...)))
	}
	for i, v := range r.Violations {
		if i == 5 {
			fmt.Fprintf(w, "... and %d more; --json shows up to 50\n", r.RulesBroken-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %v: %s %s\n", v.Rule, v.At.Round(time.Millisecond), v.Request, v.Detail)
		for _, line := range v.Trace {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	for _, f := range r.FailedExpectations {
		fmt.Fprintf(w, "NOT HELD %s\n", f)
	}
	switch {
	case r.Partial:
		fmt.Fprintln(w, "broken off: this is what came until then")
	case r.Passed():
		fmt.Fprintln(w, "held: all that the scenario expects")
	}
	return nil
}

func abbreviate(l []string) string {
	if len(l) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(l[:8], " "), len(l)-8)
	}
	return strings.Join(l, " ")
}
