package fault

import (
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/traffic"
)

// restartDelay is how long a drained server is down before it starts again.
const restartDelay = 500 * time.Millisecond

// Injector injects faults into a run. Its fields must be set.
type Injector struct {
	World   *model.World
	Clients *traffic.Clients
	// ControlProcess acts on a node's process and tells everything that depends on it.
	ControlProcess func(node int, action model.ProcessAction)
	// Notify is called when an event begins and when it ends.
	Notify func(e *Event, begins bool)
}

// Start schedules all events on the loop.
func (p *Injector) Start(events []*Event) {
	for _, e := range events {
		p.World.Loop.At(e.Start, func() {
			p.Notify(e, true)
			p.inject(e)
		})
	}
}

// during calls apply with true now, and with false at the end of the event.
func (p *Injector) during(e *Event, apply func(on bool)) {
	apply(true)
	p.World.Loop.At(e.End, func() {
		p.Notify(e, false)
		apply(false)
	})
}

func (p *Injector) inject(e *Event) {
	switch scenario.FaultTarget[e.Kind] {
	case scenario.TargetNodes:
		p.injectIntoNodes(e)
	case scenario.TargetServers:
		p.injectIntoServers(e)
	case scenario.TargetLinks:
		p.injectIntoLinks(e)
	case scenario.TargetLists:
		p.injectIntoLists(e)
	case scenario.TargetLoad:
		p.injectIntoLoad(e)
	case scenario.TargetRegistry:
		p.during(e, func(on bool) { p.World.Backend.SetReplicaFault(e.Replicas, e.Kind, on) })
	}
}

// processFault is what a fault does to a process when it begins and when it ends.
type processFault struct {
	begin, end model.ProcessAction
}

var processFaults = map[string]processFault{
	scenario.FaultKill:      {model.Kill, model.Start},
	scenario.FaultTerminate: {model.Terminate, model.Start},
	scenario.FaultPause:     {model.Pause, model.Resume},
}

func (p *Injector) injectIntoNodes(e *Event) {
	fault := processFaults[e.Kind]
	p.during(e, func(on bool) {
		action := fault.end
		if on {
			action = fault.begin
		}
		for _, node := range e.Nodes {
			p.ControlProcess(node, action)
		}
	})
}

func (p *Injector) injectIntoServers(e *Event) {
	notDrained := map[int]bool{} // servers whose permit was not granted
	p.during(e, func(on bool) {
		for _, server := range e.Servers {
			if e.Kind == scenario.FaultDrain {
				p.drainServer(server, on, notDrained)
			} else {
				p.setServerFault(e, server, on)
			}
		}
	})
}

// setServerFault applies a fault to a server, or ends it.
func (p *Injector) setServerFault(e *Event, server int, on bool) {
	s := p.World.Servers[server]
	switch e.Kind {
	case scenario.FaultCrash, scenario.FaultVanish:
		if on {
			s.Stop(e.Kind == scenario.FaultVanish)
		} else {
			s.Start()
		}
	case scenario.FaultLeaseLoss:
		p.World.Backend.SetHeartbeats(server, !on)
	case scenario.FaultHang:
		s.SetHanging(on)
	case scenario.FaultSlow:
		s.SetSlowdown(e.Factor, on)
	case scenario.FaultError:
		s.SetErrorRate(e.Factor, on)
	case scenario.FaultReject:
		s.SetRejecting(on)
	}
}

// drainServer drains a server, under a permit if the site has a disruption budget. A drain ends by a restart.
func (p *Injector) drainServer(server int, on bool, notDrained map[int]bool) {
	s := p.World.Servers[server]
	switch {
	case on && p.World.Site.Budget.Enabled():
		notDrained[server] = true // until the permit is granted
		p.World.Backend.RequestPermit(server, func(rejected error) {
			if rejected == nil {
				notDrained[server] = false
				s.Drain()
			}
		})
	case on:
		s.Drain()
	case !notDrained[server]:
		s.Stop(false)
		p.World.Loop.After(restartDelay, s.Start)
	}
}

func (p *Injector) injectIntoLinks(e *Event) {
	affected := e.affectedLinks(p.World.Site)
	var impairments []*model.Impairment
	for _, l := range affected {
		impairments = append(impairments, e.impairment(l))
	}
	p.during(e, func(on bool) {
		for i, l := range affected {
			p.World.Backend.ImpairLinks(l.nodes, l.servers, impairments[i], on)
		}
	})
}

// impairment returns what the fault does to links. Its direction is towards the servers, and of a partition into the zone.
func (e *Event) impairment(l links) *model.Impairment {
	toServer, toNode := e.Direction != scenario.DirectionFromServers, e.Direction != scenario.DirectionToServers
	if l.outbound {
		toServer, toNode = toNode, toServer
	}
	return &model.Impairment{
		Delay:          e.Delay.Std(),
		Jitter:         e.Jitter.Std(),
		BytesPerSecond: e.BytesPerSecond,
		ToServer:       toServer,
		ToNode:         toNode,
		Stall:          e.Kind == scenario.FaultStall || e.Kind == scenario.FaultPartition,
		Refuse:         e.Kind == scenario.FaultRefuse,
		Reset:          e.Kind == scenario.FaultReset,
	}
}

func (p *Injector) injectIntoLists(e *Event) {
	directory := p.World.Directory
	r := rand.New(rand.NewPCG(e.seed, 0))
	missing := map[int]bool{} // from the shrunk list
	for server := range p.World.Site.Servers {
		missing[server] = r.Float64() < e.Factor
	}
	p.during(e, func(on bool) {
		for _, node := range e.Nodes {
			switch e.Kind {
			case scenario.FaultStaleList:
				directory.AddDelay(node, e.Delay.Std(), on)
			case scenario.FaultEmptyList:
				directory.HideEntries(node, hiddenWhile(on, func(model.Entry) bool { return true }))
			case scenario.FaultShrunkList:
				directory.HideEntries(node, hiddenWhile(on, func(entry model.Entry) bool { return missing[entry.Server] }))
			case scenario.FaultOldList:
				directory.ShowOldList(node, on)
			case scenario.FaultMuteWatches:
				directory.MuteWatches(node, on)
			}
		}
	})
}

// hiddenWhile returns hidden while a fault is on, and nil after it.
func hiddenWhile(on bool, hidden func(model.Entry) bool) func(model.Entry) bool {
	if on {
		return hidden
	}
	return nil
}

func (p *Injector) injectIntoLoad(e *Event) {
	class := slices.IndexFunc(p.World.Site.Classes, func(c scenario.Class) bool { return c.Name == e.Class })
	p.during(e, func(on bool) {
		if e.Kind == scenario.FaultBurst {
			p.Clients.SetBurst(e.Factor, on)
		} else {
			p.Clients.SetHeavy(class, e.Share, e.Factor, on)
		}
	})
}
