package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/coordination/release"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// processModeEnv is the environment variable with the mode of the test binary. If it is set, the binary runs as the program
// itself or as a misbehaving process that a fault test must detect. If it is empty, the binary runs the tests.
const processModeEnv = "UMBERBANK_TEST"

// Modes of the test binary.
const (
	modeProgram                = "program"
	modeActsWithoutLease       = "acts-without-lease"       // a controller that acts without holding the leader lease
	modeDecommissionsDeadUnits = "decommissions-dead-units" // so that they no longer count in the budget
	modeDrainsWithoutPermit    = "drains-without-permit"
	modeExpiresLiveNodes       = "expires-live-nodes"
	modeRunsUncommitted        = "runs-uncommitted"
	modeServesEarly            = "serves-early"
	modeReusesIncarnation      = "reuses-incarnation"
)

// testLeaseTTL is the lease duration of misbehaving nodes.
const testLeaseTTL = 600 * time.Millisecond

func TestMain(m *testing.M) {
	mode := os.Getenv(processModeEnv)
	if mode == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	switch mode {
	case modeProgram:
		os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
	case modeActsWithoutLease:
		scheduler := &release.Scheduler{Holder: mode}
		repeat(ctx, func(c *client.Client, v *state.CoordinationView) { actWithoutLease(ctx, c, v, scheduler) })
	case modeDecommissionsDeadUnits:
		repeat(ctx, func(c *client.Client, v *state.CoordinationView) { decommissionDeadUnits(ctx, c, v) })
	case modeDrainsWithoutPermit:
		repeat(ctx, func(c *client.Client, v *state.CoordinationView) { drainWithoutPermit(ctx, c, v) })
	case modeExpiresLiveNodes:
		repeat(ctx, func(c *client.Client, v *state.CoordinationView) { expireLiveNodes(ctx, c, v) })
	case modeRunsUncommitted:
		runUncommitted(ctx)
	case modeServesEarly:
		serveEarly(ctx)
	case modeReusesIncarnation:
		reuseIncarnation(ctx)
	}
	stop()
}

// commandInMode returns the command that runs the test binary in a mode.
func commandInMode(t *testing.T, mode string) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", processModeEnv + "=" + mode, self}
}

// repeat calls do in a loop, without a pause, until the context is done. The first argument of the process lists the registry's
// endpoints; do gets a client of this registry and its current state.
func repeat(ctx context.Context, do func(*client.Client, *state.CoordinationView)) {
	c, err := client.New(client.Options{Endpoints: strings.Split(os.Args[1], ",")})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		if v, err := controller.ReadView(ctx, c); err == nil {
			do(c, v)
		}
	}
}

// tryWrite sends a write and reports whether it was applied. A write that is rejected is sent again with the next state.
func tryWrite(ctx context.Context, c *client.Client, op state.Op) bool {
	results, err := c.Write(ctx, op)
	return err == nil && results[0].Code == ""
}

func actWithoutLease(ctx context.Context, c *client.Client, v *state.CoordinationView, scheduler *release.Scheduler) {
	view := release.View{Units: v.Units, Unavailable: v.Unavailable, Permits: v.Permits, Records: v.Records}
	for _, write := range scheduler.NextWrites(view, eventlog.Now()) {
		if result, err := c.WriteOne(ctx, write.Op); err == nil && result.Code == "" {
			logEvent(eventlog.Event{At: eventlog.Now(), Process: modeActsWithoutLease, Kind: "act", Reason: write.Reason})
		}
	}
}

func decommissionDeadUnits(ctx context.Context, c *client.Client, v *state.CoordinationView) {
	for _, u := range v.Unavailable {
		if u.Reason == "missing" {
			tryWrite(ctx, c, state.Op{Kind: state.OpDecommission, UID: u.Unit})
		}
	}
}

func drainWithoutPermit(ctx context.Context, c *client.Client, v *state.CoordinationView) {
	for _, u := range v.Units {
		if u.Tier == "web" && u.State == state.Serving && tryWrite(ctx, c, state.Op{Kind: state.OpUpdate, UID: u.UID, State: state.Draining}) {
			logEvent(eventlog.Event{At: eventlog.Now(), Kind: "drained", Unit: u.UID})
		}
	}
}

func expireLiveNodes(ctx context.Context, c *client.Client, v *state.CoordinationView) {
	for _, u := range v.Units {
		if u.Role == state.RoleNode {
			tryWrite(ctx, c, state.Op{Kind: state.OpExpire, UID: u.UID, Token: u.Token})
		}
	}
}

