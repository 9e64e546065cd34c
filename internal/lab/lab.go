// Package lab runs a scenario on a fleet of nodes, with real processes or on the virtual clock, and returns a Result.
//
// The model of servers and discovery, the clients, the faults and the oracle of a run share one goroutine, that of the run's
// sim.Loop. On the virtual clock the same scenario and seed give the same Result.
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
	// Seed determines every random choice of the run.
	Seed uint64
	// Virtual selects the virtual clock, which needs no processes.
	Virtual bool
	// Node is the command of a node, and Replica that of a registry replica, which takes --config FILE. Each defaults to a
	// subcommand of this program.
	Node, Replica []string
	// Progress is called about once per second of the run. It may be nil.
	Progress func(done, total time.Duration)
	// Log receives the log lines of nodes, a line for each action on a node's process, and a line for each begin or end of a
	// fault. It may be nil.
	Log func(format string, args ...any)
	// NewBalancer creates the Balancer of a node on the virtual clock. It defaults to balancer.New.
	NewBalancer func(settings balancer.Settings, seed uint64) (virtual.Balancer, error)
}

// run is a run in progress. Its fields are accessed only on the goroutine of its loop.
type run struct {
	options         Options
	site            *scenario.Site
	loop            *sim.Loop
	oracle          *oracle.Oracle
	world           *model.World
	front           *traffic.Frontend
	clients         *traffic.Clients
	result          *Result
	lateRequests    int           // requests sent later than maxSendDelay
	maxDelay        time.Duration // longest send delay of a request
	attemptsCounted int           // attempts up to the last sample
	totals          totals
	processUsage    func(node int) (fleet.Usage, bool) // nil on the virtual clock
}

// Run runs a scenario. If ctx is canceled before the run ends, it returns the partial Result with ctx's error.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	r := newRun(scenario.NewSite(s, opt.Seed), opt)
	var err error
	if opt.Virtual {
		err = r.runVirtual(ctx)
	} else {
		err = r.runReal(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	r.finish(err != nil)
	return r.result, err
}

// newRun creates the loop, model, oracle and clients of a run and connects them.
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
	injector := &fault.Injector{World: r.world, Clients: r.clients, ControlProcess: r.applyProcessAction, Notify: r.recordFault}
	injector.Start(events)
	r.clients.Start()
	r.sampleEverySecond(now)
}

// applyProcessAction applies an action to a node's process and notifies the oracle and the clients.
func (r *run) applyProcessAction(node int, act model.ProcessAction) {
	r.options.Log("%v %v %s", r.loop.Now().Round(time.Millisecond), act, r.site.Nodes[node].Name)
	if act != model.Start { // a start is reported by nodeReady
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
