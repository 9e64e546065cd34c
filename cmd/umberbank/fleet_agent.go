package main

import (
	"time"

	"umberbank/internal/coordination/agent"
	"umberbank/internal/registry/state"
)

// fleetAgentCmd is "umberbank fleet agent".
type fleetAgentCmd struct {
	registryFlags
	UID          string        `name:"uid" help:"UID of the unit." required:""`
	Endpoint     string        `name:"endpoint" help:"Address on which the unit serves, as host:port." required:""`
	Tier         string        `name:"tier" help:"Tier of the unit. The unit counts in the disruption budget of this tier." required:""`
	Zone         string        `name:"zone" help:"Zone."`
	Region       string        `name:"region" help:"Region."`
	Rack         int           `name:"rack" help:"Rack."`
	Kind         string        `name:"kind" help:"Machine type. For a node: the tier to which it sends requests."`
	Node         bool          `name:"node" help:"Register the unit as a node instead of a server. The list of servers that nodes receive leaves it out."`
	Capacity     float64       `name:"capacity" help:"Capacity, in the same unit as the capacity of other instances." default:"1"`
	Version      string        `name:"version" help:"Current version of the unit." required:""`
	TTL          time.Duration `name:"ttl" help:"Lease duration." default:"2s"`
	ReadinessURL string        `name:"readiness-url" aliases:"ready" help:"URL that responds with 200 once the process is ready. Without it the process counts as ready after half a second."`
	DrainDelay   time.Duration `name:"drain-delay" aliases:"drain" help:"Time between draining the unit and sending SIGTERM to its process." default:"1s"`
	GracePeriod  time.Duration `name:"grace-period" aliases:"grace" help:"Time from SIGTERM until the process is killed." default:"10s"`
	EventLog     string        `name:"event-log" aliases:"journal" help:"File to append events to." placeholder:"FILE"`
	VersionFile  string        `name:"version-file" aliases:"keep" help:"File that stores the version across restarts of the agent. Without it the agent always starts with --version." placeholder:"FILE"`
	ClockSkew    time.Duration `name:"clock-skew" aliases:"skew" hidden:"" help:"Offset of the agent's wall clock from the machine's."`
	Command      []string      `name:"command" arg:"" optional:"" passthrough:"" help:"Command of the unit's process, after --. {version} is replaced by the version to run."`
}

// Help is shown by --help.
func (fleetAgentCmd) Help() string {
	return "Example:\n  umberbank fleet agent --uid s1 --endpoint 10.1.0.18:3000 --tier web --zone a --version v1 --readiness-url http://10.1.0.18:3000/health -- /srv/{version}/server"
}

// Run runs the agent of a unit until the context is done.
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

// instance returns the instance that the agent registers.
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
