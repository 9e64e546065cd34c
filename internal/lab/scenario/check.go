package scenario

import (
	"fmt"
	"slices"
	"time"
)

// defaults are what a file need not say.
func defaults() *Scenario {
	return &Scenario{
		Duration:  Duration(20 * time.Second),
		Nodes:     2,
		Clients:   Clients{MaxRetries: 2, Backoff: Duration(200 * time.Millisecond), AttemptTimeoutFraction: 0.55, ImpatientFraction: 0.03, HonorRetryAfterFraction: 0.2, MarkRetries: true},
		Discovery: Discovery{DelayRange: []Duration{Duration(300 * time.Millisecond), Duration(1500 * time.Millisecond)}, GossipPeriod: Duration(200 * time.Millisecond), DetectionDelay: Duration(4 * time.Second), NodeDetectionDelay: Duration(2 * time.Second), WatchTimeout: Duration(6 * time.Second)},
		Registry:  Registry{LeaseTTL: Duration(2 * time.Second)},
		Snapshots: SnapshotSettings{Interval: Duration(time.Second), MaxAge: Duration(time.Minute)},
		Network:   Network{SameZone: Duration(200 * time.Microsecond), CrossZone: Duration(2 * time.Millisecond)},
		Limits: Limits{MaxAttempts: 6, Hedging: true, Cancellation: true, MaxRetryAfter: Duration(2 * time.Second),
			ConnectTimeout: Duration(250 * time.Millisecond), IdleTimeout: Duration(30 * time.Second), DrainTimeout: Duration(500 * time.Millisecond),
			Slack: Duration(50 * time.Millisecond), CrashLoadMultiple: 3, CrashLoadWindow: Duration(2 * time.Second),
			MaxMemoryMB: 64, MaxSockets: 384, PropagateDeadline: true, StartTimeout: Duration(10 * time.Second)},
	}
}

// setDefaults fills in what tiers, kinds and classes leave out.
func (s *Scenario) setDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "z0"}}
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		setDefault(&t.WorkFactor, 1)
		setDefault(&t.RackSize, 4)
		if len(t.MachineTypes) == 0 {
			t.MachineTypes = []MachineType{{}}
		}
		for j := range t.MachineTypes {
			k := &t.MachineTypes[j]
			if k.Name == "" {
				k.Name = fmt.Sprintf("%s-%d", t.Name, j)
			}
			setDefault(&k.Weight, 1)
			setDefault(&k.Cores, 2)
			setDefault(&k.SlotsPerCore, 16)
			setDefault(&k.QueuePerCore, 16)
			setDefault(&k.InitialCapacity, 1)
			setDefault(&k.MaxConnections, 1200)
			if k.SpeedRange == nil {
				k.SpeedRange = []float64{1, 1}
			}
			if k.WarmUpRange == nil {
				k.WarmUpRange = []Duration{0, 0}
			}
			if c := &k.Overload; c.Threshold > 0 {
				setDefault(&c.OnsetDelay, Duration(2*time.Second))
				setDefault(&c.Slowdown, 3)
				setDefault(&c.RecoveryThreshold, 0.4)
				setDefault(&c.RecoveryDelay, Duration(3*time.Second))
				setDefault(&c.MaxDuration, Duration(28*time.Second))
			}
		}
		if t.CallsRange == nil {
			t.CallsRange = []float64{0, 0}
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Weight, 1)
		setDefault(&c.PriorityWeight, 1)
		setDefault(&c.KeyWindow, Duration(10*time.Second))
		if c.Idempotency == "" {
			c.Idempotency = "safe"
		}
		if c.KeyScope == "" {
			c.KeyScope = "cell"
		}
	}
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// violation is a key and what is wrong with it.
type violation struct{ key, reason string }

// validator keeps the first finding.
type validator struct{ first *violation }

func (c *validator) require(ok bool, key, reason string, args ...any) {
	if !ok && c.first == nil {
		c.first = &violation{key, fmt.Sprintf(reason, args...)}
	}
}

// requireRange checks a least and a most.
func requireRange[T int | float64 | Duration](c *validator, key string, v []T, least T) {
	c.require(len(v) == 2, key, "wants two values, the least and the most, and has %d", len(v))
	if len(v) == 2 {
		c.require(v[0] >= least && v[0] <= v[1], key, "%v to %v is no range of %v or more", v[0], v[1], least)
	}
}

func (c *validator) requireFraction(key string, v float64) {
	c.require(v >= 0 && v <= 1, key, "%v is no share from 0 to 1", v)
}

// maxDuration, maxServers and maxRate bound what a run may be asked for.
const (
	maxDuration = Duration(24 * time.Hour)
	maxServers  = 100_000
	maxRate     = 1e6
)

