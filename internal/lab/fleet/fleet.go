// Package fleet runs a fleet of nodes on real processes and the machine's clock. Each node is a separate process, and so is
// each replica of the registry, if the site has one. Servers, the agents of discovery, clients, and the relays on the links run
// in this process. All sockets are on loopback. Those of servers, agents and nodes are in a network of 127/8 that the run
// reserves.
//
// Fleet is a model.Backend. Its state is accessed only on the goroutine of the model's loop, except where a type's comment states
// otherwise. Other goroutines post functions to the loop. Run ends all processes and goroutines before it returns.
package fleet

import (
	"context"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/fault"
	"umberbank/internal/lab/model"
	"umberbank/internal/process"
)

// Observer is notified of events that occur only with real processes. All calls are made on the loop.
type Observer interface {
	NodeNotified(node, server int, st model.State)
	RecordProcessAction(node int, act model.ProcessAction)
	RecordUnsolicited(node, server int, id, reason string)
	RecordCrash(node int, reason string)
}

// Options configure a fleet.
type Options struct {
	// Node is the command of a node, and Replica that of a registry replica, which takes --config FILE. Each defaults to a
	// subcommand of this program.
	Node, Replica []string
	// Events are the faults of the run. Only the links that they affect have a relay.
	Events []*fault.Event
	// Ready is called on the loop when a node's process is ready to serve.
	Ready func(node int)
	// Log receives the log lines of nodes.
	Log func(format string, args ...any)
}

// Fleet manages the processes and sockets of a run.
type Fleet struct {
	world     *model.World
	options   Options
	observer  Observer
	network   *network
	dir       string
	startedAt time.Time // time 0 of the loop
	ctx       context.Context
	cancel    context.CancelCauseFunc

	links     map[nodeServer]*link
	agents    []*discoveryAgent
	processes []*nodeProcess
	pools     []*connectionPool
	servers   []*http.Server
	calls     map[string]*model.Call // by ID; see retainCall
	registry  *registry              // nil if the model's discovery sends the lists
	launcher  *process.Launcher
	running   sync.WaitGroup
}

// New opens the sockets of a fleet and starts the registry, if the site has one. It does not start the nodes.
func New(w *model.World, o Observer, opt Options) (f *Fleet, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	opt.setDefaults(self)
	f = &Fleet{world: w, options: opt, observer: o, links: map[nodeServer]*link{}, calls: map[string]*model.Call{}, startedAt: time.Now()}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	raiseDescriptorLimit()
	if f.network, err = claimNetwork(); err != nil {
		return f, err
	}
	if f.dir, err = os.MkdirTemp("", "umberbank-lab-"); err != nil {
		return f, err
	}
	f.launcher = process.NewLauncher()
	affected := map[nodeServer]bool{}
	fault.ForEachLink(opt.Events, w.Site, func(node, server int) { affected[nodeServer{node, server}] = true })
	if err = f.startServers(affected); err != nil {
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
		f.processes = append(f.processes, &nodeProcess{fleet: f, node: i})
		f.pools = append(f.pools, newConnectionPool(f.nodeAddr(i)))
	}
	return f, nil
}

// setDefaults sets missing commands to subcommands of this program.
func (o *Options) setDefaults(self string) {
	if len(o.Node) == 0 {
		o.Node = []string{self, "node"}
	}
	if len(o.Replica) == 0 {
		o.Replica = []string{self, "registry", "serve"}
	}
}

// raiseDescriptorLimit raises the limit of open descriptors to the hard limit, since a site with many links needs thousands.
func raiseDescriptorLimit() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil && l.Cur < l.Max {
		l.Cur = l.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l) // if this fails, opening the sockets of a large site fails with an error
	}
}

// Run starts all nodes, calls begin when they are ready, and runs the loop until the given time. It ends all processes and
// goroutines before it returns.
func (f *Fleet) Run(ctx context.Context, begin func(), until time.Duration) error {
	defer f.close()
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	defer f.cancel(nil)
	if err := f.startNodes(); err != nil {
		return err
	}
	f.startedAt = time.Now()
	for i := range f.processes {
		f.options.Ready(i)
	}
	begin()
	err := f.world.Loop.RunReal(f.ctx, until)
	if cause := context.Cause(f.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// abort ends the run with an error. It may be called from any goroutine.
func (f *Fleet) abort(err error) { f.cancel(err) }

// close ends all processes, sockets and goroutines. It is called once.
func (f *Fleet) close() {
	for _, p := range f.processes {
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
	if f.launcher != nil {
		f.launcher.Close()
	}
	if f.network != nil {
		f.network.release()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

// serveHTTP serves a listener until the fleet closes.
func (f *Fleet) serveHTTP(ln net.Listener, s *http.Server) {
	if s.ErrorLog == nil {
		s.ErrorLog = log.New(logWriter(f.options.Log), "", 0)
		f.servers = append(f.servers, s)
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		_ = s.Serve(ln) // returns when the server is closed
	}()
}
