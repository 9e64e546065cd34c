// Package scenario defines the file format of the lab: a site, its load, a schedule of faults, and the expectations of a run. A
// Scenario returned by Parse or Read is valid and has its defaults filled in. NewSite draws a value for each range of a scenario
// from a seed.
//
// Work is the time that a reference core, which has speed 1, needs for a task. Ranges have two values, the minimum and maximum.
package scenario

import (
	"slices"
	"time"
)

// Scenario is the content of a file. In tiers, machine types and classes a value of zero is replaced by the default of its
// key. Elsewhere the default applies only if the key is missing.
type Scenario struct {
	Name         string           `toml:"name"`
	Duration     Duration         `toml:"duration"` // of the load; the run then waits for the requests in flight
	Nodes        int              `toml:"nodes"`    // number of front nodes, which are distributed evenly over the zones
	Zones        []Zone           `toml:"zone"`
	Tiers        []Tier           `toml:"tier"` // clients call the first through the front nodes, and each tier calls the next
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
	RackSize     int           `toml:"rack_size"` // number of servers of a zone that share a store of idempotency keys
	MachineTypes []MachineType `toml:"kind"`
}

// MachineType is a type of server.
type MachineType struct {
	Name            string     `toml:"name"`
	Weight          float64    `toml:"share"` // share of the tier's servers, relative to the other types
	Cores           int        `toml:"cores"`
	SpeedRange      []float64  `toml:"speed"`          // of a core, relative to the reference core
	SlotsPerCore    int        `toml:"slots_per_core"` // calls that are processed concurrently
	QueuePerCore    int        `toml:"queue_per_core"` // calls that may wait for a slot; further calls are rejected
	ErrorRate       float64    `toml:"error_rate"`     // fraction of calls that end in an error
	CancelStopsWork bool       `toml:"stops_work"`     // cancelling a call stops its work
	InitialCapacity float64    `toml:"cold_from"`      // fraction of its capacity that a server has when it starts
	WarmUpRange     []Duration `toml:"cold_for"`       // time until it has its full capacity
	MaxConnections  int        `toml:"connections"`
	HandshakeWork   Duration   `toml:"handshake"` // work of accepting a connection
	Overload        Overload   `toml:"choke"`
}

// Overload describes how a server slows down under too much load and how it recovers. A threshold of zero disables it.
type Overload struct {
	Threshold         float64  `toml:"at"`     // calls in progress for each core
	OnsetDelay        Duration `toml:"after"`  // how long the load must be above Threshold
	Slowdown          float64  `toml:"slower"` // factor by which an overloaded server is slower
	RecoveryThreshold float64  `toml:"below"`  // calls in progress for each core
	RecoveryDelay     Duration `toml:"rest"`   // how long the load must be below RecoveryThreshold
	MaxDuration       Duration `toml:"most"`   // after which the server recovers in any case
}

// Class is a class of requests.
type Class struct {
	Name             string     `toml:"name"`
	Weight           float64    `toml:"share"` // share of the requests, relative to the other classes
	WorkRange        []Duration `toml:"work"`  // mean work of a request
	LatencyObjective Duration   `toml:"aim"`
	Deadline         Duration   `toml:"deadline"`
	PriorityWeight   float64    `toml:"worth"`
	Idempotency      string     `toml:"effect"`
	KeyScope         string     `toml:"scope"`  // where an idempotency key is recognized
	KeyWindow        Duration   `toml:"window"` // how long a key is recognized
}

// Values of Class.Idempotency.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed" // each request has an idempotency key
	NonIdempotent   = "unsafe"
)

// Values of Class.KeyScope, the set of servers that recognize the same key.
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

// Clients describes the behavior of clients.
type Clients struct {
	MaxRetries              int      `toml:"retries"`
	Backoff                 Duration `toml:"backoff"`     // before a retry
	AttemptTimeoutFraction  float64  `toml:"try_share"`   // timeout of an attempt, as a fraction of the deadline
	ImpatientFraction       float64  `toml:"impatient"`   // fraction of requests that are abandoned before the latency objective
	HonorRetryAfterFraction float64  `toml:"honour"`      // fraction of clients that honor Retry-After
	MarkRetries             bool     `toml:"marks_retry"` // clients mark their retries
}

