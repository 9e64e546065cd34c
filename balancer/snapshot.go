package balancer

import (
	"math"
	"time"
)

// Snapshot contains what a Balancer has learned, for a later process of the same node. It contains
// no requests. It is unknown which of the requests that were active at the end of a process were
// executed, so none of them may be sent again. The JSON form is stored.
type Snapshot struct {
	Tier                int                `json:"tier"`
	ErrorRate           float64            `json:"errors"` // share of failures among results
	RetryTokens         float64            `json:"tokens"` // tokens in the retry budget
	LimitPerEndpoint    float64            `json:"window"` // concurrency limit / ready endpoints per replica
	Utilization         float64            `json:"fill"`   // mean latency divided by the latency objective
	SlowUtilization     float64            `json:"calm"`   // the same over four times as many responses
	BaselineUtilization float64            `json:"bare"`   // minimum of SlowUtilization, with slow recovery
	Classes             []ClassSnapshot    `json:"classes"`
	Endpoints           []EndpointSnapshot `json:"servers"` // endpoints with a history
}

// ClassSnapshot contains what was learned about a class with this latency objective and deadline.
type ClassSnapshot struct {
	Name             string        `json:"name"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"deadline"`
	MeanLatency      float64       `json:"mean"` // of successful attempts, in ns
	LatencyDeviation float64       `json:"dev"`  // mean absolute deviation, in ns
	MeanCost         float64       `json:"cost"` // mean cost hint, in ns; an absent hint counts as zero
	LongestTimeout   time.Duration `json:"longest_try"`
}

// EndpointSnapshot contains what was learned about an endpoint since the start of its process.
type EndpointSnapshot struct {
	ID                string        `json:"id"`
	StartTime         time.Duration `json:"boot"`
	Slowness          float64       `json:"slow,omitempty"` // average of log(latency / expected latency)
	LatencySamples    int           `json:"samples,omitempty"`
	EjectionLevel     int           `json:"level,omitempty"` // doublings of the next ejection's duration
	EjectionRemaining time.Duration `json:"left,omitempty"`
}

// SnapshotError reports a part of a Snapshot with values that a Balancer cannot have learned.
type SnapshotError struct {
	Part string // "class NAME", "endpoint ID", or "a top-level field"
}

// Error returns a message that names the part.
func (e *SnapshotError) Error() string {
	return "balancer: snapshot: " + e.Part + " is out of range"
}

// Validate returns a *SnapshotError for the first part with values that a Balancer cannot have
// learned, or nil.
func (s Snapshot) Validate() error {
	if s.Tier < 0 ||
		!within(0, 1, s.ErrorRate, s.Utilization, s.SlowUtilization, s.BaselineUtilization) ||
		!within(0, maxRetryTokens, s.RetryTokens) ||
		!within(0, math.MaxFloat64, s.LimitPerEndpoint) {
		return &SnapshotError{Part: "a top-level field"}
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

// within reports whether all values are numbers between lowest and highest, both included.
func within(lowest, highest float64, values ...float64) bool {
	for _, v := range values {
		if !(v >= lowest && v <= highest) { // false for NaN
			return false
		}
	}
	return true
}

// Snapshot returns what b has learned up to the clock time now.
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

// snapshot returns the measurements of the class. Latencies are limited to the deadline, because
// Validate rejects higher ones. A late response may have taken longer.
func (c *classState) snapshot() ClassSnapshot {
	deadline := float64(c.Deadline)
	return ClassSnapshot{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		MeanLatency:      min(c.meanLatency, deadline),
		LatencyDeviation: min(c.latencyDeviation, deadline),
		MeanCost:         c.meanCost,
		LongestTimeout:   c.longestTimeout,
	}
}

// snapshot returns what was learned about the ready endpoints. It allocates once, because the host
// waits for the result.
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

// hasHistory reports whether anything was learned about an endpoint that is worth storing.
func (e *endpoint) hasHistory(now time.Duration) bool {
	return e.latencySamples > 0 || e.ejectionLevel > 0 || e.ejectedUntil > now
}

// restoredState is the part of a restored Snapshot that is applied when the endpoint list arrives.
type restoredState struct {
	weight           float64 // weight of the snapshot relative to the initial values, lower with age
	age              time.Duration
	limitPerEndpoint float64 // zero if the limit is not restored
	endpoints        map[string]*EndpointSnapshot
}

// restore applies a Snapshot of an earlier process before the first endpoint list arrives. The
// older the snapshot, the lower its weight relative to the initial values.
func (b *Balancer) restore(e Restore) {
	if e.Age < 0 || e.Age >= b.settings.SnapshotMaxAge || len(b.endpoints.byID) > 0 ||
		e.Snapshot.Validate() != nil || e.Snapshot.Tier != b.settings.Tier {
		return
	}
	s := e.Snapshot
	restored := &restoredState{
		weight:    1 - float64(e.Age)/float64(b.settings.SnapshotMaxAge),
		age:       e.Age,
		endpoints: make(map[string]*EndpointSnapshot, len(s.Endpoints)),
	}
	blend(&b.outliers.errorRate, s.ErrorRate, restored.weight)
	blend(&b.retries.tokens, s.RetryTokens, restored.weight)
	if b.restoreClasses(s, restored.weight) {
		restored.limitPerEndpoint = s.LimitPerEndpoint
		blend(&b.limiter.utilization, s.Utilization, restored.weight)
		blend(&b.limiter.slowUtilization, s.SlowUtilization, restored.weight)
		blend(&b.limiter.baselineUtilization, s.BaselineUtilization, restored.weight)
	}
	for i := range s.Endpoints {
		restored.endpoints[s.Endpoints[i].ID] = &s.Endpoints[i]
	}
	b.restored = restored
}

// blend moves a value towards the restored one by a fraction of the difference.
func blend(value *float64, restored, weight float64) {
	*value += weight * (restored - *value)
}

// restoreClasses restores the classes whose latency objective and deadline are unchanged. It
// reports whether all classes are unchanged, because the concurrency limit and the utilizations
// depend on the objectives of all classes.
func (b *Balancer) restoreClasses(s Snapshot, weight float64) bool {
	unchanged := 0
	for _, c := range s.Classes {
		state := b.classes.byName[c.Name]
		if state == nil || state.LatencyObjective != c.LatencyObjective || state.Deadline != c.Deadline {
			continue
		}
		unchanged++
		blend(&state.meanLatency, c.MeanLatency, weight)
		blend(&state.latencyDeviation, c.LatencyDeviation, weight)
		state.meanCost, state.longestTimeout = c.MeanCost, c.LongestTimeout
	}
	return unchanged == len(b.settings.Classes) && unchanged == len(s.Classes)
}

// restoreEndpoint applies the restored history to an endpoint that is new in the list. The cause of
// its ejection may be gone. The ejection level is therefore multiplied by the weight of the snapshot
// and rounded down, and only the remaining time of the ejection applies.
func (b *Balancer) restoreEndpoint(e *endpoint) {
	if b.restored == nil {
		return
	}
	s := b.restored.endpoints[e.ID]
	if s == nil || s.StartTime != e.StartTime {
		return
	}
	e.slowness, e.latencySamples = b.restored.weight*s.Slowness, s.LatencySamples
	e.ejectionLevel = int(b.restored.weight * float64(s.EjectionLevel))
	if remaining := s.EjectionRemaining - b.restored.age; remaining > 0 {
		e.ejectedUntil = b.now + remaining
	}
	if e.ejectionLevel > 0 || e.ejectedUntil > b.now {
		b.outliers.addPossibleOutlier(e)
	}
}
