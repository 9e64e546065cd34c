package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/coordination/faulttest"
	"umberbank/internal/coordination/release"
	"umberbank/internal/coordination/rollout"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

// The test binary is the program's processes too, or a wrong one.
func TestMain(m *testing.M) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	switch os.Getenv("UMBERBANK_TEST") {
	case "":
		os.Exit(m.Run())
	case "program":
		os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
	case "reaper":
		wrong(ctx, func(w *client.Client, v *state.CoordinationView) {
			for _, o := range v.Unavailable {
				if o.Reason == "missing" { // the dead shall count no more
					w.Write(ctx, state.Op{Kind: state.OpDecommission, UID: o.Unit})
				}
			}
		})
	case "eager":
		eager(ctx)
	case "hasty":
		hasty(ctx)
	case "revenant":
		revenant(ctx)
	case "gravedigger": // calls nodes dead that live
		wrong(ctx, func(w *client.Client, v *state.CoordinationView) {
			for _, u := range v.Units {
				if u.Role == state.RoleNode {
					w.Write(ctx, state.Op{Kind: state.OpExpire, UID: u.UID, Token: u.Token})
				}
			}
		})
	case "ignorant": // env controller that holds no lead
		m := &release.Scheduler{Holder: "ignorant"}
		wrong(ctx, func(w *client.Client, v *state.CoordinationView) {
			for _, o := range m.NextWrites(release.View{Units: v.Units, Unavailable: v.Unavailable, Permits: v.Permits, Records: v.Records}, eventlog.Now()) {
				if a, err := w.WriteOne(ctx, o.Op); err == nil && a.Code == "" {
					did(eventlog.Event{At: eventlog.Now(), Process: "ignorant", Kind: "act", Reason: o.Reason})
				}
			}
		})
	case "reckless":
		wrong(ctx, func(w *client.Client, v *state.CoordinationView) {
			for _, u := range v.Units {
				if u.Tier == "web" && u.State == state.Serving {
					a, err := w.Write(ctx, state.Op{Kind: state.OpUpdate, UID: u.UID, State: state.Draining})
					if err == nil && a[0].Code == "" {
						did(eventlog.Event{At: eventlog.Now(), Kind: "drained", Unit: u.UID})
					}
				}
			}
		})
	}
	stop()
}

// wrong is a process that does what none may, again and again.
func wrong(ctx context.Context, do func(*client.Client, *state.CoordinationView)) {
	w, err := client.New(client.Options{Endpoints: strings.Split(os.Args[1], ",")})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil { // without a rest, to be there before the others
		if v, err := controller.ReadView(ctx, w); err == nil {
			do(w, v)
		}
	}
}

