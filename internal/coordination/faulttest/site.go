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
	"strings"
	"sync"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/process"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// siteProcess is a process of the site, with its links to the replicas.
type siteProcess struct {
	process.Process
	name  string
	links []*relay.Relay // by replica
	// killed: a fault has killed it, and may have started it again since. No further fault affects it.
	killed bool
}

// site is everything that runs.
type site struct {
	opt         Options
	dir         string // for all files
	cluster     *cluster.Cluster
	launcher    *process.Launcher
	units       []*siteProcess
	controllers []*siteProcess
	random      *rand.Rand
	result      *Result
	record      *record
	undo        sync.WaitGroup // the goroutines that end faults and drains

	killedNode string // the node that was killed for good; empty: none
	zoneFaults int
}

// newSite returns a site of which nothing runs yet.
func newSite(opt Options, result *Result) (*site, error) {
	if opt.Duration == 0 {
		opt.Duration = defaultDuration
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
	return &site{
		opt: opt, launcher: process.NewLauncher(), random: rand.New(rand.NewPCG(opt.Seed, 7)),
		result: result, record: newRecord(),
	}, nil
}

// close ends everything and removes the files.
func (s *site) close() {
	s.undo.Wait()
	s.launcher.Close()
	for _, p := range s.processes() {
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

// stopAndRead ends the processes and reads what they have logged.
func (s *site) stopAndRead() error {
	s.launcher.Close()
	return s.record.readLogs(filepath.Join(s.dir, "*.events"))
}

// processes returns the units and the controllers.
func (s *site) processes() []*siteProcess {
	return append(s.units, s.controllers...)
}

// startRegistry starts the replicas, and creates the folder for all files.
func (s *site) startRegistry(ctx context.Context) (err error) {
	if s.dir, err = os.MkdirTemp("", "umberbank-fleet-"); err != nil {
		return err
	}
	if s.cluster, err = cluster.New(s.command("registry", "serve"), 3, ""); err != nil {
		return err
	}
	for i := range s.cluster.Len() {
		if err := s.cluster.Start(i); err != nil {
			return err
		}
	}
	return s.cluster.AwaitReady(ctx)
}

// startControllers starts three of them.
func (s *site) startControllers() error {
	for i := range 3 {
		name := fmt.Sprint("c", i)
		p, err := s.start(name, "controller", []string{"--name", name, "--ttl", "1s"})
		if err != nil {
			return err
		}
		s.controllers = append(s.controllers, p)
	}
	return nil
}

// command returns a command line of the program.
func (s *site) command(args ...string) []string {
	return append(s.opt.Program[:len(s.opt.Program):len(s.opt.Program)], args...)
}

func (s *site) newProcess(name string) *siteProcess {
	return &siteProcess{name: name, Process: process.Process{Launcher: s.launcher, LogPath: filepath.Join(s.dir, name+".log")}}
}

// start starts a fleet command of the program with links of its own.
func (s *site) start(name, command string, args []string) (*siteProcess, error) {
	p := s.newProcess(name)
	at, err := s.link(p)
	if err != nil {
		return nil, err
	}
	common := s.command("fleet", command, "--endpoints", strings.Join(at, ","), "--event-log", filepath.Join(s.dir, name+".events"))
	p.SetCommand(append(common, args...))
	return p, p.Start()
}

// link gives a process its own relay to each replica, and returns the relays' addresses.
func (s *site) link(p *siteProcess) (addresses []string, err error) {
	for _, to := range s.cluster.Addresses() {
		l, err := relay.Listen("127.0.0.1", to)
		if err != nil {
			return nil, err
		}
		p.links = append(p.links, l)
		addresses = append(addresses, l.Addr())
	}
	return addresses, nil
}

// startExtraProcess starts the process of Options.ExtraProcess, and returns a function that ends it.
func (s *site) startExtraProcess() (stop func(), err error) {
	if s.opt.ExtraProcess == nil {
		return func() {}, nil
	}
	p := s.newProcess("beside")
	p.SetCommand(s.opt.ExtraProcess(s.cluster.Addresses(), s.dir))
	if err := p.Start(); err != nil {
		return nil, err
	}
	return func() { p.Kill() }, nil
}

// operate runs a fleet command as an operator would, and returns what it prints.
func (s *site) operate(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout+time.Second)
	defer cancel()
	all := append(append(s.command("fleet"), args...), "--endpoints", strings.Join(s.cluster.Addresses(), ","), "--timeout", commandTimeout.String())
	cmd := exec.CommandContext(ctx, all[0], all[1:]...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return strings.TrimSpace(out.String()), err
}

// attempt is operate for a command that faults may let fail. What it left undone is settled at the end of the run.
func (s *site) attempt(ctx context.Context, args ...string) {
	_, _ = s.operate(ctx, args...)
}

// await waits until the registry's view fulfils a condition. The error has its description and the last view.
func (s *site) await(ctx context.Context, description string, fulfilled func(*state.CoordinationView) bool) error {
	w, err := client.New(client.Options{Endpoints: s.cluster.Addresses(), MaxBackoff: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	var last *state.CoordinationView
	for {
		if view, err := controller.ReadView(ctx, w); err == nil {
			if last = view; fulfilled(view) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			text, _ := json.Marshal(last) // a nil view says so itself
			return fmt.Errorf("%s: %s", description, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// healAll ends all faults, and starts every process again but the one that was killed for good.
func (s *site) healAll() error {
	s.cluster.ResumeAll()
	for _, p := range s.processes() {
		if p.name == s.killedNode {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a random time of at least shortest, in milliseconds, and less than spread more, or until ctx ends.
func (s *site) pause(ctx context.Context, shortest, spread int) error {
	select {
	case <-time.After(time.Duration(shortest+s.random.IntN(spread)) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
