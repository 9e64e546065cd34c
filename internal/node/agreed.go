package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// Agreed says that a node takes its settings from a site's registry, in versions that its nodes have agreed on. Without
// endpoints it does not.
type Agreed struct {
	Endpoints []string `json:"endpoints"`
	Tier      string   `json:"tier"` // whose budget its process counts in
	Zone      string   `json:"zone"`
	Region    string   `json:"region"`
	SendsTo   string   `json:"sends_to"` // the tier that it sends to
	Capacity  float64  `json:"capacity"` // 0: 1
	TTLMS     int64    `json:"ttl_ms"`   // of its lease; 0: 2,000
	ByAgent   bool     `json:"by_agent"` // an agent beside it holds its entry
	Keep      string   `json:"keep"`     // a file that keeps the version over restarts, where there is a disk; "": none
}

func (a *Agreed) check() error {
	switch {
	case len(a.Endpoints) == 0:
		return nil
	case a.Tier == "" && !a.ByAgent:
		return errors.New("agreed.tier: missing")
	case a.Capacity < 0 || a.TTLMS < 0:
		return errors.New("agreed.capacity, agreed.ttl_ms: negative")
	}
	return nil
}

// kept is the version that a node runs, as it keeps it.
type kept struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"`
	Settings json.RawMessage `json:"settings"`
}

// Following is what a follower of versions needs of whose settings they are: a Node, or what stands for one in a trial.
type Following struct {
	Name     string
	Addr     func() string // where it listens
	Agreed   Agreed
	CouldRun func(settings json.RawMessage) error // why it could not run them; nil: it could
	Run      func(settings json.RawMessage) error // runs them from now on
	Log      func(format string, args ...any)
	Dial     client.DialFunc // nil: the system's
}

// Follow follows what a site has agreed on until ctx ends or another process is this node. Name, Addr, CouldRun, Run, Log and
// the endpoints must be there.
func Follow(ctx context.Context, o Following) error {
	f, err := follow(o, kept{})
	if err != nil {
		return err
	}
	f.run(ctx)
	return ctx.Err()
}

// follower follows what the site has agreed on for this node. It runs beside the loop, on a goroutine of its own, and hands
// over settings as a reload does, in one step of the loop; traffic never waits for it.
type follower struct {
	Following
	writer  *client.Client
	holder  *client.LeaseHolder // nil: an agent holds the entry
	running kept                // number 0: what the node was started with
	looked  kept                // the proposed version that was looked at last, and why it cannot be run
	refused string

	reported int64         // revision at which this process's own word of what it runs was last taken; 0: it was not yet
	inTouch  bool          // by the registry's word since then
	caughtUp chan struct{} // closed when it was in touch for the first time
}

// newFollower returns what follows the site's versions; nil: nothing does.
func newFollower(n *Node, run kept) (*follower, error) {
	if len(n.cfg.Agreed.Endpoints) == 0 {
		return nil, nil
	}
	return follow(Following{Name: n.cfg.Name, Addr: func() string { return n.Addr().String() }, Agreed: n.cfg.Agreed,
		CouldRun: n.couldRun, Run: n.runSettings, Log: log.Printf}, run)
}

func follow(o Following, run kept) (*follower, error) {
	w, err := client.New(client.Options{Endpoints: o.Agreed.Endpoints, MaxBackoff: 300 * time.Millisecond, Dial: o.Dial})
	if err != nil {
		return nil, err
	}
	return &follower{Following: o, writer: w, running: run, caughtUp: make(chan struct{})}, nil
}

// withKept is the configuration with the version that an earlier process kept. What cannot be read or run is passed over.
func withKept(cfg Config) (Config, kept) {
	if cfg.Agreed.Keep == "" {
		return cfg, kept{}
	}
	text, err := os.ReadFile(cfg.Agreed.Keep)
	if errors.Is(err, os.ErrNotExist) {
		return cfg, kept{}
	}
	var k kept
	if err == nil {
		if err = json.Unmarshal(text, &k); err == nil && state.ContentHash(k.Settings) != k.Hash {
			err = errors.New("its hash is another")
		}
	}
	if err == nil {
		var with Config
		if with, err = cfg.withSettings(k.Settings); err == nil {
			return with, k
		}
	}
	log.Printf("agreed: %s: passed over: %v", cfg.Agreed.Keep, err)
	return cfg, kept{}
}