// did writes down what a wrong process has done, for the judge.
func did(e eventlog.Event) {
	f, err := os.OpenFile(os.Args[2], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(e); err != nil {
		panic(err)
	}
}

// wrongNode is what a wrong node of a trial knows: its name, its registry, and its entry, held or not yet.
type wrongNode struct {
	w     *client.Client
	entry state.Instance
	keep  string
}

func newWrongNode() *wrongNode {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct {
		Name   string
		Agreed struct {
			Endpoints        []string
			Tier, Zone, Keep string
		}
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		panic(err)
	}
	w, err := client.New(client.Options{Endpoints: cfg.Agreed.Endpoints})
	if err != nil {
		panic(err)
	}
	return &wrongNode{w: w, keep: cfg.Agreed.Keep, entry: state.Instance{UID: cfg.Name, Endpoint: "x:1", Role: state.RoleNode, Tier: cfg.Agreed.Tier, Zone: cfg.Agreed.Zone, Capacity: 1,
		State: state.Serving, TTLMS: 600, StartTimeMS: 1}}
}

// hold registers the node, and holds its lease from then on.
func (n *wrongNode) hold(ctx context.Context) *client.LeaseHolder {
	h := client.NewLeaseHolder(n.w)
	if err := h.Register(ctx, &n.entry); err != nil {
		panic(err)
	}
	go h.Run(ctx, 600*time.Millisecond)
	return h
}

// follow gives what the node is told, again and again, and says to the registry what of it do says that it runs. What is
// proposed it acknowledges.
func (n *wrongNode) follow(ctx context.Context, h *client.LeaseHolder, do func(start int64, c *state.NodeSettings) (number int64, hash string)) {
	for rev := int64(0); ctx.Err() == nil; {
		v, err := n.w.Agreed(ctx, url.Values{"node": {n.entry.UID}}, rev, 100*time.Millisecond)
		if err != nil || v.NodeSettings == nil {
			rev = 0
			continue
		}
		rev = v.Revision
		start := h.Token(n.entry.UID)
		number, hash := do(start, v.NodeSettings)
		ops := []state.Op{{Kind: state.OpReport, UID: n.entry.UID, Token: start, Number: number, Hash: hash}}
		if p := v.NodeSettings.Pending; p != nil {
			ops = append(ops, state.Op{Kind: state.OpAcknowledge, UID: n.entry.UID, Token: start, Number: p.Number, Hash: p.Hash})
		}
		n.w.Write(ctx, ops...)
	}
}

// say writes down what a node does, as a right one would.
func say(format string, args ...any) {
	fmt.Printf("agreed: "+format+" at %d\n", append(args, eventlog.Now())...)
}

// eager is a node that runs what is proposed before anybody tells it to.
func eager(ctx context.Context) {
	n := newWrongNode()
	var number int64
	var hash string
	n.follow(ctx, n.hold(ctx), func(_ int64, c *state.NodeSettings) (int64, string) {
		if p := c.Pending; p != nil && p.Number > number {
			number, hash = p.Number, p.Hash
			say("runs version %d %.12s", number, hash)
		}
		return number, hash
	})
}

// hasty is a node that serves with what it kept, before it has looked.
func hasty(ctx context.Context) {
	n := newWrongNode()
	say("runs version 0 -")
	say("serves")
	n.follow(ctx, n.hold(ctx), func(_ int64, c *state.NodeSettings) (int64, string) { return c.Target.Number, c.Target.Hash })
}

// revenant is a node that counts itself in touch by the start of the process before it.
func revenant(ctx context.Context) {
	n := newWrongNode()
	start, began := int64(0), false
	if text, err := os.ReadFile(n.keep); err == nil {
		if _, err := fmt.Sscan(string(text), &start); err != nil {
			panic(err)
		}
	}
	h := n.hold(ctx) // as the same boot, which gives the same token
	n.follow(ctx, h, func(token int64, c *state.NodeSettings) (int64, string) {
		if !began {
			began = true
			if start == 0 {
				start = token
				if err := os.WriteFile(n.keep, []byte(fmt.Sprint(start)), 0o600); err != nil {
					panic(err)
				}
			}
			say("runs version %d %.12s", c.Target.Number, cmp.Or(c.Target.Hash, "-"))
			say("in touch by start %d with version %d %.12s", start, c.Target.Number, cmp.Or(c.Target.Hash, "-"))
			say("serves")
		}
		return c.Target.Number, c.Target.Hash
	})
}

// as is the command of this binary in a mode.
func as(t *testing.T, mode string) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", "UMBERBANK_TEST=" + mode, self}
}

// A release, drains and faults on a site of real processes: what is agreed holds, and in the end every unit runs what it
// should.
func TestFleetTrial(t *testing.T) {
	t.Parallel()
	r, err := faulttest.Run(t.Context(), faulttest.Options{Seed: 5, Duration: 3 * time.Second, Program: as(t, "program")})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.Acts == 0 {
		t.Errorf("%+v", r)
	}
}

// Versions of settings on real nodes, with faults.
func TestFleetConfigTrial(t *testing.T) {
	t.Parallel()
	r, err := faulttest.RunSettings(t.Context(), faulttest.Options{Seed: 4, Duration: 3 * time.Second, Program: as(t, "program")}, 9)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.Versions == 0 || r.KilledNode == "" {
		t.Errorf("%+v", r)
	}
}

// The judge of settings names what wrong processes did: a node that runs what is only proposed, one that serves before it caught
// up, one that counts as in touch by the start of a process before, somebody in the leader's place who calls the living dead.
// Where nothing is wrong it names nothing, also when a node is killed and starts again.
func TestFleetConfigTrialIsProven(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		opt   faulttest.Options
		named func(*faulttest.SettingsResult) int
	}{
		"eager":    {faulttest.Options{Duration: time.Second, NodeCommand: as(t, "eager")}, func(r *faulttest.SettingsResult) int { return r.Uncommitted }},
		"hasty":    {faulttest.Options{Duration: time.Second, NodeCommand: as(t, "hasty")}, func(r *faulttest.SettingsResult) int { return r.ServedEarly }},
		"revenant": {faulttest.Options{Duration: time.Second, NodeCommand: as(t, "revenant"), RestartNode: true}, func(r *faulttest.SettingsResult) int { return r.OldIncarnations }},
		"gravedigger": {faulttest.Options{Duration: 6 * time.Second, ExtraProcess: func(at []string, _ string) []string {
			return append(as(t, "gravedigger"), strings.Join(at, ","))
		}}, func(r *faulttest.SettingsResult) int { return r.WronglyOutOfSync }},
		"right": {faulttest.Options{Duration: 2 * time.Second, RestartNode: true}, nil},
	} {
		t.Run(name, func(t *testing.T) { // one after the other: each is some twenty processes
			c.opt.Seed, c.opt.NoFaults, c.opt.Program = 4, true, as(t, "program")
			r, err := faulttest.RunSettings(t.Context(), c.opt, 6)
			switch {
			case err != nil:
				t.Fatal(err)
			case c.named == nil && (len(r.Violations) > 0 || r.Versions == 0):
				t.Errorf("%+v", r)
			case c.named != nil && c.named(r) == 0:
				t.Errorf("not named: %+v", r)
			}
		})
	}
}

