package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/coordination/rollout"
	"umberbank/internal/registry/state"
	"umberbank/internal/simwire"
)

type fleetConfigCmd struct {
	Push     fleetConfigPushCmd     `name:"push" cmd:"" help:"Propose a version; controllers bring it to nodes stage by stage."`
	Status   fleetConfigStatusCmd   `name:"status" cmd:"" help:"Show which version is in force, which is under way, and what each node runs."`
	Halt     fleetConfigHaltCmd     `name:"halt" cmd:"" help:"Let the version under way go no further."`
	Withdraw fleetConfigWithdrawCmd `name:"withdraw" cmd:"" help:"Take a version back that no node was told to run."`
	Back     fleetConfigBackCmd     `name:"back" cmd:"" help:"Propose the old content anew, for a version that some nodes run."`
}

type fleetConfigPushCmd struct {
	registryAt
	File     string        `name:"file" arg:"" help:"The settings, as in a node's configuration (JSON)."`
	Stages   []float64     `name:"stages" help:"Shares of all nodes, one after the other." default:"0.1,1"`
	Bake     time.Duration `name:"bake" help:"A stage must stand so long before the next." default:"5s"`
	Replaces int64         `name:"replaces" help:"The version that it replaces; -1: the one in force." default:"-1"`
}

// Help is shown by --help.
func (fleetConfigPushCmd) Help() string {
	return `Every node looks at it as at SIGHUP and acknowledges it, or says why it cannot. Only when more than half of the nodes of each zone
have acknowledged it are the first stage's told to run it. Nodes that nobody hears from count in that until they are declared gone,
a zone that is lost whole in the quorum of all alone; no stage waits for them.

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
	set, _, err := simwire.ParseSettings(text)
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
	if v.Rollout == nil {
		return errNoBook
	}
	if c.Replaces < 0 {
		c.Replaces = v.Rollout.Committed.Number
	}
	an, err := c.do(a.ctx, state.Op{Kind: state.OpPropose, Value: text, Replaces: c.Replaces, Stages: c.Stages, BakeMS: c.Bake.Milliseconds()})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is proposed in the place of version %d\n", an.Token, c.Replaces)
	return nil
}

type fleetConfigStatusCmd struct {
	registryAt
	JSON bool `name:"json" help:"Print one JSON object."`
}

func (c *fleetConfigStatusCmd) Run(a *app) error {
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	b := v.Rollout
	if b == nil {
		return errNoBook
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(b)
	}
	fmt.Fprintf(a.out, "in force: version %d %.12s\n", b.Committed.Number, b.Committed.Hash)
	if p := b.Pending; p != nil {
		stands := "is told on"
		if b.HaltReason != "" {
			stands = "HALTED: " + b.HaltReason
		} else if err := b.CheckReady(); err != nil {
			stands = "waits: " + err.Error()
		}
		fmt.Fprintf(a.out, "under way: version %d %.12s, %d of %d stages told; %s\n", p.Number, p.Hash, b.Stage, len(p.Stages), stands)
	}
	for _, zone := range slices.Sorted(maps.Keys(b.LostZones)) {
		fmt.Fprintf(a.out, "zone %s is LOST since %s: its quorum is passed over\n", zone, since(b.LostZones[zone]))
	}
	if l := b.OutOfSync(); len(l) > 0 {
		fmt.Fprintf(a.out, "%d of %d nodes are not in touch: nothing waits for them, and they take what is in force before they count\n", len(l), len(b.Nodes))
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "node\tzone\truns\ttold\tacknowledged\t")
	for _, id := range slices.Sorted(maps.Keys(b.Nodes)) {
		n := b.Nodes[id]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", id, n.Zone, runsNow(n), n.TargetVersion, n.Acknowledged, strings.TrimSpace(n.Violation+" "+n.RejectReason))
	}
	return t.Flush()
}

// runsNow says what is known of what a node runs.
func runsNow(n *rollout.Node) string {
	switch {
	case n.InSync():
		return fmt.Sprint(n.RunningVersion)
	case n.Unreachable:
		return fmt.Sprintf("%s, out of touch since %s", mayRun(n), since(*cmp.Or(n.OutOfSyncSince, &rollout.Timestamp{})))
	case n.Reported:
		return fmt.Sprintf("%d, catching up", n.RunningVersion)
	}
	return mayRun(n) + ", catching up"
}

// mayRun is what a node may run that is not in touch.
func mayRun(n *rollout.Node) string {
	if n.HighestPossible <= n.RunningVersion {
		return fmt.Sprint(n.RunningVersion)
	}
	return fmt.Sprintf("%d to %d", n.RunningVersion, n.HighestPossible)
}

// since is when something was written, for people: by the leader's clock, or where that is not said by the revision.
func since(m rollout.Timestamp) string {
	switch {
	case m.UnixMS > 0:
		return time.UnixMilli(m.UnixMS).UTC().Format(time.RFC3339)
	case m.Revision == 0:
		return "an unknown time"
	}
	return fmt.Sprintf("revision %d", m.Revision)
}

type fleetConfigHaltCmd struct {
	registryAt
	Why string `name:"why" help:"What others are to read." default:"by staff"`
}

func (c *fleetConfigHaltCmd) Run(a *app) error {
	if _, err := c.do(a.ctx, state.Op{Kind: state.OpHalt, Holder: c.Why}); err != nil {
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
	case v.Rollout == nil || v.Rollout.Pending == nil:
		return errors.New("no version is under way")
	}
	if _, err := c.do(a.ctx, state.Op{Kind: state.OpWithdraw, Number: v.Rollout.Pending.Number}); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is withdrawn\n", v.Rollout.Pending.Number)
	return nil
}

type fleetConfigBackCmd struct{ registryAt }

func (c *fleetConfigBackCmd) Run(a *app) error {
	an, err := c.do(a.ctx, state.Op{Kind: state.OpRollback})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "version %d is proposed, with the content in force before\n", an.Token)
	return nil
}