// validate is the first thing out of order, or nil.
func (s *Scenario) validate() *violation {
	c := &validator{}
	c.require(s.Duration > 0 && s.Duration <= maxDuration, "duration", "%v is not between 0 and 24h", s.Duration.Std())
	c.require(s.Nodes >= 1 && s.Nodes <= maxServers, "nodes", "%d is not between 1 and %d", s.Nodes, maxServers)
	var zones, regions []string
	for i, z := range s.Zones {
		regions = append(regions, z.Region)
		c.require(z.Name != "" && !slices.Contains(zones, z.Name), fmt.Sprintf("zone[%d].name", i), "%q is empty or taken", z.Name)
		zones = append(zones, z.Name)
	}
	c.require(len(s.Tiers) > 0, "tier", "missing: at least one [[tier]] is wanted")
	var tiers []string
	for i := range s.Tiers {
		s.Tiers[i].validate(c, fmt.Sprintf("tier[%d]", i), i+1 < len(s.Tiers))
		c.require(!slices.Contains(tiers, s.Tiers[i].Name), fmt.Sprintf("tier[%d].name", i), "%q is taken", s.Tiers[i].Name)
		tiers = append(tiers, s.Tiers[i].Name)
	}
	c.require(len(s.Classes) > 0, "class", "missing: at least one [[class]] is wanted")
	var classes []string
	for i := range s.Classes {
		s.Classes[i].validate(c, fmt.Sprintf("class[%d]", i))
		classes = append(classes, s.Classes[i].Name)
	}
	c.require(s.Load.Rate > 0 && s.Load.Rate <= maxRate, "load.rate", "%v is not between 0 and %v requests/s", s.Load.Rate, maxRate)
	c.requireFraction("load.swing", s.Load.RateSwing)
	c.require(s.Clients.MaxRetries >= 0 && s.Clients.MaxRetries <= 100, "clients.retries", "%d is not between 0 and 100", s.Clients.MaxRetries)
	c.require(s.Clients.Backoff >= 0, "clients.backoff", "is negative")
	c.require(s.Clients.AttemptTimeoutFraction > 0 && s.Clients.AttemptTimeoutFraction <= 1, "clients.try_share", "%v is no share above 0", s.Clients.AttemptTimeoutFraction)
	c.requireFraction("clients.impatient", s.Clients.ImpatientFraction)
	c.requireFraction("clients.honour", s.Clients.HonorRetryAfterFraction)
	requireRange(c, "discovery.delay", s.Discovery.DelayRange, 0)
	c.require(s.Discovery.GossipPeriod > 0, "discovery.period", "is not above 0")
	c.require(s.Discovery.DetectionDelay >= 0, "discovery.notice", "is negative")
	c.requireFraction("budget.whole", s.Budget.Tier)
	c.requireFraction("budget.zone", s.Budget.Zone)
	c.requireFraction("budget.rack", s.Budget.Rack)
	c.require(s.Budget.Enabled() || s.Budget == Budget{}, "budget.whole", "missing: how much of a tier may be out at once")
	c.require(s.Discovery.WatchTimeout > 0, "discovery.missed", "is not above 0")
	c.require(s.Discovery.NodeDetectionDelay >= 0, "discovery.front_notice", "is negative")
	c.require(s.Registry.Replicas >= 0 && s.Registry.Replicas <= 7, "registry.replicas", "%d is not between 0 and 7", s.Registry.Replicas)
	c.require(s.Registry.LeaseTTL >= Duration(500*time.Millisecond), "registry.ttl", "%v is below 500ms", s.Registry.LeaseTTL)
	c.require(s.Network.SameZone >= 0, "net.same_zone", "is negative")
	c.require(s.Snapshots.Interval >= Duration(time.Millisecond), "state.every", "%v is below a millisecond", s.Snapshots.Interval)
	c.require(s.Snapshots.MaxAge >= Duration(time.Millisecond), "state.max_age", "%v is below a millisecond", s.Snapshots.MaxAge)
	c.require(s.Network.CrossZone >= 0, "net.cross_zone", "is negative")
	s.Limits.validate(c)
	for i := range s.Faults {
		s.Faults[i].validate(c, fmt.Sprintf("fault[%d]", i), s, zones, regions, tiers, classes)
	}
	c.requireFraction("expect.served_share", s.Expectations.MinServedShare)
	c.requireFraction("expect.worth_share", s.Expectations.MinWeightedServedShare)
	c.requireFraction("expect.tail_served", s.Expectations.MinLastQuarterServedShare)
	for _, name := range sortedKeys(s.Expectations.MinServedShareByClass) {
		c.require(slices.Contains(classes, name), "expect.class_served."+name, "no such class")
		c.requireFraction("expect.class_served."+name, s.Expectations.MinServedShareByClass[name])
	}
	return c.first
}

