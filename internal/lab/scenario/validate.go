package scenario

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the values of a scenario.
const (
	maxDuration  = Duration(24 * time.Hour)
	maxServers   = 100_000
	maxCores     = 1024
	maxRate      = 1e6 // requests a second
	maxRetries   = 100
	maxReplicas  = 7
	minLeaseTTL  = Duration(500 * time.Millisecond)
	minInterval  = Duration(time.Millisecond)
	minSockets   = 64
	minCoreSpeed = 0.001
)

// Values that keys of a class may have.
var (
	idempotencies = []string{Idempotent, IdempotentByKey, NonIdempotent}
	keyScopes     = []string{KeyScopeRack, KeyScopeZone, KeyScopeAll}
)

// violation is an invalid key and the reason why it is invalid.
type violation struct{ key, reason string }

// validator records the first violation. Its zero value is ready for use.
type validator struct{ first *violation }

// require records a violation unless ok.
func (v *validator) require(ok bool, key, reason string, args ...any) {
	if !ok && v.first == nil {
		v.first = &violation{key, fmt.Sprintf(reason, args...)}
	}
}

// requireFraction requires a value from 0 to 1.
func (v *validator) requireFraction(key string, value float64) {
	v.require(value >= 0 && value <= 1, key, "%v is not between 0 and 1", value)
}

// requireRange requires a range of two values, the first of which is at least bound and at most the second.
func requireRange[T int | float64 | Duration](v *validator, key string, span []T, bound T) {
	v.require(len(span) == 2, key, "needs two values, the minimum and the maximum, and has %d", len(span))
	if len(span) == 2 {
		v.require(span[0] >= bound && span[0] <= span[1], key, "%v to %v is not a range of values from %v upwards", span[0], span[1], bound)
	}
}

// siteNames are the names to which keys of other tables refer.
type siteNames struct {
	zones, regions, tiers, classes []string
}

// validate returns the first violation, or nil if there is none.
func (s *Scenario) validate() *violation {
	v := &validator{}
	v.require(s.Duration > 0 && s.Duration <= maxDuration, "duration", "%v is not between 0 and 24h", s.Duration.Std())
	v.require(s.Nodes >= 1 && s.Nodes <= maxServers, "nodes", "%d is not between 1 and %d", s.Nodes, maxServers)
	names := s.validateSite(v)
	s.validateLoad(v)
	s.validateDiscovery(v)
	s.Limits.validate(v)
	for i := range s.Faults {
		s.Faults[i].validate(v, fmt.Sprintf("fault[%d]", i), s, names)
	}
	s.Expectations.validate(v, names)
	return v.first
}

// validateSite validates zones, tiers and classes, and returns their names.
func (s *Scenario) validateSite(v *validator) siteNames {
	var names siteNames
	for i, z := range s.Zones {
		names.regions = append(names.regions, z.Region)
		v.require(z.Name != "" && !slices.Contains(names.zones, z.Name), fmt.Sprintf("zone[%d].name", i), "%q is empty or already used", z.Name)
		names.zones = append(names.zones, z.Name)
	}
	v.require(len(s.Tiers) > 0, "tier", "missing: at least one [[tier]] is required")
	for i := range s.Tiers {
		key, isLast := fmt.Sprintf("tier[%d]", i), i+1 == len(s.Tiers)
		s.Tiers[i].validate(v, key, isLast)
		v.require(!slices.Contains(names.tiers, s.Tiers[i].Name), key+".name", "%q is already used", s.Tiers[i].Name)
		names.tiers = append(names.tiers, s.Tiers[i].Name)
	}
	v.require(len(s.Classes) > 0, "class", "missing: at least one [[class]] is required")
	for i := range s.Classes {
		s.Classes[i].validate(v, fmt.Sprintf("class[%d]", i))
		names.classes = append(names.classes, s.Classes[i].Name)
	}
	return names
}

