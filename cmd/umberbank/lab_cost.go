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
	Node     string        `name:"node" help:"Command of a node that takes --stats FILE, such as one of an earlier build. Default: this program." placeholder:"COMMAND"`
	Rate     float64       `name:"rate" help:"Rate in requests per second at which latencies are measured. 0 is half the throughput of the slower of node and relay." default:"0"`
	Servers  []int         `name:"servers" help:"Numbers of servers in the list, each with a measurement of its own." default:"8" placeholder:"N,N,..."`
	JSON     bool          `name:"json" help:"Print a JSON object for each measurement."`
}

// Help is shown by --help.
func (labCostCmd) Help() string {
	return `Measures one node on one core, between a load generator and servers that respond at once, and for comparison a bare relay built on
net/http: the requests per second that each sustains, the latency that each adds, and the CPU time and bytes allocated per request,
split by part. The measurement needs idle cores.

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
	for _, n := range c.Servers { // all are validated before the first measurement starts
		if options.Servers = n; n == 0 {
			return errors.New("--servers: 0 is below 1")
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
		return errors.New("the measurement is not valid: this machine could not send the load in time")
	}
	return nil
}

// printCost prints the figures of the node, those of the bare relay and their ratio.
func printCost(env *environment, r *cost.Result) error {
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%d servers\tnode\tbare relay\tratio\t\n", r.Servers)
	row := func(name string, metric func(*cost.ProcessCost) float64, digits int) {
		n, b := metric(&r.Node), metric(&r.Relay)
		ratio := "-" // the relay has no such part
		if b > 0 {
			ratio = fmt.Sprintf("%.2f", n/b)
		}
		fmt.Fprintf(t, "%s\t%.*f\t%.*f\t%s\t\n", name, digits, n, digits, b, ratio)
	}
	row("requests/s sustained", func(s *cost.ProcessCost) float64 { return s.Throughput }, 0)
	row(fmt.Sprintf("added p50 us, %.0f/s", r.PacedRate), func(s *cost.ProcessCost) float64 { return s.Added.P50 }, 0)
	row("added p99 us", func(s *cost.ProcessCost) float64 { return s.Added.P99 }, 0)
	row("CPU us per request", func(s *cost.ProcessCost) float64 { return s.CPUMicros }, 1)
	for _, p := range cost.Parts {
		row("  "+p, func(s *cost.ProcessCost) float64 { return s.CPUSplit[p] }, 1)
	}
	row("bytes per request", func(s *cost.ProcessCost) float64 { return s.AllocBytes }, 0)
	for _, p := range cost.Parts {
		row("  "+p, func(s *cost.ProcessCost) float64 { return s.AllocSplit[p] }, 0)
	}
	row("allocations per request", func(s *cost.ProcessCost) float64 { return s.Allocs }, 1)
	row("MB idle", func(s *cost.ProcessCost) float64 { return s.IdleMemoryMB }, 1)
	row("MB under load", func(s *cost.ProcessCost) float64 { return s.MemoryMB }, 1)
	return t.Flush()
}

// labBareRelayCmd is "umberbank lab bare-relay", the relay with which lab cost compares the node.
type labBareRelayCmd struct {
	Listen  string   `name:"listen" required:"" help:"Address to listen on."`
	Targets []string `name:"targets" aliases:"to" required:"" help:"Servers, used in turn."`
	Stats   string   `name:"stats" hidden:"" help:"File for the resource usage between SIGUSR1 and SIGUSR2."`
}

// Run runs the relay until the context is done.
func (c *labBareRelayCmd) Run(env *environment) error {
	if c.Stats != "" {
		cost.WriteStatsOnSignals(c.Stats)
	}
	return cost.ServeRelay(env.ctx, c.Listen, c.Targets)
}
