package faulttest

import (
	"fmt"
	"slices"
	"time"

	"umberbank/internal/coordination/eventlog"
)

const (
	// failureDetectionTime is the time after which every new decision takes the death of a process into account, if no fault
	// has affected the registry for that time. It covers the end of the process's lease, the time for which the leader waits
	// for other leases to end, and the time until permits granted earlier have begun or expired.
	failureDetectionTime = 4 * time.Second
	// haltTimeout is the time after a halt from which no permit of the release may begin.
	haltTimeout = time.Second
	// initialDeficit is the fraction of a unit's capacity that counts as unavailable at its start: 1 - cold_from in limitsFile.
	initialDeficit = 0.6
	// roundingTolerance allows for rounding in sums of fractions.
	roundingTolerance = 1e-6
)

// checkedUnit is the state of one unit as the check derives it from the events.
type checkedUnit struct {
	unit
	takenOut  bool          // a permit has taken it out of service, and it has not started since
	drained   bool          // an operator has drained it
	killedAt  time.Duration // zero if it was not killed since its last start
	startedAt time.Duration // time of its last start; zero if no permit had taken it out of service before
}

// unavailableFraction returns the fraction of the unit's capacity that every decision at the given time must count as
// unavailable. registryHealthySince and registryFaults are those of releaseCheck.
func (u *checkedUnit) unavailableFraction(at, registryHealthySince time.Duration, registryFaults int) float64 {
	warmingFor := at - u.startedAt
	switch {
	case u.takenOut || u.drained:
		return 1
	case u.killedAt > 0 && registryFaults == 0 && at-max(u.killedAt, registryHealthySince) > failureDetectionTime:
		return 1
	case u.startedAt > 0 && warmingFor < warmUp:
		return initialDeficit * (1 - float64(warmingFor)/float64(warmUp))
	}
	return 0
}

// releaseCheck checks the events of a run with releases and drains in order of time.
type releaseCheck struct {
	result *Result
	violations
	units                map[string]*checkedUnit
	haltedAt             map[string]time.Duration // by plan
	registryHealthySince time.Duration            // when the last fault that affected the registry ended
	registryFaults       int                      // number of faults that affect the registry now
	leaderWrite          eventlog.Event           // the first write with the highest token so far
}

// checkReleases checks the actions of agents, operators and controllers, and adds the violations to result.
func (r *record) checkReleases(result *Result) {
	r.sort()
	c := &releaseCheck{result: result, violations: violations{result}, units: map[string]*checkedUnit{}, haltedAt: map[string]time.Duration{}}
	for _, u := range units() {
		c.units[u.id] = &checkedUnit{unit: u}
	}
	for _, e := range r.events {
		c.handleEvent(e)
	}
}

func (c *releaseCheck) handleEvent(e eventlog.Event) {
	switch e.Kind {
	case eventlog.UnitStarted, eventlog.PermitBegun, processKilled, serverDrained, serverUndrained:
		if u := c.units[e.Unit]; u != nil { // nil if a controller was killed
			c.handleUnitEvent(e, u)
		}
	case registryFaultBegan:
		c.registryFaults++
	case registryFaultEnded:
		c.registryFaults--
		c.registryHealthySince = e.At
	case releaseHalted:
		if _, halted := c.haltedAt[e.Plan]; !halted {
			c.haltedAt[e.Plan] = e.At
		}
	case releaseResumed:
		delete(c.haltedAt, e.Plan)
	case eventlog.WriteApplied:
		c.result.AppliedWrites++
		checkLeader(&c.leaderWrite, e, func(violation string) { c.add(&c.result.WritesWithoutLease, "%s", violation) })
	}
}

func (c *releaseCheck) handleUnitEvent(e eventlog.Event, u *checkedUnit) {
	switch e.Kind {
	case eventlog.UnitStarted:
		u.startedAt = 0 // the check does not count the warm-up after a start without a permit
		if u.takenOut {
			u.startedAt = e.At // the permit counts until the unit has warmed up
		}
		u.takenOut, u.killedAt = false, 0
	case processKilled:
		u.killedAt = e.At
	case eventlog.PermitBegun:
		u.takenOut = true
		c.result.Permits++
		if haltedAt, halted := c.haltedAt[e.Plan]; halted && e.SentAt > haltedAt+haltTimeout {
			c.add(&c.result.BegunAfterHalt, "%s began a permit %v after release %s was halted", e.Unit, e.SentAt-haltedAt, e.Plan)
		}
		c.checkLimits(e, u)
	case serverDrained:
		u.drained = true
		c.result.Permits++
		c.checkLimits(e, u)
	case serverUndrained:
		u.drained = false
	}
}

// checkLeader checks a write of a controller against leaderWrite, the first write with the highest token so far, and updates
// leaderWrite. Once a write with a higher token was applied, a write with a lower token that is sent later must not be applied.
func checkLeader(leaderWrite *eventlog.Event, e eventlog.Event, violation func(string)) {
	if e.Token == 0 {
		violation(e.Process + " made a write without the leader lease")
	} else if e.Token < leaderWrite.Token && e.SentAt > leaderWrite.At {
		violation(fmt.Sprintf("%s made a write with lease token %d after %s had made one with token %d",
			e.Process, e.Token, leaderWrite.Process, leaderWrite.Token))
	}
	if e.Token > leaderWrite.Token {
		*leaderWrite = e
	}
}

// checkLimits checks the limits of the tier and the zone of a unit that was just taken out of service.
func (c *releaseCheck) checkLimits(e eventlog.Event, taken *checkedUnit) {
	c.checkLimit(e, "tier "+taken.tier, tierLimit, func(u *checkedUnit) bool { return u.tier == taken.tier })
	c.checkLimit(e, "zone "+taken.zone+" of "+taken.tier, zoneLimits[taken.tier], func(u *checkedUnit) bool {
		return u.tier == taken.tier && u.zone == taken.zone
	})
}

// checkLimit checks the limit of one scope. limit is the fraction of the units in the scope that may be unavailable.
func (c *releaseCheck) checkLimit(e eventlog.Event, scope string, limit float64, inScope func(*checkedUnit) bool) {
	var all, unavailable float64
	var unavailableUnits []string
	for _, u := range c.units {
		if !inScope(u) {
			continue
		}
		all++
		fraction := u.unavailableFraction(e.At, c.registryHealthySince, c.registryFaults)
		unavailable += fraction
		if fraction > 0 {
			unavailableUnits = append(unavailableUnits, fmt.Sprintf("%s %.2f", u.id, fraction))
		}
	}
	if unavailable > limit*all+roundingTolerance {
		slices.Sort(unavailableUnits)
		c.add(&c.result.OverBudget, "%s was taken out of service: %s has %.2f of %.0f units unavailable (%v), limit %.2f",
			e.Unit, scope, unavailable, all, unavailableUnits, limit*all)
	}
}
