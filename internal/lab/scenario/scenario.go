// Package scenario is the file format of the lab: a site, its load, a schedule of faults, and what is expected of a run. A
// Scenario that Parse or Read returns has its defaults filled in and is valid. NewSite draws from a seed what a scenario gives
// as ranges.
//
// Work is the time that a reference core, one of speed 1, needs. Ranges have two values, the minimum and the maximum.
package scenario

import (
	"slices"
	"time"
)

// Scenario is the content of a file. The zero value of a field means its default, if it has one.
type Scenario struct {
	Name         string           `toml:"name"`
	Duration     Duration         `toml:"duration"` // of the load; requests in flight at its end are awaited
	Nodes        int              `toml:"nodes"`    // at the front, distributed evenly over the zones
	Zones        []Zone           `toml:"zone"`
	Tiers        []Tier           `toml:"tier"` // clients call the first through nodes at the front, each tier the next one
	Classes      []Class          `toml:"class"`
	Load         Load             `toml:"load"`
	Clients      Clients          `toml:"clients"`
	Discovery    Discovery        `toml:"discovery"`
	Registry     Registry         `toml:"registry"`
	Budget       Budget           `toml:"budget"`
	Snapshots    SnapshotSettings `toml:"state"`
	Network      Network          `toml:"net"`
	Limits       Limits           `toml:"limits"`
	Faults       []Fault          `toml:"fault"`
	Expectations Expectations     `toml:"expect"`
}

// Zone is a failure domain.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Tier is a set of servers that serve one kind of call.
type Tier struct {
	Name         string        `toml:"name"`
	Servers      int           `toml:"servers"`
	WorkFactor   float64       `toml:"work"`      // work of one call, as a fraction of the work of its class
	CallsRange   []float64     `toml:"calls"`     // mean number of calls to the next tier for each call
	RackSize     int           `toml:"rack_size"` // servers of a zone that share their memory of idempotency keys
	MachineTypes []MachineType `toml:"kind"`
}

// MachineType is a type of server.
type MachineType struct {
	Name            string     `toml:"name"`
	Weight          float64    `toml:"share"` // how many of the tier's servers have it, relative to the other types
	Cores           int        `toml:"cores"`
	SpeedRange      []float64  `toml:"speed"`          // of a core, relative to the reference core
	SlotsPerCore    int        `toml:"slots_per_core"` // calls that are processed at once
	QueuePerCore    int        `toml:"queue_per_core"` // calls that wait for a slot; more are rejected
	ErrorRate       float64    `toml:"error_rate"`     // fraction of calls that end in an error
	CancelStopsWork bool       `toml:"stops_work"`     // cancelling a call stops its work
	InitialCapacity float64    `toml:"cold_from"`      // fraction of its capacity that a server has at its start
	WarmUpRange     []Duration `toml:"cold_for"`       // time until it has all of it
	MaxConnections  int        `toml:"connections"`
	HandshakeWork   Duration   `toml:"handshake"` // work that a new connection costs
	Overload        Overload   `toml:"choke"`
}

// Overload is how a server becomes slow under too much load, and how it recovers. With a threshold of 0 it does not.
type Overload struct {
	Threshold         float64  `toml:"at"`     // calls in progress for each core
	OnsetDelay        Duration `toml:"after"`  // how long the load must be above the threshold
	Slowdown          float64  `toml:"slower"` // factor by which the server is slower then
	RecoveryThreshold float64  `toml:"below"`  // calls in progress for each core
	RecoveryDelay     Duration `toml:"rest"`   // how long the load must be below that threshold
	MaxDuration       Duration `toml:"most"`   // after which the server recovers in any case
}

// Class is a class of requests.
type Class struct {
	Name             string     `toml:"name"`
	Weight           float64    `toml:"share"` // how many requests are of the class, relative to the other classes
	WorkRange        []Duration `toml:"work"`  // mean work of a request
	LatencyObjective Duration   `toml:"aim"`
	Deadline         Duration   `toml:"deadline"`
	PriorityWeight   float64    `toml:"worth"`
	Idempotency      string     `toml:"effect"`
	KeyScope         string     `toml:"scope"`  // where an idempotency key is recognized
	KeyWindow        Duration   `toml:"window"` // for how long
}

// Values of Class.Idempotency.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed" // each request has an idempotency key
	NonIdempotent   = "unsafe"
)

// Values of Class.KeyScope: the servers that recognize the same key.
const (
	KeyScopeRack = "cell"
	KeyScopeZone = "zone"
	KeyScopeAll  = "all"
)

// Load is the load that clients generate.
type Load struct {
	Rate      float64 `toml:"rate"`  // mean requests a second
	RateSwing float64 `toml:"swing"` // the rate rises over the run from Rate * (1 - RateSwing) to Rate * (1 + RateSwing)
}

