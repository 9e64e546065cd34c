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

// Injector injects faults into a run. All fields must be set.
type Injector struct {
	World   *model.World
	Clients *traffic.Clients
	// ControlProcess applies an action to a node's process and notifies all components that depend on the process.
	ControlProcess func(node int, action model.ProcessAction)
	// Notify is called when an event begins and when it ends.
	Notify func(e *Event, begins bool)
}

// Start schedules all events on the loop.
func (inj *Injector) Start(events []*Event) {
	for _, e := range events {
		inj.World.Loop.At(e.Start, func() {
			inj.Notify(e, true)
			inj.inject(e)
		})
	}
}

// during calls apply(true) now. At the end of the event it calls Notify and apply(false).
func (inj *Injector) during(e *Event, apply func(on bool)) {
	apply(true)
	inj.World.Loop.At(e.End, func() {
		inj.Notify(e, false)
		apply(false)
	})
}

func (inj *Injector) inject(e *Event) {
	switch scenario.FaultTarget[e.Kind] {
	case scenario.TargetNodes:
		inj.injectIntoNodes(e)
	case scenario.TargetServers:
		inj.injectIntoServers(e)
	case scenario.TargetLinks:
		inj.injectIntoLinks(e)
	case scenario.TargetLists:
		inj.injectIntoLists(e)
	case scenario.TargetLoad:
		inj.injectIntoLoad(e)
	case scenario.TargetRegistry:
		inj.during(e, func(on bool) { inj.World.Backend.SetReplicaFault(e.Replicas, e.Kind, on) })
	}
}

// processFault is the pair of actions with which a fault begins and ends.
type processFault struct {
	begin, end model.ProcessAction
}

var processFaults = map[string]processFault{
	scenario.FaultKill:      {model.Kill, model.Start},
	scenario.FaultTerminate: {model.Terminate, model.Start},
	scenario.FaultPause:     {model.Pause, model.Resume},
}

func (inj *Injector) injectIntoNodes(e *Event) {
	fault := processFaults[e.Kind]
	inj.during(e, func(on bool) {
		action := fault.end
		if on {
			action = fault.begin
		}
		for _, node := range e.Nodes {
			inj.ControlProcess(node, action)
		}
	})
}

func (inj *Injector) injectIntoServers(e *Event) {
	notDrained := map[int]bool{} // servers whose permit has not been granted
	inj.during(e, func(on bool) {
		for _, server := range e.Servers {
			if e.Kind == scenario.FaultDrain {
				inj.drainServer(server, on, notDrained)
			} else {
				inj.setServerFault(e, server, on)
			}
		}
	})
}

// setServerFault begins or ends a fault of a server.
func (inj *Injector) setServerFault(e *Event, server int, on bool) {
	s := inj.World.Servers[server]
	switch e.Kind {
	case scenario.FaultCrash, scenario.FaultVanish:
		if on {
			s.Stop(e.Kind == scenario.FaultVanish)
		} else {
			s.Start()
		}
	case scenario.FaultLeaseLoss:
		inj.World.Backend.SetHeartbeats(server, !on)
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

// drainServer drains a server, or ends its drain by a restart. If the site has a disruption budget, the server drains only once a
// permit is granted.
func (inj *Injector) drainServer(server int, on bool, notDrained map[int]bool) {
	s := inj.World.Servers[server]
	switch {
	case on && inj.World.Site.Budget.Enabled():
		notDrained[server] = true // until the permit is granted
		inj.World.Backend.RequestPermit(server, func(err error) {
			if err == nil {
				notDrained[server] = false
				s.Drain()
			}
		})
	case on:
		s.Drain()
	case !notDrained[server]:
		s.Stop(false)
		inj.World.Loop.After(restartDelay, s.Start)
	}
}

func (inj *Injector) injectIntoLinks(e *Event) {
	affected := e.affectedLinks(inj.World.Site)
	var impairments []*model.Impairment
	for _, l := range affected {
		impairments = append(impairments, e.impairment(l))
	}
	inj.during(e, func(on bool) {
		for i, l := range affected {
			inj.World.Backend.ImpairLinks(l.nodes, l.servers, impairments[i], on)
		}
	})
}

// impairment returns the impairment of links. DirectionToServers means towards the servers or, for a partition, into the zone or
// region.
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

func (inj *Injector) injectIntoLists(e *Event) {
	directory := inj.World.Directory
	r := rand.New(rand.NewPCG(e.seed, 0))
	missing := map[int]bool{} // servers that the shrunk list omits
	for server := range inj.World.Site.Servers {
		missing[server] = r.Float64() < e.Factor
	}
	inj.during(e, func(on bool) {
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

// hiddenWhile returns hidden if the fault is on, or nil otherwise.
func hiddenWhile(on bool, hidden func(model.Entry) bool) func(model.Entry) bool {
	if on {
		return hidden
	}
	return nil
}

func (inj *Injector) injectIntoLoad(e *Event) {
	class := slices.IndexFunc(inj.World.Site.Classes, func(c scenario.Class) bool { return c.Name == e.Class })
	inj.during(e, func(on bool) {
		if e.Kind == scenario.FaultBurst {
			inj.Clients.SetBurst(e.Factor, on)
		} else {
			inj.Clients.SetHeavy(class, e.Share, e.Factor, on)
		}
	})
}
