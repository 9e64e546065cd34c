package main

import (
	"fmt"

	"umberbank/internal/registry/replica"
)

// registryServeCmd is "umberbank registry serve".
type registryServeCmd struct {
	Config string `name:"config" help:"Configuration of the replica (TOML). Default: a registry of one replica on loopback, with its data in ./umberbank-registry." placeholder:"FILE"`
}

// Help is shown by --help.
func (registryServeCmd) Help() string {
	return `Nodes use the registry as their discovery service: GET /registry/instances?follow=1&since=REV. Three or five replicas with the same
[[peer]] tables form a cluster. A replica without them waits until umberbank registry members --add adds it.

Examples:
  umberbank registry serve
  umberbank registry serve --config r1.toml`
}

// Run runs a replica until the context is done.
func (c *registryServeCmd) Run(env *environment) error {
	return replica.Serve(env.ctx, c.Config, env.log, func(address string) { fmt.Fprintf(env.stdout, "serving on %s\n", address) })
}
