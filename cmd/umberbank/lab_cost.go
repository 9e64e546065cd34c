package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/lab/cost"
)

// labCostCmd is "umberbank lab cost".
type labCostCmd struct {
	Duration time.Duration `name:"duration" aliases:"for" help:"Duration of each measurement." default:"3s"`
	Node     string        `name:"node" help:"Command of a node that takes --stats FILE, such as an earlier build's. Default: this program." placeholder:"COMMAND"`
	Rate     float64       `name:"rate" help:"Requests a second at which latencies are measured. 0: half the throughput of the slower one." default:"0"`
	Servers  []int         `name:"servers" help:"Numbers of servers in the list, each measured on its own." default:"8" placeholder:"N,N,..."`
	JSON     bool          `name:"json" help:"Print a JSON object for each measurement."`
}

// Help is shown by --help.
func (labCostCmd) Help() string {
	return `One node on one core, between a load generator and servers that answer at once, beside a bare relay of net/http: requests a second
that each sustains, latency that each adds, processor time and bytes allocated for each request, split by part. It needs idle cores.

Examples:
  umberbank lab cost --json
  umberbank lab cost --rate 391 --servers 31,920 --duration 10s`
}

// Run measures the cost of a node for each number of servers.
func (c *labCostCmd) Run(env *environment) error {
	if c.Duration <= 0 {
		return fmt.Errorf("--duration: %v is not above 0", c.Duration)
	}
	options := cost.Options{Node: strings.Fields(c.Node), Duration: c.Duration, Rate: c.Rate, Step: func(s string) { env.log.Info(s) }}
	for _, n := range c.Servers { // all of them, before the first is started
		if options.Servers = n; n == 0 {
			return errors.New("--servers: 0 is not from 1 on")
		}
		if err := options.Validate(); err != nil {
			return err
		}
	}
	valid := true
	for _, n := range c.Servers {
		options.Servers = n
		r, err := cost.Measure(env.ctx, options)
		if err != nil {
			return err
		}
		if c.JSON {
			err = json.NewEncoder(env.stdout).Encode(r)
		} else {
			err = printCost(env, r)
		}
		if err != nil {
			return err
		}
		valid = valid && r.Valid
	}
	if !valid {
		return errors.New("the figures are not valid: this machine could not send the load in time")
	}
	return nil
}

// printCost prints the figures of the node beside those of the bare relay.
func printCost(env *environment, r *cost.Result) error {
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%d servers\tnode\tbare relay\tratio\t\n", r.Servers)
	row := func(name string, of func(*cost.ProcessCost) float64, digits int) {
		n, b := of(&r.Node), of(&r.Relay)
		ratio := "-" // the relay has no such part
		if b > 0 {
			ratio = fmt.Sprintf("%.2f", n/b)
		}
		fmt.Fprintf(t, "%s\t%.*f\t%.*f\t%s\t\n", name, digits, n, digits, b, ratio)
	}
	row("requests/s held", func(s *cost.ProcessCost) float64 { return s.Throughput }, 0)
	row(fmt.Sprintf("added p50 us, %.0f/s", r.PacedRate), func(s *cost.ProcessCost) float64 { return s.Added.P50 }, 0)
	row("added p99 us", func(s *cost.ProcessCost) float64 { return s.Added.P99 }, 0)
	row("CPU us a request", func(s *cost.ProcessCost) float64 { return s.CPUMicros }, 1)
	for _, p := range cost.Parts {
		row("  "+p, func(s *cost.ProcessCost) float64 { return s.CPUSplit[p] }, 1)
	}
	row("bytes a request", func(s *cost.ProcessCost) float64 { return s.AllocBytes }, 0)
	for _, p := range cost.Parts {
		row("  "+p, func(s *cost.ProcessCost) float64 { return s.AllocSplit[p] }, 0)
	}
	row("allocations a request", func(s *cost.ProcessCost) float64 { return s.Allocs }, 1)
	row("MB at rest", func(s *cost.ProcessCost) float64 { return s.IdleMemoryMB }, 1)
	row("MB under load", func(s *cost.ProcessCost) float64 { return s.MemoryMB }, 1)
	return t.Flush()
}

// labBareRelayCmd is what lab cost measures beside the node.
type labBareRelayCmd struct {
	Listen  string   `name:"listen" required:"" help:"Address to listen on."`
	Targets []string `name:"targets" aliases:"to" required:"" help:"Servers, which are used in turn."`
	Stats   string   `name:"stats" hidden:"" help:"File for what was used between SIGUSR1 and SIGUSR2."`
}

// Run serves until the context ends.
func (c *labBareRelayCmd) Run(env *environment) error {
	if c.Stats != "" {
		cost.WriteStatsOnSignals(c.Stats)
	}
	return cost.ServeRelay(env.ctx, c.Listen, c.Targets)
}
