// Package fault injects the faults of a scenario into a run. The targets of each fault are drawn from the seed before the run
// begins, so the same scenario and seed hit the same targets at the same times. The package's code runs on the model's loop.
package fault
