// Package fleet carries calls on the machine's clock: every node is a process of its own, and servers, discovery,
// clients and the relays between them are this process. All sockets are on loopback, in a network of 127/8 that
// one run has to itself.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/fault"
	"umberbank/internal/lab/model"
	"umberbank/internal/process"
	"umberbank/internal/process/relay"
)

// Observer hears what only the real fleet can tell, besides what the model tells.
type Observer interface {
	Told(node, server int, st model.State)
	Process(node int, act model.ProcessAct)
	Stray(node, server int, id, why string)
	Crashed(node int, why string)
}

// Options say how a fleet is run.
type Options struct {
	Node    []string // the command of a node; none: this program's own
	Replica []string // and of a replica of the registry, which takes --config FILE
	Events  []*fault.Event
	Ready   func(node int) // called on the loop when a node's process serves
	Log     func(format string, args ...any)
}

// Fleet is a model.Backend.
type Fleet struct {
	w        *model.World
	opt      Options
	observer Observer
	net      *network
	dir      string
	began    time.Time // the loop's 0
	ctx      context.Context
	cancel   context.CancelCauseFunc

	links    map[[2]int]*link
	agents   []*agent
	procs    []*fleetProcess
	pools    []*pool
	servers  []*http.Server
	calls    map[string]*model.Call // in hand; the loop's
	registry *registry              // nil: discovery is the model's
	launch   *process.Launcher
	running  sync.WaitGroup
}

// link is the way from a node to a server.
type link struct {
	addr    string
	relay   *relay.Relay // nil: no fault touches it
	effects map[*model.Effect]*relay.Impairment
	down    []*relay.Impairment // while the server's process, or its machine, is down
	jobs    chan func() error   // for its relay, in order: they may take a moment, and the loop must not wait
}

// linkJobs is how many of them may wait.
const linkJobs = 4096

// withRelay puts a relay before a link.
func (f *Fleet) withRelay(l *link, host string) (err error) {
	if l.relay, err = relay.Listen(host, l.addr); err != nil {
		return err
	}
	l.addr, l.jobs = l.relay.Addr(), make(chan func() error, linkJobs)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		for do := range l.jobs {
			if err := do(); err != nil {
				f.fail(fmt.Errorf("relay: %w", err))
			}
		}
	}()
	return nil
}

// New returns a fleet whose sockets listen and whose nodes are not started.
func New(w *model.World, o Observer, opt Options) (f *Fleet, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	opt.complete(self)
	f = &Fleet{w: w, opt: opt, observer: o, links: map[[2]int]*link{}, calls: map[string]*model.Call{}, began: time.Now()}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	raiseLimit()
	if f.net, err = claim(); err != nil {
		return f, err
	}
	if f.dir, err = os.MkdirTemp("", "umberbank-lab-"); err != nil {
		return f, err
	}
	f.launch = process.NewLauncher()
	touched := map[[2]int]bool{}
	fault.Links(opt.Events, w.Site, func(node, server int) { touched[[2]int{node, server}] = true })
	if err = f.startServers(touched); err != nil {
		return f, err
	}
	if err = f.startAgents(); err != nil {
		return f, err
	}
	if w.Site.Registry.Replicas > 0 {
		if err = f.startRegistry(); err != nil {
			return f, err
		}
	}
	for i := range w.Site.Nodes {
		f.procs = append(f.procs, &fleetProcess{f: f, node: i})
		f.pools = append(f.pools, newPool(f.nodeAddr(i)))
	}
	return f, nil
}

// complete takes this program for whichever command was not told.
func (o *Options) complete(self string) {
	if len(o.Node) == 0 {
		o.Node = []string{self, "node"}
	}
	if len(o.Replica) == 0 {
		o.Replica = []string{self, "registry", "serve"}
	}
}

// raiseLimit asks for as many descriptors as the system gives; a site of many links wants thousands.
func raiseLimit() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil && l.Cur < l.Max {
		l.Cur = l.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	}
}