func (t *Tier) validate(c *validator, at string, below bool) {
	c.require(t.Name != "", at+".name", "missing")
	c.require(t.Servers >= 0 && t.Servers <= maxServers, at+".servers", "%d is not between 0 and %d", t.Servers, maxServers)
	c.require(t.WorkFactor > 0, at+".work", "%v is not above 0", t.WorkFactor)
	c.require(t.RackSize > 0, at+".rack_size", "%d is not above 0", t.RackSize)
	requireRange(c, at+".calls", t.CallsRange, 0)
	c.require(below || len(t.CallsRange) == 2 && t.CallsRange[1] == 0, at+".calls", "the last tier has nobody to call")
	for i := range t.MachineTypes {
		k, at := &t.MachineTypes[i], fmt.Sprintf("%s.kind[%d]", at, i)
		c.require(k.Weight > 0, at+".share", "%v is not above 0", k.Weight)
		c.require(k.Cores > 0 && k.Cores <= 1024, at+".cores", "%d is not between 1 and 1024", k.Cores)
		requireRange(c, at+".speed", k.SpeedRange, 0.001)
		c.require(k.SlotsPerCore > 0, at+".slots_per_core", "%d is not above 0", k.SlotsPerCore)
		c.require(k.QueuePerCore >= 0, at+".queue_per_core", "%d is negative", k.QueuePerCore)
		c.requireFraction(at+".error_rate", k.ErrorRate)
		c.require(k.InitialCapacity > 0 && k.InitialCapacity <= 1, at+".cold_from", "%v is no share above 0", k.InitialCapacity)
		requireRange(c, at+".cold_for", k.WarmUpRange, 0)
		c.require(k.MaxConnections > 0, at+".connections", "%d is not above 0", k.MaxConnections)
		c.require(k.HandshakeWork >= 0, at+".handshake", "is negative")
		c.require(k.Overload.Threshold >= 0, at+".choke.at", "%v is negative", k.Overload.Threshold)
		c.require(k.Overload.Threshold == 0 || k.Overload.Slowdown >= 1, at+".choke.slower", "%v is below 1", k.Overload.Slowdown)
		c.require(k.Overload.OnsetDelay >= 0 && k.Overload.RecoveryDelay >= 0 && k.Overload.MaxDuration >= 0, at+".choke", "a time is negative")
	}
}

var scopes, effects = []string{"cell", "zone", "all"}, []string{"safe", "keyed", "unsafe"}

func (k *Class) validate(c *validator, at string) {
	c.require(k.Name != "", at+".name", "missing")
	c.require(k.Weight > 0, at+".share", "%v is not above 0", k.Weight)
	requireRange(c, at+".work", k.WorkRange, Duration(1))
	c.require(k.LatencyObjective > 0, at+".aim", "missing or not above 0")
	c.require(k.Deadline >= k.LatencyObjective, at+".deadline", "%v is before the aim, %v", k.Deadline.Std(), k.LatencyObjective.Std())
	c.require(k.PriorityWeight > 0, at+".worth", "%v is not above 0", k.PriorityWeight)
	c.require(slices.Contains(effects, k.Idempotency), at+".effect", "%q is none of %v", k.Idempotency, effects)
	c.require(slices.Contains(scopes, k.KeyScope), at+".scope", "%q is none of %v", k.KeyScope, scopes)
	c.require(k.KeyWindow > 0, at+".window", "%v is not above 0", k.KeyWindow.Std())
}

func (l *Limits) validate(c *validator) {
	c.require(l.MaxAttempts > 0, "limits.max_attempts", "%d is not above 0", l.MaxAttempts)
	for _, d := range []struct {
		key string
		v   Duration
	}{{"max_retry_after", l.MaxRetryAfter}, {"drain_within", l.DrainTimeout}, {"slack", l.Slack}} {
		c.require(d.v >= 0, "limits."+d.key, "is negative")
	}
	for _, d := range []struct {
		key string
		v   Duration
	}{{"connect_timeout", l.ConnectTimeout}, {"idle", l.IdleTimeout}, {"fall_for", l.CrashLoadWindow}, {"start_within", l.StartTimeout}} {
		c.require(d.v > 0, "limits."+d.key, "is not above 0")
	}
	c.require(l.CrashLoadMultiple > 1, "limits.fall_multiple", "%v is not above 1", l.CrashLoadMultiple)
	c.require(l.MaxMemoryMB > 0, "limits.memory_mb", "%d is not above 0", l.MaxMemoryMB)
	c.require(l.MaxSockets >= 64, "limits.sockets", "%d is below 64", l.MaxSockets)
}

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
