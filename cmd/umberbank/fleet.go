package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/coordination/agent"
	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/state"
	"umberbank/internal/stricttoml"
)

type fleetCmd struct {
	Budget  fleetBudgetCmd  `name:"budget" cmd:"" help:"Say how much of each tier may be out at once."`
	Status  fleetStatusCmd  `name:"status" cmd:"" help:"Show what is out, what may be, who holds permits, and how releases stand."`
	Drain   fleetDrainCmd   `name:"drain" cmd:"" help:"Take servers out, if the budget allows it."`
	Undrain fleetUndrainCmd `name:"undrain" cmd:"" help:"Let drained servers serve again."`
	Gone    fleetGoneCmd    `name:"gone" cmd:"" help:"Declare units gone: they count no more."`
	Release fleetReleaseCmd `name:"release" cmd:"" help:"Change the version of units, in the stages of a plan."`
	Halt    fleetHaltCmd    `name:"halt" cmd:"" help:"Let nothing of a release begin any more."`
	Resume  fleetResumeCmd  `name:"resume" cmd:"" help:"Lift a halt."`
	Back    fleetBackCmd    `name:"back" cmd:"" help:"Halt a release and undo it, newest change first."`
	Config  fleetConfigCmd  `name:"config" cmd:"" help:"Versions of nodes' settings, committed by a quorum of them."`
	Control fleetControlCmd `name:"control" cmd:"" help:"Run a controller; of any number one acts."`
	Agent   fleetAgentCmd   `name:"agent" cmd:"" help:"Run a unit: start its process, hold its lease, and change its version by permit."`
	Trial   fleetTrialCmd   `name:"trial" cmd:"" help:"Play faults on releases of real processes, and judge what they did."`
}

// agreed asks for all that is agreed.
func (r registryAt) agreed(ctx context.Context) (*state.CoordinationView, error) {
	w, err := r.writer()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	return controller.ReadView(ctx, w)
}

// do has one write carried out; a fault is an error that says why.
func (r registryAt) do(ctx context.Context, op state.Op) (state.Result, error) {
	w, err := r.writer()
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	l, err := w.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	if l[0].Code != "" {
		return l[0], errors.New(strings.TrimSuffix(l[0].Code+": "+l[0].Reason, ": "))
	}
	return l[0], nil
}

// each does something for each of several units and says what came of it; what fails leaves the others be.
func each(a *app, uids []string, do func(uid string) (string, error)) error {
	failed := false
	for _, uid := range uids {
		said, err := do(uid)
		if err != nil {
			failed, said = true, err.Error()
		}
		fmt.Fprintf(a.out, "%s: %s\n", uid, strings.TrimPrefix(said, uid+": "))
	}
	if failed {
		return errNotHeld
	}
	return nil
}

type fleetBudgetCmd struct {
	registryAt
	File string `name:"file" arg:"" help:"Limits (TOML)."`
}

// Help is shown by --help.
func (fleetBudgetCmd) Help() string {
	return `The file names each tier with the share of its capacity that may be out at once, for whatever reason: of the whole tier and,
if they are there, of each zone, region and rack. A tier that is not named gets no permits.

Example:
  cold_from = 0.33
  warm_ms = 8800
  lapse_ms = 2000
  [[tier]]
  tier = "web"
  whole = 0.2
  zone = 0.4
  rack = 1.0`
}

func (c *fleetBudgetCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var l disruption.Limits
	if err := stricttoml.Decode(c.File, text, &l); err != nil {
		return err
	}
	if err := l.Validate(); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if _, err := c.do(a.ctx, state.Op{Kind: state.OpSetLimits, Limits: &l}); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "limits of %d tiers are in force\n", len(l.Tiers))
	return nil
}

type fleetStatusCmd struct {
	registryAt
	JSON bool `name:"json" help:"Print one JSON object."`
}

