package fleet

import (
	"errors"
	"fmt"

	"umberbank/internal/lab/model"
	"umberbank/internal/process/relay"
)

// nodeServer identifies the link between a node and a server by their indexes.
type nodeServer struct{ node, server int }

// link is the link between a node and a server.
type link struct {
	addr            string
	relay           *relay.Relay // nil if no fault affects the link
	impairments     map[*model.Impairment]*relay.Impairment
	downImpairments []*relay.Impairment // present while the server is down
	jobs            chan func() error   // run in order on a separate goroutine, because the loop must not wait for a relay
}

// maxQueuedJobs is the capacity of each queue of jobs.
const maxQueuedJobs = 4096

// addRelay puts a relay in front of a link's server and starts the goroutine that runs the link's jobs.
func (f *Fleet) addRelay(l *link, host string) (err error) {
	if l.relay, err = relay.Listen(host, l.addr); err != nil {
		return err
	}
	l.addr, l.jobs = l.relay.Addr(), make(chan func() error, maxQueuedJobs)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		for do := range l.jobs {
			if err := do(); err != nil {
				f.abort(fmt.Errorf("relay: %w", err))
			}
		}
	}()
	return nil
}

// linkAddr returns the address at which a node reaches a server, or "" if there is no link.
func (f *Fleet) linkAddr(node, server int) string {
	if l := f.links[nodeServer{node, server}]; l != nil {
		return l.addr
	}
	return ""
}

// ImpairLinks applies an impairment to all links between nodes and servers, or ends it. Links without a relay are skipped.
func (f *Fleet) ImpairLinks(nodes, servers []int, e *model.Impairment, on bool) {
	for _, n := range nodes {
		for _, s := range servers {
			l := f.links[nodeServer{n, s}]
			if l == nil || l.relay == nil {
				continue
			}
			if !on {
				r := l.impairments[e]
				delete(l.impairments, e)
				l.jobs <- func() error { return l.relay.Remove(r) }
				continue
			}
			r := &relay.Impairment{
				Delay:          e.Delay,
				Jitter:         e.Jitter,
				Stall:          e.Stall,
				Refuse:         e.Refuse,
				BytesPerSecond: e.BytesPerSecond,
				ToTarget:       e.ToServer,
				FromTarget:     e.ToNode,
			}
			l.impairments[e] = r
			l.jobs <- func() error {
				if e.Reset {
					l.relay.Reset()
				}
				return l.relay.Add(r)
			}
		}
	}
}

// ServerDown ends a server's heartbeats, resets its connections and refuses new ones. If silent is true, it stalls the
// connections instead, as if the machine had disappeared.
func (f *Fleet) ServerDown(server int, silent bool) {
	if f.registry != nil {
		f.registry.dropLease(server)
	}
	f.eachLink(server, func(l *link) {
		e := &relay.Impairment{Refuse: true}
		if silent {
			e = &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
		}
		l.downImpairments = append(l.downImpairments, e)
		l.jobs <- func() error {
			err := l.relay.Add(e)
			if !silent {
				l.relay.Reset()
			}
			return err
		}
	})
}

// ServerUp accepts connections to a server again. Earlier connections are reset, as after a restart of the machine.
func (f *Fleet) ServerUp(server int) {
	f.eachLink(server, func(l *link) {
		down := l.downImpairments
		l.downImpairments = nil
		l.jobs <- func() error {
			l.relay.Reset()
			var err error
			for _, e := range down {
				err = errors.Join(err, l.relay.Remove(e))
			}
			return err
		}
	})
}

// eachLink calls do for each link of a server that has a relay. On other links an attempt that arrives at a server that
// is down is reset by the server.
func (f *Fleet) eachLink(server int, do func(*link)) {
	for n := range f.world.Site.Nodes {
		if l := f.links[nodeServer{n, server}]; l != nil && l.relay != nil {
			do(l)
		}
	}
}
