// Package scenario is the lab's file format: a site, its load, a timetable of faults and what must hold. A
// Scenario that Parse returns is complete and within its ranges.
package scenario

import (
	"slices"
	"time"
)

// Scenario is one file.
type Scenario struct {
	Name         string           `toml:"name"`
	Duration     Duration         `toml:"duration"` // of the load; what is under way then is waited for
	Nodes        int              `toml:"nodes"`    // at the front, spread evenly over the zones
	Zones        []Zone           `toml:"zone"`
	Tiers        []Tier           `toml:"tier"`
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

// Zone is a place that fails as one.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// TargetTier is a set of servers that serve one kind of call.
type Tier struct {
	Name         string        `toml:"name"`
	Servers      int           `toml:"servers"`
	WorkFactor   float64       `toml:"work"`      // requireFraction of a class's work that one call here does
	CallsRange   []float64     `toml:"calls"`     // calls of the next tier for each request, least and most of the mean
	RackSize     int           `toml:"rack_size"` // servers that share the memory of keyed requests
	MachineTypes []MachineType `toml:"kind"`
}

// MachineType is a make of server.
type MachineType struct {
	Name            string     `toml:"name"`
	Weight          float64    `toml:"share"` // of the tier's servers, against the other kinds'
	Cores           int        `toml:"cores"`
	SpeedRange      []float64  `toml:"speed"`          // of a core against the yardstick, least and most
	SlotsPerCore    int        `toml:"slots_per_core"` // requests in work at once
	QueuePerCore    int        `toml:"queue_per_core"` // and waiting; beyond that it turns away
	ErrorRate       float64    `toml:"error_rate"`
	CancelStopsWork bool       `toml:"stops_work"` // a cancel also stops running work
	InitialCapacity float64    `toml:"cold_from"`  // requireFraction of its capacity at the start
	WarmUpRange     []Duration `toml:"cold_for"`   // until it has all, least and most
	MaxConnections  int        `toml:"connections"`
	HandshakeWork   Duration   `toml:"handshake"` // work that a new connection costs
	Overload        Overload   `toml:"choke"`
}

// Overload is how an overloaded server turns slow and recovers. At 0 it does not.
type Overload struct {
	Threshold         float64  `toml:"at"` // requests for each core
	OnsetDelay        Duration `toml:"after"`
	Slowdown          float64  `toml:"slower"`
	RecoveryThreshold float64  `toml:"below"` // requests for each core that count as idle
	RecoveryDelay     Duration `toml:"rest"`
	MaxDuration       Duration `toml:"most"`
}

// MinServedShareByClass is a class of requests.
type Class struct {
	Name             string     `toml:"name"`
	Weight           float64    `toml:"share"`
	WorkRange        []Duration `toml:"work"` // mean on a yardstick core, least and most
	LatencyObjective Duration   `toml:"aim"`
	Deadline         Duration   `toml:"deadline"`
	PriorityWeight   float64    `toml:"worth"`
	Idempotency      string     `toml:"effect"` // safe, keyed, unsafe
	KeyScope         string     `toml:"scope"`  // cell, zone, all
	KeyWindow        Duration   `toml:"window"`
}

// Values of Class.Idempotency.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed" // with the idempotency key that each request has
	NonIdempotent   = "unsafe"
)

// Values of Class.KeyScope: the servers that recognize the same key.
const (
	KeyScopeRack = "cell"
	KeyScopeZone = "zone"
	KeyScopeAll  = "all"
)

// Load is what clients ask for.
type Load struct {
	Rate      float64 `toml:"rate"`  // requests a second
	RateSwing float64 `toml:"swing"` // requireFraction by which the rate rises and falls over the run
}

// Clients is how they behave.
type Clients struct {
	MaxRetries              int      `toml:"retries"`
	Backoff                 Duration `toml:"backoff"`
	AttemptTimeoutFraction  float64  `toml:"try_share"` // of the deadline after which a try is given up
	ImpatientFraction       float64  `toml:"impatient"` // requireFraction that leaves early
	HonorRetryAfterFraction float64  `toml:"honour"`    // requireFraction that follows Retry-After
	MarkRetries             bool     `toml:"marks_retry"`
}