func (c *fleetStatusCmd) Run(a *app) error {
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(v)
	}
	if v.Limits == nil {
		fmt.Fprintln(a.out, "no limits are set: nothing is counted, and there are no permits (umberbank fleet budget)")
		return nil
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "limit of\tcapacity\tout\tmay be out\t")
	for _, u := range v.Usages {
		over := ""
		if u.Unavailable > u.Allowed {
			over = "OVER"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\n", u.Scope, u.Capacity, u.Unavailable, u.Allowed, over)
	}
	for _, o := range v.Unavailable {
		by := "by permit"
		if !o.Permitted {
			by = "without a permit"
		}
		fmt.Fprintf(t, "out: %s\t%.0f%%\t%s\t%s\t\n", o.Unit, 100*o.Share, o.Reason, by)
	}
	for _, p := range v.Permits {
		did := "not begun"
		if p.Begun {
			did = "begun"
		}
		fmt.Fprintf(t, "permit: %s\t%s\t%s\t%s\t%s\n", p.Unit, p.Holder, p.Plan, p.TargetVersion, did)
	}
	if v.Leader != nil {
		fmt.Fprintf(t, "controller: %s\t\t\t\t\n", v.Leader.Endpoint)
	}
	for _, r := range releases(v) {
		fmt.Fprintf(t, "release: %s\t%s\t\t\t\n", r.plan.Name, r.stands())
	}
	return t.Flush()
}

// released is a release as the registry holds it.
type released struct {
	plan     release.Plan
	progress release.Progress
	halt     string
}

func releases(v *state.CoordinationView) (l []released) {
	view := release.View{Records: v.Records}
	for _, r := range v.Records {
		var x released
		if strings.HasPrefix(r.Key, release.PlanKeyPrefix) && json.Unmarshal(r.Value, &x.plan) == nil {
			x.progress, x.halt = release.ProgressOf(view, x.plan.Name), release.HaltReason(view, x.plan.Name)
			l = append(l, x)
		}
	}
	return l
}

func (r released) stands() string {
	switch {
	case r.progress.Done:
		return "done"
	case r.halt != "":
		return fmt.Sprintf("HALTED at stage %d of %d: %s", r.progress.Stage+1, len(r.plan.Stages), r.halt)
	}
	return fmt.Sprintf("stage %d of %d", r.progress.Stage+1, len(r.plan.Stages))
}

type fleetDrainCmd struct {
	registryAt
	UIDs   []string `arg:"" name:"uid" help:"The servers, in this order; one that does not fit leaves those before it drained."`
	Holder string   `name:"holder" help:"Who asks." default:"staff"`
}

func (c *fleetDrainCmd) Run(a *app) error {
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	start := map[string]int64{}
	for _, u := range v.Units {
		start[u.UID] = u.Token
	}
	return each(a, c.UIDs, func(uid string) (string, error) {
		if start[uid] == 0 {
			return "", errors.New("there is no such unit (or it names no tier)")
		}
		p, err := c.do(a.ctx, state.Op{Kind: state.OpGrantPermit, UID: uid, Incarnation: start[uid], Holder: c.Holder})
		if err != nil {
			return "", err
		}
		if _, err := c.do(a.ctx, state.Op{Kind: state.OpBeginPermit, UID: uid, Token: p.Token}); err != nil {
			return "", err
		}
		return "drains", nil
	})
}

type fleetUndrainCmd struct {
	registryAt
	UIDs []string `arg:"" name:"uid" help:"The servers."`
}

func (c *fleetUndrainCmd) Run(a *app) error {
	return each(a, c.UIDs, func(uid string) (string, error) {
		_, err := c.do(a.ctx, state.Op{Kind: state.OpUpdate, UID: uid, State: state.Serving})
		return "serves", err
	})
}

type fleetGoneCmd struct {
	registryAt
	UIDs []string `arg:"" name:"uid" help:"Units that will not come back. One that does counts again."`
}

func (c *fleetGoneCmd) Run(a *app) error {
	return each(a, c.UIDs, func(uid string) (string, error) {
		_, err := c.do(a.ctx, state.Op{Kind: state.OpDecommission, UID: uid})
		return "counts no more", err
	})
}

type fleetReleaseCmd struct {
	registryAt
	Plan  string `name:"plan" arg:"" help:"The plan (TOML)."`
	Check bool   `name:"check" help:"Only say whether it could be carried out."`
}

