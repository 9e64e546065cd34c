package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"umberbank/internal/registry/bench"
)

// permitsDuration is the duration of a measurement of permit decisions.
const permitsDuration = 10 * time.Second

// registryBenchCmd is "umberbank registry bench".
type registryBenchCmd struct {
	Instances int    `name:"instances" help:"Number of servers in the list." default:"10000"`
	Watches   int    `name:"watches" help:"Number of watchers of the list." default:"2000"`
	ListSizes []int  `name:"list-sizes" aliases:"lengths" help:"Measure only the cost of a change, with lists of these lengths." placeholder:"N,N,..."`
	Plot      string `name:"plot" help:"With --list-sizes: write a plot of the cost to this file (SVG)." placeholder:"FILE"`
	Permits   int    `name:"permits" help:"Measure only decisions about disruption permits, at this rate per second for 10 s." placeholder:"N"`
	JSON      bool   `name:"json" help:"Print a JSON object; with --list-sizes one for each length."`
}

// Help is shown by --help.
func (registryBenchCmd) Help() string {
	return `Runs three replicas as processes on this machine. The measurement needs idle cores.

Example:
  umberbank registry bench --instances 10000 --watches 2000 --json
  umberbank registry bench --permits 2000
  umberbank registry bench --list-sizes 10,100,1000,10000 --watches 200 --plot change.svg`
}

// Run measures a registry and prints the figures.
func (c *registryBenchCmd) Run(env *environment) error {
	if len(c.ListSizes) > 0 {
		return c.benchListSizes(env)
	}
	if c.Permits > 0 {
		return c.benchPermits(env)
	}
	if c.Plot != "" {
		return errors.New("--plot: only with --list-sizes")
	}
	r, err := bench.Measure(env.ctx, bench.Options{Instances: c.Instances, Watches: c.Watches, Progress: func(s string) { env.log.Info(s) }})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(r)
	}
	return printBench(env.stdout, r)
}

func printBench(w io.Writer, r *bench.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "instances, watches\t%d, %d\n", r.Instances, r.Watches)
	fmt.Fprintf(t, "propagation to watchers\tp50 %.1f ms, p99 %.1f ms; the write alone %.1f ms\n", r.PropagationP50MS, r.PropagationP99MS, r.WriteMeanMS)
	fmt.Fprintf(t, "durable writes\t%.0f/s\n", r.WritesPerSecond)
	fmt.Fprintf(t, "memory per watch\t%.1f KiB\n", r.BytesPerWatch/1024)
	fmt.Fprintf(t, "failover after a kill of the leader\t%.0f ms\n", r.FailoverMS)
	fmt.Fprintf(t, "all watchers reconnected\t%.2f s, %.1f%% without a full list\n", r.ReconnectStormSeconds, 100*r.ResumedFraction)
	return t.Flush()
}

// benchPermits measures the latency and rate of permit decisions.
func (c *registryBenchCmd) benchPermits(env *environment) error {
	p, err := bench.MeasurePermits(env.ctx, bench.Options{Instances: c.Instances, Progress: func(s string) { env.log.Info(s) }}, c.Permits, permitsDuration)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(p)
	}
	_, err = fmt.Fprintf(env.stdout, "%d units, %.0f decisions per second requested, %.0f made: p50 %.1f ms, p99 %.1f ms (%d granted, %d returned)\n",
		p.Units, p.RequestedPerSecond, p.DecidedPerSecond, p.P50MS, p.P99MS, p.Granted, p.Returned)
	return err
}

// benchListSizes measures the cost of a change in lists of several lengths.
func (c *registryBenchCmd) benchListSizes(env *environment) error {
	results, err := bench.MeasureListLengths(env.ctx, bench.Options{Watches: c.Watches, Progress: func(s string) { env.log.Info(s) }}, c.ListSizes)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		f, err := os.Create(c.Plot)
		if err != nil {
			return err
		}
		if err := errors.Join(bench.Plot(f, results), f.Close()); err != nil {
			return fmt.Errorf("%s: %w", c.Plot, err)
		}
	}
	if c.JSON {
		enc := json.NewEncoder(env.stdout)
		for _, r := range results {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	return printListSizes(env.stdout, results)
}

func printListSizes(w io.Writer, results []*bench.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\twrite ms\tpropagation p50 ms\tp99 ms\tCPU ms\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Instances, r.WriteMeanMS, r.PropagationP50MS, r.PropagationP99MS, r.CPUPerChangeMS)
	}
	return t.Flush()
}
