// Package faulttest runs releases, drains and rollouts of settings on real processes while it injects faults, and checks
// what the processes did: a registry of three replicas, units with their agents or nodes, controllers, and operators at
// the command line. Every process reaches every replica over a relay of its own, so that any of them can be partitioned.
//
// The check reads the event logs that the processes have written, and knows the faults from the run itself; it asks no
// registry. [Run] is for releases and drains, [RunSettings] for versions of settings. Each call has a site of its own, so
// that several may run at once.
package faulttest

import (
	"context"
	"fmt"
	"time"
)

// Options say what a run does.
type Options struct {
	Seed     uint64
	Duration time.Duration // for which operators act and faults are injected; 0: 6 s
	Program  []string      // the command of umberbank; empty: this program
	NoFaults bool          // no faults
	Log      func(format string, args ...any)
	// ExtraProcess returns the command of one more process, such as one that breaks a rule. It gets the registry's addresses and
	// the folder of the event logs. nil: none.
	ExtraProcess func(at []string, dir string) []string
	// NodeCommand is the command in place of the first node of a run with settings, in the same environment; empty: a node.
	NodeCommand []string
	// RestartNode: in a run with settings the first node is killed once the first version is in force, and started again.
	RestartNode bool
	DeadUnits   []string // units that are killed before the release and stay so
}

// Result is what came of a run.
type Result struct {
	Seed               uint64   `json:"seed"`
	Permits            int      `json:"permits"`     // that agents or operators made use of
	OverBudget         int      `json:"over_budget"` // units taken out beyond a limit
	WritesWithoutLease int      `json:"two_actors"`  // acts of a controller that did not lead
	BegunAfterHalt     int      `json:"late_begins"` // permits that began over a second after a halt
	AppliedWrites      int      `json:"acts"`        // of controllers
	Outcome            string   `json:"outcome"`     // of the release: done, or taken back
	SettleS            float64  `json:"settle_s"`    // from the end of the faults until all units ran what they should, in seconds
	Faults             []string `json:"faults"`
	Violations         []string `json:"broken"` // descriptions of violations
}

// The site of a run. The limits allow three of twelve servers, two of a zone, and one of four nodes to be unavailable.
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
	// tierLimit is the limit of both tiers in limitsFile.
	tierLimit = 0.25
)

// zoneLimits are the limits of zones in limitsFile, by tier.
var zoneLimits = map[string]float64{"web": 0.34, "front": 1}

// unit is a unit of the site of a run with releases.
type unit struct {
	id, tier, zone string
}

// units returns all of them.
func units() (units []unit) {
	for i := range serverCount {
		units = append(units, unit{fmt.Sprintf("s%02d", i), "web", string("ab"[i%2])})
	}
	for i := range nodeCount {
		units = append(units, unit{fmt.Sprintf("n%d", i), "front", string("ab"[i%2])})
	}
	return units
}

// Timeouts.
const (
	defaultDuration  = 6 * time.Second
	startTimeout     = 30 * time.Second
	settleTimeout    = 60 * time.Second
	violatingTimeout = 2 * time.Second // to settle, where a process breaks a rule and the site may never settle
	commandTimeout   = 3 * time.Second // of an operator's command
)

// Run runs a release and drains once, and checks what came of it. The error says why it could not.
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
		s.result.Violations = append(s.result.Violations, "after the faults: "+err.Error())
	}
	s.result.SettleS = time.Since(faultsEnded).Seconds()
	if err := s.stopAndRead(); err != nil {
		return nil, err
	}
	s.record.checkReleases(s.result)
	return s.result, ctx.Err()
}
