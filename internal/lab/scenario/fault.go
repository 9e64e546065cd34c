package scenario

import (
	"fmt"
	"slices"
)

// Fault describes a fault: its kind, its times, the targets that it may hit, and its strength. If Count or Share selects some of
// these targets, they are drawn from the seed.
type Fault struct {
	Kind           string   `toml:"kind"`
	At             Duration `toml:"at"` // start of the first occurrence, after the start of the run
	Duration       Duration `toml:"for"`
	Interval       Duration `toml:"every"`  // from the start of one occurrence to the start of the next
	Repetitions    int      `toml:"repeat"` // number of occurrences; zero means one
	Names          []string `toml:"names"`  // nodes, servers or replicas that it may hit; all if empty
	Tier           string   `toml:"tier"`   // all tiers if empty
	Zone           string   `toml:"zone"`   // all zones if empty
	Region         string   `toml:"region"` // all regions if empty
	Count          int      `toml:"count"`  // how many of these targets it hits; zero means all
	Share          float64  `toml:"share"`  // alternative to Count: fraction of the targets, or of the requests for FaultHeavy
	Factor         float64  `toml:"factor"` // above 1, or a fraction for FaultError and FaultShrunkList
	Delay          Duration `toml:"delay"`
	Jitter         Duration `toml:"jitter"`
	BytesPerSecond int      `toml:"bytes_per_s"`
	Direction      string   `toml:"direction"` // both directions if empty
	FromNodes      []string `toml:"from"`      // nodes whose links it hits; all if empty
	Class          string   `toml:"class"`     // all classes if empty
}

// Kinds of faults.
const (
	// Faults of nodes' processes.
	FaultKill      = "kill"
	FaultTerminate = "term"
	FaultPause     = "stop"

	// Faults of servers.
	FaultCrash     = "crash"
	FaultVanish    = "vanish" // the machine disappears without resetting its connections
	FaultHang      = "hang"
	FaultSlow      = "slow"
	FaultError     = "error"
	FaultReject    = "turn-away" // rejects all calls while discovery lists the server as serving
	FaultDrain     = "drain"
	FaultLeaseLoss = "lease-loss" // the server keeps running, but its heartbeats do not reach the registry

	// Faults of links between nodes and servers.
	FaultDelay     = "delay"
	FaultStall     = "silence"
	FaultRefuse    = "refuse"
	FaultReset     = "reset"
	FaultThrottle  = "trickle"
	FaultPartition = "cut" // separates a zone or region from all others

	// Faults of the simulated discovery.
	FaultStaleList   = "stale"
	FaultEmptyList   = "empty"
	FaultShrunkList  = "shrink"
	FaultOldList     = "reorder"
	FaultMuteWatches = "mute"

	// Changes of the load.
	FaultBurst = "burst"
	FaultHeavy = "heavy" // requests take more work

	// Faults of replicas of the registry.
	FaultRegistryKill      = "registry-kill"
	FaultRegistryPause     = "registry-stop"
	FaultRegistryPartition = "registry-cut"
)

// Target is the type of component that a kind of fault hits.
type Target string

// Targets.
const (
	TargetNodes    Target = "nodes"
	TargetServers  Target = "servers"
	TargetLinks    Target = "links"
	TargetLists    Target = "lists"
	TargetLoad     Target = "load"
	TargetRegistry Target = "replicas" // no effect if the run has no registry
)

// FaultTarget maps each kind of fault to its target.
var FaultTarget = map[string]Target{
	FaultKill:              TargetNodes,
	FaultTerminate:         TargetNodes,
	FaultPause:             TargetNodes,
	FaultCrash:             TargetServers,
	FaultVanish:            TargetServers,
	FaultHang:              TargetServers,
	FaultSlow:              TargetServers,
	FaultError:             TargetServers,
	FaultReject:            TargetServers,
	FaultDrain:             TargetServers,
	FaultLeaseLoss:         TargetServers,
	FaultDelay:             TargetLinks,
	FaultStall:             TargetLinks,
	FaultRefuse:            TargetLinks,
	FaultReset:             TargetLinks,
	FaultThrottle:          TargetLinks,
	FaultPartition:         TargetLinks,
	FaultStaleList:         TargetLists,
	FaultEmptyList:         TargetLists,
	FaultShrunkList:        TargetLists,
	FaultOldList:           TargetLists,
	FaultMuteWatches:       TargetLists,
	FaultBurst:             TargetLoad,
	FaultHeavy:             TargetLoad,
	FaultRegistryKill:      TargetRegistry,
	FaultRegistryPause:     TargetRegistry,
	FaultRegistryPartition: TargetRegistry,
}

