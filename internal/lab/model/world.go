package model

import (
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// World is the simulated fleet without its nodes. Backend and ControlProcess must be set before the loop runs.
type World struct {
	Loop      *sim.Loop
	Site      *scenario.Site
	Observer  Observer
	Servers   []*Server
	Directory *Directory
	// Backend connects the model with the nodes. NewWorld leaves it nil.
	Backend Backend
	// ControlProcess applies an action to a node's process and notifies the components that depend on the process. NewWorld
	// leaves it nil.
	ControlProcess func(node int, action ProcessAction)

	recentKeys map[scopedKey]time.Duration // when a call with an idempotency key was first accepted in its scope
	lastCallID uint64                      // number of the last call from a server
}

// scopedKey is an idempotency key in its scope, which is a rack, a zone or the whole site.
type scopedKey struct {
	scope int // a rack, globalScope, or zoneScope minus the index of a zone
	key   string
}

// Scopes of keys that are wider than a rack. They are negative, so that they differ from all racks. The scope of a zone is
// zoneScope minus the zone's index.
const (
	globalScope = -1
	zoneScope   = -2
)

const (
	// maxRecentKeys is the number of keys above which old ones are dropped.
	maxRecentKeys = 1 << 16
	// recentKeyMaxAge is the age above which a key is dropped.
	recentKeyMaxAge = time.Minute
)

// NewWorld returns a World with all servers of a site up and serving.
func NewWorld(loop *sim.Loop, site *scenario.Site, o Observer) *World {
	w := &World{Loop: loop, Site: site, Observer: o, recentKeys: map[scopedKey]time.Duration{}}
	for i := range site.Servers {
		w.Servers = append(w.Servers, newServer(w, i))
	}
	w.Directory = newDirectory(w)
	return w
}

// NodeReady must be called when a node's process is ready. It completes the start of a server that waits for this node.
func (w *World) NodeReady(node int) {
	if owner := w.Site.Nodes[node].OwnerServer; owner >= 0 && w.Servers[owner].starting {
		w.Servers[owner].becomeReady()
	}
}

// checkDuplicate reports whether a call with the same idempotency key was accepted before, in the same scope and within the
// class's window. If not, it records the key. The zone of a scope is that of the call's node. A call without a key, or of a class
// that is not idempotent by key, is never a duplicate.
func (w *World) checkDuplicate(rack int, c *Call) bool {
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
		if now-at > recentKeyMaxAge {
			delete(w.recentKeys, key)
		}
	}
}
