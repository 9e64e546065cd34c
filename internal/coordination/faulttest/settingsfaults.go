package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"umberbank/internal/process/relay"
	"umberbank/internal/registry/state"
)

// minNodesToKill is how many nodes there must be for one to be killed for good: three zones that keep a quorum without it.
const minNodesToKill = 9

// killForGood kills one node that no fault has killed. It is not started again, and nobody decommissions it.
func (s *site) killForGood() {
	candidates := slices.DeleteFunc(slices.Clone(s.units), func(p *siteProcess) bool { return p.killed })
	if s.killedNode != "" || len(s.units) < minNodesToKill || len(candidates) == 0 {
		return
	}
	p := candidates[s.random.IntN(len(candidates))]
	p.killed, s.killedNode = true, p.name
	s.result.Faults = append(s.result.Faults, "kill "+p.name+" for good")
	s.opt.Log("kill %s for good", p.name)
	s.record.addNow(faultBegan, p.name)
	s.killNow(p)
}

// restartNode kills a node once the first version is in force, and starts it again.
func (s *site) restartNode(ctx context.Context, p *siteProcess) error {
	err := s.await(ctx, "the first version is to be in force", func(v *state.CoordinationView) bool {
		return v.Rollout != nil && v.Rollout.Committed.Number > 0
	})
	if err != nil {
		return err
	}
	s.record.addNow(faultBegan, p.name)
	s.killNow(p)
	if err := p.Start(); err != nil {
		return err
	}
	s.record.addNow(faultEnded, p.name)
	return nil
}

// Kinds of faults that affect a whole zone.
const (
	zoneCut         = "zone-cut"  // its nodes reach no replica
	zoneKill        = "zone-kill" // its nodes are killed
	zonePartitioned = "apart"     // its nodes, a replica and a controller reach each other and nobody else
)

var zoneFaultKinds = []string{zoneCut, zoneKill, zonePartitioned}

// zoneFault is a fault of a whole zone: what it silences and kills.
type zoneFault struct {
	kind   string
	nodes  []*siteProcess // of the zone
	links  []*relay.Relay // that are silent
	killed []*siteProcess
}

// injectZoneFault lets a fault affect a random zone, for long enough that it is lost.
func (s *site) injectZoneFault() error {
	duration := time.Duration(2500+s.random.IntN(2500)) * time.Millisecond
	zone := s.random.IntN(3)
	kind := zoneFaultKinds[s.random.IntN(len(zoneFaultKinds))]
	s.noteFault(fmt.Sprintf("%s %s", kind, string("abc"[zone])), duration)
	s.zoneFaults++
	f := s.newZoneFault(kind, zone)
	if kind == zonePartitioned {
		s.record.addNow(registryFaultBegan, "")
	}
	for _, p := range f.nodes {
		s.record.addNow(faultBegan, p.name)
	}
	for _, p := range f.killed {
		s.killNow(p)
	}
	silence := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
	for _, l := range f.links {
		if err := l.Add(silence); err != nil {
			return err
		}
	}
	s.after(duration, func() { s.endZoneFault(f, silence) })
	return nil
}

// endZoneFault lets everybody reach each other again, and starts what was killed.
func (s *site) endZoneFault(f *zoneFault, silence *relay.Impairment) {
	removeImpairment(f.links, silence)
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

// newZoneFault says what a fault affects. Zone, replica and controller of a region have the same index.
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
		s.separateRegion(f, zone)
	}
	return f
}

// addNode adds a node of the zone.
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

// separateRegion adds the links of controllers and replicas between the region and the rest.
func (s *site) separateRegion(f *zoneFault, zone int) {
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
