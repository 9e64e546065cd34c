package model

import (
	"time"

	"umberbank/internal/lab/scenario"
)

// Entry is a server as discovery lists it.
type Entry struct {
	Server    int
	State     State
	StartTime time.Duration // on the loop's clock; negative: long ago
}

// EndpointList is a message of discovery: the whole list, or what has changed.
type EndpointList struct {
	Revision int64
	Complete bool
	Entries  []Entry
}

// Directory is discovery: changes get a revision at once and come to each node's agent late, in order. What an
// agent holds counts as told to its node.
type Directory struct {
	world  *World
	log    []Entry // the entry of revision i+1
	agents []agent
	first  []State
}

// agent is what one node's discovery holds.
type agent struct {
	revision          int64
	extraDelay        time.Duration           // added to what comes
	hidden            func(Entry) bool        // what a fault hides; nil: nothing
	shownRevision     int64                   // a fault shows an older revision, this one; 0: no
	pendingDeliveries map[time.Duration]int64 // revisions to come, by when
	muteCount         int                     // how often its watches have fallen silent
	mutedAt           time.Duration           // when they last did
	revisionOffset    int64                   // added to revisions after a whole list that a fault made
}

func newDirectory(w *World) *Directory {
	return &Directory{world: w, agents: make([]agent, len(w.Site.Nodes))}
}

// Publish enters a server's new state and sends it out.
func (d *Directory) Publish(server int, st State) {
	if d.world.Backend.PublishState(server, st) {
		return // the registry tells
	}
	e := Entry{server, st, d.world.Servers[server].startTime}
	d.log = append(d.log, e)
	rev := int64(len(d.log))
	r := scenario.NewRand(d.world.Site.Seed, "news "+time.Duration(rev).String())
	base := scenario.Draw(r, d.world.Site.Discovery.DelayRange).Std()
	spread := float64(base) / 4
	for n := range d.agents {
		if d.world.Site.Nodes[n].TargetTier != d.world.Site.Servers[server].Tier {
			continue
		}
		d.scheduleDelivery(n, rev, base+time.Duration(r.Float64()*spread)+d.agents[n].extraDelay)
	}
}

// scheduleFinish lets an agent pass a revision on at the first of its turns after a wait, with all that comes by then.
func (d *Directory) scheduleDelivery(n int, rev int64, wait time.Duration) {
	a, period := &d.agents[n], d.world.Site.Discovery.GossipPeriod.Std()
	at := (d.world.Loop.Now() + wait + period - 1) / period * period
	if a.pendingDeliveries == nil {
		a.pendingDeliveries = map[time.Duration]int64{}
	}
	if was, planned := a.pendingDeliveries[at]; planned {
		a.pendingDeliveries[at] = max(was, rev)
		return
	}
	a.pendingDeliveries[at] = rev
	d.world.Loop.At(at, func() {
		rev := a.pendingDeliveries[at]
		delete(a.pendingDeliveries, at)
		d.deliver(n, rev)
	})
}

// deliver brings an agent up to a revision.
func (d *Directory) deliver(n int, rev int64) {
	a := &d.agents[n]
	if rev <= a.revision {
		return
	}
	from := a.revision
	a.revision = rev
	var l []Entry
	for _, e := range d.log[from:rev] {
		if d.world.Site.Servers[e.Server].Tier != d.world.Site.Nodes[n].TargetTier || a.hidden != nil && a.hidden(e) {
			continue
		}
		l = append(l, e)
		d.notify(n, e)
	}
	if len(l) > 0 && a.shownRevision == 0 {
		d.world.Backend.SendList(n, EndpointList{Revision: rev + a.revisionOffset, Entries: l})
	}
}

// notify tells what an agent holds from now on. What a watch misses that has fallen silent counts as told when the time
// for asking anew is over, and not before: no node can know of it sooner than its silence shows.
func (d *Directory) notify(n int, e Entry) {
	a := &d.agents[n]
	tell := func() { d.world.Observer.NodeNotified(n, e.Server, e.State) }
	if due := a.mutedAt + d.world.Site.Discovery.WatchTimeout.Std(); a.muteCount > 0 && d.world.Loop.Now() < due {
		d.world.Loop.At(due, tell)
		return
	}
	tell()
}

// MuteWatches lets a node's watches fall silent, and for as long as it is on those that the node opens anew.
func (d *Directory) MuteWatches(n int, on bool) {
	if on {
		d.agents[n].muteCount++
		d.agents[n].mutedAt = d.world.Loop.Now()
	}
	d.world.Backend.MuteWatches(n, on)
}

// EndpointList is the whole list as a node's agent holds it.
func (d *Directory) List(n int) EndpointList {
	a := &d.agents[n]
	rev := a.revision
	if a.shownRevision > 0 {
		rev = a.shownRevision - 1
	}
	l := EndpointList{Revision: rev + a.revisionOffset, Complete: true}
	tier := d.world.Site.Nodes[n].TargetTier
	entries := map[int]Entry{}
	for _, e := range d.log[:rev] {
		entries[e.Server] = e
	}
	for i := range d.world.Site.Servers {
		if d.world.Site.Servers[i].Tier != tier {
			continue
		}
		e, changed := entries[i]
		if !changed {
			e = Entry{Server: i, StartTime: -time.Hour}
		}
		if e.State != Deleted && (a.hidden == nil || !a.hidden(e)) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

// AddDelay adds to the delay of what an agent hears, or takes that off again.
func (d *Directory) AddDelay(n int, by time.Duration, on bool) {
	if !on {
		by = -by
	}
	d.agents[n].extraDelay += by
}

// HideEntries makes an agent give a whole list without what mask names, and with nil the true one again.
func (d *Directory) HideEntries(n int, mask func(Entry) bool) {
	a := &d.agents[n]
	before := a.hidden
	a.hidden = mask
	a.revisionOffset++
	for _, e := range d.unmaskedEntries(n) {
		if mask != nil && mask(e) {
			d.world.Observer.NodeNotified(n, e.Server, Deleted)
		} else if mask == nil && before != nil && before(e) {
			d.world.Observer.NodeNotified(n, e.Server, e.State)
		}
	}
	d.world.Backend.SendList(n, d.List(n))
}

// unmaskedEntries is the list that the agent would give without faults.
func (d *Directory) unmaskedEntries(n int) []Entry {
	a := &d.agents[n]
	mask, back := a.hidden, a.shownRevision
	a.hidden, a.shownRevision = nil, 0
	defer func() { a.hidden, a.shownRevision = mask, back }()
	return d.List(n).Entries
}

// ShowOldList makes an agent give a whole list of an older revision, and then the true one again. What was told stays
// told: an older list takes nothing back.
func (d *Directory) ShowOldList(n int, on bool) {
	a := &d.agents[n]
	a.shownRevision = 0
	if on {
		a.shownRevision = max(0, a.revision-2) + 1
	}
	d.world.Backend.SendList(n, d.List(n))
}
