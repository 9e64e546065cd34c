// Package model simulates the part of a fleet that surrounds its nodes: servers that share their cores among requests, queue
// requests, become overloaded and warm up, and discovery that lists the servers with a delay.
//
// The model runs on one sim.Loop. Nothing in the package is safe for use by a goroutine other than the one that runs the loop.
// The same model runs on the machine's clock and on a virtual clock. The two differ in the Backend, which delivers calls to nodes
// and from nodes to servers, and applies faults to processes and links. Times are offsets from the start of the run on the loop's
// clock. An amount of work is the time that a reference core needs for it.
//
// Each purpose and each server has its own source of random numbers, seeded by the seed of the run and by a name, so that a draw
// from one source does not change the draws from another.
package model
