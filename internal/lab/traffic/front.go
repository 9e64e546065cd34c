package traffic

import (
	"math/rand/v2"

	"umberbank/internal/lab/model"
)

// Frontend distributes the requests of clients randomly over the nodes of their zone, or over all nodes if the zone has none. It
// removes a dead node only after Discovery.NodeDetectionDelay. Its methods must be called on the loop.
type Frontend struct {
	world      *model.World
	admitted   []bool
	generation []int   // number of starts and deaths of each node, to ignore the detection of an earlier death
	byZone     [][]int // admitted nodes of each zone
	all        []int   // admitted nodes of all zones
}

// NewFrontend returns a Frontend without admitted nodes.
func NewFrontend(w *model.World) *Frontend {
	return &Frontend{
		world:      w,
		generation: make([]int, len(w.Site.Nodes)),
		admitted:   make([]bool, len(w.Site.Nodes)),
		byZone:     make([][]int, len(w.Site.Zones)),
	}
}

// NodeReady admits a node whose process has become ready.
func (f *Frontend) NodeReady(node int) {
	f.generation[node]++
	f.admitted[node] = true
	f.rebuild()
}

// NodeDied removes a node after the detection delay, unless the node becomes ready before.
func (f *Frontend) NodeDied(node int) {
	f.generation[node]++
	generation := f.generation[node]
	f.world.Loop.After(f.world.Site.Discovery.NodeDetectionDelay.Std(), func() {
		if f.generation[node] == generation {
			f.admitted[node] = false
			f.rebuild()
		}
	})
}

// rebuild recomputes the lists of admitted nodes. They exclude nodes that a server owns, because clients do not use those.
func (f *Frontend) rebuild() {
	f.all = nil
	for zone := range f.byZone {
		f.byZone[zone] = nil
	}
	for i, n := range f.world.Site.Nodes {
		if f.admitted[i] && n.OwnerServer < 0 {
			f.byZone[n.Zone] = append(f.byZone[n.Zone], i)
			f.all = append(f.all, i)
		}
	}
}

// noNode is the result of drawNode if no node is admitted.
const noNode = -1

// drawNode draws a node for a request from a zone. It returns noNode if no node is admitted.
func (f *Frontend) drawNode(zone int, r *rand.Rand) int {
	nodes := f.byZone[zone]
	if len(nodes) == 0 {
		nodes = f.all
	}
	if len(nodes) == 0 {
		return noNode
	}
	return nodes[r.IntN(len(nodes))]
}
