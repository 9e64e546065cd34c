package balancer

import (
	"errors"
	"math"
	"time"
)

// What a Balancer hands on to the next process of its node, and what that makes of it. What is
// remembered counts by its age, and whatever the settings or the list say otherwise wins.

// Snapshot is what a Balancer has learned, for a later one of the same node. It holds no request: what
// became of those that a process had in hand when it ended nobody can know, so none of them may be sent
// again.
type Snapshot struct {
	Tier                int                `json:"tier"`
	ErrorRate           float64            `json:"errors"` // share of bad endings
	RetryTokens         float64            `json:"tokens"` // retry budget
	LimitPerEndpoint    float64            `json:"window"` // own calls admitted at once, for each server of a fair share
	Utilization         float64            `json:"fill"`   // mean latency over aim
	SlowUtilization     float64            `json:"calm"`
	BaselineUtilization float64            `json:"bare"`
	Classes             []ClassSnapshot    `json:"classes"`
	Endpoints           []EndpointSnapshot `json:"servers"` // those of which anything is known
}

// ClassSnapshot is what was learned of a class under these settings.
type ClassSnapshot struct {
	Name             string        `json:"name"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"deadline"`
	MeanLatency      float64       `json:"mean"` // latency of successes, in ns
	LatencyDeviation float64       `json:"dev"`
	MeanCost         float64       `json:"cost"` // mean hint of the work, in ns
	LongestTimeout   time.Duration `json:"longest_try"`
}

// EndpointSnapshot is what was learned of a server since a start of it.
type EndpointSnapshot struct {
	ID                string        `json:"id"`
	StartTime         time.Duration `json:"boot"`
	Slowness          float64       `json:"slow,omitempty"` // mean log of latency over the class mean
	LatencySamples    int           `json:"samples,omitempty"`
	EjectionLevel     int           `json:"level,omitempty"` // doublings of the next ejection
	EjectionRemaining time.Duration `json:"left,omitempty"`  // of the ejection
}

// Validate says why m cannot be what a Balancer has learned; nil: it may be.
func (m Snapshot) Validate() error {
	if m.Tier < 0 || !within(0, 1, m.ErrorRate, m.Utilization, m.SlowUtilization, m.BaselineUtilization) ||
		!within(0, retryPurse, m.RetryTokens) || !within(0, math.MaxFloat64, m.LimitPerEndpoint) {
		return errors.New("balancer: a figure of the memory is out of range")
	}
	for _, c := range m.Classes {
		if !within(0, float64(max(c.Deadline, 0)), c.MeanLatency, c.LatencyDeviation) || !within(0, math.MaxFloat64, c.MeanCost) ||
			c.LongestTimeout < 0 {
			return errors.New("balancer: the memory of class " + c.Name + " is out of range")
		}
	}
	for _, s := range m.Endpoints {
		if !within(-math.MaxFloat64, math.MaxFloat64, s.Slowness) || s.LatencySamples < 0 || s.EjectionLevel < 0 ||
			s.EjectionLevel > maxLevel || s.EjectionRemaining < 0 {
			return errors.New("balancer: the memory of server " + s.ID + " is out of range")
		}
	}
	return nil
}

// within says that all of l are numbers from least to most.
func within(least, most float64, l ...float64) bool {
	for _, v := range l {
		if !(v >= least && v <= most) { // false for what is no number
			return false
		}
	}
	return true
}

// Snapshot returns what b has learned until the clock time now.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	m := Snapshot{Tier: b.set.Tier, ErrorRate: b.errors, RetryTokens: b.tokens, Utilization: b.fill, SlowUtilization: b.calm,
		BaselineUtilization: b.bare}
	if fair := b.fairServers(); fair > 0 {
		m.LimitPerEndpoint = b.window / fair
	}
	for _, c := range b.set.Classes {
		k := b.classes[c.Name]
		most := float64(c.Deadline) // a late answer may have taken longer
		m.Classes = append(m.Classes, ClassSnapshot{c.Name, c.LatencyObjective, c.Deadline, min(k.mean, most),
			min(k.dev, most), k.cost, k.longestTry})
	}
	known := 0
	for _, s := range b.ready {
		if s.known(b.now) {
			known++
		}
	}
	m.Endpoints = make([]EndpointSnapshot, 0, known) // the host waits meanwhile
	for _, s := range b.ready {
		if s.known(b.now) {
			m.Endpoints = append(m.Endpoints,
				EndpointSnapshot{s.ID, s.StartTime, s.slow, s.samples, s.level, max(0, s.until-b.now)})
		}
	}
	return m
}