// The judge names what wrong processes did: controllers that act without the lead, one that has the dead forgotten, one
// that drains without a permit. Where the dead are not forgotten they are counted, and it names nothing.
func TestFleetTrialIsProven(t *testing.T) {
	beside := func(mode string) func([]string, string) []string {
		return func(at []string, dir string) []string {
			return append(as(t, mode), strings.Join(at, ","), filepath.Join(dir, mode+".events"))
		}
	}
	dead := []string{"s00", "s02"}
	for name, c := range map[string]struct {
		opt   faulttest.Options
		named func(*faulttest.Result) int
	}{
		"ignorant": {faulttest.Options{ExtraProcess: beside("ignorant")}, func(r *faulttest.Result) int { return r.ActsWithoutLease }},
		"reaper":   {faulttest.Options{DeadUnits: dead, ExtraProcess: beside("reaper")}, func(r *faulttest.Result) int { return r.OverBudget }},
		"reckless": {faulttest.Options{ExtraProcess: beside("reckless")}, func(r *faulttest.Result) int { return r.OverBudget }},
		"right":    {faulttest.Options{DeadUnits: dead}, nil},
	} {
		t.Run(name, func(t *testing.T) { // one after the other: each is some twenty processes
			for seed := uint64(1); ; seed++ { // env race that a wrong process does not always win
				c.opt.Seed, c.opt.Duration, c.opt.NoFaults, c.opt.Program = seed, 4*time.Second, true, as(t, "program")
				r, err := faulttest.Run(t.Context(), c.opt)
				if err != nil {
					t.Fatal(err)
				}
				switch {
				case c.named == nil && (len(r.Violations) > 0 || r.Permits == 0):
					t.Errorf("%+v", r)
				case c.named != nil && c.named(r) == 0 && seed < 4:
					continue
				case c.named != nil && c.named(r) == 0:
					t.Errorf("not named: %+v", r)
				}
				return
			}
		})
	}
}

