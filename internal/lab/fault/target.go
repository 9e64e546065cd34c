package fault

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"umberbank/internal/lab/scenario"
)

// selectTargets draws the targets of the fault.
func (e *Event) selectTargets(site *scenario.Site, r *rand.Rand) {
	switch scenario.FaultTarget[e.Kind] {
	case scenario.TargetNodes, scenario.TargetLists:
		e.Nodes = e.drawTargets(e.matchingNodes(site), r)
	case scenario.TargetServers:
		e.Servers = e.drawTargets(e.matchingServers(site), r)
	case scenario.TargetRegistry:
		e.Replicas = e.drawTargets(e.matchingReplicas(site), r)
	case scenario.TargetLinks:
		if e.Kind == scenario.FaultPartition {
			e.partition(site)
			return
		}
		e.Servers = e.drawTargets(e.matchingServers(site), r)
		e.Nodes = e.sendingNodes(site)
	}
}

// allTiers is the value of tier for a fault that names no tier.
const allTiers = -1

// tier returns the index of the tier that the fault names, or allTiers.
func (e *Event) tier(site *scenario.Site) int {
	tier := allTiers
	for i, t := range site.Tiers {
		if t.Name == e.Tier {
			tier = i
		}
	}
	return tier
}

// matchesZone reports whether the fault applies to a zone. A fault without a zone or region applies to all zones.
func (e *Event) matchesZone(site *scenario.Site, zone int) bool {
	z := &site.Zones[zone]
	return (e.Zone == "" || z.Name == e.Zone) && (e.Region == "" || z.Region == e.Region)
}

// matchingNodes returns the nodes that the fault may hit: the named ones, or all that send to the fault's tier. Without names and
// a tier these are the front nodes.
func (e *Event) matchingNodes(site *scenario.Site) []int {
	tier := e.tier(site)
	var nodes []int
	for i, n := range site.Nodes {
		isFront := n.OwnerServer < 0
		inTier := isFront && (tier == allTiers || tier == 0) || !isFront && tier == n.TargetTier
		matches := len(e.Names) == 0 && inTier || slices.Contains(e.Names, n.Name)
		if matches && e.matchesZone(site, n.Zone) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// matchingServers returns the servers that the fault may hit.
func (e *Event) matchingServers(site *scenario.Site) []int {
	tier := e.tier(site)
	var servers []int
	for i, s := range site.Servers {
		matches := len(e.Names) == 0 || slices.Contains(e.Names, s.Name)
		if matches && (tier == allTiers || s.Tier == tier) && e.matchesZone(site, s.Zone) {
			servers = append(servers, i)
		}
	}
	return servers
}

// matchingReplicas returns the replicas of the registry that the fault may hit.
func (e *Event) matchingReplicas(site *scenario.Site) []int {
	var replicas []int
	for i := range site.Registry.Replicas {
		if len(e.Names) == 0 || slices.Contains(e.Names, fmt.Sprint("r", i)) {
			replicas = append(replicas, i)
		}
	}
	return replicas
}

// sendingNodes returns the nodes whose links the fault hits.
func (e *Event) sendingNodes(site *scenario.Site) []int {
	var nodes []int
	for i, n := range site.Nodes {
		if len(e.FromNodes) == 0 || slices.Contains(e.FromNodes, n.Name) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// drawTargets draws the fault's count or share of the candidates, or returns all if it has neither.
func (e *Event) drawTargets(candidates []int, r *rand.Rand) []int {
	n := len(candidates)
	switch {
	case e.Count > 0:
		n = min(n, e.Count)
	case e.Share > 0:
		n = int(math.Round(e.Share * float64(n)))
	default:
		return candidates
	}
	drawn := make([]int, 0, n)
	for _, i := range r.Perm(len(candidates))[:n] {
		drawn = append(drawn, candidates[i])
	}
	slices.Sort(drawn)
	return drawn
}

// partition selects the links between a zone or region and all others.
func (e *Event) partition(site *scenario.Site) {
	var outerNodes, innerNodes, outerServers, innerServers []int
	for i, n := range site.Nodes {
		if e.matchesZone(site, n.Zone) {
			innerNodes = append(innerNodes, i)
		} else {
			outerNodes = append(outerNodes, i)
		}
	}
	for i, s := range site.Servers {
		if e.matchesZone(site, s.Zone) {
			innerServers = append(innerServers, i)
		} else {
			outerServers = append(outerServers, i)
		}
	}
	e.partitioned = []links{
		{nodes: outerNodes, servers: innerServers},
		{nodes: innerNodes, servers: outerServers, outbound: true},
	}
	e.Nodes, e.Servers = innerNodes, innerServers
}

// affectedLinks returns the links that the fault impairs, or whose connections it closes.
func (e *Event) affectedLinks(site *scenario.Site) []links {
	switch e.Kind {
	case scenario.FaultDelay, scenario.FaultStall, scenario.FaultRefuse, scenario.FaultReset, scenario.FaultThrottle:
		return []links{{nodes: e.Nodes, servers: e.Servers}}
	case scenario.FaultCrash, scenario.FaultVanish:
		allNodes := make([]int, len(site.Nodes))
		for i := range allNodes {
			allNodes[i] = i
		}
		return []links{{nodes: allNodes, servers: e.Servers}}
	default:
		return e.partitioned
	}
}

// ForEachLink calls do for every link from a node to a server of its target tier that an event may affect. It may call do more
// than once for the same link.
func ForEachLink(events []*Event, site *scenario.Site, do func(node, server int)) {
	for _, e := range events {
		for _, l := range e.affectedLinks(site) {
			l.forEach(func(node, server int) {
				if site.Nodes[node].TargetTier == site.Servers[server].Tier {
					do(node, server)
				}
			})
		}
	}
}

func (l links) forEach(do func(node, server int)) {
	for _, node := range l.nodes {
		for _, server := range l.servers {
			do(node, server)
		}
	}
}
