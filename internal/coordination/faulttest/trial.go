// Package faulttest plays releases and drains on real processes, with faults between them, and judges what they did: a
// registry of three replicas, units with their agents, controllers, and staff at the command line. Every process reaches every
// replica over a relay of its own, so any of them can be cut off. The judge reads what processes wrote down as
// they did it, and knows of faults what the trial did; it asks no registry.
package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/process"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// Options say what is played.
type Options struct {
	Seed    uint64
	For     time.Duration // of faults; 0: 6 s
	Program []string      // umberbank; none: this program
	Calm    bool          // no faults
	Log     func(format string, args ...any)
	// Beside starts one more process, such as a wrong one, with the registry's addresses and a folder for its journal.
	Beside func(at []string, dir string) []string
	// Node is a command in the place of the first node of a trial of settings, with the same environment.
	Node []string
	// Again: the first node of a trial of settings is killed once the first version is in force, and started again.
	Again bool
	Dead  []string // units that are killed before the release, long enough for all to know, and stay so for the run
}

// Result is what came of a run.
type Result struct {
	Seed       uint64   `json:"seed"`
	Permits    int      `json:"permits"` // that units or staff made use of
	OverBudget int      `json:"over_budget"`
	TwoActors  int      `json:"two_actors"`
	LateBegins int      `json:"late_begins"` // over a second after a halt
	Acts       int      `json:"acts"`        // of controllers
	Outcome    string   `json:"outcome"`     // of the release: done, or taken back
	SettleS    float64  `json:"settle_s"`    // from the end of the faults until all units ran what they should
	Faults     []string `json:"faults"`
	Broken     []string `json:"broken"`
}

// The site of a trial. Limits leave room for three of twelve servers, two of a zone, and one of four nodes.
const (
	servers = 12
	nodes   = 4
	limits  = `cold_from = 0.4
warm_ms = 600
lapse_ms = 1500
[[tier]]
tier = "web"
whole = 0.25
zone = 0.34
[[tier]]
tier = "front"
whole = 0.25
`
	plan = `name = "next"
version = "v2"
bake = "300ms"
back_within = "30s"
needs = { web = 6.0 }
[[stage]]
tier = "web"
share = 0.1
[[stage]]
tier = "front"
share = 0.5
[[stage]]
tier = "web"
share = 1.0
[[stage]]
tier = "front"
share = 1.0
`
	warm = 600 * time.Millisecond
	ttl  = 600 * time.Millisecond
)

// unit is one of the site.
type unit struct {
	id, tier, zone string
}

func units() (l []unit) {
	for i := range servers {
		l = append(l, unit{fmt.Sprintf("s%02d", i), "web", string("ab"[i%2])})
	}
	for i := range nodes {
		l = append(l, unit{fmt.Sprintf("n%d", i), "front", string("ab"[i%2])})
	}
	return l
}

// siteProcess is one of the trial's, and its links to the replicas.
type siteProcess struct {
	process.Process
	name  string
	links []*relay.Relay
	off   bool // a fault has ended it, and may have started it again since; it is left in peace then
}

// site is all that runs.
type site struct {
	opt      Options
	dir      string
	cluster  *cluster.Cluster
	launch   *process.Launcher
	units    []*siteProcess
	controls []*siteProcess
	r        *rand.Rand
	res      *Result
	record   *record
	undo     sync.WaitGroup

	dead      string // the node that was killed for good; "": none
	zonesLost int
}

// Bounds of the waits.
const (
	defaultFor   = 6 * time.Second
	startWithin  = 30 * time.Second
	settleWithin = 60 * time.Second
	wrongWithin  = 2 * time.Second // where a process is wrong, and the site may never settle
	staffWithin  = 3 * time.Second
)

// newSite returns a site of which nothing runs yet.
func newSite(opt Options, res *Result) (*site, error) {
	if opt.For == 0 {
		opt.For = defaultFor
	}
	if opt.Log == nil {
		opt.Log = func(string, ...any) {}
	}
	if len(opt.Program) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		opt.Program = []string{self}
	}
	return &site{opt: opt, launch: process.NewLauncher(), r: rand.New(rand.NewPCG(opt.Seed, 7)), res: res, record: newRecord()}, nil
}

