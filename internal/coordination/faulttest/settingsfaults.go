package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"umberbank/internal/process/relay"
	"umberbank/internal/registry/state"
)

// minNodesToKill is the smallest number of nodes at which killPermanently kills one. Each of the three zones then has at least
// three nodes, and keeps its quorum with one node fewer.
const minNodesToKill = 9

// killPermanently kills one node that no fault has killed. The node is neither started again nor decommissioned. Once it has
// killed a node, killPermanently has no further effect.
func (s *site) killPermanently() {
	candidates := slices.DeleteFunc(slices.Clone(s.units), func(p *siteProcess) bool { return p.killed })
	if s.killedNode != "" || len(s.units) < minNodesToKill || len(candidates) == 0 {
		return
	}
	p := candidates[s.random.IntN(len(candidates))]
	p.killed, s.killedNode = true, p.name
	s.result.Faults = append(s.result.Faults, "kill "+p.name+" permanently")
	s.opt.Log("kill %s permanently", p.name)
	s.record.addNow(faultBegan, p.name)
	s.killAndRecord(p)
}

// restartNode kills a node once the first version is committed, and starts it again.
func (s *site) restartNode(ctx context.Context, p *siteProcess) error {
	err := s.await(ctx, "the first version to be committed", func(v *state.CoordinationView) bool {
		return v.Rollout != nil && v.Rollout.Committed.Number > 0
	})
	if err != nil {
		return err
	}
	s.record.addNow(faultBegan, p.name)
	s.killAndRecord(p)
	if err := p.Start(); err != nil {
		return err
	}
	s.record.addNow(faultEnded, p.name)
	return nil
}

// Kinds of faults of a whole zone.
const (
	zoneCut         = "zone-cut"  // partitions its nodes from all replicas
	zoneKill        = "zone-kill" // kills its nodes
	zonePartitioned = "apart"     // partitions its nodes, one replica and one controller from the rest
)

var zoneFaultKinds = []string{zoneCut, zoneKill, zonePartitioned}

// zoneFault is a fault of a whole zone, with the links that it stalls and the processes that it kills.
type zoneFault struct {
	kind   string
	nodes  []*siteProcess // of the zone
	links  []*relay.Relay // that are stalled
	killed []*siteProcess
}

// injectZoneFault injects a fault into a random zone. The fault lasts long enough for the zone to be lost.
func (s *site) injectZoneFault() error {
	duration := time.Duration(2500+s.random.IntN(2500)) * time.Millisecond
	zone := s.random.IntN(3)
	kind := zoneFaultKinds[s.random.IntN(len(zoneFaultKinds))]
	s.recordFault(fmt.Sprintf("%s %s", kind, string("abc"[zone])), duration)
	s.zoneFaults++
	f := s.newZoneFault(kind, zone)
	if kind == zonePartitioned {
		s.record.addNow(registryFaultBegan, "")
	}
	for _, p := range f.nodes {
		s.record.addNow(faultBegan, p.name)
	}
	for _, p := range f.killed {
		s.killAndRecord(p)
	}
	stall := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
	for _, l := range f.links {
		if err := l.Add(stall); err != nil {
			return err
		}
	}
	s.runAfter(duration, func() { s.endZoneFault(f, stall) })
	return nil
}

// endZoneFault ends the stall of the links, and starts the processes that were killed.
func (s *site) endZoneFault(f *zoneFault, stall *relay.Impairment) {
	removeImpairment(f.links, stall)
	for _, p := range f.killed {
		restart(p)
	}
	for _, p := range f.nodes {
		s.record.addNow(faultEnded, p.name)
	}
	if f.kind == zonePartitioned {
		s.record.addNow(registryFaultEnded, "")
	}
}

// newZoneFault returns a fault of the given kind without injecting it. The replica and the controller in a zone have the
// zone's index.
func (s *site) newZoneFault(kind string, zone int) *zoneFault {
	f := &zoneFault{kind: kind}
	for i, p := range s.units {
		if i%3 != zone {
			if kind == zonePartitioned {
				f.links = append(f.links, p.links[zone])
			}
			continue
		}
		f.nodes = append(f.nodes, p)
		f.addNode(p, zone, p.name == s.killedNode)
	}
	if kind == zonePartitioned {
		s.addCrossZoneLinks(f, zone)
	}
	return f
}

// addNode adds a node of the zone to the fault. isDead reports whether the node was killed by killPermanently.
func (f *zoneFault) addNode(p *siteProcess, zone int, isDead bool) {
	switch {
	case isDead:
	case f.kind == zoneKill && !p.killed:
		p.killed = true
		f.killed = append(f.killed, p)
	case f.kind == zoneCut:
		f.links = append(f.links, p.links...)
	case f.kind == zonePartitioned:
		for replica, l := range p.links {
			if replica != zone {
				f.links = append(f.links, l)
			}
		}
	}
}

// addCrossZoneLinks adds the links of controllers and replicas that connect the zone with the rest.
func (s *site) addCrossZoneLinks(f *zoneFault, zone int) {
	for i, c := range s.controllers {
		for replica, l := range c.links {
			if (i == zone) != (replica == zone) {
				f.links = append(f.links, l)
			}
		}
	}
	s.cluster.EachLink(func(from, to int, l *relay.Relay) {
		if (from == zone) != (to == zone) {
			f.links = append(f.links, l)
		}
	})
}
