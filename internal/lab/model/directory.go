package model

import (
	"time"

	"umberbank/internal/lab/scenario"
)

// Entry is a server as discovery lists it.
type Entry struct {
	Server int
	State  State
	Boot   time.Duration // on the loop's clock; negative: long ago
}

// List is a message of discovery: the whole list, or what has changed.
type List struct {
	Rev     int64
	All     bool
	Entries []Entry
}

// Directory is discovery: changes get a revision at once and come to each node's agent late, in order. What an
// agent holds counts as told to its node.
type Directory struct {
	w      *World
	log    []Entry // the entry of revision i+1
	agents []agent
	first  []State
}

// agent is what one node's discovery holds.
type agent struct {
	rev   int64
	stale time.Duration           // added to what comes
	mask  func(Entry) bool        // what a fault hides; nil: nothing
	back  int64                   // a fault shows an older revision, this one; 0: no
	due   map[time.Duration]int64 // revisions to come, by when
	mutes int                     // how often its watches have fallen silent
	muted time.Duration           // when they last did
	said  int64                   // added to revisions after a whole list that a fault made
}

func newDirectory(w *World) *Directory {
	return &Directory{w: w, agents: make([]agent, len(w.Site.Nodes))}
}

// Change enters a server's new state and sends it out.
func (d *Directory) Change(server int, st State) {
	if d.w.Backend.Publish(server, st) {
		return // the registry tells
	}
	e := Entry{server, st, d.w.Servers[server].boot}
	d.log = append(d.log, e)
	rev := int64(len(d.log))
	r := scenario.Rand(d.w.Site.Seed, "news "+time.Duration(rev).String())
	base := scenario.In(r, d.w.Site.Discovery.Delay).D()
	spread := float64(base) / 4
	for n := range d.agents {
		if d.w.Site.Nodes[n].Tier != d.w.Site.Servers[server].Tier {
			continue
		}
		d.plan(n, rev, base+time.Duration(r.Float64()*spread)+d.agents[n].stale)
	}
}

// plan lets an agent pass a revision on at the first of its turns after a wait, with all that comes by then.
func (d *Directory) plan(n int, rev int64, wait time.Duration) {
	a, period := &d.agents[n], d.w.Site.Discovery.Period.D()
	at := (d.w.Loop.Now() + wait + period - 1) / period * period
	if a.due == nil {
		a.due = map[time.Duration]int64{}
	}
	if was, planned := a.due[at]; planned {
		a.due[at] = max(was, rev)
		return
	}
	a.due[at] = rev
	d.w.Loop.At(at, func() {
		rev := a.due[at]
		delete(a.due, at)
		d.deliver(n, rev)
	})
}

// deliver brings an agent up to a revision.
func (d *Directory) deliver(n int, rev int64) {
	a := &d.agents[n]
	if rev <= a.rev {
		return
	}
	from := a.rev
	a.rev = rev
	var l []Entry
	for _, e := range d.log[from:rev] {
		if d.w.Site.Servers[e.Server].Tier != d.w.Site.Nodes[n].Tier || a.mask != nil && a.mask(e) {
			continue
		}
		l = append(l, e)
		d.told(n, e)
	}
	if len(l) > 0 && a.back == 0 {
		d.w.Backend.Tell(n, List{Rev: rev + a.said, Entries: l})
	}
}

// told tells what an agent holds from now on. What a watch misses that has fallen silent counts as told when the time
// for asking anew is over, and not before: no node can know of it sooner than its silence shows.
func (d *Directory) told(n int, e Entry) {
	a := &d.agents[n]
	tell := func() { d.w.Observer.Told(n, e.Server, e.State) }
	if due := a.muted + d.w.Site.Discovery.Missed.D(); a.mutes > 0 && d.w.Loop.Now() < due {
		d.w.Loop.At(due, tell)
		return
	}
	tell()
}

// Mute lets a node's watches fall silent, and for as long as it is on those that the node opens anew.
func (d *Directory) Mute(n int, on bool) {
	if on {
		d.agents[n].mutes++
		d.agents[n].muted = d.w.Loop.Now()
	}
	d.w.Backend.Mute(n, on)
}

// List is the whole list as a node's agent holds it.
func (d *Directory) List(n int) List {
	a := &d.agents[n]
	rev := a.rev
	if a.back > 0 {
		rev = a.back - 1
	}
	l := List{Rev: rev + a.said, All: true}
	tier := d.w.Site.Nodes[n].Tier
	entries := map[int]Entry{}
	for _, e := range d.log[:rev] {
		entries[e.Server] = e
	}
	for i := range d.w.Site.Servers {
		if d.w.Site.Servers[i].Tier != tier {
			continue
		}
		e, changed := entries[i]
		if !changed {
			e = Entry{Server: i, Boot: -time.Hour}
		}
		if e.State != Deleted && (a.mask == nil || !a.mask(e)) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

// Stale adds to the delay of what an agent hears, or takes that off again.
func (d *Directory) Stale(n int, by time.Duration, on bool) {
	if !on {
		by = -by
	}
	d.agents[n].stale += by
}

// Hide makes an agent give a whole list without what mask names, and with nil the true one again.
func (d *Directory) Hide(n int, mask func(Entry) bool) {
	a := &d.agents[n]
	before := a.mask
	a.mask = mask
	a.said++
	for _, e := range d.whole(n) {
		if mask != nil && mask(e) {
			d.w.Observer.Told(n, e.Server, Deleted)
		} else if mask == nil && before != nil && before(e) {
			d.w.Observer.Told(n, e.Server, e.State)
		}
	}
	d.w.Backend.Tell(n, d.List(n))
}

// whole is the list that the agent would give without faults.
func (d *Directory) whole(n int) []Entry {
	a := &d.agents[n]
	mask, back := a.mask, a.back
	a.mask, a.back = nil, 0
	defer func() { a.mask, a.back = mask, back }()
	return d.List(n).Entries
}

// Rewind makes an agent give a whole list of an older revision, and then the true one again. What was told stays
// told: an older list takes nothing back.
func (d *Directory) Rewind(n int, on bool) {
	a := &d.agents[n]
	a.back = 0
	if on {
		a.back = max(0, a.rev-2) + 1
	}
	d.w.Backend.Tell(n, d.List(n))
}