// withSettings is a configuration with other settings, as if its file had held them.
func (c Config) withSettings(settings json.RawMessage) (Config, error) {
	var file map[string]json.RawMessage
	if err := json.Unmarshal(c.text, &file); err != nil {
		return Config{}, err
	}
	file["settings"] = settings
	text, err := json.Marshal(file)
	if err != nil {
		return Config{}, err
	}
	with, err := parseConfig(text)
	if err != nil {
		return Config{}, err
	}
	with.Control, with.AcceptFD = c.Control, c.AcceptFD
	return with, nil
}

const (
	agreedTTL  = 2 * time.Second
	agreedWait = time.Second
	agreedRest = 300 * time.Millisecond
)

// run follows until ctx ends. While the registry is away the node runs what it was last told, for as long as that lasts.
func (f *follower) run(ctx context.Context) {
	f.say("runs", f.running)
	var rev int64
	for ctx.Err() == nil {
		if err := f.register(ctx); err != nil {
			if errors.Is(err, client.ErrFenced) {
				f.Log("agreed: another process is this node: %v", err)
				return
			}
			pauseFor(ctx, agreedRest)
			continue
		}
		got, err := f.writer.Agreed(ctx, url.Values{"node": {f.Name}, "has": {f.has()}}, rev, agreedWait)
		if err != nil {
			rev = 0
			continue
		}
		rev = got.Revision
		if got.NodeSettings != nil && got.NodeSettings.Node != nil && (f.holder == nil || got.NodeSettings.Node.Incarnation == f.holder.Token(f.Name)) {
			f.follow(ctx, got.NodeSettings, rev)
		}
	}
}

