// Package modelcheck is a stateless model checker: it runs a few threads of real code under every order in which their
// synchronizing operations can come, and reports the order in which an invariant breaks, a thread panics, or no thread can
// proceed, which is a deadlock or a lost wake-up.
//
// Code is checked by synchronizing through package checkedsync, whose types are those of sync and sync/atomic, and under the
// build tag interleave the ones of this package. Threads take turns: one runs until it is about to perform an operation, and
// the checker decides which one proceeds.
//
// The search is depth first and runs the whole body again for each order. Sleep sets (Godefroid, Partial-Order Methods for
// the Verification of Concurrent Systems, 1996) leave out orders that differ from one already run only in operations that
// commute: those that touch different objects, or only read the same one. That prunes orders, never outcomes.
//
// It does not see data races, which the race detector shows, nor memory orders weaker than sequential consistency. A loop
// that waits without an operation runs into the bound on operations.
//
// One Explore at a time may run in a process, and what it checks must not depend on time, chance or goroutines that it did
// not start through Execution.Go.
package modelcheck
