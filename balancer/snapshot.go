package balancer

import (
	"math"
	"time"
)

// Snapshot is what a Balancer has learned, for a later process of the same node. It holds no request: what
// became of those that a process had in hand when it ended nobody can know, so none of them may be sent
// again. Its JSON form is stored.
type Snapshot struct {
	Tier                int                `json:"tier"`
	ErrorRate           float64            `json:"errors"` // share of failures among results
	RetryTokens         float64            `json:"tokens"` // retry budget
	LimitPerEndpoint    float64            `json:"window"` // concurrency limit per endpoint of a fair share
	Utilization         float64            `json:"fill"`   // mean latency over the latency objective
	SlowUtilization     float64            `json:"calm"`   // the same over four times as many answers
	BaselineUtilization float64            `json:"bare"`   // the least of that, forgetting slowly
	Classes             []ClassSnapshot    `json:"classes"`
	Endpoints           []EndpointSnapshot `json:"servers"` // those of which anything is known
}

// ClassSnapshot is what was learned of a class under the settings that it names.
type ClassSnapshot struct {
	Name             string        `json:"name"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"deadline"`
	MeanLatency      float64       `json:"mean"` // of successes, in ns
	LatencyDeviation float64       `json:"dev"`  // mean absolute deviation, in ns
	MeanCost         float64       `json:"cost"` // mean cost hint, in ns
	LongestTimeout   time.Duration `json:"longest_try"`
}

// EndpointSnapshot is what was learned of an endpoint since the start of its process.
type EndpointSnapshot struct {
	ID                string        `json:"id"`
	StartTime         time.Duration `json:"boot"`
	Slowness          float64       `json:"slow,omitempty"` // mean log of latency over the expected one
	LatencySamples    int           `json:"samples,omitempty"`
	EjectionLevel     int           `json:"level,omitempty"` // doublings of the next ejection
	EjectionRemaining time.Duration `json:"left,omitempty"`
}

// SnapshotError reports that a part of a Snapshot cannot be what a Balancer has learned.
type SnapshotError struct {
	Part string // the class or the endpoint, or "a figure" for one of the whole
}

// Error names the part.
func (e *SnapshotError) Error() string {
	return "balancer: snapshot: " + e.Part + " is out of range"
}

// Validate returns a *SnapshotError if s cannot be what a Balancer has learned, else nil.
func (s Snapshot) Validate() error {
	if s.Tier < 0 ||
		!within(0, 1, s.ErrorRate, s.Utilization, s.SlowUtilization, s.BaselineUtilization) ||
		!within(0, maxRetryTokens, s.RetryTokens) ||
		!within(0, math.MaxFloat64, s.LimitPerEndpoint) {
		return &SnapshotError{Part: "a figure"}
	}
	for _, c := range s.Classes {
		if !c.valid() {
			return &SnapshotError{Part: "class " + c.Name}
		}
	}
	for _, e := range s.Endpoints {
		if !e.valid() {
			return &SnapshotError{Part: "endpoint " + e.ID}
		}
	}
	return nil
}

func (c ClassSnapshot) valid() bool {
	return within(0, float64(max(c.Deadline, 0)), c.MeanLatency, c.LatencyDeviation) &&
		within(0, math.MaxFloat64, c.MeanCost) &&
		c.LongestTimeout >= 0
}

func (e EndpointSnapshot) valid() bool {
	return within(-math.MaxFloat64, math.MaxFloat64, e.Slowness) &&
		e.LatencySamples >= 0 &&
		e.EjectionLevel >= 0 && e.EjectionLevel <= maxEjectionLevel &&
		e.EjectionRemaining >= 0
}

// within reports whether all values are numbers from lowest to highest.
func within(lowest, highest float64, values ...float64) bool {
	for _, v := range values {
		if !(v >= lowest && v <= highest) { // false for NaN
			return false
		}
	}
	return true
}

// Snapshot returns what b has learned until the clock time now.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	s := Snapshot{
		Tier:                b.settings.Tier,
		ErrorRate:           b.outliers.errorRate,
		RetryTokens:         b.retries.tokens,
		Utilization:         b.limiter.utilization,
		SlowUtilization:     b.limiter.slowUtilization,
		BaselineUtilization: b.limiter.baselineUtilization,
	}
	if perReplica := b.endpoints.perReplica(); perReplica > 0 {
		s.LimitPerEndpoint = b.limiter.limit / perReplica
	}
	for _, c := range b.settings.Classes {
		s.Classes = append(s.Classes, b.classes.byName[c.Name].snapshot())
	}
	s.Endpoints = b.endpoints.snapshot(b.now)
	return s
}

