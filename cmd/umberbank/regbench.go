package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"hollyspur/internal/registry/bench"
)

type registryBenchCmd struct {
	Instances int  `help:"Servers in the list." default:"10000"`
	Watches   int  `help:"Watchers of it." default:"2000"`
	JSON      bool `help:"Print one JSON object."`
}

// Help is shown by --help.
func (registryBenchCmd) Help() string {
	return `Three replicas on this machine, as processes. Wants cores that do nothing else.

Example:
  umberbank registry bench --instances 10000 --watches 2000 --json`
}

func (c *registryBenchCmd) Run(a *app) error {
	r, err := bench.Measure(a.ctx, bench.Options{Instances: c.Instances, Watches: c.Watches, Step: func(s string) { a.log.Info(s) }})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(r)
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "instances, watches\t%d, %d\n", r.Instances, r.Watches)
	fmt.Fprintf(t, "a change comes to watchers\tp50 %.1f ms, p99 %.1f ms; the write alone %.1f ms\n", r.P50, r.P99, r.WriteMeanMS)
	fmt.Fprintf(t, "durable writes\t%.0f/s\n", r.Writes)
	fmt.Fprintf(t, "memory a watch\t%.1f KiB\n", r.PerWatch/1024)
	fmt.Fprintf(t, "writes again after the leader's death\t%.0f ms\n", r.FailoverMS)
	fmt.Fprintf(t, "all watchers back\t%.2f s, %.1f%% without a whole list\n", r.StormS, 100*r.Resumed)
	return t.Flush()
}
