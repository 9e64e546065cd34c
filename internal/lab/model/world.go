package model

import (
	"math/rand/v2"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// World is the fleet without its nodes.
type World struct {
	Loop           *sim.Loop
	Site           *scenario.Site
	Backend        Backend
	Observer       Observer
	Servers        []*Server
	Directory      *Directory
	ControlProcess func(node int, act ProcessAction) // does it and tells all who must know

	recentKeys      map[rackKey]time.Duration // when a keyed request was first taken by a rack
	lastCallID      uint64
	rng             *rand.Rand
	openServerCalls int // remainingCalls between servers that have not ended
}

type rackKey struct {
	rack int
	key  string
}

// NewWorld returns the fleet of a site. The Backend is set before the loop runs.
func NewWorld(loop *sim.Loop, site *scenario.Site, o Observer) *World {
	w := &World{Loop: loop, Site: site, Observer: o, recentKeys: map[rackKey]time.Duration{}, rng: scenario.NewRand(site.Seed, "calls")}
	for i := range site.Servers {
		w.Servers = append(w.Servers, newServer(w, i))
	}
	w.Directory = newDirectory(w)
	return w
}

// NodeReady hears that a node's process serves: a server that waited for its own node to start is up now.
func (w *World) NodeReady(node int) {
	if owner := w.Site.Nodes[node].OwnerServer; owner >= 0 && w.Servers[owner].starting {
		w.Servers[owner].becomeReady()
	}
}

// isDuplicate tells whether the rack drops a keyed call as a repeat, and remembers it if not.
func (w *World) isDuplicate(rack int, c *Call) bool {
	class := &w.Site.Classes[c.Class]
	if c.Key == "" || class.Idempotency != "keyed" {
		return false
	}
	switch class.KeyScope {
	case "all":
		rack = -1
	case "zone":
		rack = -2 - w.Site.Nodes[c.Node].Zone
	}
	k, now := rackKey{rack, c.Key}, w.Loop.Now()
	if at, seen := w.recentKeys[k]; seen && now-at < class.KeyWindow.Std() {
		return true
	}
	if len(w.recentKeys) > 1<<16 {
		for old, at := range w.recentKeys {
			if now-at > time.Minute {
				delete(w.recentKeys, old)
			}
		}
	}
	w.recentKeys[k] = now
	return false
}