// snapshot bounds latencies by the deadline: a late answer may have taken longer.
func (c *classState) snapshot() ClassSnapshot {
	longest := float64(c.Deadline)
	return ClassSnapshot{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		MeanLatency:      min(c.meanLatency, longest),
		LatencyDeviation: min(c.latencyDeviation, longest),
		MeanCost:         c.meanCost,
		LongestTimeout:   c.longestTimeout,
	}
}

// snapshot returns what was learned of the ready endpoints. It allocates once, as the host waits meanwhile.
func (s *endpointSet) snapshot(now time.Duration) []EndpointSnapshot {
	count := 0
	for _, e := range s.ready {
		if e.hasHistory(now) {
			count++
		}
	}
	snapshots := make([]EndpointSnapshot, 0, count)
	for _, e := range s.ready {
		if e.hasHistory(now) {
			snapshots = append(snapshots, EndpointSnapshot{
				ID:                e.ID,
				StartTime:         e.StartTime,
				Slowness:          e.slowness,
				LatencySamples:    e.latencySamples,
				EjectionLevel:     e.ejectionLevel,
				EjectionRemaining: max(0, e.ejectedUntil-now),
			})
		}
	}
	return snapshots
}

// hasHistory reports whether something was learned of an endpoint that is worth keeping.
func (e *endpoint) hasHistory(now time.Duration) bool {
	return e.latencySamples > 0 || e.ejectionLevel > 0 || e.ejectedUntil > now
}

// restoredState is the part of a restored Snapshot that is applied when the endpoint list comes.
type restoredState struct {
	trust            float64 // weight of the snapshot against initial values, by its age
	age              time.Duration
	limitPerEndpoint float64 // 0: not to be restored
	endpoints        map[string]*EndpointSnapshot
}

// restore takes over a Snapshot of an earlier process, before any endpoint list has come. The older it is,
// the less it counts against the values that a Balancer begins with.
func (b *Balancer) restore(e Restore) {
	if e.Age < 0 || e.Age >= b.settings.SnapshotMaxAge || len(b.endpoints.byID) > 0 ||
		e.Snapshot.Validate() != nil || e.Snapshot.Tier != b.settings.Tier {
		return
	}
	s := e.Snapshot
	restored := &restoredState{
		trust:     1 - float64(e.Age)/float64(b.settings.SnapshotMaxAge),
		age:       e.Age,
		endpoints: make(map[string]*EndpointSnapshot, len(s.Endpoints)),
	}
	blend(&b.outliers.errorRate, s.ErrorRate, restored.trust)
	blend(&b.retries.tokens, s.RetryTokens, restored.trust)
	if b.restoreClasses(s, restored.trust) {
		restored.limitPerEndpoint = s.LimitPerEndpoint
		blend(&b.limiter.utilization, s.Utilization, restored.trust)
		blend(&b.limiter.slowUtilization, s.SlowUtilization, restored.trust)
		blend(&b.limiter.baselineUtilization, s.BaselineUtilization, restored.trust)
	}
	for i := range s.Endpoints {
		restored.endpoints[s.Endpoints[i].ID] = &s.Endpoints[i]
	}
	b.restored = restored
}

// blend moves a value towards a restored one, by the trust in that.
func blend(value *float64, restored, trust float64) {
	*value += trust * (restored - *value)
}

// restoreClasses restores the classes whose objective and deadline are as they were. It says whether all
// classes are: the concurrency limit and the utilizations depend on all their objectives.
func (b *Balancer) restoreClasses(s Snapshot, trust float64) bool {
	unchanged := 0
	for _, c := range s.Classes {
		state := b.classes.byName[c.Name]
		if state == nil || state.LatencyObjective != c.LatencyObjective || state.Deadline != c.Deadline {
			continue
		}
		unchanged++
		blend(&state.meanLatency, c.MeanLatency, trust)
		blend(&state.latencyDeviation, c.LatencyDeviation, trust)
		state.meanCost, state.longestTimeout = c.MeanCost, c.LongestTimeout
	}
	return unchanged == len(b.settings.Classes) && unchanged == len(s.Classes)
}

// restoreEndpoint restores what was known of an endpoint that is new in the list. Whatever caused its
// ejection may be long over, so it begins at a lower level and serves the rest of its time only.
func (b *Balancer) restoreEndpoint(e *endpoint) {
	if b.restored == nil {
		return
	}
	s := b.restored.endpoints[e.ID]
	if s == nil || s.StartTime != e.StartTime {
		return
	}
	e.slowness, e.latencySamples = b.restored.trust*s.Slowness, s.LatencySamples
	e.ejectionLevel = int(b.restored.trust * float64(s.EjectionLevel))
	if remaining := s.EjectionRemaining - b.restored.age; remaining > 0 {
		e.ejectedUntil = b.now + remaining
	}
	if e.ejectionLevel > 0 || e.ejectedUntil > b.now {
		b.outliers.addSuspect(e)
	}
}
