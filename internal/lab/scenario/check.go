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
		Clients:   Clients{Retries: 2, Backoff: Duration(200 * time.Millisecond), TryShare: 0.55, Impatient: 0.03, Honour: 0.2, MarksRetry: true},
		Discovery: Discovery{Delay: []Duration{Duration(300 * time.Millisecond), Duration(1500 * time.Millisecond)}, Period: Duration(200 * time.Millisecond), Notice: Duration(4 * time.Second), Front: Duration(2 * time.Second), Missed: Duration(6 * time.Second)},
		Registry:  Registry{TTL: Duration(2 * time.Second)},
		State:     State{Every: Duration(time.Second), Age: Duration(time.Minute)},
		Net:       Net{Same: Duration(200 * time.Microsecond), Cross: Duration(2 * time.Millisecond)},
		Limits: Limits{MaxAttempts: 6, SecondCopies: true, Cancel: true, RetryAfter: Duration(2 * time.Second),
			Connect: Duration(250 * time.Millisecond), Idle: Duration(30 * time.Second), DrainWithin: Duration(500 * time.Millisecond),
			Slack: Duration(50 * time.Millisecond), FallMultiple: 3, FallFor: Duration(2 * time.Second),
			MemoryMB: 64, Sockets: 384, PassTimeLeft: true, StartUpWithin: Duration(10 * time.Second)},
	}
}

// complete fills in what tiers, kinds and classes leave out.
func (s *Scenario) complete() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "z0"}}
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		setDefault(&t.Work, 1)
		setDefault(&t.RackSize, 4)
		if len(t.Kinds) == 0 {
			t.Kinds = []Kind{{}}
		}
		for j := range t.Kinds {
			k := &t.Kinds[j]
			if k.Name == "" {
				k.Name = fmt.Sprintf("%s-%d", t.Name, j)
			}
			setDefault(&k.Share, 1)
			setDefault(&k.Cores, 2)
			setDefault(&k.Slots, 16)
			setDefault(&k.Queue, 16)
			setDefault(&k.ColdFrom, 1)
			setDefault(&k.Connections, 1200)
			if k.Speed == nil {
				k.Speed = []float64{1, 1}
			}
			if k.ColdFor == nil {
				k.ColdFor = []Duration{0, 0}
			}
			if c := &k.Choke; c.At > 0 {
				setDefault(&c.After, Duration(2*time.Second))
				setDefault(&c.Slower, 3)
				setDefault(&c.Below, 0.4)
				setDefault(&c.Rest, Duration(3*time.Second))
				setDefault(&c.Most, Duration(28*time.Second))
			}
		}
		if t.Calls == nil {
			t.Calls = []float64{0, 0}
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Share, 1)
		setDefault(&c.Worth, 1)
		setDefault(&c.Window, Duration(10*time.Second))
		if c.Effect == "" {
			c.Effect = "safe"
		}
		if c.Scope == "" {
			c.Scope = "cell"
		}
	}
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// finding is a key and what is wrong with it.
type finding struct{ key, reason string }

// checker keeps the first finding.
type checker struct{ first *finding }

func (c *checker) must(ok bool, key, reason string, args ...any) {
	if !ok && c.first == nil {
		c.first = &finding{key, fmt.Sprintf(reason, args...)}
	}
}

// span checks a least and a most.
func span[T int | float64 | Duration](c *checker, key string, v []T, least T) {
	c.must(len(v) == 2, key, "wants two values, the least and the most, and has %d", len(v))
	if len(v) == 2 {
		c.must(v[0] >= least && v[0] <= v[1], key, "%v to %v is no range of %v or more", v[0], v[1], least)
	}
}

func (c *checker) share(key string, v float64) {
	c.must(v >= 0 && v <= 1, key, "%v is no share from 0 to 1", v)
}

// maxDuration, maxServers and maxRate bound what a run may be asked for.
const (
	maxDuration = Duration(24 * time.Hour)
	maxServers  = 100_000
	maxRate     = 1e6
)

