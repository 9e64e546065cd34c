package scenario

import (
	"fmt"
	"slices"
)

// Fault is a fault that lasts for a while.
type Fault struct {
	Kind           string   `toml:"kind"`
	At             Duration `toml:"at"` // when it begins, after the start of the run
	Duration       Duration `toml:"for"`
	Interval       Duration `toml:"every"`  // from one occurrence to the next
	Repetitions    int      `toml:"repeat"` // number of occurrences; 0: one
	Names          []string `toml:"names"`  // of the nodes, servers or replicas that it may hit; none: all
	Tier           string   `toml:"tier"`   // "": all
	Zone           string   `toml:"zone"`   // "": all
	Region         string   `toml:"region"` // "": all
	Count          int      `toml:"count"`  // how many of those it hits, drawn from the seed; 0: all
	Share          float64  `toml:"share"`  // or which fraction of them; of FaultHeavy the fraction of requests
	Factor         float64  `toml:"factor"`
	Delay          Duration `toml:"delay"`
	Jitter         Duration `toml:"jitter"`
	BytesPerSecond int      `toml:"bytes_per_s"`
	Direction      string   `toml:"direction"` // "": both
	FromNodes      []string `toml:"from"`      // nodes whose links it hits; none: all
	Class          string   `toml:"class"`     // "": all
}

// Kinds of faults.
const (
	// On nodes' processes.
	FaultKill      = "kill"
	FaultTerminate = "term"
	FaultPause     = "stop"

	// On servers.
	FaultCrash     = "crash"
	FaultVanish    = "vanish" // the machine is gone, without a reset of its connections
	FaultHang      = "hang"
	FaultSlow      = "slow"
	FaultError     = "error"
	FaultReject    = "turn-away" // all work, while discovery lists the server as serving
	FaultDrain     = "drain"
	FaultLeaseLoss = "lease-loss" // the server runs on, and its heartbeats do not reach the registry

	// On links between nodes and servers.
	FaultDelay     = "delay"
	FaultStall     = "silence"
	FaultRefuse    = "refuse"
	FaultReset     = "reset"
	FaultThrottle  = "trickle"
	FaultPartition = "cut" // of a zone or region from all others

	// On the discovery of nodes.
	FaultStaleList   = "stale"
	FaultEmptyList   = "empty"
	FaultShrunkList  = "shrink"
	FaultOldList     = "reorder"
	FaultMuteWatches = "mute"

	// On the load.
	FaultBurst = "burst"
	FaultHeavy = "heavy" // requests cost more work

	// On replicas of the registry.
	FaultRegistryKill      = "registry-kill"
	FaultRegistryPause     = "registry-stop"
	FaultRegistryPartition = "registry-cut"
)

// Target is what a kind of fault hits.
type Target string

// Targets.
const (
	TargetNodes    Target = "nodes"
	TargetServers  Target = "servers"
	TargetLinks    Target = "links"
	TargetLists    Target = "lists"
	TargetLoad     Target = "load"
	TargetRegistry Target = "replicas" // nothing, if the run has no registry
)

// FaultTarget gives the target of each kind of fault.
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
	DirectionToServers   = "there" // of a partition: into the zone
	DirectionFromServers = "back"  // of a partition: out of the zone
)

// maxRepetitions bounds the occurrences of a fault.
const maxRepetitions = 100_000

func (f *Fault) validate(v *validator, key string, s *Scenario, names siteNames) {
	target, known := FaultTarget[f.Kind]
	v.require(known, key+".kind", "%q is none of %v", f.Kind, sortedKeys(FaultTarget))
	v.require(f.At >= 0 && f.At <= s.Duration, key+".at", "%v is not within the run of %v", f.At.Std(), s.Duration.Std())
	v.require(f.Duration >= 0, key+".for", "is negative")
	v.require(f.Repetitions >= 0 && f.Repetitions <= maxRepetitions, key+".repeat", "%d is not between 0 and %d", f.Repetitions, maxRepetitions)
	v.require(f.Repetitions <= 1 || f.Interval > 0, key+".every", "missing: a repeated fault wants the time from one to the next")
	v.require(f.Zone == "" || slices.Contains(names.zones, f.Zone), key+".zone", "no zone %q", f.Zone)
	v.require(f.Region == "" || slices.Contains(names.regions, f.Region), key+".region", "no region %q", f.Region)
	v.require(target != TargetLists || s.Registry.Replicas == 0, key+".kind", "%q spoils the model's own lists, and here the registry gives them", f.Kind)
	v.require(f.Kind != FaultPartition || f.Zone != "" || f.Region != "", key+".zone", "missing: the zone (or region) that is cut off")
	v.require(f.Tier == "" || slices.Contains(names.tiers, f.Tier), key+".tier", "no tier %q", f.Tier)
	v.require(f.Class == "" || slices.Contains(names.classes, f.Class), key+".class", "no class %q", f.Class)
	v.require(f.Count >= 0, key+".count", "%d is negative", f.Count)
	v.requireFraction(key+".share", f.Share)
	v.require(f.Count == 0 || f.Share == 0, key+".share", "stands beside count: only one of them")
	v.require(f.Direction == "" || f.Direction == DirectionToServers || f.Direction == DirectionFromServers, key+".direction", "%q is neither there nor back", f.Direction)
	v.require(f.Delay >= 0 && f.Jitter >= 0, key+".delay", "is negative")
	f.validateStrength(v, key)
	f.validateNames(v, key, s, target)
}

// validateStrength validates the parameters that a kind needs.
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

// validateNames requires that what the fault names exists.
func (f *Fault) validateNames(v *validator, key string, s *Scenario, target Target) {
	for _, name := range f.Names {
		v.require(s.hasTarget(target, name), key+".names", "no %q among the %s", name, target)
	}
	for _, name := range f.FromNodes {
		v.require(s.hasNode(name), key+".from", "no node %q", name)
	}
}

// hasTarget reports whether there is a target of a name. Any replica may be named if the run has no registry.
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
