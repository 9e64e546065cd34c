package main

import (
	"fmt"
	"os"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/eventlog"
)

type fleetControllerCmd struct {
	registryFlags
	Name     string        `name:"name" help:"Which controller this is; none: this machine and process." default:""`
	TTL      time.Duration `name:"ttl" help:"Of the lead's lease: another takes over so long after this one was last heard of." default:"1s"`
	EventLog string        `name:"event-log" aliases:"journal" help:"Write what it did to this file." placeholder:"FILE"`
}

func (c *fleetControllerCmd) Run(env *environment) error {
	j, err := openEventLog(c.EventLog)
	if err != nil {
		return err
	}
	if c.Name == "" {
		machine, err := os.Hostname()
		if err != nil {
			return err
		}
		c.Name = fmt.Sprintf("%s-%d", machine, os.Getpid())
	}
	ctl := &controller.Controller{Registry: c.Endpoints, Name: c.Name, TTL: c.TTL, Events: j, Log: env.log}
	return ctl.Run(env.ctx)
}

func openEventLog(path string) (*eventlog.Log, error) {
	if path == "" {
		return nil, nil
	}
	return eventlog.Open(path)
}