// Values of Fault.Direction.
const (
	DirectionToServers   = "there" // for a partition, into the zone or region
	DirectionFromServers = "back"  // for a partition, out of the zone or region
)

// maxRepetitions bounds the occurrences of a fault.
const maxRepetitions = 100_000

func (f *Fault) validate(v *validator, key string, s *Scenario, names siteNames) {
	target, known := FaultTarget[f.Kind]
	v.require(known, key+".kind", "%q is not one of %v", f.Kind, sortedKeys(FaultTarget))
	v.require(f.At >= 0 && f.At <= s.Duration, key+".at", "%v is not within the run of %v", f.At.Std(), s.Duration.Std())
	v.require(f.Duration >= 0, key+".for", "is negative")
	v.require(f.Repetitions >= 0 && f.Repetitions <= maxRepetitions, key+".repeat", "%d is not between 0 and %d", f.Repetitions, maxRepetitions)
	v.require(f.Repetitions <= 1 || f.Interval > 0, key+".every", "missing: a repeated fault needs the time from one occurrence to the next")
	v.require(f.Zone == "" || slices.Contains(names.zones, f.Zone), key+".zone", "no zone %q", f.Zone)
	v.require(f.Region == "" || slices.Contains(names.regions, f.Region), key+".region", "no region %q", f.Region)
	v.require(target != TargetLists || s.Registry.Replicas == 0, key+".kind", "%q applies to the simulated discovery, but the scenario has a registry", f.Kind)
	v.require(f.Kind != FaultPartition || f.Zone != "" || f.Region != "", key+".zone", "missing: a partition needs a zone or a region")
	v.require(f.Tier == "" || slices.Contains(names.tiers, f.Tier), key+".tier", "no tier %q", f.Tier)
	v.require(f.Class == "" || slices.Contains(names.classes, f.Class), key+".class", "no class %q", f.Class)
	v.require(f.Count >= 0, key+".count", "%d is negative", f.Count)
	v.requireFraction(key+".share", f.Share)
	v.require(f.Count == 0 || f.Share == 0, key+".share", "cannot be combined with count")
	v.require(f.Direction == "" || f.Direction == DirectionToServers || f.Direction == DirectionFromServers, key+".direction", "%q is neither there nor back", f.Direction)
	v.require(f.Delay >= 0 && f.Jitter >= 0, key+".delay", "delay or jitter is negative")
	f.validateStrength(v, key)
	f.validateNames(v, key, s, target)
}

// validateStrength validates the parameters that are required by the kind of fault.
func (f *Fault) validateStrength(v *validator, key string) {
	switch f.Kind {
	case FaultSlow, FaultBurst, FaultHeavy:
		v.require(f.Factor > 1, key+".factor", "%v is not above 1", f.Factor)
	case FaultError, FaultShrunkList:
		v.require(f.Factor > 0 && f.Factor <= 1, key+".factor", "%v is no share above 0", f.Factor)
	case FaultThrottle:
		v.require(f.BytesPerSecond > 0, key+".bytes_per_s", "%d is not above 0", f.BytesPerSecond)
	case FaultDelay, FaultStaleList:
		v.require(f.Delay > 0, key+".delay", "missing or not above 0")
	}
}

// validateNames requires that all named targets exist.
func (f *Fault) validateNames(v *validator, key string, s *Scenario, target Target) {
	for _, name := range f.Names {
		v.require(s.hasTarget(target, name), key+".names", "no %q among the %s", name, target)
	}
	for _, name := range f.FromNodes {
		v.require(s.hasNode(name), key+".from", "no node %q", name)
	}
}

// hasTarget reports whether there is a target with the given name. Without a registry every name of a replica is accepted, so
// that a scenario can be run with registry.replicas=0.
func (s *Scenario) hasTarget(target Target, name string) bool {
	switch target {
	case TargetNodes, TargetLists:
		return s.hasNode(name)
	case TargetRegistry:
		return s.Registry.Replicas == 0 || slices.Contains(s.replicaNames(), name)
	default:
		return s.hasServer(name)
	}
}

// replicaNames returns the names of the registry's replicas.
func (s *Scenario) replicaNames() []string {
	var names []string
	for i := range s.Registry.Replicas {
		names = append(names, fmt.Sprint("r", i))
	}
	return names
}
