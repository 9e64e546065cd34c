package main

import (
	"fmt"
	"strings"
)

// fleetCmd groups the commands that coordinate the units of a site.
type fleetCmd struct {
	Budget       fleetBudgetCmd       `name:"budget" cmd:"" help:"Say how much of each tier may be out at once."`
	Status       fleetStatusCmd       `name:"status" cmd:"" help:"Show what is out, what may be, who holds permits, and how releases stand."`
	Drain        fleetDrainCmd        `name:"drain" cmd:"" help:"Take servers out, if the budget allows it."`
	Undrain      fleetUndrainCmd      `name:"undrain" cmd:"" help:"Let drained servers serve again."`
	Decommission fleetDecommissionCmd `name:"decommission" aliases:"gone" cmd:"" help:"Declare units gone: they count no more."`
	Release      fleetReleaseCmd      `name:"release" cmd:"" help:"Change the version of units, in the stages of a plan."`
	Halt         fleetHaltCmd         `name:"halt" cmd:"" help:"Let nothing of a release begin any more."`
	Resume       fleetResumeCmd       `name:"resume" cmd:"" help:"Lift a halt."`
	Rollback     fleetRollbackCmd     `name:"rollback" aliases:"back" cmd:"" help:"Halt a release and undo it, newest change first."`
	Config       fleetConfigCmd       `name:"config" cmd:"" help:"Versions of nodes' settings, committed by a quorum of them."`
	Controller   fleetControllerCmd   `name:"controller" aliases:"control" cmd:"" help:"Run a controller; of any number one acts."`
	Agent        fleetAgentCmd        `name:"agent" cmd:"" help:"Run a unit: start its process, hold its lease, and change its version by permit."`
	FaultTest    fleetFaultTestCmd    `name:"fault-test" aliases:"trial" cmd:"" help:"Play faults on releases of real processes, and judge what they did."`
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