// fault is the first thing out of order, or nil.
func (s *Scenario) fault() *finding {
	c := &checker{}
	c.must(s.Duration > 0 && s.Duration <= maxDuration, "duration", "%v is not between 0 and 24h", s.Duration.D())
	c.must(s.Nodes >= 1 && s.Nodes <= maxServers, "nodes", "%d is not between 1 and %d", s.Nodes, maxServers)
	var zones, regions []string
	for i, z := range s.Zones {
		regions = append(regions, z.Region)
		c.must(z.Name != "" && !slices.Contains(zones, z.Name), fmt.Sprintf("zone[%d].name", i), "%q is empty or taken", z.Name)
		zones = append(zones, z.Name)
	}
	c.must(len(s.Tiers) > 0, "tier", "missing: at least one [[tier]] is wanted")
	var tiers []string
	for i := range s.Tiers {
		s.Tiers[i].check(c, fmt.Sprintf("tier[%d]", i), i+1 < len(s.Tiers))
		c.must(!slices.Contains(tiers, s.Tiers[i].Name), fmt.Sprintf("tier[%d].name", i), "%q is taken", s.Tiers[i].Name)
		tiers = append(tiers, s.Tiers[i].Name)
	}
	c.must(len(s.Classes) > 0, "class", "missing: at least one [[class]] is wanted")
	var classes []string
	for i := range s.Classes {
		s.Classes[i].check(c, fmt.Sprintf("class[%d]", i))
		classes = append(classes, s.Classes[i].Name)
	}
	c.must(s.Load.Rate > 0 && s.Load.Rate <= maxRate, "load.rate", "%v is not between 0 and %v requests/s", s.Load.Rate, maxRate)
	c.share("load.swing", s.Load.Swing)
	c.must(s.Clients.Retries >= 0 && s.Clients.Retries <= 100, "clients.retries", "%d is not between 0 and 100", s.Clients.Retries)
	c.must(s.Clients.Backoff >= 0, "clients.backoff", "is negative")
	c.must(s.Clients.TryShare > 0 && s.Clients.TryShare <= 1, "clients.try_share", "%v is no share above 0", s.Clients.TryShare)
	c.share("clients.impatient", s.Clients.Impatient)
	c.share("clients.honour", s.Clients.Honour)
	span(c, "discovery.delay", s.Discovery.Delay, 0)
	c.must(s.Discovery.Period > 0, "discovery.period", "is not above 0")
	c.must(s.Discovery.Notice >= 0, "discovery.notice", "is negative")
	c.share("budget.whole", s.Budget.Whole)
	c.share("budget.zone", s.Budget.Zone)
	c.share("budget.rack", s.Budget.Rack)
	c.must(s.Budget.Set() || s.Budget == Budget{}, "budget.whole", "missing: how much of a tier may be out at once")
	c.must(s.Discovery.Missed > 0, "discovery.missed", "is not above 0")
	c.must(s.Discovery.Front >= 0, "discovery.front_notice", "is negative")
	c.must(s.Registry.Replicas >= 0 && s.Registry.Replicas <= 7, "registry.replicas", "%d is not between 0 and 7", s.Registry.Replicas)
	c.must(s.Registry.TTL >= Duration(500*time.Millisecond), "registry.ttl", "%v is below 500ms", s.Registry.TTL)
	c.must(s.Net.Same >= 0, "net.same_zone", "is negative")
	c.must(s.State.Every >= Duration(time.Millisecond), "state.every", "%v is below a millisecond", s.State.Every)
	c.must(s.State.Age >= Duration(time.Millisecond), "state.max_age", "%v is below a millisecond", s.State.Age)
	c.must(s.Net.Cross >= 0, "net.cross_zone", "is negative")
	s.Limits.check(c)
	for i := range s.Faults {
		s.Faults[i].check(c, fmt.Sprintf("fault[%d]", i), s, zones, regions, tiers, classes)
	}
	c.share("expect.served_share", s.Expect.Served)
	c.share("expect.worth_share", s.Expect.Worth)
	c.share("expect.tail_served", s.Expect.TailServed)
	for _, name := range sortedKeys(s.Expect.Class) {
		c.must(slices.Contains(classes, name), "expect.class_served."+name, "no such class")
		c.share("expect.class_served."+name, s.Expect.Class[name])
	}
	return c.first
}