// Discovery is how news of servers comes.
type Discovery struct {
	DelayRange         []Duration `toml:"delay"`  // from a change to what the agents hold, least and most
	GossipPeriod       Duration   `toml:"period"` // agents pass on what they have heard so often
	DetectionDelay     Duration   `toml:"notice"` // until the death of a server is known
	NodeDetectionDelay Duration   `toml:"front_notice"`
	WatchTimeout       Duration   `toml:"missed"` // after a watch fell silent, what it misses counts as told
}

// Registry is discovery by the project's own registry, on real processes. With no replicas it is as Discovery says.
type Registry struct {
	Replicas           int      `toml:"replicas"`
	LeaseTTL           Duration `toml:"ttl"`      // of a server's lease
	DisableExpiryGuard bool     `toml:"no_guard"` // believe every lease that ends, to see what the guard is for
}

// Budget is how much of each tier may be out at once, as a share of its capacity. Where it is set, servers drain by permit:
// what does not fit does not drain. All zero: everybody drains as he likes.
type Budget struct {
	Tier float64 `toml:"whole"`
	Zone float64 `toml:"zone"` // within each zone; 0: no limit there
	Rack float64 `toml:"rack"`
}

// Enabled tells whether there is a budget.
func (b Budget) Enabled() bool { return b.Tier > 0 }

// SnapshotSettings is what nodes keep of what they have learned, for the process after them.
type SnapshotSettings struct {
	Enabled  bool     `toml:"keep"`  // they have a disk that survives them
	Interval Duration `toml:"every"` // between snapshots
	MaxAge   Duration `toml:"max_age"`
}

// Network is the time messages take; on the real clock the machine adds its own.
type Network struct {
	SameZone  Duration `toml:"same_zone"`
	CrossZone Duration `toml:"cross_zone"`
}

// Limits is what nodes may do and have.
type Limits struct {
	MaxAttempts       int      `toml:"max_attempts"`
	Hedging           bool     `toml:"second_copies"`
	Cancellation      bool     `toml:"cancel"`
	MaxRetryAfter     Duration `toml:"max_retry_after"`
	ConnectTimeout    Duration `toml:"connect_timeout"`
	IdleTimeout       Duration `toml:"idle"`
	DrainTimeout      Duration `toml:"drain_within"`
	Slack             Duration `toml:"slack"` // on every limit in time
	CrashLoadMultiple float64  `toml:"fall_multiple"`
	CrashLoadWindow   Duration `toml:"fall_for"`
	MaxMemoryMB       int      `toml:"memory_mb"`
	MaxSockets        int      `toml:"sockets"`
	PropagateDeadline bool     `toml:"passes_time_left"`
	StartTimeout      Duration `toml:"start_within"`
}

// Expectations is what must hold for a run to be in order. Absent limits are not looked at.
type Expectations struct {
	MinServedShare            float64            `toml:"served_share"` // at least
	MinWeightedServedShare    float64            `toml:"worth_share"`  // at least
	MinServedShareByClass     map[string]float64 `toml:"class_served"` // at least, by class
	MaxP99                    Duration           `toml:"p99"`          // of what is served, at most
	MaxAttemptsPerRequest     float64            `toml:"attempts_per_request"`
	MaxRulesBroken            int                `toml:"rules_broken"`  // at most
	MinLastQuarterServedShare float64            `toml:"tail_served"`   // requireFraction served in the last quarter, at least
	MinRestartRecovery        float64            `toml:"after_restart"` // see lab.Result; at least
}

// Shorten sets another duration and leaves out the faults that it does not reach.
func (s *Scenario) Shorten(d time.Duration) {
	s.Duration = Duration(d)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At > s.Duration })
}
