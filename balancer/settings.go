package balancer

import (
	"fmt"
	"time"
)

// Effect says what happens when a request is executed more than once.
type Effect int

// Effects. The zero value is the most restrictive one.
const (
	NonIdempotent      Effect = iota // must never run twice
	WithIdempotencyKey               // endpoints of one scope discard duplicates for a while
	Idempotent                       // may run any number of times
)

// IdempotencyScope names the endpoints that share the idempotency keys they have seen.
type IdempotencyScope int

// Scopes, from the narrowest.
const (
	ScopeCell IdempotencyScope = iota // endpoints of one cell of one zone
	ScopeZone                         // endpoints of one zone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name              string
	Effect            Effect
	IdempotencyScope  IdempotencyScope // for WithIdempotencyKey
	IdempotencyWindow time.Duration    // for WithIdempotencyKey: how long keys are kept, from the first send
	LatencyObjective  time.Duration    // answers within it earn full credit
	Deadline          time.Duration    // how long a client waits over all its retries
	LateCredit        float64          // share of the credit that an answer after the objective earns
	PriorityWeight    float64          // credit of an answer in time; more is served first under overload
	Streaming         bool             // answers are streams; no decision depends on it
}

// WeightKind says what Endpoint.Weight means.
type WeightKind int

// Meanings of Endpoint.Weight.
const (
	WeightUnknown     WeightKind = iota // nothing
	WeightNominal                       // the registered capacity
	WeightApproximate                   // about the capacity
	WeightLive                          // capacity over load, some time ago
)

// SlowStart describes how an endpoint warms up after its start, and what overloads it meanwhile.
type SlowStart struct {
	InitialFraction  float64       // fraction of its capacity that a fresh endpoint has at least
	Duration         time.Duration // time from its start to its full capacity
	OverloadMultiple float64       // times its present capacity that overloads a warming endpoint
	OverloadWindow   time.Duration // how long it bears such load before it fails
}

// Settings configure a Balancer. Reconfigure replaces them.
type Settings struct {
	Classes          []Class
	Replicas         int     // balancers that send to this tier
	ReplicaIndex     int     // of this one among them, from 0
	Tier             int     // the tier sent to; 0: the one that clients' requests reach first
	TotalValueWeight float64 // weight of the credit earned over all classes when shedding load
	WorstClassWeight float64 // weight of the class that is served worst when shedding load

	MaxAttempts   int  // attempts of a request; 0 counts as 1
	Hedging       bool // no effect; kept for the form of the settings
	Cancellation  bool // the host can carry out a Cancel
	WeightKind    WeightKind
	PollDiscovery bool          // the endpoint list comes only after a Subscribe
	PollInterval  time.Duration // a replica without a subscription must ask at least this often
	Tick          time.Duration // resolution of the host's clock: events come no more often
	MaxRetryAfter time.Duration // longest advice that clients heed

	SlowStart      SlowStart
	SnapshotMaxAge time.Duration // an older snapshot is ignored; 0: nothing is restored
}

// SettingError reports that a setting is missing or out of range.
type SettingError struct {
	Field string // path of the field in Settings, such as Classes[0].Deadline
}

// Error names the setting.
func (e *SettingError) Error() string {
	return "balancer: setting " + e.Field + " is missing or out of range"
}

// settingCheck is the result of checking one field.
type settingCheck struct {
	field string
	valid bool
}

// Validate returns a *SettingError that names the first invalid setting, or nil.
func (s Settings) Validate() error {
	checks := []settingCheck{
		{"Classes", len(s.Classes) > 0},
		{"Replicas", s.Replicas >= 0},
		{"ReplicaIndex", s.ReplicaIndex >= 0},
		{"Tier", s.Tier >= 0},
		{"MaxAttempts", s.MaxAttempts >= 0},
		{"PollInterval", s.PollInterval >= 0},
		{"Tick", s.Tick >= 0},
		{"MaxRetryAfter", s.MaxRetryAfter >= 0},
		{"SlowStart.InitialFraction", s.SlowStart.InitialFraction >= 0 && s.SlowStart.InitialFraction <= 1},
		{"SlowStart.Duration", s.SlowStart.Duration >= 0},
		{"SlowStart.OverloadMultiple", s.SlowStart.OverloadMultiple >= 0},
		{"SlowStart.OverloadWindow", s.SlowStart.OverloadWindow >= 0},
		{"SnapshotMaxAge", s.SnapshotMaxAge >= 0},
	}
	for i, c := range s.Classes {
		checks = append(checks, c.checks(fmt.Sprintf("Classes[%d]", i))...)
	}
	for _, c := range checks {
		if !c.valid {
			return &SettingError{Field: c.field}
		}
	}
	return nil
}

// checks checks the class's fields; path names the class.
func (c Class) checks(path string) []settingCheck {
	return []settingCheck{
		{path + ".Name", c.Name != ""},
		{path + ".LatencyObjective", c.LatencyObjective > 0},
		{path + ".Deadline", c.Deadline > 0},
		{path + ".IdempotencyWindow", c.IdempotencyWindow >= 0},
		{path + ".PriorityWeight", c.PriorityWeight >= 0},
		{path + ".LateCredit", c.LateCredit >= 0 && c.LateCredit <= 1},
	}
}