func (t *Tier) check(c *checker, at string, below bool) {
	c.must(t.Name != "", at+".name", "missing")
	c.must(t.Servers >= 0 && t.Servers <= maxServers, at+".servers", "%d is not between 0 and %d", t.Servers, maxServers)
	c.must(t.Work > 0, at+".work", "%v is not above 0", t.Work)
	c.must(t.RackSize > 0, at+".rack_size", "%d is not above 0", t.RackSize)
	span(c, at+".calls", t.Calls, 0)
	c.must(below || len(t.Calls) == 2 && t.Calls[1] == 0, at+".calls", "the last tier has nobody to call")
	for i := range t.Kinds {
		k, at := &t.Kinds[i], fmt.Sprintf("%s.kind[%d]", at, i)
		c.must(k.Share > 0, at+".share", "%v is not above 0", k.Share)
		c.must(k.Cores > 0 && k.Cores <= 1024, at+".cores", "%d is not between 1 and 1024", k.Cores)
		span(c, at+".speed", k.Speed, 0.001)
		c.must(k.Slots > 0, at+".slots_per_core", "%d is not above 0", k.Slots)
		c.must(k.Queue >= 0, at+".queue_per_core", "%d is negative", k.Queue)
		c.share(at+".error_rate", k.ErrorRate)
		c.must(k.ColdFrom > 0 && k.ColdFrom <= 1, at+".cold_from", "%v is no share above 0", k.ColdFrom)
		span(c, at+".cold_for", k.ColdFor, 0)
		c.must(k.Connections > 0, at+".connections", "%d is not above 0", k.Connections)
		c.must(k.Handshake >= 0, at+".handshake", "is negative")
		c.must(k.Choke.At >= 0, at+".choke.at", "%v is negative", k.Choke.At)
		c.must(k.Choke.At == 0 || k.Choke.Slower >= 1, at+".choke.slower", "%v is below 1", k.Choke.Slower)
		c.must(k.Choke.After >= 0 && k.Choke.Rest >= 0 && k.Choke.Most >= 0, at+".choke", "a time is negative")
	}
}

var scopes, effects = []string{"cell", "zone", "all"}, []string{"safe", "keyed", "unsafe"}

func (k *Class) check(c *checker, at string) {
	c.must(k.Name != "", at+".name", "missing")
	c.must(k.Share > 0, at+".share", "%v is not above 0", k.Share)
	span(c, at+".work", k.Work, Duration(1))
	c.must(k.Aim > 0, at+".aim", "missing or not above 0")
	c.must(k.Deadline >= k.Aim, at+".deadline", "%v is before the aim, %v", k.Deadline.D(), k.Aim.D())
	c.must(k.Worth > 0, at+".worth", "%v is not above 0", k.Worth)
	c.must(slices.Contains(effects, k.Effect), at+".effect", "%q is none of %v", k.Effect, effects)
	c.must(slices.Contains(scopes, k.Scope), at+".scope", "%q is none of %v", k.Scope, scopes)
	c.must(k.Window > 0, at+".window", "%v is not above 0", k.Window.D())
}

func (l *Limits) check(c *checker) {
	c.must(l.MaxAttempts > 0, "limits.max_attempts", "%d is not above 0", l.MaxAttempts)
	for _, d := range []struct {
		key string
		v   Duration
	}{{"max_retry_after", l.RetryAfter}, {"drain_within", l.DrainWithin}, {"slack", l.Slack}} {
		c.must(d.v >= 0, "limits."+d.key, "is negative")
	}
	for _, d := range []struct {
		key string
		v   Duration
	}{{"connect_timeout", l.Connect}, {"idle", l.Idle}, {"fall_for", l.FallFor}, {"start_within", l.StartUpWithin}} {
		c.must(d.v > 0, "limits."+d.key, "is not above 0")
	}
	c.must(l.FallMultiple > 1, "limits.fall_multiple", "%v is not above 1", l.FallMultiple)
	c.must(l.MemoryMB > 0, "limits.memory_mb", "%d is not above 0", l.MemoryMB)
	c.must(l.Sockets >= 64, "limits.sockets", "%d is below 64", l.Sockets)
}