// logEvent appends an event to the log file that the second argument of the process names.
func logEvent(e eventlog.Event) {
	f, err := os.OpenFile(os.Args[2], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(e); err != nil {
		panic(err)
	}
}

// misbehavingNode is a node without a balancer. It registers and reports like a real node.
type misbehavingNode struct {
	client       *client.Client
	instance     state.Instance
	settingsFile string
}

// newMisbehavingNode returns a node with the configuration that ROUTER_CONFIG names.
func newMisbehavingNode() *misbehavingNode {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct {
		Name   string `json:"name"`
		Agreed struct {
			Endpoints []string `json:"endpoints"`
			Tier      string   `json:"tier"`
			Zone      string   `json:"zone"`
			Keep      string   `json:"keep"`
		} `json:"agreed"`
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		panic(err)
	}
	c, err := client.New(client.Options{Endpoints: cfg.Agreed.Endpoints})
	if err != nil {
		panic(err)
	}
	return &misbehavingNode{
		client:       c,
		settingsFile: cfg.Agreed.Keep,
		instance: state.Instance{
			UID:         cfg.Name,
			Endpoint:    "x:1",
			Role:        state.RoleNode,
			Tier:        cfg.Agreed.Tier,
			Zone:        cfg.Agreed.Zone,
			Capacity:    1,
			State:       state.Serving,
			TTLMS:       testLeaseTTL.Milliseconds(),
			StartTimeMS: 1,
		},
	}
}

// register registers the node and renews its lease until the context is done.
func (n *misbehavingNode) register(ctx context.Context) *client.LeaseHolder {
	h := client.NewLeaseHolder(n.client)
	if err := h.Register(ctx, &n.instance); err != nil {
		panic(err)
	}
	go h.Run(ctx, testLeaseTTL)
	return h
}

// follow calls react with each state of the node's settings and reports the returned version as running. It acknowledges every
// proposed version.
func (n *misbehavingNode) follow(ctx context.Context, h *client.LeaseHolder, react func(token int64, s *state.NodeSettings) (running int64, hash string)) {
	const pollTimeout = 100 * time.Millisecond
	for revision := int64(0); ctx.Err() == nil; {
		v, err := n.client.PollCoordination(ctx, url.Values{"node": {n.instance.UID}}, revision, pollTimeout)
		if err != nil || v.NodeSettings == nil {
			revision = 0
			continue
		}
		revision = v.Revision
		token := h.Token(n.instance.UID)
		running, hash := react(token, v.NodeSettings)
		ops := []state.Op{{Kind: state.OpReport, UID: n.instance.UID, Token: token, Number: running, Hash: hash}}
		if p := v.NodeSettings.Pending; p != nil {
			ops = append(ops, state.Op{Kind: state.OpAcknowledge, UID: n.instance.UID, Token: token, Number: p.Number, Hash: p.Hash})
		}
		_, _ = n.client.Write(ctx, ops...) // a failed write is retried with the next state
	}
}

// printNodeEvent prints an event of a node in the format of a real node's log.
func printNodeEvent(format string, args ...any) {
	fmt.Printf("agreed: "+format+" at %d\n", append(args, eventlog.Now())...)
}

// runUncommitted is a node that runs a proposed version before it is committed.
func runUncommitted(ctx context.Context) {
	n := newMisbehavingNode()
	var running int64
	var hash string
	n.follow(ctx, n.register(ctx), func(_ int64, s *state.NodeSettings) (int64, string) {
		if p := s.Pending; p != nil && p.Number > running {
			running, hash = p.Number, p.Hash
			printNodeEvent("runs version %d %.12s", running, hash)
		}
		return running, hash
	})
}

// serveEarly is a node that logs that it runs version 0 and serves before it has contacted the registry.
func serveEarly(ctx context.Context) {
	n := newMisbehavingNode()
	printNodeEvent("runs version 0 -")
	printNodeEvent("serves")
	n.follow(ctx, n.register(ctx), func(_ int64, s *state.NodeSettings) (int64, string) { return s.Target.Number, s.Target.Hash })
}

// reuseIncarnation is a node that logs that it is in sync with the token of an earlier process.
func reuseIncarnation(ctx context.Context) {
	n := newMisbehavingNode()
	first, announced := int64(0), false
	if text, err := os.ReadFile(n.settingsFile); err == nil {
		if _, err := fmt.Sscan(string(text), &first); err != nil {
			panic(err)
		}
	}
	h := n.register(ctx) // with the same start time, so that the token stays the same
	n.follow(ctx, h, func(token int64, s *state.NodeSettings) (int64, string) {
		if announced {
			return s.Target.Number, s.Target.Hash
		}
		announced = true
		if first == 0 {
			first = token
			if err := os.WriteFile(n.settingsFile, []byte(fmt.Sprint(first)), 0o600); err != nil {
				panic(err)
			}
		}
		hash := cmp.Or(s.Target.Hash, "-")
		printNodeEvent("runs version %d %.12s", s.Target.Number, hash)
		printNodeEvent("in touch by start %d with version %d %.12s", first, s.Target.Number, hash)
		printNodeEvent("serves")
		return s.Target.Number, s.Target.Hash
	})
}
