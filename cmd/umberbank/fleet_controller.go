package main

import (
	"fmt"
	"os"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/coordination/eventlog"
)

// fleetControllerCmd is "umberbank fleet controller".
type fleetControllerCmd struct {
	registryFlags
	Name     string        `name:"name" help:"Name of this controller. Default: host name and process ID." default:""`
	TTL      time.Duration `name:"ttl" help:"Duration of the leader lease. Another controller takes over when it expires without a renewal." default:"1s"`
	EventLog string        `name:"event-log" aliases:"journal" help:"File to append events to." placeholder:"FILE"`
}

// Run runs a controller until the context is done.
func (c *fleetControllerCmd) Run(env *environment) error {
	events, err := openEventLog(c.EventLog)
	if err != nil {
		return err
	}
	if c.Name == "" {
		host, err := os.Hostname()
		if err != nil {
			return err
		}
		c.Name = fmt.Sprintf("%s-%d", host, os.Getpid())
	}
	ctl := &controller.Controller{Registry: c.Endpoints, Name: c.Name, TTL: c.TTL, Events: events, Log: env.log}
	return ctl.Run(env.ctx)
}

// openEventLog opens the event log of a controller or an agent. If path is empty it returns nil, which discards all events.
func openEventLog(path string) (*eventlog.Log, error) {
	if path == "" {
		return nil, nil
	}
	return eventlog.Open(path)
}
