// Package traffic simulates the clients of a run. Arrivals are drawn from the seed and do not depend on responses. Clients time
// out, retry, honor Retry-After, or disconnect early.
//
// Latency is measured from the intended arrival, so that it includes any time that a request waits before the load generator
// sends it. This avoids coordinated omission. The package runs on the loop of the model.
package traffic
