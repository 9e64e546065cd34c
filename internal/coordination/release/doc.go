// Package release changes the version that units run, stage by stage and within the disruption budget.
//
// An operator writes a [PlanFile]; [ParsePlan] picks its units and gives a [Plan], which is stored in the registry. A
// controller asks a [Scheduler] at each poll which writes to send: permits for the units of the present stage, the
// progress, a halt. Agents beside the units carry permits out.
//
// Everything here is pure: what the registry holds goes in with the time, writes come out. All that must survive is in
// the registry, so that the Scheduler of any controller continues from any step of another's.
//
// # Invariants
//
//   - A unit is entered in the progress before a permit is asked for it, so that a rollback knows every unit that may
//     have changed.
//   - A stage starts when every unit of the one before runs its version, has no permit, is fully available or
//     decommissioned, and has been so for the bake time.
//   - A halted release asks for no permits, and the registry lets none of its permits begin.
//
// Fractions are between 0 and 1, capacities in the unit of the endpoint list, times in milliseconds where a name ends in MS.
package release
