// Package faulttest runs releases, drains and rollouts of settings on real processes while it injects faults, and checks the
// actions of the processes. A run consists of a registry of three replicas, agents or nodes, controllers, and operators at the
// command line. Every agent, node and controller reaches each replica over a relay of its own, so that any of them can be
// partitioned.
//
// The check reads the event logs of the processes and the faults that the run has recorded. It does not query the registry.
//
// [Run] tests releases and drains, [RunSettings] tests rollouts of settings. Each call starts processes of its own, so that
// several calls may run at once.
package faulttest

import (
	"context"
	"fmt"
	"time"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the operators' commands and the faults, defaults to 6 s
	Program  []string      // the command that runs umberbank, defaults to the running executable
	NoFaults bool          // disables the injection of faults
	Log      func(format string, args ...any)
	// ExtraProcess returns the command of one more process, such as one that violates a rule. Its arguments are the addresses of
	// the replicas and the directory of the event logs. No process is added if ExtraProcess is nil.
	ExtraProcess func(addresses []string, dir string) []string
	// NodeCommand replaces the command of the first node in RunSettings, in the same environment. If it is nil, the first node
	// runs Program as the others do.
	NodeCommand []string
	// RestartNode makes RunSettings kill the first node once the first version is committed, and start it again.
	RestartNode bool
	DeadUnits   []string // units that Run kills before the release and does not start again until the faults are over
}

// Result holds the outcome and the counts of a run, the injected faults, and the violations.
type Result struct {
	Seed               uint64   `json:"seed"`
	Permits            int      `json:"permits"`     // used by agents or operators
	OverBudget         int      `json:"over_budget"` // times that taking a unit out of service exceeded a limit
	WritesWithoutLease int      `json:"two_actors"`  // writes applied for a controller that was not the leader
	BegunAfterHalt     int      `json:"late_begins"` // permits that began more than a second after a halt
	AppliedWrites      int      `json:"acts"`        // of controllers
	Outcome            string   `json:"outcome"`     // of the release: "done", or "taken back" after a rollback
	SettleS            float64  `json:"settle_s"`    // from the end of the faults until all units ran their versions, in seconds
	Faults             []string `json:"faults"`
	Violations         []string `json:"broken"` // descriptions, at most 20 of those that the check found
}

// The units, limits and release plan of a run. The limits allow three of twelve servers, two servers of a zone, and one of
// four nodes to be unavailable.
const (
	serverCount = 12
	nodeCount   = 4
	limitsFile  = `cold_from = 0.4
warm_ms = 600
lapse_ms = 1500
[[tier]]
tier = "web"
whole = 0.25
zone = 0.34
[[tier]]
tier = "front"
whole = 0.25
`
	planFile = `name = "next"
version = "v2"
bake = "300ms"
back_within = "30s"
needs = { web = 6.0 }
[[stage]]
tier = "web"
share = 0.1
[[stage]]
tier = "front"
share = 0.5
[[stage]]
tier = "web"
share = 1.0
[[stage]]
tier = "front"
share = 1.0
`
	planName = "next"
	warmUp   = 600 * time.Millisecond
	leaseTTL = 600 * time.Millisecond
	// tierLimit is the limit of both tiers in limitsFile, as a fraction of their units.
	tierLimit = 0.25
)

// zoneLimits holds the zone limits of limitsFile by tier, as fractions of the zone's units. limitsFile has no zone limit for the
// tier front; 1 allows all of its units to be unavailable.
var zoneLimits = map[string]float64{"web": 0.34, "front": 1}

// unit is one of the units that Run starts.
type unit struct {
	id, tier, zone string
}

// units returns all units that Run starts.
func units() (units []unit) {
	for i := range serverCount {
		units = append(units, unit{fmt.Sprintf("s%02d", i), "web", string("ab"[i%2])})
	}
	for i := range nodeCount {
		units = append(units, unit{fmt.Sprintf("n%d", i), "front", string("ab"[i%2])})
	}
	return units
}

// Durations and timeouts of a run.
const (
	defaultDuration  = 6 * time.Second
	startTimeout     = 30 * time.Second
	settleTimeout    = 60 * time.Second
	violatingTimeout = 2 * time.Second // replaces settleTimeout if a process violates rules, which may prevent settling
	commandTimeout   = 3 * time.Second // of an operator's command
)

// Run runs one release and drains while it injects faults, and checks the actions of the processes. Violations are reported
// in the Result. The error is non-nil if the run could not be carried out.
func Run(ctx context.Context, opt Options) (*Result, error) {
	s, err := newSite(opt, &Result{Seed: opt.Seed})
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startUnits(ctx); err != nil {
		return nil, err
	}
	rolledBack, err := s.runRelease(ctx)
	if err != nil {
		return nil, err
	}
	faultsEnded := time.Now()
	if err := s.settleRelease(ctx, rolledBack); err != nil {
		s.result.Violations = append(s.result.Violations, "after the end of the faults: "+err.Error())
	}
	s.result.SettleS = time.Since(faultsEnded).Seconds()
	if err := s.stopAndReadLogs(); err != nil {
		return nil, err
	}
	s.record.checkReleases(s.result)
	return s.result, ctx.Err()
}