// has are the versions whose content it has, as it asks without them.
func (f *follower) has() string {
	return strconv.FormatInt(f.running.Number, 10) + "," + strconv.FormatInt(f.looked.Number, 10)
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// register enters this start of the node's process, once.
func (f *follower) register(ctx context.Context) error {
	name := f.Name
	if f.Agreed.ByAgent {
		return nil
	}
	if f.holder != nil {
		if f.holder.Token(name) == 0 {
			return client.ErrFenced
		}
		return nil
	}
	boot, err := f.writer.NextStartTime(ctx, name, time.Now())
	if err != nil {
		return err
	}
	ttl := agreedTTL
	if f.Agreed.TTLMS > 0 {
		ttl = time.Duration(f.Agreed.TTLMS) * time.Millisecond
	}
	e := &state.Instance{UID: name, Endpoint: f.Addr(), Role: state.RoleNode, Tier: f.Agreed.Tier, Zone: f.Agreed.Zone, Region: f.Agreed.Region,
		Kind: f.Agreed.SendsTo, Capacity: f.Agreed.Capacity, State: state.Serving, StartTimeMS: boot, TTLMS: ttl.Milliseconds()}
	if e.Capacity == 0 {
		e.Capacity = 1
	}
	h := client.NewLeaseHolder(f.writer)
	holding, cancel := context.WithTimeout(ctx, agreedWait)
	defer cancel()
	if err := h.Register(holding, e); err != nil {
		return err
	}
	f.holder = h
	go h.Run(ctx, ttl)
	return nil
}

// follow does what this node is told, as of a revision, and says what came of it.
func (f *follower) follow(ctx context.Context, c *state.NodeSettings, rev int64) {
	start := c.Node.Incarnation
	f.note(c, rev)
	if c.Target.Number > f.running.Number {
		f.activate(c.Target)
	}
	caughtUp := c.Node.Syncing && !c.Node.Unreachable && c.Node.Violation == "" && c.Target.Number == f.running.Number
	if !c.Node.Reported || caughtUp || c.Node.RunningVersion != f.running.Number || f.reported == 0 {
		a, err := f.writer.WriteOne(ctx, state.Op{Kind: state.OpReport, UID: f.Name, Token: start, Number: f.running.Number, Hash: f.running.Hash})
		if err == nil && a.Code == "" {
			f.reported = a.Revision
		} // else another look tells whether it was heard
	}
	p := c.Pending
	if p == nil || c.Node.Acknowledged == p.Number || c.Node.RejectReason != "" || p.Number <= f.running.Number {
		return
	}
	if f.looked.Number != p.Number {
		if p.Settings == nil {
			return
		}
		f.looked, f.refused = kept{p.Number, p.Hash, p.Settings}, ""
		if err := f.CouldRun(p.Settings); err != nil {
			f.refused = err.Error()
		} else if state.ContentHash(p.Settings) != p.Hash {
			f.refused = "its hash is another"
		}
	}
	if f.refused == "" {
		f.say("could run", f.looked)
	}
	f.writer.WriteOne(ctx, state.Op{Kind: state.OpAcknowledge, UID: f.Name, Token: start, Number: p.Number, Hash: p.Hash, RejectReason: f.refused})
}

// note takes down whether the registry counts this node as in touch, and lets it serve the first time that it does. What the
// registry knew before it had this process's own word is not about this process.
func (f *follower) note(c *state.NodeSettings, rev int64) {
	is := c.Node.InSync() && c.Node.Reported && c.Node.RunningVersion == f.running.Number && f.reported > 0 && rev >= f.reported
	if is && !f.inTouch {
		f.span()
		f.say(fmt.Sprintf("in touch by start %d with", c.Node.Incarnation), f.running)
		select {
		case <-f.caughtUp:
		default:
			close(f.caughtUp)
		}
	}
	if f.inTouch && !c.Node.InSync() {
		f.say(fmt.Sprintf("out of touch by start %d, renewed within %d ms, with", c.Node.Incarnation, f.span().Milliseconds()), f.running)
	}
	f.inTouch = is || f.inTouch && c.Node.InSync()
}

// span is the longest time between renewals of this node's lease since it was last asked for; 0: an agent renews it.
func (f *follower) span() time.Duration {
	if f.holder == nil {
		return 0
	}
	return f.holder.MaxRenewalGap()
}

// awaitCaughtUp waits until this start of the node is in touch, so that it never serves by what was in force before it; false:
// ctx ended first. While the registry is away that lasts as long as it is.
func (n *Node) awaitCaughtUp(ctx context.Context) bool {
	if n.follower == nil {
		return true
	}
	select {
	case <-n.follower.caughtUp:
		log.Printf("agreed: serves at %d", monotonic())
		return true
	case <-ctx.Done():
		return false
	}
}

// activate runs a version from now on, and keeps it for the process after this one. It is kept first: a process that dies in
// between then starts with what it was told.
func (f *follower) activate(c state.VersionContent) {
	next := kept{c.Number, c.Hash, c.Settings}
	if c.Settings == nil && f.looked.Number == c.Number {
		next.Settings = f.looked.Settings
	}
	if next.Settings == nil || state.ContentHash(next.Settings) != c.Hash {
		return
	}
	if f.Agreed.Keep != "" {
		text, err := json.Marshal(next)
		if err == nil {
			err = renameio.WriteFile(f.Agreed.Keep, text, 0o600)
		}
		if err != nil {
			f.Log("agreed: version %d is not kept: %v", c.Number, err)
		}
	}
	if err := f.Run(next.Settings); err != nil {
		f.Log("agreed: version %d cannot be run: %v", c.Number, err)
		return
	}
	f.running = next
	f.say("runs", next)
}

// say writes down what the node does, with the machine's monotonic clock, for who judges from outside.
func (f *follower) say(what string, k kept) {
	f.Log("agreed: %s version %d %.12s at %d", what, k.Number, cmp.Or(k.Hash, "-"), monotonic())
}

// monotonic is the machine's monotonic clock, in nanoseconds.
func monotonic() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it exists on every Linux
	return t.Nano()
}

// couldRun says why the node could not run settings; nil: it could. It looks exactly as a reload does.
func (n *Node) couldRun(settings json.RawMessage) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	cfg, err := n.now.withSettings(settings)
	if err != nil {
		return err
	}
	return reloadable(n.shape, cfg)
}

// runSettings takes settings over, as a reload of a file with them would.
func (n *Node) runSettings(settings json.RawMessage) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	cfg, err := n.now.withSettings(settings)
	if err != nil {
		return err
	}
	if err := n.take(cfg); err != nil {
		return err
	}
	n.agreed = settings
	return nil
}
