package model

import (
	"time"

	"umberbank/internal/lab/scenario"
)

// Entry is a server as discovery lists it.
type Entry struct {
	Server    int
	State     State
	StartTime time.Duration // negative: before the run
}

// EndpointList is a message of discovery to a node.
type EndpointList struct {
	Revision int64
	Complete bool // it is the whole list; else the entries have changed
	Entries  []Entry
}

// Directory is discovery. A change gets a revision at once and reaches the agent of each node late, in the order of revisions.
// What an agent holds counts as told to its node. In a run with a registry it holds no changes: the registry tells nodes.
type Directory struct {
	world  *World
	log    []Entry // the entry of revision i+1
	agents []agent
}

// agent is the discovery of one node.
type agent struct {
	revision          int64                   // the last that has arrived
	pendingDeliveries map[time.Duration]int64 // revisions under way, by the time of their arrival

	// Faults.
	extraDelay     time.Duration
	hidden         func(Entry) bool // entries that are left out; nil: none
	oldRevision    int64            // 1 + the old revision that is shown; 0: the last one is
	revisionOffset int64            // added to revisions, as each list that a fault made needs a new one
	muteCount      int              // how often its watches were muted
	mutedAt        time.Duration    // when they last were
}

// delaySpread is the fraction of a change's delay by which the delays of agents differ.
const delaySpread = 0.25

func newDirectory(w *World) *Directory {
	return &Directory{world: w, agents: make([]agent, len(w.Site.Nodes))}
}

// Publish enters a server's new state and sends it to the agents of all nodes that send to the server's tier.
func (d *Directory) Publish(server int, state State) {
	if d.world.Backend.PublishState(server, state) {
		return // the registry tells nodes
	}
	d.log = append(d.log, Entry{Server: server, State: state, StartTime: d.world.Servers[server].startTime})
	revision := int64(len(d.log))
	r := scenario.NewRand(d.world.Site.Seed, "news "+time.Duration(revision).String())
	base := scenario.Draw(r, d.world.Site.Discovery.DelayRange).Std()
	spread := float64(base) * delaySpread
	for node := range d.agents {
		if !d.concerns(node, server) {
			continue
		}
		d.scheduleDelivery(node, revision, base+time.Duration(r.Float64()*spread)+d.agents[node].extraDelay)
	}
}

// concerns reports whether a node sends to a server's tier.
func (d *Directory) concerns(node, server int) bool {
	return d.world.Site.Nodes[node].TargetTier == d.world.Site.Servers[server].Tier
}

// scheduleDelivery delivers a revision to an agent at the first gossip round after a delay, with all that arrives by then.
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

// deliver brings an agent up to a revision and sends its node what has changed.
func (d *Directory) deliver(node int, revision int64) {
	a := &d.agents[node]
	if revision <= a.revision {
		return
	}
	changes := d.log[a.revision:revision]
	a.revision = revision
	var entries []Entry
	for _, e := range changes {
		if !d.concerns(node, e.Server) || a.hidden != nil && a.hidden(e) {
			continue
		}
		entries = append(entries, e)
		d.notify(node, e)
	}
	if len(entries) > 0 && a.oldRevision == 0 {
		d.world.Backend.SendList(node, EndpointList{Revision: revision + a.revisionOffset, Entries: entries})
	}
}

// notify tells the observer what a node is told. What a muted watch misses counts as told when the node must have noticed that
// the watch is silent, and not before.
func (d *Directory) notify(node int, e Entry) {
	a := &d.agents[node]
	notified := func() { d.world.Observer.NodeNotified(node, e.Server, e.State) }
	noticed := a.mutedAt + d.world.Site.Discovery.WatchTimeout.Std()
	if a.muteCount > 0 && d.world.Loop.Now() < noticed {
		d.world.Loop.At(noticed, notified)
		return
	}
	notified()
}

// List returns the whole list as a node's agent holds it.
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
		if !d.concerns(node, server) {
			continue
		}
		e, hasChanged := changed[server]
		if !hasChanged {
			e = Entry{Server: server, StartTime: longAgo}
		}
		if e.State != Deleted && (a.hidden == nil || !a.hidden(e)) {
			list.Entries = append(list.Entries, e)
		}
	}
	return list
}

// completeEntries returns the entries that an agent would list without faults.
func (d *Directory) completeEntries(node int) []Entry {
	a := &d.agents[node]
	hidden, oldRevision := a.hidden, a.oldRevision
	a.hidden, a.oldRevision = nil, 0
	defer func() { a.hidden, a.oldRevision = hidden, oldRevision }()
	return d.List(node).Entries
}

// MuteWatches mutes a node's open watches for good, and while it is on also those that the node opens.
func (d *Directory) MuteWatches(node int, on bool) {
	if on {
		d.agents[node].muteCount++
		d.agents[node].mutedAt = d.world.Loop.Now()
	}
	d.world.Backend.MuteWatches(node, on)
}

// AddDelay adds to the delay of what an agent gets, or ends that.
func (d *Directory) AddDelay(node int, delay time.Duration, on bool) {
	if !on {
		delay = -delay
	}
	d.agents[node].extraDelay += delay
}

// HideEntries makes an agent send a whole list without the entries that hidden names; nil: the true list again.
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

// ShowOldList makes an agent send a whole list of an older revision, or the true one again. What the node was told stays so:
// an older list revokes nothing.
func (d *Directory) ShowOldList(node int, on bool) {
	a := &d.agents[node]
	a.oldRevision = 0
	if on {
		a.oldRevision = max(0, a.revision-oldRevisionDistance) + 1
	}
	d.world.Backend.SendList(node, d.List(node))
}
