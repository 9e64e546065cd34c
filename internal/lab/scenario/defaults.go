package scenario

import (
	"fmt"
	"time"
)

// defaults are what a file need not say.
func defaults() *Scenario {
	return &Scenario{
		Duration:  Duration(20 * time.Second),
		Nodes:     2,
		Clients:   Clients{MaxRetries: 2, Backoff: Duration(200 * time.Millisecond), AttemptTimeoutFraction: 0.55, ImpatientFraction: 0.03, HonorRetryAfterFraction: 0.2, MarkRetries: true},
		Discovery: Discovery{DelayRange: []Duration{Duration(300 * time.Millisecond), Duration(1500 * time.Millisecond)}, GossipPeriod: Duration(200 * time.Millisecond), DetectionDelay: Duration(4 * time.Second), NodeDetectionDelay: Duration(2 * time.Second), WatchTimeout: Duration(6 * time.Second)},
		Registry:  Registry{LeaseTTL: Duration(2 * time.Second)},
		Snapshots: SnapshotSettings{Interval: Duration(time.Second), MaxAge: Duration(time.Minute)},
		Network:   Network{SameZone: Duration(200 * time.Microsecond), CrossZone: Duration(2 * time.Millisecond)},
		Limits: Limits{MaxAttempts: 6, Hedging: true, Cancellation: true, MaxRetryAfter: Duration(2 * time.Second),
			ConnectTimeout: Duration(250 * time.Millisecond), IdleTimeout: Duration(30 * time.Second), DrainTimeout: Duration(500 * time.Millisecond),
			Slack: Duration(50 * time.Millisecond), CrashLoadMultiple: 3, CrashLoadWindow: Duration(2 * time.Second),
			MaxMemoryMB: 64, MaxSockets: 384, PropagateDeadline: true, StartTimeout: Duration(10 * time.Second)},
	}
}

// setDefaults fills in what tiers, kinds and classes leave out.
func (s *Scenario) setDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "z0"}}
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		setDefault(&t.WorkFactor, 1)
		setDefault(&t.RackSize, 4)
		if len(t.MachineTypes) == 0 {
			t.MachineTypes = []MachineType{{}}
		}
		for j := range t.MachineTypes {
			k := &t.MachineTypes[j]
			if k.Name == "" {
				k.Name = fmt.Sprintf("%s-%d", t.Name, j)
			}
			setDefault(&k.Weight, 1)
			setDefault(&k.Cores, 2)
			setDefault(&k.SlotsPerCore, 16)
			setDefault(&k.QueuePerCore, 16)
			setDefault(&k.InitialCapacity, 1)
			setDefault(&k.MaxConnections, 1200)
			if k.SpeedRange == nil {
				k.SpeedRange = []float64{1, 1}
			}
			if k.WarmUpRange == nil {
				k.WarmUpRange = []Duration{0, 0}
			}
			if c := &k.Overload; c.Threshold > 0 {
				setDefault(&c.OnsetDelay, Duration(2*time.Second))
				setDefault(&c.Slowdown, 3)
				setDefault(&c.RecoveryThreshold, 0.4)
				setDefault(&c.RecoveryDelay, Duration(3*time.Second))
				setDefault(&c.MaxDuration, Duration(28*time.Second))
			}
		}
		if t.CallsRange == nil {
			t.CallsRange = []float64{0, 0}
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Weight, 1)
		setDefault(&c.PriorityWeight, 1)
		setDefault(&c.KeyWindow, Duration(10*time.Second))
		if c.Idempotency == "" {
			c.Idempotency = Idempotent
		}
		if c.KeyScope == "" {
			c.KeyScope = KeyScopeRack
		}
	}
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}
