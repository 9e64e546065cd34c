// Package disruption limits how much capacity may be taken out of service at the same time.
//
// A [Budget] holds the units of a site (servers and node processes), the unavailable fraction of each unit's capacity,
// the limits of each tier, and the permits. A client must hold a permit for a unit before it takes the unit out of service.
//
// The package does no I/O and reads no clock. The same calls in the same order lead to the same decisions on every replica
// of the registry. A Budget must not be used by several goroutines at once. The registry's state contains the Budget, and the
// lock of that state guards both.
//
// # Invariants
//
//   - A permit is granted only if the unavailable capacity, including the whole capacity of the permit's unit, is within
//     every limit that applies to the unit. The only exception is a permit that replaces one that has begun: its unit
//     already counts as unavailable.
//   - Units that are unavailable without a permit count against the limits too. While the unavailable capacity of a scope
//     exceeds its limit, no permit is granted in that scope, except to replace one that has begun.
//   - While a unit has a permit, its whole capacity counts as unavailable.
//   - A permit that has not begun ends when it is returned, or when a later process of the unit is fully available.
//   - A permit that has begun ends when its unit is fully available again, after it was seen unavailable or restarted.
//   - Every permit ends when its unit is decommissioned.
//   - A unit has at most one permit.
//
// # Units of measure
//
// Capacities have the same unit of measure as in the endpoint list. Fractions are between 0 and 1. Sums of capacities are
// integers in millionths, so that they do not depend on the order of the additions. That order differs between a replica that
// applied the writes and one that loaded a snapshot.
//
// # Fixed texts
//
// The error texts of Grant and Begin are sent to the registry's clients and stored unchanged. They must not change while
// replicas of different builds can run together.
package disruption