// Discovery configures the simulated discovery, which notifies nodes of changes of servers if the scenario has no registry.
type Discovery struct {
	DelayRange         []Duration `toml:"delay"`        // from a change until it reaches an agent
	GossipPeriod       Duration   `toml:"period"`       // interval of the rounds in which agents receive changes
	DetectionDelay     Duration   `toml:"notice"`       // until the death of a server is detected
	NodeDetectionDelay Duration   `toml:"front_notice"` // until clients detect the death of a node
	WatchTimeout       Duration   `toml:"missed"`       // time after which a node must have detected that its watch is silent
}

// Registry configures discovery by the real registry in a run on real processes. Discovery is simulated if Replicas is zero.
type Registry struct {
	Replicas           int      `toml:"replicas"`
	LeaseTTL           Duration `toml:"ttl"`      // of servers' leases
	DisableExpiryGuard bool     `toml:"no_guard"` // remove every server whose lease expires, however many expire at the same time
}

// Budget is the disruption budget of each tier, as fractions of its capacity that may be unavailable at the same time. With a
// budget a server drains only under a permit. Without a budget every drain is allowed.
type Budget struct {
	Tier float64 `toml:"whole"` // of the whole tier; zero means that there is no budget
	Zone float64 `toml:"zone"`  // of each zone; zero means no limit
	Rack float64 `toml:"rack"`  // of each rack; zero means no limit
}

// Enabled reports whether there is a budget.
func (b Budget) Enabled() bool { return b.Tier > 0 }

// SnapshotSettings configure the snapshots from which a restarted node restores the state of its previous process.
type SnapshotSettings struct {
	Enabled  bool     `toml:"keep"` // nodes have a disk that persists across restarts
	Interval Duration `toml:"every"`
	MaxAge   Duration `toml:"max_age"`
}

// Network is the one-way latency of messages on the virtual clock. A run on real processes has the latency of the machine.
type Network struct {
	SameZone  Duration `toml:"same_zone"`
	CrossZone Duration `toml:"cross_zone"`
}

// Limits are the limits that nodes must keep, and settings that nodes receive.
type Limits struct {
	MaxAttempts       int      `toml:"max_attempts"`  // of a request, by one node
	Hedging           bool     `toml:"second_copies"` // hedged requests are allowed
	Cancellation      bool     `toml:"cancel"`        // nodes may cancel attempts
	MaxRetryAfter     Duration `toml:"max_retry_after"`
	ConnectTimeout    Duration `toml:"connect_timeout"`
	IdleTimeout       Duration `toml:"idle"`         // of connections
	DrainTimeout      Duration `toml:"drain_within"` // time within which a node must stop sending to a draining server
	Slack             Duration `toml:"slack"`        // tolerance added to the time limits that are checked
	CrashLoadMultiple float64  `toml:"fall_multiple"`
	CrashLoadWindow   Duration `toml:"fall_for"` // how long a warming server withstands CrashLoadMultiple times its capacity
	MaxMemoryMB       int      `toml:"memory_mb"`
	MaxSockets        int      `toml:"sockets"`
	PropagateDeadline bool     `toml:"passes_time_left"` // servers pass their remaining time to calls to the next tier
	StartTimeout      Duration `toml:"start_within"`     // of a node's process
}

// Expectations are the limits against which a run is checked. A limit of zero is not checked, except for MaxRulesBroken.
type Expectations struct {
	MinServedShare            float64            `toml:"served_share"` // fraction of requests served within the latency objective
	MinWeightedServedShare    float64            `toml:"worth_share"`  // the same, weighted by priority
	MinServedShareByClass     map[string]float64 `toml:"class_served"`
	MaxP99                    Duration           `toml:"p99"` // of the latency of served requests
	MaxAttemptsPerRequest     float64            `toml:"attempts_per_request"`
	MaxRulesBroken            int                `toml:"rules_broken"`
	MinLastQuarterServedShare float64            `toml:"tail_served"`   // of the requests of the last quarter
	MinRestartRecovery        float64            `toml:"after_restart"` // see lab.Result.RecoveryAfterRestart
}

// Shorten sets a shorter duration and removes the faults that would begin after it.
func (s *Scenario) Shorten(d time.Duration) {
	s.Duration = Duration(d)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At > s.Duration })
}
