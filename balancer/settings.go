package balancer

import (
	"fmt"
	"time"
)

// Effect states whether a request may be executed more than once.
type Effect int

// Effects. The zero value is the most restrictive one.
const (
	NonIdempotent      Effect = iota // must not be executed twice
	WithIdempotencyKey               // endpoints of one scope discard duplicates for a limited time
	Idempotent                       // may be executed any number of times
)

// IdempotencyScope states which endpoints share the idempotency keys that they receive.
type IdempotencyScope int

// Scopes, from the narrowest to the widest.
const (
	ScopeCell IdempotencyScope = iota // endpoints of one cell of one zone
	ScopeZone                         // endpoints of one zone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name              string
	Effect            Effect
	IdempotencyScope  IdempotencyScope // used with WithIdempotencyKey
	IdempotencyWindow time.Duration    // used with WithIdempotencyKey: lifetime of keys since the first send
	LatencyObjective  time.Duration    // responses within it earn full credit
	Deadline          time.Duration    // time from the first try of a client to its deadline, with retries
	LateCredit        float64          // fraction of the credit that a response after the objective earns
	PriorityWeight    float64          // credit of a response within the objective; raises the priority
	Streaming         bool             // responses are streams; no decision depends on it
}

// WeightKind states what Endpoint.Weight means.
type WeightKind int

// Meanings of Endpoint.Weight.
const (
	WeightUnknown     WeightKind = iota // unspecified; weights are ignored
	WeightNominal                       // registered capacity
	WeightApproximate                   // approximate capacity
	WeightLive                          // capacity divided by load, outdated on arrival; weights are ignored
)

// SlowStart describes how an endpoint warms up after its start, and which load it tolerates while it
// warms up.
type SlowStart struct {
	InitialFraction  float64       // minimum fraction of its capacity that an endpoint has at its start
	Duration         time.Duration // time from its start to its full capacity
	OverloadMultiple float64       // load that overloads the endpoint, as a multiple of its current capacity
	OverloadWindow   time.Duration // how long it tolerates such a load before it fails
}

// Settings configures a Balancer. A Reconfigure event replaces the settings.
type Settings struct {
	Classes          []Class
	Replicas         int     // number of nodes that send to this tier
	ReplicaIndex     int     // index of this node among them, from 0
	Tier             int     // tier that requests are sent to; zero is the first
	TotalValueWeight float64 // weight of the total credit of all classes in load shedding
	WorstClassWeight float64 // weight of the worst-served class in load shedding

	MaxAttempts   int  // maximum number of attempts of a request; zero counts as 1
	Hedging       bool // has no effect; kept for compatibility of the settings
	Cancellation  bool // the host supports Cancel
	WeightKind    WeightKind
	PollDiscovery bool          // the endpoint list is sent only after a Subscribe
	PollInterval  time.Duration // longest interval between polls; a Subscribe is delayed by up to a quarter
	Tick          time.Duration // resolution of the host's timers, which can fire up to one tick early
	MaxRetryAfter time.Duration // longest RetryAfter that clients respect

	SlowStart      SlowStart
	SnapshotMaxAge time.Duration // a snapshot of this age or older is ignored; zero if nothing is restored
}

// SettingError reports a setting that is missing or out of range.
type SettingError struct {
	Field string // path of the field in Settings, such as Classes[0].Deadline
}

// Error returns a message that names the field.
func (e *SettingError) Error() string {
	return "balancer: setting " + e.Field + " is missing or out of range"
}

// settingCheck is the result of validating one field.
type settingCheck struct {
	field string
	valid bool
}

// Validate returns a *SettingError for the first invalid field, or nil if all fields are valid.
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

// checks validates the fields of the class. path is the path of the class in Settings.
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
