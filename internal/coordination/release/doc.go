// Package release changes the version that units run, stage by stage and within the disruption budget.
//
// An operator writes a [PlanFile]. [ParsePlan] selects its units and returns a [Plan], which is stored in the registry. At
// each poll, a controller asks a [Scheduler] which writes to send: requests for permits for the units of the current stage,
// the progress, or a halt. The agent of a unit carries out the unit's permits.
//
// The package does no I/O and reads no clock: its functions take the contents of the registry and the time, and return
// writes. All state that must survive is in the registry, so the Scheduler of another controller can continue from any step.
//
// # Invariants
//
//   - A unit is recorded in the progress before a permit is requested for it, so that a rollback includes every unit that may
//     have changed.
//   - A stage starts only after all steps of the previous stage have been finished without interruption for the bake time. A
//     step is finished when its unit has been decommissioned, or when the unit runs the step's version, has no permit and is
//     fully available.
//   - A halted release requests no permits, and the registry does not let those that have not begun begin.
//
// Fractions are between 0 and 1. Capacities have the same unit of measure as in the endpoint list. Times are in milliseconds in
// fields whose name ends in MS.
package release
