package scenario

import (
	"slices"
)

// What a fault's kind hits.
const (
	TargetNodes   = "nodes"
	TargetServers = "servers"
	TargetLinks   = "links"
	TargetLists   = "lists"
	TargetLoad    = "load"
	// TargetRegistry hits replicas of the registry, and nothing where there are none.
	TargetRegistry = "replicas"
)

// FaultTarget says what each kind of fault hits.
var FaultTarget = map[string]string{
	"kill": TargetNodes, "term": TargetNodes, "stop": TargetNodes,
	"crash": TargetServers, "vanish": TargetServers, "hang": TargetServers, "slow": TargetServers, "error": TargetServers,
	"turn-away": TargetServers, "drain": TargetServers,
	"delay": TargetLinks, "silence": TargetLinks, "refuse": TargetLinks, "reset": TargetLinks, "trickle": TargetLinks, "cut": TargetLinks,
	"stale": TargetLists, "empty": TargetLists, "shrink": TargetLists, "reorder": TargetLists, "mute": TargetLists,
	"burst": TargetLoad, "heavy": TargetLoad,
	"registry-kill": TargetRegistry, "registry-stop": TargetRegistry, "registry-cut": TargetRegistry,
	"lease-loss": TargetServers, // the server runs on, but its heartbeats do not reach the registry
}

func (f *Fault) validate(c *validator, at string, s *Scenario, zones, regions, tiers, classes []string) {
	target, known := FaultTarget[f.Kind]
	c.require(known, at+".kind", "%q is none of %v", f.Kind, sortedKeys(FaultTarget))
	c.require(f.At >= 0 && f.At <= s.Duration, at+".at", "%v is not within the run of %v", f.At.Std(), s.Duration.Std())
	c.require(f.Duration >= 0, at+".for", "is negative")
	c.require(f.Repetitions >= 0 && f.Repetitions <= 100_000, at+".repeat", "%d is not between 0 and 100000", f.Repetitions)
	c.require(f.Repetitions <= 1 || f.Interval > 0, at+".every", "missing: a repeated fault wants the time from one to the next")
	c.require(f.Zone == "" || slices.Contains(zones, f.Zone), at+".zone", "no zone %q", f.Zone)
	c.require(f.Region == "" || slices.Contains(regions, f.Region), at+".region", "no region %q", f.Region)
	c.require(target != TargetLists || s.Registry.Replicas == 0, at+".kind", "%q spoils the model's own lists, and here the registry gives them", f.Kind)
	c.require(f.Kind != "cut" || f.Zone != "" || f.Region != "", at+".zone", "missing: the zone (or region) that is cut off")
	c.require(f.Tier == "" || slices.Contains(tiers, f.Tier), at+".tier", "no tier %q", f.Tier)
	c.require(f.Class == "" || slices.Contains(classes, f.Class), at+".class", "no class %q", f.Class)
	c.require(f.Count >= 0, at+".count", "%d is negative", f.Count)
	c.requireFraction(at+".share", f.Share)
	c.require(f.Count == 0 || f.Share == 0, at+".share", "stands beside count: only one of them")
	c.require(f.Direction == "" || f.Direction == "there" || f.Direction == "back", at+".direction", "%q is neither there nor back", f.Direction)
	c.require(f.Delay >= 0 && f.Jitter >= 0, at+".delay", "is negative")
	switch f.Kind {
	case "slow", "burst", "heavy":
		c.require(f.Factor > 1, at+".factor", "%v is not above 1", f.Factor)
	case "error", "shrink":
		c.require(f.Factor > 0 && f.Factor <= 1, at+".factor", "%v is no share above 0", f.Factor)
	case "trickle":
		c.require(f.BytesPerSecond > 0, at+".bytes_per_s", "%d is not above 0", f.BytesPerSecond)
	case "delay", "stale":
		c.require(f.Delay > 0, at+".delay", "missing or not above 0")
	}
	known = true
	for _, n := range f.Names {
		switch target {
		case TargetNodes, TargetLists:
			known = known && s.hasNode(n)
		case TargetRegistry:
			known = known && (s.Registry.Replicas == 0 || slices.Contains(s.replicaNames(), n))
		default:
			known = known && s.hasServer(n)
		}
		c.require(known, at+".names", "no %q among the %s", n, target)
	}
	for _, n := range f.FromNodes {
		c.require(s.hasNode(n), at+".from", "no node %q", n)
	}
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind           string   `toml:"kind"`
	At             Duration `toml:"at"`
	Duration       Duration `toml:"for"`
	Interval       Duration `toml:"every"`  // when repeated
	Repetitions    int      `toml:"repeat"` // times; 0: once
	Names          []string `toml:"names"`  // nodes or servers by name
	Tier           string   `toml:"tier"`
	Zone           string   `toml:"zone"`
	Region         string   `toml:"region"`
	Count          int      `toml:"count"` // so many of those selected, drawn by the seed
	Share          float64  `toml:"share"` // or such a share
	Factor         float64  `toml:"factor"`
	Delay          Duration `toml:"delay"`
	Jitter         Duration `toml:"jitter"`
	BytesPerSecond int      `toml:"bytes_per_s"`
	Direction      string   `toml:"direction"` // there, back; else both
	FromNodes      []string `toml:"from"`      // nodes whose links are hit; none: all
	Class          string   `toml:"class"`
}
