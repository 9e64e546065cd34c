package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"

	"umberbank/internal/node/discovery"
	"umberbank/internal/registry/client"
)

// openRegistry opens a Watcher if a registry is configured. A list from the Watcher's cache takes precedence over the list in
// the configuration, which is considered older.
func (n *Node) openRegistry() error {
	if len(n.cfg.Registry.Endpoints) == 0 {
		return nil
	}
	watcher, err := client.NewWatcher(client.Options{Endpoints: n.cfg.Registry.Endpoints, CacheDir: n.cfg.Registry.Cache, Logger: slog.Default()})
	if err != nil {
		return err
	}
	n.registryWatcher = watcher
	if view := watcher.View(); len(view.Instances) > 0 {
		cached, err := fromRegistry(client.WatchEvent{Revision: view.Revision, FullList: true, Instances: view.Instances})
		if err != nil {
			return fmt.Errorf("%s: %w", n.cfg.Registry.Cache, err)
		}
		n.initialList = cached
	}
	return nil
}

// readRegistry passes updates from the registry to the event loop until ctx ends. The registry watcher drops outdated and
// incomplete updates itself. An invalid update is logged and ignored.
func (n *Node) readRegistry(ctx context.Context) {
	_ = n.registryWatcher.Run(ctx, func(u client.WatchEvent) {
		update, err := fromRegistry(u)
		if err != nil {
			slog.Error("registry: ignoring an invalid update", "revision", u.Revision, "error", err)
			return
		}
		n.loop.post(func() { n.loop.applyUpdate(update, false) })
	})
}

// fromRegistry converts an update from the registry to the form that discovery sends.
func fromRegistry(u client.WatchEvent) (discovery.Update, error) {
	text, err := json.Marshal(u)
	if err != nil {
		return discovery.Update{}, err
	}
	return discovery.ParseUpdate(text)
}
