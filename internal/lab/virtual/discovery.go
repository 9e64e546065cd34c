package virtual

import (
	"time"

	"umberbank/balancer"
	"umberbank/internal/lab/model"
)

const (
	// watchTimeout is how long a watch may be silent before its node reopens it.
	watchTimeout = 2500 * time.Millisecond
	// watchRetryInterval is how often a node tries to, as long as discovery is silent.
	watchRetryInterval = 500 * time.Millisecond
)

// reopenWatch replaces a silent watch, whose first message has all endpoints.
func (n *node) reopenWatch() {
	if n.discoverySilent {
		n.fleet.world.Loop.After(watchRetryInterval, n.reopenWatch)
		return
	}
	n.watchSilent = false
	n.fleet.SendList(n.index, n.fleet.world.Directory.List(n.index))
}

// endpointStates maps the states of the model to those of the Balancer.
var endpointStates = map[model.State]balancer.EndpointState{
	model.Serving: balancer.Ready, model.Draining: balancer.Draining, model.Deleted: balancer.Removed,
}

// endpointUpdate converts a list of the model for the Balancer.
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

// applyUpdate applies an update to the excluded servers, then passes it to the Balancer. cached: the list is from before the
// process started.
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

// excludeUnlisted excludes the servers of the node's tier that a full list does not name, and no others.
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

// exclude allows no further attempt to a server and closes the idle connections to it.
func (n *node) exclude(server int) {
	n.excluded[server] = true
	n.closeIdleConnections(server)
}
