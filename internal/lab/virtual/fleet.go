// Package virtual runs a fleet of nodes on a virtual clock, with a Balancer in place of each node process. It models what a
// node's sockets do: connections that are opened and reused, the latency of a message, deadlines, and a watch of discovery.
// It does not model processor time.
//
// Fleet is a model.Backend. All of it runs on the goroutine of the model's loop, but for StartAll, which starts nodes in
// parallel and returns when all have started. The same scenario and seed give the same events in the same order.
package virtual

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

// Balancer decides for one node. The one in service is balancer.Balancer.
type Balancer interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	Snapshot(now time.Duration) balancer.Snapshot
}

// NewBalancer makes the Balancer of a node, by the node's index.
type NewBalancer func(node int, settings balancer.Settings, seed uint64) (Balancer, error)

// nodeServer names the link between a node and a server, by their indexes.
type nodeServer struct{ node, server int }

// Fleet is the nodes of a site on the virtual clock.
type Fleet struct {
	world           *model.World
	settings        func(node int) balancer.Settings
	newBalancer     NewBalancer
	ready           func(node int)
	nodes           []*node
	serverIndex     map[string]int // by name
	links           map[nodeServer][]*model.Impairment
	unreachable     map[int]bool // servers whose machine does not answer
	stopped         map[int]bool // servers whose process does not run
	openConnections []int        // by server
	err             error
}

// New returns a fleet whose nodes have not started. It calls ready with the index of a node that has.
func New(w *model.World, settings func(node int) balancer.Settings, newBalancer NewBalancer, ready func(node int)) *Fleet {
	f := &Fleet{
		world:           w,
		settings:        settings,
		newBalancer:     newBalancer,
		ready:           ready,
		serverIndex:     map[string]int{},
		links:           map[nodeServer][]*model.Impairment{},
		unreachable:     map[int]bool{},
		stopped:         map[int]bool{},
		openConnections: make([]int, len(w.Site.Servers)),
	}
	for i := range w.Site.Servers {
		f.serverIndex[w.Site.Servers[i].Name] = i
	}
	for i := range w.Site.Nodes {
		f.nodes = append(f.nodes, &node{fleet: f, index: i})
	}
	return f
}

// StartAll starts all nodes, ready to serve. The balancers apply the first endpoint update in parallel, as each depends on
// nothing but its own state; their actions are carried out in the order of the nodes.
func (f *Fleet) StartAll() {
	lists := map[int]balancer.EndpointUpdate{}
	var work errgroup.Group
	work.SetLimit(runtime.GOMAXPROCS(0))
	actions := make([][]balancer.Action, len(f.nodes))
	for i, n := range f.nodes {
		tier := f.world.Site.Nodes[i].TargetTier
		if _, exists := lists[tier]; !exists {
			lists[tier] = f.endpointUpdate(f.world.Directory.List(i), true)
		}
		if n.newProcess() {
			n.excluded = map[int]bool{}
			list := lists[tier]
			work.Go(func() error {
				actions[i] = n.balancer.Handle(n.clock(), list)
				return nil
			})
		}
	}
	_ = work.Wait() // no function of the group returns an error
	for i, n := range f.nodes {
		for _, a := range actions[i] {
			n.execute(a)
		}
		if n.running {
			f.ready(i)
		}
	}
}

// Err returns why a Balancer could not be made, or nil.
func (f *Fleet) Err() error { return f.err }
