package main

import (
	"fmt"
	"strings"
)

// fleetCmd groups the commands that coordinate the units of a site.
type fleetCmd struct {
	Budget       fleetBudgetCmd       `name:"budget" cmd:"" help:"Set how much of each tier may be unavailable at a time."`
	Status       fleetStatusCmd       `name:"status" cmd:"" help:"Print what is unavailable, the limits, permits and releases."`
	Drain        fleetDrainCmd        `name:"drain" cmd:"" help:"Drain servers within the disruption budget."`
	Undrain      fleetUndrainCmd      `name:"undrain" cmd:"" help:"Let drained servers serve again."`
	Decommission fleetDecommissionCmd `name:"decommission" aliases:"gone" cmd:"" help:"Decommission units: they no longer count in any budget or quorum."`
	Release      fleetReleaseCmd      `name:"release" cmd:"" help:"Change the version of units in the stages of a plan."`
	Halt         fleetHaltCmd         `name:"halt" cmd:"" help:"Halt a release: no further change begins."`
	Resume       fleetResumeCmd       `name:"resume" cmd:"" help:"Lift the halt of a release."`
	Rollback     fleetRollbackCmd     `name:"rollback" aliases:"back" cmd:"" help:"Halt a release and undo it, newest change first."`
	Config       fleetConfigCmd       `name:"config" cmd:"" help:"Roll out versions of nodes' settings in stages, once a quorum of the nodes has acknowledged them."`
	Controller   fleetControllerCmd   `name:"controller" aliases:"control" cmd:"" help:"Run a controller. Only the controller that holds the leader lease makes changes."`
	Agent        fleetAgentCmd        `name:"agent" cmd:"" help:"Run the agent of a unit: it starts the unit's process, holds its lease and changes its version under a permit."`
	FaultTest    fleetFaultTestCmd    `name:"fault-test" aliases:"trial" cmd:"" help:"Run releases on real processes, inject faults and check for violations."`
}

// forEachUnit calls do for each unit and prints the outcome or the error. It continues after an error, and returns
// errCheckFailed if there was one.
func forEachUnit(env *environment, uids []string, do func(uid string) (outcome string, err error)) error {
	failed := false
	for _, uid := range uids {
		outcome, err := do(uid)
		if err != nil {
			failed, outcome = true, err.Error()
		}
		fmt.Fprintf(env.stdout, "%s: %s\n", uid, strings.TrimPrefix(outcome, uid+": "))
	}
	if failed {
		return errCheckFailed
	}
	return nil
}