// Run plays one run.
func Run(ctx context.Context, opt Options) (*Result, error) {
	s, err := newSite(opt, &Result{Seed: opt.Seed})
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	back, err := s.play(ctx)
	if err != nil {
		return nil, err
	}
	healed := time.Now()
	if err := s.settle(ctx, back); err != nil {
		s.res.Broken = append(s.res.Broken, "after the faults: "+err.Error())
	}
	s.res.SettleS = time.Since(healed).Seconds()
	s.launch.Close()
	if err := s.record.read(filepath.Join(s.dir, "*.events")); err != nil {
		return nil, err
	}
	s.record.judge(s.res)
	return s.res, ctx.Err()
}

func (s *site) close() {
	s.undo.Wait()
	s.launch.Close()
	for _, p := range append(s.units, s.controls...) {
		for _, l := range p.links {
			l.Close()
		}
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
	if s.dir != "" {
		os.RemoveAll(s.dir)
	}
}

// registry starts the replicas, in a folder for all that the trial writes.
func (s *site) registry(ctx context.Context) (err error) {
	if s.dir, err = os.MkdirTemp("", "umberbank-fleet-"); err != nil {
		return err
	}
	if s.cluster, err = cluster.New(s.program("registry", "serve"), 3, ""); err != nil {
		return err
	}
	for i := range s.cluster.Len() {
		if err := s.cluster.Start(i); err != nil {
			return err
		}
	}
	return s.cluster.AwaitReady(ctx)
}

// program is a command line of the program.
func (s *site) program(args ...string) []string {
	return append(s.opt.Program[:len(s.opt.Program):len(s.opt.Program)], args...)
}

// controllers starts three of them.
func (s *site) controllers() error {
	for i := range 3 {
		name := fmt.Sprint("c", i)
		p, err := s.process(name, "control", []string{"--name", name, "--ttl", "1s"})
		if err != nil {
			return err
		}
		s.controls = append(s.controls, p)
	}
	return nil
}

// start starts all processes, and waits until every unit is registered and warm.
func (s *site) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := s.registry(ctx); err != nil {
		return err
	}
	for name, text := range map[string]string{"limits.toml": limits, "plan.toml": plan} {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if out, err := s.staff(ctx, "budget", filepath.Join(s.dir, "limits.toml")); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for i, u := range units() {
		args := []string{"--uid", u.id, "--endpoint", fmt.Sprintf("10.0.0.%d:3000", i+1), "--tier", u.tier, "--zone", u.zone, "--rack", fmt.Sprint(i / 2),
			"--version", "v1", "--keep", filepath.Join(s.dir, u.id+".version"), "--ttl", ttl.String(), "--drain", "100ms", "--skew=" + (time.Duration(s.r.IntN(7200)-3600) * time.Second).String()}
		if u.tier == "front" {
			args = append(args, "--node", "--kind", "web")
		}
		p, err := s.process(u.id, "agent", args)
		if err != nil {
			return err
		}
		s.units = append(s.units, p)
	}
	if err := s.controllers(); err != nil {
		return err
	}
	return s.await(ctx, "all units are to be registered and warm", func(v *state.CoordinationView) bool {
		return len(v.Units) == servers+nodes && len(v.Unavailable) == 0 && v.Leader != nil
	})
}

// links gives a process its own way to each replica.
func (s *site) links(p *siteProcess) (at []string, err error) {
	for _, to := range s.cluster.Addresses() {
		l, err := relay.Listen("127.0.0.1", to)
		if err != nil {
			return nil, err
		}
		p.links = append(p.links, l)
		at = append(at, l.Addr())
	}
	return at, nil
}

// siteProcess starts a process of the program with links of its own.
func (s *site) process(name, command string, args []string) (*siteProcess, error) {
	p := &siteProcess{name: name, Process: process.Process{Launcher: s.launch, LogPath: filepath.Join(s.dir, name+".log")}}
	at, err := s.links(p)
	if err != nil {
		return nil, err
	}
	p.SetCommand(append(s.program("fleet", command, "--at", strings.Join(at, ","), "--journal", filepath.Join(s.dir, name+".events")), args...))
	return p, p.Start()
}

// staff runs a command of the program as a person would.
func (s *site) staff(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, staffWithin+time.Second)
	defer cancel()
	all := append(append(s.program("fleet"), args...), "--at", strings.Join(s.cluster.Addresses(), ","), "--within", staffWithin.String())
	cmd := exec.CommandContext(ctx, all[0], all[1:]...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return strings.TrimSpace(out.String()), err
}

// await waits until what is agreed is so.
func (s *site) await(ctx context.Context, what string, is func(*state.CoordinationView) bool) error {
	w, err := client.New(client.Options{Endpoints: s.cluster.Addresses(), MaxBackoff: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	var v *state.CoordinationView
	for {
		if now, err := controller.ReadView(ctx, w); err == nil {
			if v = now; is(v) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			text, _ := json.Marshal(v) // a nil one says so itself
			return fmt.Errorf("%s: %s", what, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// play lets staff and faults at the site, and says whether the release was taken back. When it returns all faults are over.
func (s *site) play(ctx context.Context) (back bool, err error) {
	for _, p := range s.units {
		if slices.Contains(s.opt.Dead, p.name) {
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "killed", Unit: p.name})
			p.Kill()
		}
	}
	if len(s.opt.Dead) > 0 {
		time.Sleep(known)
	}
	if out, err := s.staff(ctx, "release", filepath.Join(s.dir, "plan.toml")); err != nil {
		return false, fmt.Errorf("%w: %s", err, out)
	}
	if s.opt.Beside != nil {
		p := &siteProcess{name: "beside", Process: process.Process{Launcher: s.launch, LogPath: filepath.Join(s.dir, "beside.log")}}
		p.SetCommand(s.opt.Beside(s.cluster.Addresses(), s.dir))
		if err := p.Start(); err != nil {
			return false, err
		}
		defer p.Kill()
	}
	end := time.Now().Add(s.opt.For)
	halted := false
	for time.Now().Before(end) {
		if !s.opt.Calm {
			if err := s.fault(); err != nil {
				return back, err
			}
		}
		switch n := s.r.IntN(10); {
		case n < 3:
			s.drainTwoZones(ctx)
		case n == 3 && !back:
			halted = true
			if _, err := s.staff(ctx, "halt", "next"); err == nil {
				s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "halt", Plan: "next"})
			}
		case n == 4 && halted && !back:
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "resume", Plan: "next"})
			s.staff(ctx, "resume", "next") // that may fail, which is settled at the end
		case n == 5 && !back:
			back = true
			s.staff(ctx, "back", "next")
		}
		select {
		case <-time.After(time.Duration(100+s.r.IntN(500)) * time.Millisecond):
		case <-ctx.Done():
			return back, ctx.Err()
		}
	}
	s.undo.Wait()
	return back, nil
}

// drainTwoZones has two people drain a server each, in two zones at once, and let them serve again a while later.
func (s *site) drainTwoZones(ctx context.Context) {
	first := s.r.IntN(servers / 2)
	hold := time.Duration(300+s.r.IntN(1500)) * time.Millisecond
	for zone := range 2 {
		id := units()[2*first+zone].id
		s.undo.Go(func() {
			if _, err := s.staff(ctx, "drain", id, "--holder", "zone "+string("ab"[zone])); err == nil {
				s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "drained", Unit: id})
			}
			time.Sleep(hold) // a person's
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "undrained", Unit: id})
			s.staff(ctx, "undrain", id) // that may fail, which is settled at the end
		})
	}
}

