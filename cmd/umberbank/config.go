package main

import (
	"fmt"

	"umberbank/internal/node/config"
)

// configCmd groups the commands for node configurations.
type configCmd struct {
	Check configCheckCmd `name:"check" cmd:"" help:"Check configuration files."`
}

// configCheckCmd is "umberbank config check".
type configCheckCmd struct {
	Files []string `arg:"" name:"file" help:"Node configuration files (JSON)."`
}

// Help is shown by --help.
func (configCheckCmd) Help() string {
	return "Example:\n  umberbank config check /run/balancer/config.json"
}

// Run checks each configuration and prints its error, or the node's name and address.
func (c *configCheckCmd) Run(env *environment) error {
	var result error
	for _, f := range c.Files {
		cfg, err := config.Load(f)
		if err != nil {
			result = errCheckFailed
			fmt.Fprintln(env.stdout, err)
			continue
		}
		fmt.Fprintf(env.stdout, "%s: valid: %s listens on %s\n", f, cfg.Name, cfg.Listen)
	}
	return result
}
