// Package fault plays a timetable of faults. What each one hits is drawn by the seed before the run, so the same
// file and seed hit the same things at the same times.
package fault

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/traffic"
)

// Event is one fault of the timetable with what it hits.
type Event struct {
	*scenario.Fault
	Start, End time.Duration // End is From if it does not last
	Nodes      []int         // hit, or whose links are
	Servers    []int
	Replicas   []int      // of the registry
	pairs      [][2][]int // of a cut: nodes and servers that lose each other
	intoZone   []bool     // whether such a pair leads into the zone
	seed       uint64
}

// Schedule draws the timetable, in the order of time.
func Schedule(site *scenario.Site) []*Event {
	var l []*Event
	r := scenario.NewRand(site.Seed, "faults")
	for i := range site.Faults {
		f := &site.Faults[i]
		for n := range max(1, f.Repetitions) {
			from := f.At.Std() + time.Duration(n)*f.Interval.Std()
			e := &Event{Fault: f, Start: from, End: from + f.Duration.Std(), seed: r.Uint64()}
			e.selectTargets(site, r)
			l = append(l, e)
		}
	}
	slices.SortStableFunc(l, func(a, b *Event) int { return int(a.Start - b.Start) })
	return l
}

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
