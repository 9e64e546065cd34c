// Package disruption decides which units may be taken out of service at once.
//
// A [Budget] knows the units of a site (servers and node processes), how much of each unit's capacity is unavailable, the
// limits per tier, and the permits. Whoever wants to take a unit out asks for a permit first.
//
// The package is pure: it does no I/O and reads no clock. The same calls in the same order give the same decisions on
// every replica of the registry. A Budget must not be used by several goroutines at once; the registry guards it with the
// lock of the state that contains it.
//
// # Invariants
//
//   - A permit is granted only if the unavailable capacity, with the unit of the permit, stays within every limit that
//     applies to the unit. Faults count first: while they alone exceed a limit, no permit is granted within its scope.
//   - From the grant on, a permit counts as its unit's whole capacity. It ends when the unit has been seen unavailable, or
//     in a later incarnation, and is fully available again; when it is returned before it has begun; or when the unit is
//     decommissioned.
//   - A unit has at most one permit.
//
// # Units of measure
//
// Capacities are in the unit of the endpoint list. Fractions are between 0 and 1. Sums are kept in millionths, as integers:
// they do not depend on the order of the additions, which differs between a replica that applied the writes and one that
// read a snapshot.
//
// # Fixed texts
//
// Error texts of Grant and Begin are sent to the registry's clients and stored as they are. They must not change while
// replicas of different builds can run together.
package disruption
