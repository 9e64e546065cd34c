package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hollyspur/internal/registry/state"
	"hollyspur/internal/wire"
)

type fleetConfigCmd struct {
	Push     fleetConfigPushCmd     `cmd:"" help:"Propose a version; controllers bring it to nodes stage by stage."`
	Status   fleetConfigStatusCmd   `cmd:"" help:"Show which version is in force, which is under way, and what each node runs."`
	Halt     fleetConfigHaltCmd     `cmd:"" help:"Let the version under way go no further."`
	Withdraw fleetConfigWithdrawCmd `cmd:"" help:"Take a version back that no node was told to run."`
	Back     fleetConfigBackCmd     `cmd:"" help:"Propose the old content anew, for a version that some nodes run."`
}

type fleetConfigPushCmd struct {
	registryAt
	File     string        `arg:"" help:"The settings, as in a node's configuration (JSON)."`
	Stages   []float64     `help:"Shares of all nodes, one after the other." default:"0.1,1"`
	Bake     time.Duration `help:"A stage must stand so long before the next." default:"5s"`
	Replaces int64         `help:"The version that it replaces; -1: the one in force." default:"-1"`
}

// Help is shown by --help.
func (fleetConfigPushCmd) Help() string {
	return `Every node looks at it as at SIGHUP and acknowledges it, or says why it cannot. Only when more than half of the nodes of each zone
have acknowledged it are the first stage's told to run it. Nodes that nobody hears from count until they are declared gone.

Example:
  umberbank fleet config push settings.json --stages 0.1,0.5,1 --bake 30s`
}

// errNoBook says that no node takes part.
var errNoBook = errors.New("no node takes its settings from this registry (a node's configuration names it under agreed)")

func (c *fleetConfigPushCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	set, _, err := wire.ParseSettings(text)
	if err == nil {
		err = set.Validate()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Bake < 0 {
		return fmt.Errorf("--bake: %v is negative", c.Bake)
	}
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	if v.Book == nil {
		return errNoBook
	}
	if c.Replaces < 0 {
		c.Replaces = v.Book.Committed.Number
	}
	an, err := c.do(a.ctx, state.Op{Kind: state.Propose, Value: text, Replaces: c.Replaces, Stages: c.Stages, BakeMS: c.Bake.Milliseconds()})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is proposed in the place of version %d\n", an.Token, c.Replaces)
	return nil
}

type fleetConfigStatusCmd struct {
	registryAt
	JSON bool `help:"Print one JSON object."`
}

func (c *fleetConfigStatusCmd) Run(a *app) error {
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	b := v.Book
	if b == nil {
		return errNoBook
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(b)
	}
	fmt.Fprintf(a.out, "in force: version %d %.12s\n", b.Committed.Number, b.Committed.Hash)
	if p := b.Pending; p != nil {
		stands := "is told on"
		if b.Halted != "" {
			stands = "HALTED: " + b.Halted
		} else if err := b.Ready(); err != nil {
			stands = "waits: " + err.Error()
		}
		fmt.Fprintf(a.out, "under way: version %d %.12s, %d of %d stages told; %s\n", p.Number, p.Hash, b.Stage, len(p.Stages), stands)
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "node\tzone\truns\ttold\tacknowledged\t")
	for _, id := range slices.Sorted(maps.Keys(b.Nodes)) {
		n := b.Nodes[id]
		runs := fmt.Sprint(n.Running)
		if !n.Known {
			runs += " before its restart"
		}
		if n.Missing {
			runs += ", missing"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", id, n.Zone, runs, n.Told, n.Acked, strings.TrimSpace(n.Fault+" "+n.Refused))
	}
	return t.Flush()
}

type fleetConfigHaltCmd struct {
	registryAt
	Why string `help:"What others are to read." default:"by staff"`
}

func (c *fleetConfigHaltCmd) Run(a *app) error {
	if _, err := c.do(a.ctx, state.Op{Kind: state.Halt, Holder: c.Why}); err != nil {
		return err
	}
	fmt.Fprintln(a.out, "the version under way goes no further: withdraw it, or go back")
	return nil
}

type fleetConfigWithdrawCmd struct{ registryAt }

func (c *fleetConfigWithdrawCmd) Run(a *app) error {
	v, err := c.agreed(a.ctx)
	switch {
	case err != nil:
		return err
	case v.Book == nil || v.Book.Pending == nil:
		return errors.New("no version is under way")
	}
	if _, err := c.do(a.ctx, state.Op{Kind: state.Withdraw, Number: v.Book.Pending.Number}); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is withdrawn\n", v.Book.Pending.Number)
	return nil
}

type fleetConfigBackCmd struct{ registryAt }

func (c *fleetConfigBackCmd) Run(a *app) error {
	an, err := c.do(a.ctx, state.Op{Kind: state.GoBack})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is proposed, with the content in force before\n", an.Token)
	return nil
}
