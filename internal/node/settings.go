package node

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"umberbank/internal/node/config"
	"umberbank/internal/node/follower"
)

// ReloadFile reads the configuration file at path and applies it as Reload does. Settings from a rollout take precedence
// over those in the file.
func (n *Node) ReloadFile(path string) error {
	cfg, err := config.Load(path)
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	if err == nil && n.rolloutSettings != nil {
		cfg, err = cfg.WithSettings(n.rolloutSettings)
	}
	if err != nil {
		n.loop.metrics.ReloadsRejected.Add(1)
		return err
	}
	return n.apply(cfg)
}

// Reload applies the discovery address and the settings of cfg, in one step of the event loop. It returns an error and
// changes nothing if cfg is invalid or differs in a part that a reload may not change.
func (n *Node) Reload(cfg config.Config) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	return n.apply(cfg)
}

// apply is Reload for callers that hold n.reloadMu.
func (n *Node) apply(cfg config.Config) error {
	if err := n.current.CheckReload(cfg); err != nil {
		n.loop.metrics.ReloadsRejected.Add(1)
		return err
	}
	n.replace(cfg)
	return nil
}

// replace makes the node run with cfg, which must have been checked. n.reloadMu must be held.
func (n *Node) replace(cfg config.Config) {
	n.current = cfg
	n.loop.post(func() {
		n.loop.reconfigure(cfg)
		n.longestDeadline.Store(int64(longestDeadlineOf(cfg.Settings)))
		n.loop.metrics.ReloadsApplied.Add(1)
		// Operators search for this line; see docs/oncall/settings.md.
		slog.Info(fmt.Sprintf("reloaded: discovery at %s", cfg.Discovery))
	})
}

// newFollower returns the follower of settings rollouts, or nil if none is configured. running is the version that the
// node starts with.
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

// logVersionEvent logs an event of a settings version. The fault-injection tests parse this line.
func logVersionEvent(e follower.Event) { slog.Info(e.String()) }

// validateSettings returns an error if the node cannot run with settings. It makes the same checks as a reload.
func (n *Node) validateSettings(settings json.RawMessage) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	cfg, err := n.current.WithSettings(settings)
	if err != nil {
		return err
	}
	return n.current.CheckReload(cfg)
}

// applySettings applies the settings of a version that the fleet runs, with the same effect as a reload of a file that contains
// them. They may lack keys of this node's file, which can be newer than the version; their hash shows that they are complete.
func (n *Node) applySettings(settings json.RawMessage) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	cfg, err := n.current.WithSettings(settings)
	if err != nil {
		return err
	}
	if err := cfg.CheckSettings(); err != nil {
		n.loop.metrics.ReloadsRejected.Add(1)
		return err
	}
	n.replace(cfg)
	n.rolloutSettings = settings
	return nil
}
