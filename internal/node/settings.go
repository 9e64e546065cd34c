package node

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"umberbank/internal/node/config"
	"umberbank/internal/node/follower"
)

// ReloadFile reads the configuration anew and takes over what may change while the node runs, as Reload does. Settings from a
// rollout stay.
func (n *Node) ReloadFile(path string) error {
	cfg, err := config.Load(path)
	n.reloading.Lock()
	defer n.reloading.Unlock()
	if err == nil && n.agreed != nil {
		cfg, err = cfg.WithSettings(n.agreed)
	}
	if err != nil {
		n.loop.metrics.ReloadsRejected.Add(1)
		return err
	}
	return n.apply(cfg)
}

// Reload takes over discovery's address and the settings, all in one step of the event loop. A configuration with any fault changes
// nothing.
func (n *Node) Reload(cfg config.Config) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	return n.apply(cfg)
}

// apply is Reload with n.reloading locked.
func (n *Node) apply(cfg config.Config) error {
	if err := n.current.CheckReload(cfg); err != nil {
		n.loop.metrics.ReloadsRejected.Add(1)
		return err
	}
	n.current = cfg
	n.loop.post(func() {
		n.loop.reconfigure(cfg)
		n.longestRequest.Store(int64(longestRequestOf(cfg.Settings)))
		n.loop.metrics.ReloadsApplied.Add(1)
		// Operators search for this line; see docs/oncall/settings.md.
		slog.Info(fmt.Sprintf("reloaded: discovery at %s", cfg.Discovery))
	})
	return nil
}

// newFollower returns what follows the versions of settings of the site; nil: nothing does.
func (n *Node) newFollower(running follower.Version) (*follower.Follower, error) {
	if len(n.cfg.Rollout.Endpoints) == 0 {
		return nil, nil
	}
	return follower.New(follower.Options{
		Name:     n.cfg.Name,
		Addr:     func() string { return n.Addr().String() },
		Rollout:  n.cfg.Rollout,
		Validate: n.validateSettings,
		Apply:    n.applySettings,
		Notify:   logVersionEvent,
	}, running)
}

// logVersionEvent logs what the node does with a version of settings. The fault-injection tests read the line.
func logVersionEvent(e follower.Event) { slog.Info(e.String()) }

// validateSettings says why the node could not run settings; nil: it could. It checks exactly what a reload does.
func (n *Node) validateSettings(settings json.RawMessage) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	cfg, err := n.current.WithSettings(settings)
	if err != nil {
		return err
	}
	return n.current.CheckReload(cfg)
}

// applySettings takes settings over, as a reload of a file with them would.
func (n *Node) applySettings(settings json.RawMessage) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	cfg, err := n.current.WithSettings(settings)
	if err != nil {
		return err
	}
	if err := n.apply(cfg); err != nil {
		return err
	}
	n.agreed = settings
	return nil
}
