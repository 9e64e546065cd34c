package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"umberbank/internal/registry/state"
)

// registryPutCmd is "umberbank registry put".
type registryPutCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"One instance or a list of them (JSON): uid, endpoint, az, model, pod_group, state, capacity_hint, boot_ms. Without ttl_ms an instance has no lease and stays until it is removed."`
}

// Help is shown by --help.
func (registryPutCmd) Help() string {
	return "Example:\n  echo '{\"uid\":\"s1\",\"endpoint\":\"10.1.0.18:3000\",\"az\":\"a\",\"state\":\"SERVING\",\"capacity_hint\":1}' > s1.json\n  umberbank registry put s1.json"
}

// Run registers the instances of a file.
func (c *registryPutCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	instances, err := parseInstances(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	var ops []state.Op
	for i, instance := range instances {
		if err := instance.Validate(); err != nil {
			return fmt.Errorf("%s: entry %d: %w", c.File, i, err)
		}
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: instance})
	}
	return c.writeInstances(env, ops...)
}

// parseInstances parses an instance, or a list of them.
func parseInstances(text []byte) ([]*state.Instance, error) {
	if strings.HasPrefix(strings.TrimSpace(string(text)), "[") {
		var instances []*state.Instance
		err := json.Unmarshal(text, &instances)
		return instances, err
	}
	var instance state.Instance
	err := json.Unmarshal(text, &instance)
	return []*state.Instance{&instance}, err
}

// registryDrainCmd is "umberbank registry drain".
type registryDrainCmd struct {
	registryFlags
	UIDs []string `arg:"" name:"uid" help:"UIDs of the servers."`
	Undo bool     `name:"undo" aliases:"off" help:"Let the servers serve again."`
}

// Run drains servers, or lets them serve again.
func (c *registryDrainCmd) Run(env *environment) error {
	var ops []state.Op
	for _, uid := range c.UIDs {
		op := state.Op{Kind: state.OpUpdate, UID: uid, State: state.Draining}
		if c.Undo {
			op.State = state.Serving
		}
		ops = append(ops, op)
	}
	return c.writeInstances(env, ops...)
}

// registryRemoveCmd is "umberbank registry remove".
type registryRemoveCmd struct {
	registryFlags
	UIDs []string `arg:"" name:"uid" help:"UIDs of the servers."`
}

// Run removes servers.
func (c *registryRemoveCmd) Run(env *environment) error {
	var ops []state.Op
	for _, uid := range c.UIDs {
		ops = append(ops, state.Op{Kind: state.OpRemove, UID: uid})
	}
	return c.writeInstances(env, ops...)
}
