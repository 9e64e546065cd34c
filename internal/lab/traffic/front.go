package traffic

import (
	"math/rand/v2"

	"umberbank/internal/lab/model"
)

// Front spreads clients over the nodes of their zone, and learns late that one has died.
type Front struct {
	world      *model.World
	byZone     [][]int // admitted nodes
	generation []int   // of a node, so that late news of an earlier process is known
	admitted   []bool
	all        []int
}

// NewFront returns a front that has admitted nobody.
func NewFront(w *model.World) *Front {
	return &Front{world: w, generation: make([]int, len(w.Site.Nodes)), admitted: make([]bool, len(w.Site.Nodes)), byZone: make([][]int, len(w.Site.Zones))}
}

// NodeReady admits a node whose process has become ready.
func (f *Front) NodeReady(node int) {
	f.generation[node]++
	f.admitted[node] = true
	f.rebuild()
}

// NodeDied lets the front notice, late, that a node has died.
func (f *Front) NodeDied(node int) {
	f.generation[node]++
	v := f.generation[node]
	f.world.Loop.After(f.world.Site.Discovery.NodeDetectionDelay.Std(), func() {
		if f.generation[node] == v {
			f.admitted[node] = false
			f.rebuild()
		}
	})
}

func (f *Front) rebuild() {
	f.all = nil
	for z := range f.byZone {
		f.byZone[z] = nil
	}
	for i, n := range f.world.Site.Nodes {
		if f.admitted[i] && n.OwnerServer < 0 {
			f.byZone[n.Zone] = append(f.byZone[n.Zone], i)
			f.all = append(f.all, i)
		}
	}
}

// drawNode draws a node for a client of a zone; -1: there is none.
func (f *Front) drawNode(zone int, r *rand.Rand) int {
	l := f.byZone[zone]
	if len(l) == 0 {
		l = f.all
	}
	if len(l) == 0 {
		return -1
	}
	return l[r.IntN(len(l))]
}
