// Package modelcheck is a stateless model checker. It runs a few threads of real code in every possible order of their
// synchronization operations. It reports the order in which an invariant is violated, a thread panics, or no thread can proceed
// because of a deadlock or a lost wake-up.
//
// The code under test synchronizes through package checkedsync. The types of that package are those of sync and sync/atomic, or
// those of this package under the build tag interleave. One thread runs at a time, until it is about to perform an operation.
// The checker then decides which thread proceeds.
//
// The search is depth-first and runs the whole body again for each order. Sleep sets (Godefroid, Partial-Order Methods for the
// Verification of Concurrent Systems, 1996) omit orders that differ from an earlier one only in the order of operations that
// commute. Operations commute if they touch different objects or only read the same one. This omits orders, but no outcomes.
//
// The checker detects neither data races, which the race detector finds, nor the effects of memory orders weaker than sequential
// consistency. A loop that polls instead of blocking exceeds the limit on operations.
//
// Only one Explore may run in a process at a time. The code under test must not depend on time, randomness or goroutines that
// were not started through Execution.Go.
package modelcheck
