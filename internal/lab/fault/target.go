package fault

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"umberbank/internal/lab/scenario"
)

// selectTargets draws what a fault hits.
func (e *Event) selectTargets(site *scenario.Site, r *rand.Rand) {
	tier := -1
	for i, t := range site.Tiers {
		if t.Name == e.Tier {
			tier = i
		}
	}
	inside := func(zone int) bool {
		z := &site.Zones[zone]
		return (e.Zone == "" || z.Name == e.Zone) && (e.Region == "" || z.Region == e.Region)
	}
	var nodes, servers []int
	for i, n := range site.Nodes {
		front := n.OwnerServer < 0 && (tier < 0 || tier == 0)
		beside := n.OwnerServer >= 0 && tier == n.TargetTier
		named := len(e.Names) == 0 && (front || beside) || slices.Contains(e.Names, n.Name)
		if named && inside(n.Zone) {
			nodes = append(nodes, i)
		}
	}
	for i, s := range site.Servers {
		if (len(e.Names) == 0 || slices.Contains(e.Names, s.Name)) && (tier < 0 || s.Tier == tier) && inside(s.Zone) {
			servers = append(servers, i)
		}
	}
	switch scenario.FaultTarget[e.Kind] {
	case scenario.TargetNodes, scenario.TargetLists:
		e.Nodes = e.drawTargets(nodes, r)
	case scenario.TargetServers:
		e.Servers = e.drawTargets(servers, r)
	case scenario.TargetRegistry:
		var replicas []int
		for i := range site.Registry.Replicas {
			if len(e.Names) == 0 || slices.Contains(e.Names, fmt.Sprint("r", i)) {
				replicas = append(replicas, i)
			}
		}
		e.Replicas = e.drawTargets(replicas, r)
	case scenario.TargetLinks:
		if e.Kind == "cut" {
			e.partition(site, inside)
			return
		}
		e.Servers = e.drawTargets(servers, r)
		for i, n := range site.Nodes {
			if len(e.Fault.FromNodes) == 0 || slices.Contains(e.Fault.FromNodes, n.Name) {
				e.Nodes = append(e.Nodes, i)
			}
		}
	}
}

// drawTargets draws as many as the fault wants, else takes all.
func (e *Event) drawTargets(l []int, r *rand.Rand) []int {
	n := len(l)
	switch {
	case e.Count > 0:
		n = min(n, e.Count)
	case e.Share > 0:
		n = int(math.Round(e.Share * float64(n)))
	default:
		return l
	}
	picked := make([]int, 0, n)
	for _, i := range r.Perm(len(l))[:n] {
		picked = append(picked, l[i])
	}
	slices.Sort(picked)
	return picked
}

// partition parts a zone or region from all others.
func (e *Event) partition(site *scenario.Site, inside func(zone int) bool) {
	var nodes, servers [2][]int // outside, inside
	for i, n := range site.Nodes {
		in := b2i(inside(n.Zone))
		nodes[in] = append(nodes[in], i)
	}
	for i, s := range site.Servers {
		in := b2i(inside(s.Zone))
		servers[in] = append(servers[in], i)
	}
	e.pairs = [][2][]int{{nodes[0], servers[1]}, {nodes[1], servers[0]}}
	e.intoZone = []bool{true, false}
	e.Nodes, e.Servers = nodes[1], servers[1]
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ForEachLink names every link from a node to a server that an event may touch.
func ForEachLink(events []*Event, site *scenario.Site, touch func(node, server int)) {
	for _, e := range events {
		pairs := e.pairs
		switch e.Kind {
		case "delay", "silence", "refuse", "reset", "trickle":
			pairs = [][2][]int{{e.Nodes, e.Servers}}
		case "crash", "vanish":
			all := make([]int, len(site.Nodes))
			for i := range all {
				all[i] = i
			}
			pairs = [][2][]int{{all, e.Servers}}
		}
		for _, p := range pairs {
			for _, n := range p[0] {
				for _, s := range p[1] {
					if site.Nodes[n].TargetTier == site.Servers[s].Tier {
						touch(n, s)
					}
				}
			}
		}
	}
}