// What a fault's kind hits.
const (
	OnNodes   = "nodes"
	OnServers = "servers"
	OnLinks   = "links"
	OnLists   = "lists"
	OnLoad    = "load"
	// OnRegistry hits replicas of the registry, and nothing where there are none.
	OnRegistry = "replicas"
)

// Target says what each kind of fault hits.
var Target = map[string]string{
	"kill": OnNodes, "term": OnNodes, "stop": OnNodes,
	"crash": OnServers, "vanish": OnServers, "hang": OnServers, "slow": OnServers, "error": OnServers,
	"turn-away": OnServers, "drain": OnServers,
	"delay": OnLinks, "silence": OnLinks, "refuse": OnLinks, "reset": OnLinks, "trickle": OnLinks, "cut": OnLinks,
	"stale": OnLists, "empty": OnLists, "shrink": OnLists, "reorder": OnLists, "mute": OnLists,
	"burst": OnLoad, "heavy": OnLoad,
	"registry-kill": OnRegistry, "registry-stop": OnRegistry, "registry-cut": OnRegistry,
	"lease-loss": OnServers, // the server runs on, but its heartbeats do not reach the registry
}

func (f *Fault) check(c *checker, at string, s *Scenario, zones, regions, tiers, classes []string) {
	target, known := Target[f.Kind]
	c.must(known, at+".kind", "%q is none of %v", f.Kind, sortedKeys(Target))
	c.must(f.At >= 0 && f.At <= s.Duration, at+".at", "%v is not within the run of %v", f.At.D(), s.Duration.D())
	c.must(f.For >= 0, at+".for", "is negative")
	c.must(f.Repeat >= 0 && f.Repeat <= 100_000, at+".repeat", "%d is not between 0 and 100000", f.Repeat)
	c.must(f.Repeat <= 1 || f.Every > 0, at+".every", "missing: a repeated fault wants the time from one to the next")
	c.must(f.Zone == "" || slices.Contains(zones, f.Zone), at+".zone", "no zone %q", f.Zone)
	c.must(f.Region == "" || slices.Contains(regions, f.Region), at+".region", "no region %q", f.Region)
	c.must(target != OnLists || s.Registry.Replicas == 0, at+".kind", "%q spoils the model's own lists, and here the registry gives them", f.Kind)
	c.must(f.Kind != "cut" || f.Zone != "" || f.Region != "", at+".zone", "missing: the zone (or region) that is cut off")
	c.must(f.Tier == "" || slices.Contains(tiers, f.Tier), at+".tier", "no tier %q", f.Tier)
	c.must(f.Class == "" || slices.Contains(classes, f.Class), at+".class", "no class %q", f.Class)
	c.must(f.Count >= 0, at+".count", "%d is negative", f.Count)
	c.share(at+".share", f.Share)
	c.must(f.Count == 0 || f.Share == 0, at+".share", "stands beside count: only one of them")
	c.must(f.Direction == "" || f.Direction == "there" || f.Direction == "back", at+".direction", "%q is neither there nor back", f.Direction)
	c.must(f.Delay >= 0 && f.Jitter >= 0, at+".delay", "is negative")
	switch f.Kind {
	case "slow", "burst", "heavy":
		c.must(f.Factor > 1, at+".factor", "%v is not above 1", f.Factor)
	case "error", "shrink":
		c.must(f.Factor > 0 && f.Factor <= 1, at+".factor", "%v is no share above 0", f.Factor)
	case "trickle":
		c.must(f.Rate > 0, at+".bytes_per_s", "%d is not above 0", f.Rate)
	case "delay", "stale":
		c.must(f.Delay > 0, at+".delay", "missing or not above 0")
	}
	known = true
	for _, n := range f.Names {
		switch target {
		case OnNodes, OnLists:
			known = known && s.hasNode(n)
		case OnRegistry:
			known = known && (s.Registry.Replicas == 0 || slices.Contains(s.replicas(), n))
		default:
			known = known && s.hasServer(n)
		}
		c.must(known, at+".names", "no %q among the %s", n, target)
	}
	for _, n := range f.From {
		c.must(s.hasNode(n), at+".from", "no node %q", n)
	}
}
