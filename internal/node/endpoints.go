package node

import (
	"umberbank/balancer"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/upstream"
)

// applyUpdate applies an update of the endpoint list, first to the endpoints that attempts use, then to the balancer.
// cached is set if the update is from before the start of the process.
func (l *loop) applyUpdate(u discovery.Update, cached bool) {
	l.watcher.recordUpdate(u.Revision, cached)
	listed := map[string]bool{}
	event := balancer.EndpointUpdate{Full: u.Full, Cached: cached}
	for _, entry := range u.Entries {
		endpoint := entry.Endpoint()
		event.Endpoints = append(event.Endpoints, endpoint)
		listed[entry.UID] = endpoint.State != balancer.Removed
		l.applyEntry(entry, endpoint)
	}
	if u.Full {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.metrics.EndpointsListed.Store(int64(len(l.endpoints)))
	l.handle(event)
	if !cached {
		l.watcher.markListReady()
	}
}

// applyEntry applies one entry of the endpoint list to the endpoints that attempts use. endpoint is the same entry in the
// balancer's type.
func (l *loop) applyEntry(entry discovery.Entry, endpoint balancer.Endpoint) {
	e := l.endpoints[entry.UID]
	if e == nil || e.Addr != entry.Address || e.StartTime != endpoint.StartTime {
		// Connections to a previous process or address cannot be reused.
		l.removeEndpoint(entry.UID)
		e = upstream.NewEndpoint(entry.Address, endpoint.StartTime)
		l.endpoints[entry.UID] = e
	}
	e.SetReady(endpoint.State == balancer.Ready)
	if endpoint.State != balancer.Ready {
		l.pool.CloseIdle(e)
	}
	if endpoint.State == balancer.Removed {
		l.removeEndpoint(entry.UID)
	}
}

// removeEndpoint removes an endpoint and closes its idle connections. It does nothing if the endpoint is not listed.
func (l *loop) removeEndpoint(id string) {
	if e := l.endpoints[id]; e != nil {
		e.SetReady(false)
		l.pool.CloseIdle(e)
		delete(l.endpoints, id)
	}
}
