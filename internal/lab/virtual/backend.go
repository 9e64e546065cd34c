package virtual

import (
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/lab/model"
)

// ControlProcess applies an action to a node's process. Work that was deferred during a pause runs when the process resumes.
func (f *Fleet) ControlProcess(i int, action model.ProcessAction) {
	n := f.nodes[i]
	switch action {
	case model.Start:
		f.world.Loop.After(processStartTime, n.start)
	case model.Kill:
		n.kill()
	case model.Terminate:
		n.terminate()
	case model.Pause:
		n.paused = true
	case model.Resume:
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, do := range deferred {
			n.run(do)
		}
	}
}

// Send delivers a call to its node and calls done with the response. The returned function disconnects the client.
func (f *Fleet) Send(c *model.Call, done func(model.Response)) func() {
	n := f.nodes[c.Node]
	var accepted *call
	disconnected := false
	f.world.Loop.After(f.localLatency(), func() {
		if disconnected {
			return
		}
		if !n.running {
			f.world.Loop.After(f.localLatency(), func() {
				if !disconnected {
					done(model.Response{Result: model.Unreachable})
				}
			})
			return
		}
		incarnation := n.incarnation
		n.run(func() {
			if !disconnected && n.incarnation == incarnation {
				accepted = n.accept(c, done)
			}
		})
	})
	return func() {
		disconnected = true
		if accepted != nil {
			n.run(func() { n.clientDisconnected(accepted) })
		}
	}
}

// localLatency returns the one-way latency between a client and its node.
func (f *Fleet) localLatency() time.Duration { return f.world.Site.Network.SameZone.Std() }

// SendList delivers an endpoint update to a node, unless its process does not run or its watch is silent.
func (f *Fleet) SendList(i int, l model.EndpointList) {
	n := f.nodes[i]
	if n.running && !n.watchSilent {
		n.run(func() { n.applyUpdate(l, false) })
	}
}

// RequestPermit creates a disruption budget from the current state of all servers and requests a permit for a server from it.
func (f *Fleet) RequestPermit(server int, done func(error)) {
	budget := disruption.NewBudget()
	budget.SetLimits(f.world.Site.DisruptionLimits())
	for i, s := range f.world.Servers {
		u := f.world.Site.DisruptionUnit(i)
		switch {
		case !s.IsUp():
			u.UnavailableFraction, u.Reason = 1, disruption.ReasonUnreachable
		case s.IsDraining():
			u.UnavailableFraction, u.Reason = 1, "draining"
		case s.IsWarmingUp():
			u.UnavailableFraction, u.Reason = 1-s.WarmUpFraction(), "cold"
		}
		budget.SetUnit(u)
	}
	_, err := budget.Grant(disruption.Permit{Unit: f.world.Site.Servers[server].Name, Incarnation: 1}, "")
	done(err)
}

// MuteWatches begins or ends a fault in which discovery sends nothing to a node. The node replaces its silent watch after
// watchTimeout, or shortly after the end of the fault if that is later.
func (f *Fleet) MuteWatches(i int, on bool) {
	n := f.nodes[i]
	n.discoverySilent = on
	if on && !n.watchSilent {
		n.watchSilent = true
		f.world.Loop.After(watchTimeout, n.reopenWatch)
	}
}

// ImpairLinks applies an impairment to links, or ends it.
func (f *Fleet) ImpairLinks(nodes, servers []int, impairment *model.Impairment, on bool) {
	for _, n := range nodes {
		for _, s := range servers {
			k := nodeServer{n, s}
			l := f.links[k]
			if on {
				f.links[k] = append(l, impairment)
				if impairment.Reset {
					f.nodes[n].resetConnections(s)
				}
				continue
			}
			if i := slices.Index(l, impairment); i >= 0 {
				f.links[k] = append(l[:i:i], l[i+1:]...)
			}
			if len(f.links[k]) == 0 {
				delete(f.links, k)
			}
		}
	}
}

// ServerDown closes a server's connections. If silent is true, its machine does not respond from then on.
func (f *Fleet) ServerDown(s int, silent bool) {
	f.stopped[s], f.unreachable[s] = true, silent
	f.openConnections[s] = 0
	for _, n := range f.nodes {
		delete(n.idleConnections, s)
	}
}

// ServerUp makes a server accept connections again.
func (f *Fleet) ServerUp(s int) {
	delete(f.stopped, s)
	delete(f.unreachable, s)
}

// PublishState does nothing and returns false, because runs on the virtual clock have no registry.
func (f *Fleet) PublishState(int, model.State) bool { return false }

// SetHeartbeats does nothing, because runs on the virtual clock have no registry.
func (f *Fleet) SetHeartbeats(int, bool) {}

// SetReplicaFault does nothing, because runs on the virtual clock have no registry.
func (f *Fleet) SetReplicaFault([]int, string, bool) {}
