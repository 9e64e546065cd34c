package model

import (
	"time"

	"umberbank/internal/lab/scenario"
)

// Entry is the state of a server in discovery.
type Entry struct {
	Server    int
	State     State
	StartTime time.Duration // negative if the server started before the run
}

// EndpointList is an update that discovery sends to a node.
type EndpointList struct {
	Revision int64
	Complete bool // whether Entries is the whole list rather than the changed entries
	Entries  []Entry
}

// Directory emulates discovery. A change gets its revision immediately and reaches the agents of nodes after a delay. An agent
// receives changes in the order of their revisions. A node counts as notified of a change when its agent has received it. In a
// run with a registry the Directory holds no changes, because the registry notifies nodes.
type Directory struct {
	world  *World
	log    []Entry // index i holds the entry of revision i+1
	agents []agent
}

// agent is the discovery agent of one node.
type agent struct {
	revision          int64                   // latest revision that has arrived
	pendingDeliveries map[time.Duration]int64 // revisions not yet delivered, by the time of their arrival

	// Faults.
	extraDelay     time.Duration
	hidden         func(Entry) bool // reports whether to leave out an entry; nil if none is left out
	oldRevision    int64            // 1 + the older revision that ShowOldList lists; zero if the latest one is listed
	revisionOffset int64            // added to revisions, so that a list that HideEntries changes has a new revision
	muteCount      int              // number of times that its watches were muted
	mutedAt        time.Duration    // when its watches were last muted
}

// delaySpread bounds the random addition to an agent's delay, as a fraction of the base delay of the change.
const delaySpread = 0.25

func newDirectory(w *World) *Directory {
	return &Directory{world: w, agents: make([]agent, len(w.Site.Nodes))}
}

// Publish records a server's new state and sends it to the agents of all nodes that send to the server's tier. In a run with a
// registry it only passes the state to Backend.PublishState.
func (d *Directory) Publish(server int, state State) {
	if d.world.Backend.PublishState(server, state) {
		return // the registry notifies nodes
	}
	d.log = append(d.log, Entry{Server: server, State: state, StartTime: d.world.Servers[server].startTime})
	revision := int64(len(d.log))
	r := scenario.NewRand(d.world.Site.Seed, "news "+time.Duration(revision).String())
	base := scenario.Draw(r, d.world.Site.Discovery.DelayRange).Std()
	spread := float64(base) * delaySpread
	for node := range d.agents {
		if !d.sendsToTierOf(node, server) {
			continue
		}
		d.scheduleDelivery(node, revision, base+time.Duration(r.Float64()*spread)+d.agents[node].extraDelay)
	}
}

// sendsToTierOf reports whether a node sends to a server's tier.
func (d *Directory) sendsToTierOf(node, server int) bool {
	return d.world.Site.Nodes[node].TargetTier == d.world.Site.Servers[server].Tier
}

// scheduleDelivery delivers a revision to an agent at the first gossip round after a delay. Revisions that arrive at the same
// round are delivered together.
func (d *Directory) scheduleDelivery(node int, revision int64, delay time.Duration) {
	a, period := &d.agents[node], d.world.Site.Discovery.GossipPeriod.Std()
	at := (d.world.Loop.Now() + delay + period - 1) / period * period
	if a.pendingDeliveries == nil {
		a.pendingDeliveries = map[time.Duration]int64{}
	}
	if earlier, pending := a.pendingDeliveries[at]; pending {
		a.pendingDeliveries[at] = max(earlier, revision)
		return
	}
	a.pendingDeliveries[at] = revision
	d.world.Loop.At(at, func() {
		last := a.pendingDeliveries[at]
		delete(a.pendingDeliveries, at)
		d.deliver(node, last)
	})
}

// deliver updates an agent to a revision, reports the changed entries to the observer, and sends them to the agent's node. While
// ShowOldList applies, it sends nothing.
func (d *Directory) deliver(node int, revision int64) {
	a := &d.agents[node]
	if revision <= a.revision {
		return
	}
	changes := d.log[a.revision:revision]
	a.revision = revision
	var entries []Entry
	for _, e := range changes {
		if !d.sendsToTierOf(node, e.Server) || a.hidden != nil && a.hidden(e) {
			continue
		}
		entries = append(entries, e)
		d.notify(node, e)
	}
	if len(entries) > 0 && a.oldRevision == 0 {
		d.world.Backend.SendList(node, EndpointList{Revision: revision + a.revisionOffset, Entries: entries})
	}
}