func (s *Scenario) validateLoad(v *validator) {
	v.require(s.Load.Rate > 0 && s.Load.Rate <= maxRate, "load.rate", "%v is not between 0 and %v requests/s", s.Load.Rate, maxRate)
	v.requireFraction("load.swing", s.Load.RateSwing)
	c := &s.Clients
	v.require(c.MaxRetries >= 0 && c.MaxRetries <= maxRetries, "clients.retries", "%d is not between 0 and %d", c.MaxRetries, maxRetries)
	v.require(c.Backoff >= 0, "clients.backoff", "is negative")
	v.require(c.AttemptTimeoutFraction > 0 && c.AttemptTimeoutFraction <= 1, "clients.try_share", "%v is no share above 0", c.AttemptTimeoutFraction)
	v.requireFraction("clients.impatient", c.ImpatientFraction)
	v.requireFraction("clients.honour", c.HonorRetryAfterFraction)
}

// validateDiscovery validates discovery, the registry, budgets, snapshots and the network.
func (s *Scenario) validateDiscovery(v *validator) {
	requireRange(v, "discovery.delay", s.Discovery.DelayRange, 0)
	v.require(s.Discovery.GossipPeriod > 0, "discovery.period", "is not above 0")
	v.require(s.Discovery.DetectionDelay >= 0, "discovery.notice", "is negative")
	v.requireFraction("budget.whole", s.Budget.Tier)
	v.requireFraction("budget.zone", s.Budget.Zone)
	v.requireFraction("budget.rack", s.Budget.Rack)
	v.require(s.Budget.Enabled() || s.Budget == Budget{}, "budget.whole", "missing: the share of a tier that may be unavailable at the same time")
	v.require(s.Discovery.WatchTimeout > 0, "discovery.missed", "is not above 0")
	v.require(s.Discovery.NodeDetectionDelay >= 0, "discovery.front_notice", "is negative")
	v.require(s.Registry.Replicas >= 0 && s.Registry.Replicas <= maxReplicas, "registry.replicas", "%d is not between 0 and %d", s.Registry.Replicas, maxReplicas)
	v.require(s.Registry.LeaseTTL >= minLeaseTTL, "registry.ttl", "%v is below %v", s.Registry.LeaseTTL, minLeaseTTL)
	v.require(s.Network.SameZone >= 0, "net.same_zone", "is negative")
	v.require(s.Snapshots.Interval >= minInterval, "state.every", "%v is below a millisecond", s.Snapshots.Interval)
	v.require(s.Snapshots.MaxAge >= minInterval, "state.max_age", "%v is below a millisecond", s.Snapshots.MaxAge)
	v.require(s.Network.CrossZone >= 0, "net.cross_zone", "is negative")
}

func (t *Tier) validate(v *validator, key string, isLast bool) {
	v.require(t.Name != "", key+".name", "missing")
	v.require(t.Servers >= 0 && t.Servers <= maxServers, key+".servers", "%d is not between 0 and %d", t.Servers, maxServers)
	v.require(t.WorkFactor > 0, key+".work", "%v is not above 0", t.WorkFactor)
	v.require(t.RackSize > 0, key+".rack_size", "%d is not above 0", t.RackSize)
	requireRange(v, key+".calls", t.CallsRange, 0)
	v.require(!isLast || len(t.CallsRange) == 2 && t.CallsRange[1] == 0, key+".calls", "must be [0, 0] in the last tier, which has no tier to call")
	for i := range t.MachineTypes {
		t.MachineTypes[i].validate(v, fmt.Sprintf("%s.kind[%d]", key, i))
	}
}

