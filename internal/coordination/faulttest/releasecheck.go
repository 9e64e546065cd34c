package faulttest

import (
	"fmt"
	"slices"
	"time"

	"umberbank/internal/coordination/eventlog"
)

const (
	// noticedAfter is how long after a process has died every new decision takes that into account, if no fault has
	// affected the registry for as long: its lease ends, the leader waits for others to end too, and permits granted
	// before have begun or expired.
	noticedAfter = 4 * time.Second
	// haltTimeout is how soon after a halt no permit of the release begins any more.
	haltTimeout = time.Second
	// initialDeficit is the fraction of its capacity that a unit lacks when it starts, by the limits.
	initialDeficit = 0.6
	// sumSlack absorbs the rounding of sums of fractions.
	sumSlack = 1e-6
)

// checkedUnit is what the check knows of one unit at a time.
type checkedUnit struct {
	unit
	takenOut  bool          // it was taken out of service, and has not started since
	drained   bool          // an operator has drained it
	killedAt  time.Duration // 0: it was not killed since it started
	startedAt time.Duration // its last start, if a permit led to it; 0: none did
}

// unavailableFraction is the fraction of its capacity that is unavailable at a time, as far as every decision must know.
func (u *checkedUnit) unavailableFraction(at, registryOK time.Duration, disturbances int) float64 {
	warmingFor := at - u.startedAt
	switch {
	case u.takenOut || u.drained:
		return 1
	case u.killedAt > 0 && disturbances == 0 && at-max(u.killedAt, registryOK) > noticedAfter:
		return 1
	case u.startedAt > 0 && warmingFor < warmUp:
		return initialDeficit * (1 - float64(warmingFor)/float64(warmUp))
	}
	return 0
}

// releaseCheck walks through the events of a run with releases and drains.
type releaseCheck struct {
	result *Result
	violations
	units        map[string]*checkedUnit
	haltedAt     map[string]time.Duration // by plan
	registryOK   time.Duration            // since when no fault affects the registry
	disturbances int                      // faults that affect the registry
	leader       eventlog.Event           // the act with the highest token
}

// checkReleases checks what units and controllers did.
func (r *record) checkReleases(result *Result) {
	r.sort()
	c := &releaseCheck{result: result, violations: violations{result}, units: map[string]*checkedUnit{}, haltedAt: map[string]time.Duration{}}
	for _, u := range units() {
		c.units[u.id] = &checkedUnit{unit: u}
	}
	for _, e := range r.events {
		c.event(e)
	}
}

func (c *releaseCheck) event(e eventlog.Event) {
	switch e.Kind {
	case eventlog.UnitStarted, eventlog.PermitBegun, processKilled, serverDrained, serverUndrained:
		if u := c.units[e.Unit]; u != nil { // else another process was killed
			c.unitEvent(e, u)
		}
	case registryFaultBegan:
		c.disturbances++
	case registryFaultEnded:
		c.disturbances--
		c.registryOK = e.At
	case releaseHalted:
		if _, halted := c.haltedAt[e.Plan]; !halted {
			c.haltedAt[e.Plan] = e.At
		}
	case releaseResumed:
		delete(c.haltedAt, e.Plan)
	case eventlog.WriteApplied:
		c.result.AppliedWrites++
		checkLeader(&c.leader, e, func(violation string) { c.add(&c.result.WritesWithoutLease, "%s", violation) })
	}
}

func (c *releaseCheck) unitEvent(e eventlog.Event, u *checkedUnit) {
	switch e.Kind {
	case eventlog.UnitStarted:
		u.startedAt = 0 // a start that no permit led to is known later
		if u.takenOut {
			u.startedAt = e.At // its permit lasts until it has warmed up
		}
		u.takenOut, u.killedAt = false, 0
	case processKilled:
		u.killedAt = e.At
	case eventlog.PermitBegun:
		u.takenOut = true
		c.result.Permits++
		if haltedAt, halted := c.haltedAt[e.Plan]; halted && e.SentAt > haltedAt+haltTimeout {
			c.add(&c.result.BegunAfterHalt, "%s began %v after %s was halted", e.Unit, e.SentAt-haltedAt, e.Plan)
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

// checkLeader checks an act of a controller against the one with the highest token before: once a controller with a higher
// token has acted, no write of one with a lower token may be sent and applied.
func checkLeader(leader *eventlog.Event, e eventlog.Event, violation func(string)) {
	if e.Token == 0 {
		violation(e.Process + " acted without the lease")
	} else if e.Token < leader.Token && e.SentAt > leader.At {
		violation(fmt.Sprintf("%s acted with the lease %d after %s had with %d", e.Process, e.Token, leader.Process, leader.Token))
	}
	if e.Token > leader.Token {
		*leader = e
	}
}

// checkLimits checks that the tier and the zone of a unit that was just taken out are within their limits.
func (c *releaseCheck) checkLimits(e eventlog.Event, taken *checkedUnit) {
	c.checkLimit(e, "tier "+taken.tier, tierLimit, func(u *checkedUnit) bool { return u.tier == taken.tier })
	c.checkLimit(e, "zone "+taken.zone+" of "+taken.tier, zoneLimits[taken.tier], func(u *checkedUnit) bool {
		return u.tier == taken.tier && u.zone == taken.zone
	})
}

// checkLimit checks the units of one scope. limit is the fraction of them that may be unavailable.
func (c *releaseCheck) checkLimit(e eventlog.Event, scope string, limit float64, inScope func(*checkedUnit) bool) {
	var all, unavailable float64
	var who []string
	for _, u := range c.units {
		if !inScope(u) {
			continue
		}
		all++
		fraction := u.unavailableFraction(e.At, c.registryOK, c.disturbances)
		unavailable += fraction
		if fraction > 0 {
			who = append(who, fmt.Sprintf("%s %.2f", u.id, fraction))
		}
	}
	if unavailable > limit*all+sumSlack {
		slices.Sort(who)
		c.add(&c.result.OverBudget, "%s was taken out, and of %s %.2f of %.0f were out (%v) where %.2f may be",
			e.Unit, scope, unavailable, all, who, limit*all)
	}
}
