package main

import (
	"errors"

	"umberbank/internal/registry/state"
)

// fleetDrainCmd is "umberbank fleet drain".
type fleetDrainCmd struct {
	registryFlags
	UIDs   []string `arg:"" name:"uid" help:"UIDs of the servers, in the order in which to drain them. If one would exceed the budget, those before it stay drained, and those after it are tried."`
	Holder string   `name:"holder" help:"Holder of the permits." default:"staff"`
}

// Run drains servers, each under a permit.
func (c *fleetDrainCmd) Run(env *environment) error {
	view, err := c.coordinationState(env.ctx)
	if err != nil {
		return err
	}
	incarnations := map[string]int64{}
	for _, u := range view.Units {
		incarnations[u.UID] = u.Token
	}
	return forEachUnit(env, c.UIDs, func(uid string) (string, error) {
		if incarnations[uid] == 0 {
			return "", errors.New("there is no such unit, or it has no tier")
		}
		permit, err := c.apply(env.ctx, state.Op{Kind: state.OpGrantPermit, UID: uid, Incarnation: incarnations[uid], Holder: c.Holder})
		if err != nil {
			return "", err
		}
		if _, err := c.apply(env.ctx, state.Op{Kind: state.OpBeginPermit, UID: uid, Token: permit.Token}); err != nil {
			return "", err
		}
		return "drains", nil
	})
}

// fleetUndrainCmd is "umberbank fleet undrain".
type fleetUndrainCmd struct {
	registryFlags
	UIDs []string `arg:"" name:"uid" help:"UIDs of the servers."`
}

// Run lets drained servers serve again.
func (c *fleetUndrainCmd) Run(env *environment) error {
	return forEachUnit(env, c.UIDs, func(uid string) (string, error) {
		_, err := c.apply(env.ctx, state.Op{Kind: state.OpUpdate, UID: uid, State: state.Serving})
		return "serves", err
	})
}

// fleetDecommissionCmd is "umberbank fleet decommission".
type fleetDecommissionCmd struct {
	registryFlags
	UIDs []string `arg:"" name:"uid" help:"UIDs of units that will not return. A unit that returns counts again."`
}

// Run decommissions units.
func (c *fleetDecommissionCmd) Run(env *environment) error {
	return forEachUnit(env, c.UIDs, func(uid string) (string, error) {
		_, err := c.apply(env.ctx, state.Op{Kind: state.OpDecommission, UID: uid})
		return "counts no more", err
	})
}