// known says that something was learned of a server that is worth handing on.
func (s *server) known(now time.Duration) bool { return s.samples > 0 || s.level > 0 || s.until > now }

// recalled is a Memory that is taken over, as far as it is not used up.
type recalled struct {
	trust   float64 // share that it counts for, against what a fresh Balancer begins with
	age     time.Duration
	window  float64 // for each server of a fair share; 0: not to be taken
	servers map[string]*EndpointSnapshot
}

// recall takes over what an earlier process had learned, before any list has come.
func (b *Balancer) recall(e Restore) {
	if e.Age < 0 || e.Age >= b.set.SnapshotMaxAge || len(b.servers) > 0 || e.Snapshot.Validate() != nil ||
		e.Snapshot.Tier != b.set.Tier {
		return
	}
	m := e.Snapshot
	r := &recalled{trust: 1 - float64(e.Age)/float64(b.set.SnapshotMaxAge), age: e.Age,
		servers: make(map[string]*EndpointSnapshot, len(m.Endpoints))}
	b.errors += r.trust * (m.ErrorRate - b.errors)
	b.tokens += r.trust * (m.RetryTokens - b.tokens)
	if b.recallClasses(m, r.trust) {
		r.window = m.LimitPerEndpoint
		b.fill += r.trust * (m.Utilization - b.fill)
		b.calm += r.trust * (m.SlowUtilization - b.calm)
		b.bare += r.trust * (m.BaselineUtilization - b.bare)
	}
	for i := range m.Endpoints {
		r.servers[m.Endpoints[i].ID] = &m.Endpoints[i]
	}
	b.recalled = r
}

// recallClasses takes over what was learned of the classes that are as they were, and says whether all
// of them are: the window and how full it was are told in parts of all their aims.
func (b *Balancer) recallClasses(m Snapshot, trust float64) bool {
	same := 0
	for _, c := range m.Classes {
		k := b.classes[c.Name]
		if k == nil || k.LatencyObjective != c.LatencyObjective || k.Deadline != c.Deadline {
			continue
		}
		same++
		k.mean += trust * (c.MeanLatency - k.mean)
		k.dev += trust * (c.LatencyDeviation - k.dev)
		k.cost, k.longestTry = c.MeanCost, c.LongestTimeout
	}
	return same == len(b.set.Classes) && same == len(m.Classes)
}

// remind tells a server that is new in the list what was known of it. What had ejected it may be long
// over, so it begins a level lower and owes the rest of its time alone.
func (b *Balancer) remind(s *server) {
	if b.recalled == nil {
		return
	}
	m := b.recalled.servers[s.ID]
	if m == nil || m.StartTime != s.StartTime {
		return
	}
	s.slow, s.samples = b.recalled.trust*m.Slowness, m.LatencySamples
	s.level = int(b.recalled.trust * float64(m.EjectionLevel))
	if left := m.EjectionRemaining - b.recalled.age; left > 0 {
		s.until = b.now + left
	}
	if s.level > 0 || s.until > b.now {
		b.watch(s)
	}
}

// firstWindow is the window that a Balancer begins with, once it knows how many servers there are.
func (b *Balancer) firstWindow() float64 {
	w := windowStart * b.fairServers()
	if b.recalled == nil || b.recalled.window == 0 {
		return w
	}
	b.unsure = true
	return max(w, w+b.recalled.trust*(b.recalled.window*b.fairServers()-w))
}