// Help is shown by --help.
func (fleetReleaseCmd) Help() string {
	return `The plan is kept in the registry, and the controllers that run (umberbank fleet control) carry it out within the budget.
needs is the capacity that the present load needs: a plan that would leave less is refused.

Example:
  name = "web-v2"
  version = "v2"
  at_once = 4
  bake = "5s"
  back_within = "60s"
  needs = { web = 12.0 }
  [[stage]]
  tier = "web"
  share = 0.05
  [[stage]]
  tier = "web"
  share = 1.0`
}

func (c *fleetReleaseCmd) Run(a *app) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	v, err := c.agreed(a.ctx)
	if err != nil {
		return err
	}
	if v.Limits == nil {
		return errors.New("no limits are set (umberbank fleet budget)")
	}
	p, f, err := release.ParsePlan(c.Plan, text, v.Units)
	if err != nil {
		return err
	}
	if err := release.CheckCapacity(p, f.RequiredCapacity, v.Units, *v.Limits, v.Unavailable); err != nil {
		return fmt.Errorf("%s: needs: %w", c.Plan, err)
	}
	steps := 0
	for _, s := range p.Stages {
		steps += len(s)
	}
	if c.Check {
		fmt.Fprintf(a.out, "%s: %d units in %d stages\n", p.Name, steps, len(p.Stages))
		return nil
	}
	if err := c.propose(a, p, v); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: %d units in %d stages are to change\n", p.Name, steps, len(p.Stages))
	return nil
}

// propose enters a plan, unless another release runs.
func (r registryAt) propose(a *app, p *release.Plan, v *state.CoordinationView) error {
	for _, o := range release.ActivePlans(release.View{Records: v.Records}) {
		return fmt.Errorf("release %s runs", o.Name)
	}
	value, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if _, err := r.do(a.ctx, state.Op{Kind: state.OpPutRecord, Key: release.PlanKeyPrefix + p.Name, Value: value, IfModRevision: state.Absent}); err != nil {
		return fmt.Errorf("a release of the name %s: %w", p.Name, err)
	}
	return nil
}

type fleetHaltCmd struct {
	registryAt
	Name string `name:"name" arg:"" help:"The release."`
	Why  string `name:"why" help:"What others are to read." default:"by staff"`
}

// find gives a release by its name.
func (r registryAt) find(a *app, name string) (*released, *state.CoordinationView, error) {
	v, err := r.agreed(a.ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, x := range releases(v) {
		if x.plan.Name == name {
			return &x, v, nil
		}
	}
	return nil, nil, fmt.Errorf("there is no release %q", name)
}

func (c *fleetHaltCmd) Run(a *app) error {
	if _, _, err := c.find(a, c.Name); err != nil {
		return err
	}
	return c.halt(a, c.Name, c.Why)
}

// halt halts a release; one that is halted stays so.
func (r registryAt) halt(a *app, name, why string) error {
	an, err := r.do(a.ctx, release.HaltOp(name, why))
	if err != nil && an.Code != state.CodeConflict {
		return err
	}
	fmt.Fprintf(a.out, "%s: nothing more of it begins; what has begun goes on to its end\n", name)
	return nil
}

type fleetResumeCmd struct {
	registryAt
	Name string `name:"name" arg:"" help:"The release."`
}

func (c *fleetResumeCmd) Run(a *app) error {
	_, err := c.do(a.ctx, state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + c.Name})
	if err != nil {
		return fmt.Errorf("%s is not halted: %w", c.Name, err)
	}
	fmt.Fprintf(a.out, "%s: goes on\n", c.Name)
	return nil
}

type fleetBackCmd struct {
	registryAt
	Name string `name:"name" arg:"" help:"The release."`
}

func (c *fleetBackCmd) Run(a *app) error {
	if _, _, err := c.find(a, c.Name); err != nil {
		return err
	}
	if err := c.halt(a, c.Name, "taken back"); err != nil {
		return err
	}
	x, v, err := c.find(a, c.Name) // what was asked for before the halt
	if err != nil {
		return err
	}
	b := release.RollbackPlan(&x.plan, x.progress)
	if err := c.propose(a, b, v); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: %d units are to go back\n", b.Name, len(b.Stages[0]))
	return nil
}

