// Package traffic is the clients of a run: arrivals that are drawn ahead of time, independent of any response, and what clients
// do with the responses: time out, retry, honor Retry-After, or leave early.
//
// Latency counts from the intended arrival, so that a request which the load generator sends late, or which waits for anything
// else, is charged for the wait (no coordinated omission). All of it runs on the loop of the model.
package traffic
