package traffic

import (
	"math/rand/v2"

	"umberbank/internal/lab/model"
)

// Frontend distributes clients over the nodes of their zone, and over all nodes if the zone has none. It notices late that a node
// has died.
type Frontend struct {
	world      *model.World
	admitted   []bool
	generation []int   // of a node's process, so that late news of an earlier process is ignored
	byZone     [][]int // admitted nodes
	all        []int   // admitted nodes
}

// NewFrontend returns a Front that has admitted no node.
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

// NodeDied removes a node after the detection delay, unless it has become ready again.
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

// rebuild computes the lists of admitted nodes that stand at the front.
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

// noNode is what drawNode returns if no node is admitted.
const noNode = -1

// drawNode draws a node for a client in a zone.
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