// Play starts all nodes, calls begin when they are ready, and plays until the loop's time until. Nothing that it
// started is left when it returns.
func (f *Fleet) Play(ctx context.Context, begin func(), until time.Duration) error {
	defer f.close()
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	defer f.cancel(nil)
	if err := f.startNodes(); err != nil {
		return err
	}
	f.began = time.Now()
	for i := range f.procs {
		f.opt.Ready(i)
	}
	begin()
	err := f.w.Loop.RunReal(f.ctx, until)
	if cause := context.Cause(f.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// startNodes starts all processes and waits until they serve. One that ends before is the error.
func (f *Fleet) startNodes() error {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	for _, p := range f.procs {
		err := p.spawn(func(cmd *exec.Cmd, err error) {
			cancel(fmt.Errorf("node %s ended while it started: %w: %v", f.w.Site.Nodes[p.node].Name, orEnded(err), p.log))
			f.w.Loop.Post(func() { p.ended(cmd, err) })
		})
		if err != nil {
			return err
		}
	}
	failed := make(chan error, len(f.procs))
	for i := range f.procs {
		go func() { failed <- f.awaitReady(ctx, i) }()
	}
	var first error
	for range f.procs {
		if err := <-failed; err != nil && first == nil {
			first = err
			cancel(err)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return first
}

func orEnded(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// fail ends the run with an error.
func (f *Fleet) fail(err error) { f.cancel(err) }

// close ends all that was started.
func (f *Fleet) close() {
	for _, p := range f.procs {
		if p.cmd != nil {
			p.cmd.Process.Kill()
		}
	}
	if f.registry != nil {
		f.registry.close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	for _, l := range f.links {
		if l.relay != nil {
			l.relay.Close()
			close(l.jobs)
		}
	}
	for _, p := range f.pools {
		p.close()
	}
	if f.cancel != nil {
		f.cancel(nil)
	}
	f.running.Wait()
	if f.launch != nil {
		f.launch.Close()
	}
	if f.net != nil {
		f.net.release()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

// serveHTTP serves until the fleet closes.
func (f *Fleet) serveHTTP(ln net.Listener, s *http.Server) {
	if s.ErrorLog == nil {
		s.ErrorLog = log.New(logWriter(f.opt.Log), "", 0)
		f.servers = append(f.servers, s)
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		s.Serve(ln) // until it is closed
	}()
}

type logWriter func(format string, args ...any)

func (w logWriter) Write(b []byte) (int, error) { w("%s", b); return len(b), nil }

// ---- Addresses ----

// network is a part of 127/8 that a run has to itself; a listening socket holds it.
type network struct {
	second int
	lock   net.Listener
}

// What the hosts of a network are for.
const (
	lockHost    = 0
	nodeHosts   = 1
	agentHosts  = 20_000
	serverHosts = 30_000
	hostsEach   = 250
	nodePort    = "3000"
	lockPort    = "2999"
)

// claim takes the first network that nobody has.
func claim() (*network, error) {
	first := os.Getpid()
	for i := range 200 {
		n := &network{second: 20 + (first+i)%200}
		lock, err := net.Listen("tcp", net.JoinHostPort(n.host(lockHost), lockPort))
		if err == nil {
			n.lock = lock
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errors.New("every network of 127.20 to 127.219 is taken by another run")
}

func (n *network) release() { n.lock.Close() }

// host is the i-th address.
func (n *network) host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, i/hostsEach, 1+i%hostsEach)
}

func (f *Fleet) nodeAddr(i int) string { return net.JoinHostPort(f.net.host(nodeHosts+i), nodePort) }

func (f *Fleet) linkAddr(node, server int) string {
	if l := f.links[[2]int{node, server}]; l != nil {
		return l.addr
	}
	return ""
}

// config words a node's configuration.
func (f *Fleet) config(node, life int) []byte {
	n := &f.w.Site.Nodes[node]
	l := &f.w.Site.Limits
	seed := f.w.Site.Seed*1_000_003 + uint64(node)*7919 + uint64(life)
	a := f.agents[node]
	a.mu.Lock()
	known := a.whole
	a.mu.Unlock()
	var state any
	if s := f.w.Site.State; s.Keep {
		state = map[string]any{"dir": filepath.Join(f.dir, n.Name+".state"), "every_ms": s.Every.D().Milliseconds(), "max_age_ms": s.Age.D().Milliseconds()}
	}
	text, err := json.Marshal(map[string]any{
		"state": state, "name": n.Name, "listen": f.nodeAddr(node), "discovery": a.addr, "seed": fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": l.MemoryMB, "sockets": l.Sockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(f.w.Site.Settings(node)),
	})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}

// ---- Links ----

// Links puts an effect on links.
func (f *Fleet) Links(nodes, servers []int, e *model.Effect, on bool) {
	for _, n := range nodes {
		for _, s := range servers {
			l := f.links[[2]int{n, s}]
			if l == nil || l.relay == nil {
				continue
			}
			if !on {
				r := l.effects[e]
				delete(l.effects, e)
				l.jobs <- func() error { return l.relay.Remove(r) }
				continue
			}
			r := &relay.Impairment{Delay: e.Delay, Jitter: e.Jitter, Stall: e.Silent, Refuse: e.Refuse, BytesPerSecond: e.Rate, ToTarget: e.There, FromTarget: e.Back}
			l.effects[e] = r
			l.jobs <- func() error {
				if e.Reset {
					l.relay.Reset()
				}
				return l.relay.Add(r)
			}
		}
	}
}

// ServerDown ends a server's connections.
func (f *Fleet) ServerDown(server int, silent bool) {
	if f.registry != nil {
		f.registry.release(server)
	}
	f.eachLink(server, func(l *link) {
		e := &relay.Impairment{Refuse: true}
		if silent {
			e = &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
		}
		l.down = append(l.down, e)
		l.jobs <- func() error {
			err := l.relay.Add(e)
			if !silent {
				l.relay.Reset()
			}
			return err
		}
	})
}

// ServerUp lets connections come again; those from before are reset, as the machine knows nothing of them.
func (f *Fleet) ServerUp(server int) {
	f.eachLink(server, func(l *link) {
		down := l.down
		l.down = nil
		l.jobs <- func() error {
			l.relay.Reset()
			var err error
			for _, e := range down {
				err = errors.Join(err, l.relay.Remove(e))
			}
			return err
		}
	})
}

// eachLink runs do for the relayed links of a server. Where no relay stands, an attempt at a server that is
// down is reset once it has come.
func (f *Fleet) eachLink(server int, do func(*link)) {
	for n := range f.w.Site.Nodes {
		if l := f.links[[2]int{n, server}]; l != nil && l.relay != nil {
			do(l)
		}
	}
}
