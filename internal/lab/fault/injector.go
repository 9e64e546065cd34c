package fault

import (
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/traffic"
)

// Injector carries the timetable out.
type Injector struct {
	World          *model.World
	Clients        *traffic.Clients
	ControlProcess func(node int, act model.ProcessAction) // tells everybody concerned
	Notify         func(e *Event, on bool)                 // hears of every beginning and end
}

// Start plans all events on the loop.
func (p *Injector) Start(events []*Event) {
	for _, e := range events {
		p.World.Loop.At(e.Start, func() {
			p.Notify(e, true)
			p.inject(e)
		})
	}
}

// during runs f with true now and with false when the event's time is over.
func (p *Injector) during(e *Event, f func(on bool)) {
	f(true)
	p.World.Loop.At(e.End, func() {
		p.Notify(e, false)
		f(false)
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
		p.during(e, func(on bool) { p.World.Backend.FaultReplicas(e.Replicas, e.Kind, on) })
	}
}

func (p *Injector) injectIntoNodes(e *Event) {
	act := map[string][2]model.ProcessAction{"kill": {model.Kill, model.Start}, "term": {model.Terminate, model.Start},
		"stop": {model.Pause, model.Resume}}[e.Kind]
	p.during(e, func(on bool) {
		for _, n := range e.Nodes {
			p.ControlProcess(n, act[b2i(!on)])
		}
	})
}

func (p *Injector) injectIntoServers(e *Event) {
	refused := map[int]bool{} // drains that the budget did not allow
	p.during(e, func(on bool) {
		for _, i := range e.Servers {
			s := p.World.Servers[i]
			switch e.Kind {
			case "crash", "vanish":
				if on {
					s.Stop(e.Kind == "vanish")
				} else {
					s.Start()
				}
			case "lease-loss":
				p.World.Backend.SetHeartbeats(i, !on)
			case "hang":
				s.SetHanging(on)
			case "slow":
				s.SetSlowdown(e.Factor, on)
			case "error":
				s.SetErrorRate(e.Factor, on)
			case "turn-away":
				s.SetRejecting(on)
			case "drain":
				p.drainServer(i, on, refused)
			}
		}
	})
}

// drainServer drains a server, by permit where there is a budget, or ends that by a restart.
func (p *Injector) drainServer(server int, on bool, refused map[int]bool) {
	s := p.World.Servers[server]
	switch {
	case on && p.World.Site.Budget.Enabled():
		refused[server] = true // until it is given
		p.World.Backend.RequestPermit(server, func(why error) {
			if why == nil {
				refused[server] = false
				s.Drain()
			}
		})
	case on:
		s.Drain()
	case !refused[server]:
		s.Stop(false)
		p.World.Loop.After(restartAfter, s.Start)
	}
}

// restartAfter is how long a drained server is down before it starts anew.
const restartAfter = 500 * time.Millisecond

func (p *Injector) injectIntoLinks(e *Event) {
	pairs, into := e.pairs, e.intoZone
	if e.Kind != "cut" {
		pairs, into = [][2][]int{{e.Nodes, e.Servers}}, []bool{true}
	}
	var effects []*model.Impairment
	for i := range pairs {
		// "there" is towards the servers, or into the zone of a cut.
		there, back := e.Direction != "back", e.Direction != "there"
		if !into[i] {
			there, back = back, there
		}
		effects = append(effects, &model.Impairment{Delay: e.Delay.Std(), Jitter: e.Jitter.Std(), BytesPerSecond: e.BytesPerSecond, ToServer: there, ToNode: back,
			Stall: e.Kind == "silence" || e.Kind == "cut", Refuse: e.Kind == "refuse", Reset: e.Kind == "reset"})
	}
	p.during(e, func(on bool) {
		for i, pair := range pairs {
			p.World.Backend.ImpairLinks(pair[0], pair[1], effects[i], on)
		}
	})
}

func (p *Injector) injectIntoLists(e *Event) {
	d := p.World.Directory
	r := rand.New(rand.NewPCG(e.seed, 0))
	gone := map[int]bool{}
	for i := range p.World.Site.Servers {
		gone[i] = r.Float64() < e.Factor
	}
	p.during(e, func(on bool) {
		for _, n := range e.Nodes {
			switch e.Kind {
			case "stale":
				d.AddDelay(n, e.Delay.Std(), on)
			case "empty":
				d.HideEntries(n, ifOn(on, func(model.Entry) bool { return true }))
			case "shrink":
				d.HideEntries(n, ifOn(on, func(en model.Entry) bool { return gone[en.Server] }))
			case "reorder":
				d.ShowOldList(n, on)
			case "mute":
				d.MuteWatches(n, on)
			}
		}
	})
}

func ifOn(on bool, mask func(model.Entry) bool) func(model.Entry) bool {
	if on {
		return mask
	}
	return nil
}

func (p *Injector) injectIntoLoad(e *Event) {
	class := slices.IndexFunc(p.World.Site.Classes, func(c scenario.Class) bool { return c.Name == e.Class })
	p.during(e, func(on bool) {
		if e.Kind == "burst" {
			p.Clients.SetBurst(e.Factor, on)
		} else {
			p.Clients.SetHeavy(class, e.Share, e.Factor, on)
		}
	})
}
