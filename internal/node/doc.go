// Package node runs package balancer on real sockets. It accepts client connections, sends attempts to servers, and
// follows the endpoint list of discovery or of a registry. All load-balancing decisions are the balancer's.
//
// One goroutine, the event loop (loop), owns the balancer and all state of requests, attempts and the endpoint list. It
// never waits for I/O: I/O runs on other goroutines, which post the results to it. Each package below this one has one task:
//
//   - config reads the configuration and defines what a reload may change;
//   - clientconn manages client connections; header parses and formats headers;
//   - upstream sends attempts over connections to servers; bodybudget limits the memory that bodies occupy;
//   - discovery follows the endpoint list; follower applies the settings of rollouts;
//   - snapshotter saves what the balancer has learned; processlock lets one process of a node replace another;
//   - control and metrics serve operators.
//
// A node keeps up to three kinds of files on disk, each only if the configuration names a location: snapshots, written at
// an interval (snapshotter); the version of the settings that it runs, saved before it is applied, and applied even if
// saving fails (follower); and the last endpoint list of the registry (registry/client). Each is read once, at startup,
// after the configuration. Damaged files are logged and ignored.
//
// While discovery or the registry is unreachable, a serving node continues with its current endpoint list and settings,
// without a time limit. A node with a rollout that starts during that time waits until the registry counts it as in sync.
//
// An attempt for a client that has disconnected is stopped at two points. The pre-send check of package upstream prevents
// it from being sent. If it is in flight, the loop reports the disconnect to the balancer, whose Cancel ends it; this
// happens only if the settings allow cancellation (cancelling), otherwise the attempt runs until its timeout.
//
// Times in the event loop are Unix times, expressed as durations, from a clock that never goes backwards.
package node
