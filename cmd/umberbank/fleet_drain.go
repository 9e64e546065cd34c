package main

import (
	"errors"

	"umberbank/internal/registry/state"
)

// fleetDrainCmd is "umberbank fleet drain".
type fleetDrainCmd struct {
	registryFlags
	UIDs   []string `arg:"" name:"uid" help:"Servers, in the order in which to drain them. One that exceeds the budget leaves those before it drained."`
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
			return "", errors.New("there is no such unit (or it names no tier)")
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
	UIDs []string `arg:"" name:"uid" help:"Servers."`
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
	UIDs []string `arg:"" name:"uid" help:"Units that will not return. One that does counts again."`
}

// Run declares units decommissioned.
func (c *fleetDecommissionCmd) Run(env *environment) error {
	return forEachUnit(env, c.UIDs, func(uid string) (string, error) {
		_, err := c.apply(env.ctx, state.Op{Kind: state.OpDecommission, UID: uid})
		return "counts no more", err
	})
}
