package scenario

import (
	"fmt"
	"time"
)

// defaults returns a scenario with the defaults of all settings outside arrays of tables.
func defaults() *Scenario {
	return &Scenario{
		Duration: Duration(20 * time.Second),
		Nodes:    2,
		Clients: Clients{
			MaxRetries:              2,
			Backoff:                 Duration(200 * time.Millisecond),
			AttemptTimeoutFraction:  0.55,
			ImpatientFraction:       0.03,
			HonorRetryAfterFraction: 0.2,
			MarkRetries:             true,
		},
		Discovery: Discovery{
			DelayRange:         []Duration{Duration(300 * time.Millisecond), Duration(1500 * time.Millisecond)},
			GossipPeriod:       Duration(200 * time.Millisecond),
			DetectionDelay:     Duration(4 * time.Second),
			NodeDetectionDelay: Duration(2 * time.Second),
			WatchTimeout:       Duration(6 * time.Second),
		},
		Registry:  Registry{LeaseTTL: Duration(2 * time.Second)},
		Snapshots: SnapshotSettings{Interval: Duration(time.Second), MaxAge: Duration(time.Minute)},
		Network:   Network{SameZone: Duration(200 * time.Microsecond), CrossZone: Duration(2 * time.Millisecond)},
		Limits: Limits{
			MaxAttempts:       6,
			Hedging:           true,
			Cancellation:      true,
			MaxRetryAfter:     Duration(2 * time.Second),
			ConnectTimeout:    Duration(250 * time.Millisecond),
			IdleTimeout:       Duration(30 * time.Second),
			DrainTimeout:      Duration(500 * time.Millisecond),
			Slack:             Duration(50 * time.Millisecond),
			CrashLoadMultiple: 3,
			CrashLoadWindow:   Duration(2 * time.Second),
			MaxMemoryMB:       64,
			MaxSockets:        384,
			PropagateDeadline: true,
			StartTimeout:      Duration(10 * time.Second),
		},
	}
}

// setDefaults sets the defaults of zones, tiers and classes, whose number is known only after decoding.
func (s *Scenario) setDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "z0"}}
	}
	for i := range s.Tiers {
		s.Tiers[i].setDefaults()
	}
	for i := range s.Classes {
		s.Classes[i].setDefaults()
	}
}

func (t *Tier) setDefaults() {
	setDefault(&t.WorkFactor, 1)
	setDefault(&t.RackSize, 4)
	if t.CallsRange == nil {
		t.CallsRange = []float64{0, 0}
	}
	if len(t.MachineTypes) == 0 {
		t.MachineTypes = []MachineType{{}}
	}
	for i := range t.MachineTypes {
		m := &t.MachineTypes[i]
		setDefault(&m.Name, fmt.Sprintf("%s-%d", t.Name, i))
		m.setDefaults()
	}
}

func (m *MachineType) setDefaults() {
	setDefault(&m.Weight, 1)
	setDefault(&m.Cores, 2)
	setDefault(&m.SlotsPerCore, 16)
	setDefault(&m.QueuePerCore, 16)
	setDefault(&m.InitialCapacity, 1)
	setDefault(&m.MaxConnections, 1200)
	if m.SpeedRange == nil {
		m.SpeedRange = []float64{1, 1}
	}
	if m.WarmUpRange == nil {
		m.WarmUpRange = []Duration{0, 0}
	}
	if o := &m.Overload; o.Threshold > 0 {
		setDefault(&o.OnsetDelay, Duration(2*time.Second))
		setDefault(&o.Slowdown, 3)
		setDefault(&o.RecoveryThreshold, 0.4)
		setDefault(&o.RecoveryDelay, Duration(3*time.Second))
		setDefault(&o.MaxDuration, Duration(28*time.Second))
	}
}

func (c *Class) setDefaults() {
	setDefault(&c.Weight, 1)
	setDefault(&c.PriorityWeight, 1)
	setDefault(&c.KeyWindow, Duration(10*time.Second))
	setDefault(&c.Idempotency, Idempotent)
	setDefault(&c.KeyScope, KeyScopeRack)
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}