// Clients is how clients behave.
type Clients struct {
	MaxRetries              int      `toml:"retries"`
	Backoff                 Duration `toml:"backoff"`     // before a retry
	AttemptTimeoutFraction  float64  `toml:"try_share"`   // timeout of an attempt, as a fraction of the deadline
	ImpatientFraction       float64  `toml:"impatient"`   // fraction of requests that are abandoned before the latency objective
	HonorRetryAfterFraction float64  `toml:"honour"`      // fraction of clients that honor Retry-After
	MarkRetries             bool     `toml:"marks_retry"` // clients mark their retries
}

// Discovery is how nodes learn of changes of servers, unless there is a registry.
type Discovery struct {
	DelayRange         []Duration `toml:"delay"`        // from a change until an agent has it
	GossipPeriod       Duration   `toml:"period"`       // how often agents pass on what they have
	DetectionDelay     Duration   `toml:"notice"`       // until the death of a server is detected
	NodeDetectionDelay Duration   `toml:"front_notice"` // until clients detect the death of a node
	WatchTimeout       Duration   `toml:"missed"`       // when a node must have noticed that its watch is silent
}

// Registry is discovery by the project's own registry, in a run on real processes. Without replicas discovery is simulated.
type Registry struct {
	Replicas           int      `toml:"replicas"`
	LeaseTTL           Duration `toml:"ttl"`      // of servers' leases
	DisableExpiryGuard bool     `toml:"no_guard"` // every expired lease is believed, however many expire at once
}

// Budget is the disruption budget of each tier, as fractions of its capacity that may be unavailable at a time. Where there is one,
// servers drain under a permit, or not at all. Without one every drain is allowed.
type Budget struct {
	Tier float64 `toml:"whole"`
	Zone float64 `toml:"zone"` // of each zone; 0: no limit
	Rack float64 `toml:"rack"` // of each rack; 0: no limit
}

// Enabled reports whether there is a budget.
func (b Budget) Enabled() bool { return b.Tier > 0 }

// SnapshotSettings are about the snapshots by which a node's process restores what the one before had learned.
type SnapshotSettings struct {
	Enabled  bool     `toml:"keep"` // nodes have a disk that outlives their processes
	Interval Duration `toml:"every"`
	MaxAge   Duration `toml:"max_age"`
}

// Network is the latency of messages in one direction. On the machine's clock the machine adds its own.
type Network struct {
	SameZone  Duration `toml:"same_zone"`
	CrossZone Duration `toml:"cross_zone"`
}

// Limits are the limits that nodes must keep, and the settings that they get.
type Limits struct {
	MaxAttempts       int      `toml:"max_attempts"`  // of a request, by one node
	Hedging           bool     `toml:"second_copies"` // hedged requests are allowed
	Cancellation      bool     `toml:"cancel"`        // nodes may cancel attempts
	MaxRetryAfter     Duration `toml:"max_retry_after"`
	ConnectTimeout    Duration `toml:"connect_timeout"`
	IdleTimeout       Duration `toml:"idle"`         // of connections
	DrainTimeout      Duration `toml:"drain_within"` // within which a node must stop sending to a server that drains
	Slack             Duration `toml:"slack"`        // added to every limit of a time
	CrashLoadMultiple float64  `toml:"fall_multiple"`
	CrashLoadWindow   Duration `toml:"fall_for"` // a warming server crashes under CrashLoadMultiple times its capacity for so long
	MaxMemoryMB       int      `toml:"memory_mb"`
	MaxSockets        int      `toml:"sockets"`
	PropagateDeadline bool     `toml:"passes_time_left"` // servers give calls to the next tier the rest of their own time
	StartTimeout      Duration `toml:"start_within"`     // of a node's process
}

// Expectations are the limits that a run is checked against. Those that are absent are not checked.
type Expectations struct {
	MinServedShare            float64            `toml:"served_share"` // fraction of requests served within the latency objective
	MinWeightedServedShare    float64            `toml:"worth_share"`  // the same by priority weight
	MinServedShareByClass     map[string]float64 `toml:"class_served"`
	MaxP99                    Duration           `toml:"p99"` // of the latency of served requests
	MaxAttemptsPerRequest     float64            `toml:"attempts_per_request"`
	MaxRulesBroken            int                `toml:"rules_broken"`
	MinLastQuarterServedShare float64            `toml:"tail_served"`   // of the requests of the last quarter
	MinRestartRecovery        float64            `toml:"after_restart"` // see lab.Result
}

// Shorten sets another duration and removes the faults that begin after it.
func (s *Scenario) Shorten(d time.Duration) {
	s.Duration = Duration(d)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At > s.Duration })
}
