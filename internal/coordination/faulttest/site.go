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

// siteProcess is an agent, node or controller of the site, with its links to the replicas.
type siteProcess struct {
	process.Process
	name  string
	links []*relay.Relay // by replica
	// killed is set once a fault has killed the process. No fault kills it again, and injectFault skips it from then on.
	killed bool
}

// site holds the processes of a run, its files and its results.
type site struct {
	opt         Options
	dir         string // of all files
	cluster     *cluster.Cluster
	launcher    *process.Launcher
	units       []*siteProcess
	controllers []*siteProcess
	random      *rand.Rand
	result      *Result
	record      *record
	background  sync.WaitGroup // goroutines that end faults, restore backups, and drain and undrain servers

	killedNode string // the node that was killed and is not started again, empty if there is none
	zoneFaults int
}

// newSite returns a site without processes.
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

// close ends all processes and relays, and removes the files.
func (s *site) close() {
	s.background.Wait()
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

// stopAndReadLogs ends the processes and reads their event logs.
func (s *site) stopAndReadLogs() error {
	s.launcher.Close()
	return s.record.readLogs(filepath.Join(s.dir, "*.events"))
}

// processes returns the agents or nodes, and the controllers.
func (s *site) processes() []*siteProcess {
	return append(s.units, s.controllers...)
}

// startRegistry creates the directory of all files and starts the replicas.
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

// startControllers starts three controllers.
func (s *site) startControllers() error {
	for i := range 3 {
		name := fmt.Sprint("c", i)
		p, err := s.startFleetCommand(name, "controller", []string{"--name", name, "--ttl", "1s"})
		if err != nil {
			return err
		}
		s.controllers = append(s.controllers, p)
	}
	return nil
}

// command returns a command line of umberbank with the given arguments.
func (s *site) command(args ...string) []string {
	return append(s.opt.Program[:len(s.opt.Program):len(s.opt.Program)], args...)
}

func (s *site) newProcess(name string) *siteProcess {
	return &siteProcess{name: name, Process: process.Process{Launcher: s.launcher, LogPath: filepath.Join(s.dir, name+".log")}}
}

// startFleetCommand starts a process that runs a fleet command of umberbank, with links of its own.
func (s *site) startFleetCommand(name, command string, args []string) (*siteProcess, error) {
	p := s.newProcess(name)
	addresses, err := s.createLinks(p)
	if err != nil {
		return nil, err
	}
	common := s.command("fleet", command, "--endpoints", strings.Join(addresses, ","), "--event-log", filepath.Join(s.dir, name+".events"))
	p.SetCommand(append(common, args...))
	return p, p.Start()
}

// createLinks creates a relay from p to each replica, and returns the relays' addresses.
func (s *site) createLinks(p *siteProcess) (addresses []string, err error) {
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

// startExtraProcess starts the process of Options.ExtraProcess, if any. The returned function kills it.
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

// runFleetCommand runs a fleet command as an operator does, and returns its output.
func (s *site) runFleetCommand(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout+time.Second)
	defer cancel()
	all := append(append(s.command("fleet"), args...), "--endpoints", strings.Join(s.cluster.Addresses(), ","), "--timeout", commandTimeout.String())
	cmd := exec.CommandContext(ctx, all[0], all[1:]...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return strings.TrimSpace(out.String()), err
}

// tryFleetCommand runs a fleet command and ignores its error, since faults may make it fail. settleRelease and settleSettings
// later run the commands on which the end of the run depends.
func (s *site) tryFleetCommand(ctx context.Context, args ...string) {
	_, _ = s.runFleetCommand(ctx, args...)
}

// await waits until the registry's view fulfils a condition. The error includes description and the last view.
func (s *site) await(ctx context.Context, description string, fulfilled func(*state.CoordinationView) bool) error {
	c, err := client.New(client.Options{Endpoints: s.cluster.Addresses(), MaxBackoff: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	var last *state.CoordinationView
	for {
		if view, err := controller.ReadView(ctx, c); err == nil {
			if last = view; fulfilled(view) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			text, _ := json.Marshal(last) // null if no view was read
			return fmt.Errorf("stopped waiting for %s; last view: %s", description, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// healAll ends all faults and starts every process that is not running, except killedNode.
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

// sleepRandom waits for a random time of at least shortest and less than shortest+spread, in milliseconds. It returns early
// with an error if ctx ends.
func (s *site) sleepRandom(ctx context.Context, shortest, spread int) error {
	select {
	case <-time.After(time.Duration(shortest+s.random.IntN(spread)) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
