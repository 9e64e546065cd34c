package main

import (
	"fmt"
	"strings"
)

// fleetCmd groups the commands that coordinate the units of a site.
type fleetCmd struct {
	Budget       fleetBudgetCmd       `name:"budget" cmd:"" help:"Set how much of each tier may be unavailable at a time."`
	Status       fleetStatusCmd       `name:"status" cmd:"" help:"Print what is unavailable, the limits, permits and releases."`
	Drain        fleetDrainCmd        `name:"drain" cmd:"" help:"Drain servers, as far as the budget allows."`
	Undrain      fleetUndrainCmd      `name:"undrain" cmd:"" help:"Let drained servers serve again."`
	Decommission fleetDecommissionCmd `name:"decommission" aliases:"gone" cmd:"" help:"Decommission units: they no longer count in any budget or quorum."`
	Release      fleetReleaseCmd      `name:"release" cmd:"" help:"Change the version of units in the stages of a plan."`
	Halt         fleetHaltCmd         `name:"halt" cmd:"" help:"Halt a release: no further change begins."`
	Resume       fleetResumeCmd       `name:"resume" cmd:"" help:"Lift the halt of a release."`
	Rollback     fleetRollbackCmd     `name:"rollback" aliases:"back" cmd:"" help:"Halt a release and undo it, newest change first."`
	Config       fleetConfigCmd       `name:"config" cmd:"" help:"Roll out versions of nodes' settings, which a quorum of the nodes commits."`
	Controller   fleetControllerCmd   `name:"controller" aliases:"control" cmd:"" help:"Run a controller. Of all controllers the one with the leader lease acts."`
	Agent        fleetAgentCmd        `name:"agent" cmd:"" help:"Run the agent of a unit: it starts the unit's process, holds its lease and changes its version under a permit."`
	FaultTest    fleetFaultTestCmd    `name:"fault-test" aliases:"trial" cmd:"" help:"Inject faults into releases of real processes and check what they did."`
}

// forEachUnit calls do for each unit and prints what it returns. It goes on after an error, and then returns errCheckFailed.
func forEachUnit(env *environment, uids []string, do func(uid string) (done string, err error)) error {
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
