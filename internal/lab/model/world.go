package model

import (
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// World is the fleet without its nodes. Set the exported fields that NewWorld leaves out before the loop runs.
type World struct {
	Loop      *sim.Loop
	Site      *scenario.Site
	Observer  Observer
	Servers   []*Server
	Directory *Directory
	// Backend is set by the caller.
	Backend Backend
	// ControlProcess acts on a node's process and tells everything that depends on it. It is set by the caller.
	ControlProcess func(node int, action ProcessAction)

	recentKeys map[scopedKey]time.Duration // when a call with an idempotency key was first accepted in its scope
	lastCallID uint64                      // of calls by servers
}

// scopedKey is an idempotency key in its scope: a rack, a zone, or everywhere.
type scopedKey struct {
	scope int // a rack, or one of the scopes below
	key   string
}

// Scopes of keys that are wider than a rack. The one of a zone is zoneScope minus the zone's index.
const (
	globalScope = -1
	zoneScope   = -2
)

const (
	// maxRecentKeys is from how many keys on old ones are dropped.
	maxRecentKeys = 1 << 16
	// recentKeyAge is how old they are then.
	recentKeyAge = time.Minute
)

// NewWorld returns the fleet of a site.
func NewWorld(loop *sim.Loop, site *scenario.Site, o Observer) *World {
	w := &World{Loop: loop, Site: site, Observer: o, recentKeys: map[scopedKey]time.Duration{}}
	for i := range site.Servers {
		w.Servers = append(w.Servers, newServer(w, i))
	}
	w.Directory = newDirectory(w)
	return w
}

// NodeReady notes that a node's process is ready. The server that waited for its own node is up then.
func (w *World) NodeReady(node int) {
	if owner := w.Site.Nodes[node].OwnerServer; owner >= 0 && w.Servers[owner].starting {
		w.Servers[owner].becomeReady()
	}
}

// isDuplicate reports whether a call with an idempotency key was accepted before in its scope and window. If not it is
// remembered.
func (w *World) isDuplicate(rack int, c *Call) bool {
	class := &w.Site.Classes[c.Class]
	if c.Key == "" || class.Idempotency != scenario.IdempotentByKey {
		return false
	}
	scope := rack
	switch class.KeyScope {
	case scenario.KeyScopeAll:
		scope = globalScope
	case scenario.KeyScopeZone:
		scope = zoneScope - w.Site.Nodes[c.Node].Zone
	}
	key, now := scopedKey{scope, c.Key}, w.Loop.Now()
	if at, seen := w.recentKeys[key]; seen && now-at < class.KeyWindow.Std() {
		return true
	}
	if len(w.recentKeys) > maxRecentKeys {
		w.dropOldKeys(now)
	}
	w.recentKeys[key] = now
	return false
}

func (w *World) dropOldKeys(now time.Duration) {
	for key, at := range w.recentKeys {
		if now-at > recentKeyAge {
			delete(w.recentKeys, key)
		}
	}
}
