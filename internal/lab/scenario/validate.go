package scenario

import (
	"fmt"
	"slices"
	"time"
)

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

// Values of a class's idempotency and key scope.
var (
	idempotencies = []string{Idempotent, IdempotentByKey, NonIdempotent}
	keyScopes     = []string{KeyScopeRack, KeyScopeZone, KeyScopeAll}
)

func (k *Class) validate(c *validator, at string) {
	c.require(k.Name != "", at+".name", "missing")
	c.require(k.Weight > 0, at+".share", "%v is not above 0", k.Weight)
	requireRange(c, at+".work", k.WorkRange, Duration(1))
	c.require(k.LatencyObjective > 0, at+".aim", "missing or not above 0")
	c.require(k.Deadline >= k.LatencyObjective, at+".deadline", "%v is before the aim, %v", k.Deadline.Std(), k.LatencyObjective.Std())
	c.require(k.PriorityWeight > 0, at+".worth", "%v is not above 0", k.PriorityWeight)
	c.require(slices.Contains(idempotencies, k.Idempotency), at+".effect", "%q is none of %v", k.Idempotency, idempotencies)
	c.require(slices.Contains(keyScopes, k.KeyScope), at+".scope", "%q is none of %v", k.KeyScope, keyScopes)
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