// fault lets something befall a process or its links, for a while.
func (s *site) fault() error {
	lasts := time.Duration(200+s.r.IntN(1500)) * time.Millisecond
	p := s.controls[s.r.IntN(len(s.controls))]
	isUnit := s.r.IntN(2) == 0
	if isUnit {
		p = s.units[s.r.IntN(len(s.units))]
		if s.r.IntN(3) == 0 {
			lasts += 3 * time.Second // long enough for everybody to know
		}
	}
	replica := s.r.IntN(s.cluster.Len())
	kind := []string{"kill", "stop", "cut", "one-way", "replica-kill", "replica-stop", "slow-disk", "restore"}[s.r.IntN(8)]
	name := p.name
	if strings.Contains(kind, "replica") || kind == "slow-disk" {
		name = s.cluster.ID(replica)
	} else if p.off {
		return nil
	}
	s.res.Faults = append(s.res.Faults, fmt.Sprintf("%s %s %v", kind, name, lasts))
	s.opt.Log("%s %s for %v", kind, name, lasts)
	after := func(do func()) {
		s.undo.Go(func() {
			time.Sleep(lasts)
			do()
		})
	}
	note := func(what eventlog.Kind) { s.record.note(eventlog.Event{At: eventlog.Now(), Kind: what, Unit: p.name}) }
	afterFault := func(do func()) {
		note("fault")
		after(func() {
			do()
			note("fault over")
		})
	}
	registry := func(do, undo func()) {
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "registry"})
		do()
		after(func() {
			undo()
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "registry over"})
		})
	}
	switch kind {
	case "kill":
		p.off = true
		note("killed")
		p.Kill()
		afterFault(func() { p.Start() }) // one that cannot start shows in what follows
	case "stop":
		p.Signal(syscall.SIGSTOP)
		afterFault(func() { p.Signal(syscall.SIGCONT) })
	case "cut", "one-way":
		e := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: kind == "cut"}
		for _, l := range p.links {
			if err := l.Add(e); err != nil {
				return err
			}
		}
		afterFault(func() {
			for _, l := range p.links {
				l.Remove(e) // it only lifts the silence
			}
		})
	case "replica-kill":
		registry(func() { s.cluster.Kill(replica) }, func() { s.cluster.Start(replica) })
	case "replica-stop":
		registry(func() { s.cluster.Signal(replica, syscall.SIGSTOP) }, func() { s.cluster.Signal(replica, syscall.SIGCONT) })
	case "slow-disk":
		if err := s.cluster.SetSyncDelay(replica, time.Duration(50+s.r.IntN(300))*time.Millisecond); err != nil {
			return err
		}
		registry(func() {}, func() { s.cluster.SetSyncDelay(replica, 0) })
	case "restore":
		registry(func() { s.restore(lasts) }, func() {})
	}
	return nil
}

