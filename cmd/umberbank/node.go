package main

import (
	"os"
	"os/signal"
	"syscall"

	"umberbank/internal/lab/cost"
	"umberbank/internal/node"
)

// nodeCmd is "umberbank node".
type nodeCmd struct {
	Stats string `name:"stats" hidden:"" help:"File for the resource usage between SIGUSR1 and SIGUSR2."`
}

// Help is shown by --help.
func (nodeCmd) Help() string {
	return `The environment variable ROUTER_CONFIG names the node's configuration. The node reloads it at SIGHUP. At SIGTERM it exits
once all accepted requests are answered.

Example:
  ROUTER_CONFIG=config.json umberbank node`
}

// Run runs a node until the context is done.
func (c *nodeCmd) Run(env *environment) error {
	if c.Stats != "" {
		cost.WriteStatsOnSignals(c.Stats)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return node.RunProgram(env.ctx, hangups)
}