func (m *MachineType) validate(v *validator, key string) {
	v.require(m.Weight > 0, key+".share", "%v is not above 0", m.Weight)
	v.require(m.Cores > 0 && m.Cores <= maxCores, key+".cores", "%d is not between 1 and %d", m.Cores, maxCores)
	requireRange(v, key+".speed", m.SpeedRange, minCoreSpeed)
	v.require(m.SlotsPerCore > 0, key+".slots_per_core", "%d is not above 0", m.SlotsPerCore)
	v.require(m.QueuePerCore >= 0, key+".queue_per_core", "%d is negative", m.QueuePerCore)
	v.requireFraction(key+".error_rate", m.ErrorRate)
	v.require(m.InitialCapacity > 0 && m.InitialCapacity <= 1, key+".cold_from", "%v is no share above 0", m.InitialCapacity)
	requireRange(v, key+".cold_for", m.WarmUpRange, 0)
	v.require(m.MaxConnections > 0, key+".connections", "%d is not above 0", m.MaxConnections)
	v.require(m.HandshakeWork >= 0, key+".handshake", "is negative")
	o := &m.Overload
	v.require(o.Threshold >= 0, key+".choke.at", "%v is negative", o.Threshold)
	v.require(o.Threshold == 0 || o.Slowdown >= 1, key+".choke.slower", "%v is below 1", o.Slowdown)
	v.require(o.OnsetDelay >= 0 && o.RecoveryDelay >= 0 && o.MaxDuration >= 0, key+".choke", "a duration is negative")
}

func (c *Class) validate(v *validator, key string) {
	v.require(c.Name != "", key+".name", "missing")
	v.require(c.Weight > 0, key+".share", "%v is not above 0", c.Weight)
	requireRange(v, key+".work", c.WorkRange, Duration(1))
	v.require(c.LatencyObjective > 0, key+".aim", "missing or not above 0")
	v.require(c.Deadline >= c.LatencyObjective, key+".deadline", "%v is below the aim, %v", c.Deadline.Std(), c.LatencyObjective.Std())
	v.require(c.PriorityWeight > 0, key+".worth", "%v is not above 0", c.PriorityWeight)
	v.require(slices.Contains(idempotencies, c.Idempotency), key+".effect", "%q is not one of %v", c.Idempotency, idempotencies)
	v.require(slices.Contains(keyScopes, c.KeyScope), key+".scope", "%q is not one of %v", c.KeyScope, keyScopes)
	v.require(c.KeyWindow > 0, key+".window", "%v is not above 0", c.KeyWindow.Std())
}

func (l *Limits) validate(v *validator) {
	v.require(l.MaxAttempts > 0, "limits.max_attempts", "%d is not above 0", l.MaxAttempts)
	v.require(l.MaxRetryAfter >= 0, "limits.max_retry_after", "is negative")
	v.require(l.DrainTimeout >= 0, "limits.drain_within", "is negative")
	v.require(l.Slack >= 0, "limits.slack", "is negative")
	v.require(l.ConnectTimeout > 0, "limits.connect_timeout", "is not above 0")
	v.require(l.IdleTimeout > 0, "limits.idle", "is not above 0")
	v.require(l.CrashLoadWindow > 0, "limits.fall_for", "is not above 0")
	v.require(l.StartTimeout > 0, "limits.start_within", "is not above 0")
	v.require(l.CrashLoadMultiple > 1, "limits.fall_multiple", "%v is not above 1", l.CrashLoadMultiple)
	v.require(l.MaxMemoryMB > 0, "limits.memory_mb", "%d is not above 0", l.MaxMemoryMB)
	v.require(l.MaxSockets >= minSockets, "limits.sockets", "%d is below %d", l.MaxSockets, minSockets)
}

func (e *Expectations) validate(v *validator, names siteNames) {
	v.requireFraction("expect.served_share", e.MinServedShare)
	v.requireFraction("expect.worth_share", e.MinWeightedServedShare)
	v.requireFraction("expect.tail_served", e.MinLastQuarterServedShare)
	for _, class := range sortedKeys(e.MinServedShareByClass) {
		v.require(slices.Contains(names.classes, class), "expect.class_served."+class, "no such class")
		v.requireFraction("expect.class_served."+class, e.MinServedShareByClass[class])
	}
}
