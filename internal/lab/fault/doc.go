// Package fault injects the faults of a scenario into a run. What each fault hits is drawn from the seed before the run begins,
// so that the same scenario and seed hit the same targets at the same times. All of it runs on the loop of the model.
package fault
