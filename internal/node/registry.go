package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"

	"umberbank/internal/node/discovery"
	"umberbank/internal/registry/client"
)

// openRegistry opens a Watcher of the registry that the configuration names, if it names one. A list that the Watcher has cached
// replaces the one in the configuration, which is older.
func (n *Node) openRegistry() error {
	if len(n.cfg.Registry.Endpoints) == 0 {
		return nil
	}
	reader, err := client.NewWatcher(client.Options{Endpoints: n.cfg.Registry.Endpoints, CacheDir: n.cfg.Registry.Cache, Logger: slog.Default()})
	if err != nil {
		return err
	}
	n.registryWatcher = reader
	if view := reader.View(); len(view.Instances) > 0 {
		known, err := fromRegistry(client.WatchEvent{Revision: view.Revision, FullList: true, Instances: view.Instances})
		if err != nil {
			return fmt.Errorf("%s: %w", n.cfg.Registry.Cache, err)
		}
		n.initialList = known
	}
	return nil
}

// readRegistry gives the event loop what the registry says until ctx ends. The registry watcher applies nothing that is older or
// incomplete. An invalid update is logged and ignored.
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

// fromRegistry is an update of the registry as discovery would have sent it.
func fromRegistry(u client.WatchEvent) (discovery.Update, error) {
	text, err := json.Marshal(u)
	if err != nil {
		return discovery.Update{}, err
	}
	return discovery.ParseUpdate(text)
}
