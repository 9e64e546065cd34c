package main

import (
	"time"

	"umberbank/internal/coordination/agent"
	"umberbank/internal/registry/state"
)

// fleetAgentCmd is "umberbank fleet agent".
type fleetAgentCmd struct {
	registryFlags
	UID          string        `name:"uid" help:"The unit." required:""`
	Endpoint     string        `name:"endpoint" help:"Where it serves, host:port." required:""`
	Tier         string        `name:"tier" help:"Whose budget it counts in." required:""`
	Zone         string        `name:"zone" help:"Its zone."`
	Region       string        `name:"region" help:"Its region."`
	Rack         int           `name:"rack" help:"Its rack."`
	Kind         string        `name:"kind" help:"Its machine's kind; of a node the tier that it sends to."`
	Node         bool          `name:"node" help:"The unit is a node, not a server: it stays out of the list that nodes read."`
	Capacity     float64       `name:"capacity" help:"What it can do, in the list's units." default:"1"`
	Version      string        `name:"version" help:"What it runs now." required:""`
	TTL          time.Duration `name:"ttl" help:"Of its lease." default:"2s"`
	ReadinessURL string        `name:"readiness-url" aliases:"ready" help:"A URL that answers 200 once the process serves; none: it has run for half a second."`
	DrainDelay   time.Duration `name:"drain-delay" aliases:"drain" help:"From when nodes are told that it drains until its process is asked to end." default:"1s"`
	GracePeriod  time.Duration `name:"grace-period" aliases:"grace" help:"From then until the process is killed." default:"10s"`
	EventLog     string        `name:"event-log" aliases:"journal" help:"Write what it did to this file." placeholder:"FILE"`
	VersionFile  string        `name:"version-file" aliases:"keep" help:"Remember the version in this file over the agent's own restarts; none: --version holds at each." placeholder:"FILE"`
	ClockSkew    time.Duration `name:"clock-skew" aliases:"skew" hidden:"" help:"Have this clock differ from the machine's."`
	Command      []string      `name:"command" arg:"" optional:"" passthrough:"" help:"The unit's process, after --; {version} stands for its version."`
}

// Help is shown by --help.
func (fleetAgentCmd) Help() string {
	return "Example:\n  umberbank fleet agent --uid s1 --endpoint 10.1.0.18:3000 --tier web --zone a --version v1 --readiness-url http://10.1.0.18:3000/health -- /srv/{version}/server"
}

// Run runs a unit until the context ends.
func (c *fleetAgentCmd) Run(env *environment) error {
	events, err := openEventLog(c.EventLog)
	if err != nil {
		return err
	}
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	instance := c.instance()
	if err := instance.Validate(); err != nil {
		return err
	}
	unit := &agent.Agent{
		Registry:    c.Endpoints,
		Instance:    instance,
		TTL:         c.TTL,
		Command:     command,
		ReadyURL:    c.ReadinessURL,
		DrainTime:   c.DrainDelay,
		StopTimeout: c.GracePeriod,
		VersionFile: c.VersionFile,
		Events:      events,
		Log:         env.log,
		Clock:       func() time.Time { return time.Now().Add(c.ClockSkew) },
	}
	return unit.Run(env.ctx)
}

// instance returns the unit's entry in the registry.
func (c *fleetAgentCmd) instance() state.Instance {
	instance := state.Instance{
		UID:      c.UID,
		Endpoint: c.Endpoint,
		Tier:     c.Tier,
		Zone:     c.Zone,
		Region:   c.Region,
		Rack:     c.Rack,
		Kind:     c.Kind,
		Capacity: c.Capacity,
		Version:  c.Version,
		State:    state.Serving,
	}
	if c.Node {
		instance.Role = state.RoleNode
	}
	return instance
}
