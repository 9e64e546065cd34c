// Package virtual runs a fleet of nodes on a virtual clock, with a Balancer in place of each node process. It simulates a node's
// network connections: opening and reusing connections, message latency, deadlines, and the watch of discovery. It does not
// simulate the processor time of nodes.
//
// Fleet is a model.Backend. It runs on the goroutine of the model's loop, except that StartAll starts nodes in parallel. StartAll
// returns when all nodes have started. The same scenario and seed produce the same events in the same order.
package virtual

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

// Balancer makes the load-balancing decisions of one node. The production implementation is balancer.Balancer.
type Balancer interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	Snapshot(now time.Duration) balancer.Snapshot
}

// NewBalancer creates the Balancer of the node with the given index.
type NewBalancer func(node int, settings balancer.Settings, seed uint64) (Balancer, error)

// nodeServer identifies the link between a node and a server, by their indexes.
type nodeServer struct{ node, server int }

// Fleet simulates the nodes of a site on the virtual clock. Create it with New.
type Fleet struct {
	world           *model.World
	settings        func(node int) balancer.Settings
	newBalancer     NewBalancer
	ready           func(node int)
	nodes           []*node
	serverIndex     map[string]int // by name
	links           map[nodeServer][]*model.Impairment
	unreachable     map[int]bool // servers whose machine does not respond
	stopped         map[int]bool // servers whose process is not running
	openConnections []int        // by server
	err             error
}

// New returns a fleet whose nodes have not started. The fleet calls ready with the index of each node that has started.
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

// StartAll starts all nodes immediately, without processStartTime. The Balancers handle the first endpoint update in parallel,
// because each depends only on its own state. Their actions are executed in the order of the nodes.
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

// Err returns the last error of creating a Balancer, or nil if there was none.
func (f *Fleet) Err() error { return f.err }