type fleetControlCmd struct {
	registryAt
	Name    string        `name:"name" help:"Which controller this is; none: this machine and process." default:""`
	TTL     time.Duration `name:"ttl" help:"Of the lead's lease: another takes over so long after this one was last heard of." default:"1s"`
	Journal string        `name:"journal" help:"Write what it did to this file." placeholder:"FILE"`
}

func (c *fleetControlCmd) Run(a *app) error {
	j, err := journal(c.Journal)
	if err != nil {
		return err
	}
	if c.Name == "" {
		machine, err := os.Hostname()
		if err != nil {
			return err
		}
		c.Name = fmt.Sprintf("%s-%d", machine, os.Getpid())
	}
	ctl := &controller.Controller{Registry: c.At, Name: c.Name, TTL: c.TTL, Events: j, Log: a.log}
	return ctl.Run(a.ctx)
}

func journal(path string) (*eventlog.Log, error) {
	if path == "" {
		return nil, nil
	}
	return eventlog.Open(path)
}

type fleetAgentCmd struct {
	registryAt
	UID      string        `name:"uid" help:"The unit." required:""`
	Endpoint string        `name:"endpoint" help:"Where it serves, host:port." required:""`
	Tier     string        `name:"tier" help:"Whose budget it counts in." required:""`
	Zone     string        `name:"zone" help:"Its zone."`
	Region   string        `name:"region" help:"Its region."`
	Rack     int           `name:"rack" help:"Its rack."`
	Kind     string        `name:"kind" help:"Its machine's kind; of a node the tier that it sends to."`
	Node     bool          `name:"node" help:"The unit is a node, not a server: it stays out of the list that nodes read."`
	Capacity float64       `name:"capacity" help:"What it can do, in the list's units." default:"1"`
	Version  string        `name:"version" help:"What it runs now." required:""`
	TTL      time.Duration `name:"ttl" help:"Of its lease." default:"2s"`
	Ready    string        `name:"ready" help:"A URL that answers 200 once the process serves; none: it has run for half a second."`
	Drain    time.Duration `name:"drain" help:"From when nodes are told that it drains until its process is asked to end." default:"1s"`
	Grace    time.Duration `name:"grace" help:"From then until the process is killed." default:"10s"`
	Journal  string        `name:"journal" help:"Write what it did to this file." placeholder:"FILE"`
	Keep     string        `name:"keep" help:"Remember the version in this file over the agent's own restarts; none: --version holds at each." placeholder:"FILE"`
	Skew     time.Duration `name:"skew" hidden:"" help:"Have this clock differ from the machine's."`
	Command  []string      `name:"command" arg:"" optional:"" passthrough:"" help:"The unit's process, after --; {version} stands for its version."`
}

// Help is shown by --help.
func (fleetAgentCmd) Help() string {
	return "Example:\n  umberbank fleet agent --uid s1 --endpoint 10.1.0.18:3000 --tier web --zone a --version v1 --ready http://10.1.0.18:3000/health -- /srv/{version}/server"
}

func (c *fleetAgentCmd) Run(a *app) error {
	j, err := journal(c.Journal)
	if err != nil {
		return err
	}
	if len(c.Command) > 0 && c.Command[0] == "--" {
		c.Command = c.Command[1:]
	}
	role := ""
	if c.Node {
		role = state.RoleNode
	}
	e := state.Instance{UID: c.UID, Endpoint: c.Endpoint, Role: role, Tier: c.Tier, Zone: c.Zone, Region: c.Region, Rack: c.Rack,
		Kind: c.Kind, Capacity: c.Capacity, Version: c.Version, State: state.Serving}
	if err := e.Validate(); err != nil {
		return err
	}
	unit := &agent.Agent{Registry: c.At, Instance: e, TTL: c.TTL, Command: c.Command, ReadyURL: c.Ready, DrainTime: c.Drain, StopTimeout: c.Grace, VersionFile: c.Keep,
		Events: j, Log: a.log, Clock: func() time.Time { return time.Now().Add(c.Skew) }}
	return unit.Run(a.ctx)
}
