// Package lab plays a scenario on a fleet of nodes, on real processes or on the virtual clock, and returns its Result.
//
// A run has one goroutine, that of its sim.Loop, on which the model of servers and discovery, the clients, the faults and the oracle
// act. On the virtual clock the same seed gives the same Result.
package lab

import (
	"context"
	"errors"
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/fault"
	"umberbank/internal/lab/fleet"
	"umberbank/internal/lab/model"
	"umberbank/internal/lab/oracle"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
	"umberbank/internal/lab/traffic"
	"umberbank/internal/lab/virtual"
)

// Options configure a run.
type Options struct {
	// Seed decides every random choice of the run.
	Seed uint64
	// Virtual plays on the virtual clock, without node processes.
	Virtual bool
	// Node is the command of a node, and Replica that of a registry's replica, which takes --config FILE.
	// Default: this program's own.
	Node, Replica []string
	// Progress is called about once a second of the run, if it is not nil.
	Progress func(done, total time.Duration)
	// Log receives the log lines of nodes and the faults, if it is not nil.
	Log func(format string, args ...any)
	// NewBalancer makes the Balancer of a node on the virtual clock. Default: balancer.New.
	NewBalancer func(settings balancer.Settings, seed uint64) (virtual.Balancer, error)
}

// run is a run in progress. It belongs to the goroutine of its loop.
type run struct {
	options         Options
	site            *scenario.Site
	loop            *sim.Loop
	oracle          *oracle.Oracle
	world           *model.World
	front           *traffic.Frontend
	clients         *traffic.Clients
	result          *Result
	lateRequests    int           // sent later than maxSendDelay
	maxDelay        time.Duration // of any request
	attemptsCounted int           // attempts that the last sample has covered
	totals          totals
	processUsage    func(node int) (fleet.Usage, bool) // nil on the virtual clock
}

// Run plays a scenario. If ctx ends before the run does, it returns the partial Result with ctx's error.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	r := newRun(scenario.NewSite(s, opt.Seed), opt)
	var err error
	if opt.Virtual {
		err = r.playVirtual(ctx)
	} else {
		err = r.playReal(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	r.finish(err != nil)
	return r.result, err
}

// newRun connects loop, model, oracle and clients of a run.
func newRun(site *scenario.Site, opt Options) *run {
	if opt.Log == nil {
		opt.Log = func(string, ...any) {}
	}
	r := &run{options: opt, site: site, loop: sim.New()}
	r.oracle = oracle.New(r.loop, site)
	r.world = model.NewWorld(r.loop, site, r.oracle)
	r.world.ControlProcess = r.applyProcessAction
	r.oracle.SetWorld(r.world)
	r.front = traffic.NewFrontend(r.world)
	r.clients = traffic.New(r.world, r.front, r.recordRequest)
	r.result = newResult(site, opt)
	return r
}

// start starts the load, the faults and the sampling.
func (r *run) start(events []*fault.Event) {
	now := r.loop.Now()
	player := &fault.Injector{World: r.world, Clients: r.clients, ControlProcess: r.applyProcessAction, Notify: r.recordFault}
	player.Start(events)
	r.clients.Start()
	r.sampleEverySecond(now)
}

// applyProcessAction applies an action to a node's process and informs oracle and clients.
func (r *run) applyProcessAction(node int, act model.ProcessAction) {
	r.options.Log("%v %v %s", r.loop.Now().Round(time.Millisecond), act, r.site.Nodes[node].Name)
	if act != model.Start { // a start counts when the node is ready
		r.oracle.RecordProcessAction(node, act)
	}
	if act == model.Kill || act == model.Terminate {
		r.front.NodeDied(node)
	}
	r.world.Backend.ControlProcess(node, act)
}

// nodeReady is called when a node's process is ready to serve.
func (r *run) nodeReady(node int) {
	r.oracle.RecordProcessAction(node, model.Start)
	r.front.NodeReady(node)
	r.world.NodeReady(node)
}
