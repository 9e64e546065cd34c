package virtual

import (
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

const (
	// watchTimeout is how long a watch may be silent before the node reopens it.
	watchTimeout = 2500 * time.Millisecond
	// watchRetryInterval is the interval at which a node tries to reopen its watch while discovery is silent.
	watchRetryInterval = 500 * time.Millisecond
)

// reopenWatch replaces a silent watch by a new one, which first sends the whole list of endpoints.
func (n *node) reopenWatch() {
	if n.discoverySilent {
		n.fleet.world.Loop.After(watchRetryInterval, n.reopenWatch)
		return
	}
	n.watchSilent = false
	n.fleet.SendList(n.index, n.fleet.world.Directory.List(n.index))
}

// endpointStates maps server states of the model to endpoint states of the Balancer.
var endpointStates = map[model.State]balancer.EndpointState{
	model.Serving: balancer.Ready, model.Draining: balancer.Draining, model.Deleted: balancer.Removed,
}

// endpointUpdate converts a list of the model to an event of the Balancer. cached states that the list dates from before the
// start of the process.
func (f *Fleet) endpointUpdate(l model.EndpointList, cached bool) balancer.EndpointUpdate {
	e := balancer.EndpointUpdate{Full: l.Complete, Cached: cached, Endpoints: make([]balancer.Endpoint, 0, len(l.Entries))}
	for _, t := range l.Entries {
		server := &f.world.Site.Servers[t.Server]
		endpoint := balancer.Endpoint{
			ID:     server.Name,
			Zone:   f.world.Site.Zones[server.Zone].Name,
			Cell:   server.Rack,
			State:  endpointStates[t.State],
			Weight: server.AdvertisedCapacity(),
		}
		if t.StartTime >= 0 {
			endpoint.StartTime = epoch + t.StartTime
		}
		e.Endpoints = append(e.Endpoints, endpoint)
	}
	return e
}

// applyUpdate applies an update to the excluded servers, then passes it to the Balancer. cached states that the list dates from
// before the start of the process.
func (n *node) applyUpdate(l model.EndpointList, cached bool) {
	if l.Complete {
		n.excludeUnlisted(l)
	}
	for _, t := range l.Entries {
		if t.State == model.Serving {
			delete(n.excluded, t.Server)
		} else {
			n.exclude(t.Server)
		}
	}
	n.handle(n.fleet.endpointUpdate(l, cached))
}

// excludeUnlisted replaces the set of excluded servers by those servers of the node's target tier that a whole list does not
// contain.
func (n *node) excludeUnlisted(l model.EndpointList) {
	n.excluded = map[int]bool{}
	listed := make([]bool, len(n.fleet.world.Servers))
	for _, t := range l.Entries {
		listed[t.Server] = true
	}
	for s, isListed := range listed {
		if !isListed && n.fleet.world.Servers[s].Tier == n.fleet.world.Site.Nodes[n.index].TargetTier {
			n.exclude(s)
		}
	}
}

// exclude prevents further attempts to a server and closes the idle connections to it.
func (n *node) exclude(server int) {
	n.excluded[server] = true
	n.closeIdleConnections(server)
}