// notify reports to the observer that a node was notified of an entry. If the node's watch was muted less than
// Discovery.WatchTimeout ago, the report is delayed to the end of that time, when the node must have detected the silent watch.
func (d *Directory) notify(node int, e Entry) {
	a := &d.agents[node]
	report := func() { d.world.Observer.NodeNotified(node, e.Server, e.State) }
	detectedAt := a.mutedAt + d.world.Site.Discovery.WatchTimeout.Std()
	if a.muteCount > 0 && d.world.Loop.Now() < detectedAt {
		d.world.Loop.At(detectedAt, report)
		return
	}
	report()
}

// List returns the whole list of a node's agent, including the effects of faults.
func (d *Directory) List(node int) EndpointList {
	a := &d.agents[node]
	revision := a.revision
	if a.oldRevision > 0 {
		revision = a.oldRevision - 1
	}
	changed := map[int]Entry{}
	for _, e := range d.log[:revision] {
		changed[e.Server] = e
	}
	list := EndpointList{Revision: revision + a.revisionOffset, Complete: true}
	for server := range d.world.Site.Servers {
		if !d.sendsToTierOf(node, server) {
			continue
		}
		e, hasChanged := changed[server]
		if !hasChanged {
			e = Entry{Server: server, StartTime: startedBeforeRun}
		}
		if e.State != Deleted && (a.hidden == nil || !a.hidden(e)) {
			list.Entries = append(list.Entries, e)
		}
	}
	return list
}

// completeEntries returns the entries that an agent would list if no fault applied to it.
func (d *Directory) completeEntries(node int) []Entry {
	a := &d.agents[node]
	hidden, oldRevision := a.hidden, a.oldRevision
	a.hidden, a.oldRevision = nil, 0
	defer func() { a.hidden, a.oldRevision = hidden, oldRevision }()
	return d.List(node).Entries
}

// MuteWatches begins or ends a fault of a node's watches. See Backend.MuteWatches.
func (d *Directory) MuteWatches(node int, on bool) {
	if on {
		d.agents[node].muteCount++
		d.agents[node].mutedAt = d.world.Loop.Now()
	}
	d.world.Backend.MuteWatches(node, on)
}

// AddDelay adds a delay to the changes that are published to an agent from now on, or removes that delay again.
func (d *Directory) AddDelay(node int, delay time.Duration, on bool) {
	if !on {
		delay = -delay
	}
	d.agents[node].extraDelay += delay
}

// HideEntries makes an agent send a whole list without the entries for which hidden returns true, and leave them out of later
// updates. It reports these servers to the observer as deleted. If hidden is nil, the agent sends the complete list
// again, and the servers that it lists again are reported with their states.
func (d *Directory) HideEntries(node int, hidden func(Entry) bool) {
	a := &d.agents[node]
	before := a.hidden
	a.hidden = hidden
	a.revisionOffset++
	for _, e := range d.completeEntries(node) {
		if hidden != nil && hidden(e) {
			d.world.Observer.NodeNotified(node, e.Server, Deleted)
		} else if hidden == nil && before != nil && before(e) {
			d.world.Observer.NodeNotified(node, e.Server, e.State)
		}
	}
	d.world.Backend.SendList(node, d.List(node))
}

// oldRevisionDistance is how many revisions back ShowOldList goes.
const oldRevisionDistance = 2

// ShowOldList makes an agent send a whole list of an older revision, or the current list again. It reports nothing to the
// observer, because an older list does not revoke an earlier notification.
func (d *Directory) ShowOldList(node int, on bool) {
	a := &d.agents[node]
	a.oldRevision = 0
	if on {
		a.oldRevision = max(0, a.revision-oldRevisionDistance) + 1
	}
	d.world.Backend.SendList(node, d.List(node))
}