// oneReplica is a registry of one replica in this process, until the test ends.
func oneReplica(t *testing.T) *replica.Replica {
	t.Helper()
	var at [2]string
	for i := range at {
		var err error
		if at[i], err = cluster.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	cfg := write(t, "r.toml", fmt.Sprintf("id = \"r\"\ndir = %q\nraft = %q\naddress = %q\n[[peer]]\nid = \"r\"\nraft = %q\naddress = %q\n",
		filepath.Join(t.TempDir(), "r"), at[0], at[1], at[0], at[1]))
	r, err := replica.ReadConfig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	one, err := replica.New(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { one.Close() })
	return one
}

// What staff see of nodes that are out of touch, catch up, and of a zone that is lost.
func TestConfigStatus(t *testing.T) {
	one := oneReplica(t)
	w, err := client.New(client.Options{Endpoints: []string{one.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	do := func(ops ...state.Op) (token int64) {
		t.Helper()
		answers, err := w.Write(t.Context(), ops...)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range answers {
			if a.Code != "" {
				t.Fatalf("%+v", a)
			}
			token = a.Token
		}
		return token
	}
	start := map[string]int64{}
	for i, uid := range []string{"n0", "n1", "n2", "n3", "n4"} {
		start[uid] = do(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: string("aaabb"[i]), Capacity: 1, StartTimeMS: 1}})
		do(state.Op{Kind: state.OpReport, UID: uid, Token: start[uid]})
	}
	at := time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC).UnixMilli()
	for _, uid := range []string{"n2", "n3", "n4"} {
		do(state.Op{Kind: state.OpExpire, UID: uid, Token: start[uid], WallTimeMS: at})
	}
	do(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: "n4", Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: "b", Capacity: 1, StartTimeMS: 2}})
	v := do(state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{}`), Stages: []float64{1}})
	do(state.Op{Kind: state.OpAcknowledge, UID: "n0", Token: start["n0"], Number: v, Hash: state.ContentHash([]byte(`{}`))})
	code, out, errs := call("fleet", "config", "status", "--at", one.Addr())
	for _, want := range []string{"waits: zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed", "zone b is LOST since 2026-12-02T04:00:00Z: its quorum is passed over",
		"3 of 5 nodes are not in touch", "0, out of touch since 2026-12-02T04:00:00Z", "0, catching up"} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("%d, want %q:\n%s%s", code, want, out, errs)
		}
	}
	code, out, errs = call("fleet", "config", "status", "--json", "--at", one.Addr())
	var b rollout.State
	if err := json.Unmarshal([]byte(out), &b); code != exitOK || err != nil || b.Nodes["n2"].OutOfSyncSince.UnixMS != at || b.LostZones["b"].UnixMS != at || !b.Nodes["n4"].Syncing {
		t.Errorf("%d %v: %s%s", code, err, out, errs)
	}
}

// What staff get wrong stands on one line with file and key, before anything moves.
func TestFleetBadInput(t *testing.T) {
	one := oneReplica(t)
	fleet := func(args ...string) (int, string) {
		code, out, errs := call(append([]string{"fleet", args[0], "--at", one.Addr()}, args[1:]...)...)
		return code, out + errs
	}
	limits := write(t, "limits.toml", "[[tier]]\ntier = \"web\"\nwhole = 0.5\n")
	plan := write(t, "plan.toml", "name = \"p\"\nversion = \"v2\"\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")
	unit := write(t, "unit.json", `[{"uid":"s1","endpoint":"x:1","tier":"web","state":"SERVING","capacity_hint":1,"version":"v1"},
		{"uid":"s2","endpoint":"x:2","tier":"web","state":"SERVING","capacity_hint":1,"version":"v1"}]`)
	toml := func(text string) string { return write(t, "x.toml", text) }
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status"}, exitOK, "no limits are set"},
		{[]string{"release", plan}, exitError, "no limits are set"},
		{[]string{"drain", "s1"}, exitFailed, "s1: there is no such unit"},
		{[]string{"budget", toml("whole = 1\n")}, exitError, "x.toml:1: whole: unknown key"},
		{[]string{"budget", toml("[[tier]]\ntier = \"web\"\nwhole = 2.0\n")}, exitError, "x.toml: tier[0].whole: 2 is no share"},
		{[]string{"budget", limits}, exitOK, "limits of 1 tiers"},
		{[]string{"release", plan}, exitError, "plan.toml: stage[0].tier: there is no tier \"web\""},
		{[]string{"drain", "s1"}, exitFailed, "there is no such unit"},
	} {
		if code, said := fleet(c.args...); code != c.code || !strings.Contains(said, c.want) || strings.Count(said, "\n") > 1 {
			t.Errorf("%v: %d %q, want %d with %q", c.args, code, said, c.code, c.want)
		}
	}
	if code, _, errs := call("registry", "put", "--at", one.Addr(), unit); code != exitOK {
		t.Fatal(errs)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"drain", "s1", "s2"}, exitFailed, "s1: drains\ns2: over-budget: s2: tier web has 1 of 2 out and 1 more would be, where 1 may be"},
		{[]string{"status"}, exitOK, "out: s1"},
		{[]string{"release", toml("name = \"p\"\nversion = \"v2\"\nneeds = { web = 1.5 }\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")}, exitError,
			"needs: tier web has a capacity of 2, 1 of it out, and up to 1 may be out at once: 1 would be left where the load needs 1.5"},
		{[]string{"release", toml("name = \"p\"\nversion = \"v2\"\n[[stage]]\nunits = [\"s1\", \"s9\"]\n")}, exitError, "stage[0].units: there is no unit \"s9\""},
		{[]string{"release", toml("name = \"p\"\nversion = \"v2\"\nbake = \"long\"\n[[stage]]\nunits = [\"s1\"]\n")}, exitError, "bake: \"long\" is no time"},
		{[]string{"halt", "p"}, exitError, "there is no release \"p\""},
		{[]string{"release", plan, "--check"}, exitOK, "2 units in 1 stages"},
		{[]string{"release", plan}, exitOK, "2 units in 1 stages"},
		{[]string{"release", plan}, exitError, "release p runs"},
		{[]string{"halt", "p"}, exitOK, "nothing more of it begins"},
		{[]string{"resume", "p"}, exitOK, "goes on"},
		{[]string{"resume", "p"}, exitError, "p is not halted"},
		{[]string{"back", "p"}, exitOK, "p-back: 0 units"},
		{[]string{"undrain", "s1"}, exitOK, "serves"},
		{[]string{"gone", "s1", "s9"}, exitFailed, "s1: counts no more\ns9: not-found"},
	} {
		if code, said := fleet(c.args...); code != c.code || !strings.Contains(said, c.want) {
			t.Errorf("%v: %d %q, want %d with %q", c.args, code, said, c.code, c.want)
		}
	}
}