// restore takes a backup and puts it in place some time later.
func (s *site) restore(later time.Duration) {
	s.undo.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), staffWithin)
		defer cancel()
		w, err := client.New(client.Options{Endpoints: s.cluster.Addresses()})
		if err != nil {
			return
		}
		var backup json.RawMessage
		if w.Call(ctx, "GET", "/registry/backup", nil, &backup) != nil {
			return // no registry answers
		}
		time.Sleep(later / 2)
		w.Call(ctx, "POST", "/registry/restore", backup, &struct{}{}) // it was restored or not
	})
}

// heal lets every process run again.
func (s *site) heal() error {
	s.cluster.ResumeAll()
	for _, p := range append(s.units, s.controls...) {
		if p.name == s.dead {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// settle ends all faults, and waits until every unit runs what it should and nobody holds a permit.
func (s *site) settle(ctx context.Context, back bool) error {
	if err := s.heal(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	if err := s.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	version := "v2"
	s.res.Outcome = "done"
	if back {
		version, s.res.Outcome = "v1", "taken back"
		s.staff(ctx, "back", "next") // once more, should it not have gone through
	} else {
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "resume", Plan: "next"})
		s.staff(ctx, "resume", "next")
	}
	for _, u := range units()[:servers] {
		s.undo.Go(func() { s.staff(ctx, "undrain", u.id) })
	}
	s.undo.Wait()
	return s.await(ctx, "all units are to run "+version, func(v *state.CoordinationView) bool {
		for _, u := range v.Units {
			if u.Version != version {
				return false
			}
		}
		return len(v.Units) == servers+nodes && len(v.Unavailable) == 0 && len(v.Permits) == 0
	})
}
