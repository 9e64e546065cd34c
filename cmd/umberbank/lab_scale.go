package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"umberbank/internal/lab/scale"
)

// labScaleCmd is "umberbank lab scale".
type labScaleCmd struct {
	Nodes []int  `name:"nodes" help:"Numbers of nodes, in ascending order." default:"115,230,460,920" placeholder:"N,N,..."`
	Plays int    `name:"plays" help:"Runs of each size." default:"3"`
	Plot  string `name:"plot" help:"Write a plot of the times over the sizes to this file (SVG)." placeholder:"FILE"`
	Check string `name:"check" help:"Only check that the figures of a page, such as docs/CAPACITY.md, follow from its slopes." placeholder:"FILE"`
	JSON  bool   `name:"json" help:"Print a JSON object: the figures of the largest size, followed by all sizes, slopes and runs."`
}

// Help is shown by --help.
func (labScaleCmd) Help() string {
	return `Measures the control plane for several numbers of servers, each of which has a node and an agent. Three replicas of the registry, a
controller and two nodes run as processes. The other nodes and the agents are simulated in this process: they use the real clients
and have no traffic. A run of four sizes takes up to six minutes on three busy cores. It stops with an error if it would need half
of the machine's memory or more than 200 processes. A figure that was not measured is null, with the reason beside it.

Examples:
  umberbank lab scale --json --plot scale.svg
  umberbank lab scale --nodes 100,200 --plays 1
  umberbank lab scale --check docs/CAPACITY.md`
}

// Run measures the control plane at each size, or checks the figures of a page.
func (c *labScaleCmd) Run(env *environment) error {
	if c.Check != "" {
		return c.checkPage(env)
	}
	options := scale.Options{Nodes: c.Nodes, Plays: c.Plays, Pace: scale.DefaultPace(), Step: func(s string) { fmt.Fprintln(env.stderr, s) }}
	plot, err := c.createPlot(options)
	if err != nil {
		return err
	}
	if plot != nil {
		defer plot.Close()
	}
	result, err := scale.Run(env.ctx, options)
	if result == nil {
		return err
	}
	if c.JSON {
		err = errors.Join(err, json.NewEncoder(env.stdout).Encode(result))
	} else {
		err = errors.Join(err, scale.Print(env.stdout, result))
	}
	if plot != nil {
		if plotErr := errors.Join(scale.Draw(plot, result), plot.Close()); plotErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", c.Plot, plotErr))
		}
	}
	return err
}

// checkPage checks that the figures of a page follow from its slopes.
func (c *labScaleCmd) checkPage(env *environment) error {
	text, err := os.ReadFile(c.Check)
	if err != nil {
		return err
	}
	if err := scale.CheckPage(text); err != nil {
		return fmt.Errorf("%s: %w", c.Check, err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s: its figures follow from its slopes\n", c.Check)
	return err
}

// createPlot creates the plot file, or returns nil if no plot was requested. It is called before the run, which takes minutes, so
// that an invalid path is reported at once.
func (c *labScaleCmd) createPlot(options scale.Options) (*os.File, error) {
	if c.Plot == "" {
		return nil, nil
	}
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return os.Create(c.Plot)
}
