package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log"

	"umberbank/internal/registry/client"
)

// Registry says which registry a node follows, over all its replicas, in discovery's place. Without endpoints it follows
// discovery.
type Registry struct {
	Endpoints []string `json:"endpoints"`
	Cache     string   `json:"cache"` // a folder of this node alone that keeps the last list over restarts, where there is a disk; "": none
}

// followRegistry opens the Reader that the node is told to have, if it is.
func (n *Node) followRegistry() error {
	if len(n.cfg.Registry.Endpoints) == 0 {
		return nil
	}
	r, err := client.NewWatcher(client.Options{Endpoints: n.cfg.Registry.Endpoints, CacheDir: n.cfg.Registry.Cache, Log: log.Printf})
	if err != nil {
		return err
	}
	n.registry = r
	if v := r.View(); len(v.Instances) > 0 { // from the cache: later than what the configuration knew
		known, err := listOf(client.WatchEvent{Revision: v.Revision, FullList: true, Instances: v.Instances})
		if err != nil {
			return fmt.Errorf("%s: %w", n.cfg.Registry.Cache, err)
		}
		n.known = known
	}
	return nil
}

// readRegistry gives the loop what the registry says until ctx ends. The Reader applies nothing that is older or not
// whole; of what it holds an entry that makes no sense to a node is left out, and said so.
func (n *Node) readRegistry(ctx context.Context) {
	n.registry.Run(ctx, func(u client.WatchEvent) {
		list, err := listOf(u)
		if err != nil {
			log.Printf("registry: revision %d is of no use: %v", u.Revision, err)
			return
		}
		n.loop.post(func() { n.loop.takeList(list, false) })
	})
}

// listOf is news of the registry as discovery would have worded it.
func listOf(u client.WatchEvent) (List, error) {
	text, err := json.Marshal(u)
	if err != nil {
		return List{}, err
	}
	return parseList(text)
}
