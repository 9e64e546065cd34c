// Package model is the fleet as the lab simulates it, but for its nodes: servers that share their cores among requests, queue,
// become overloaded and warm up, and a discovery that lists them with a delay.
//
// Everything runs on one sim.Loop, and belongs to the goroutine that runs the loop: nothing in the package is safe for use by
// another one. The same model is played on the machine's clock and on a virtual one; what differs is the Backend, which carries
// calls to nodes and from them to servers, and applies faults to processes and links. Times are offsets from the start of the run
// on the loop's clock, and an amount of work is the time that a reference core needs for it.
//
// Randomness is drawn from sources that depend on the seed and on the name of a purpose or server, so that a draw in one place
// changes no other.
package model
