// Package node runs package balancer with network connections. It accepts client connections, sends attempts to servers,
// and follows the endpoint list, which comes from discovery, a service of the site, or from a registry. All load-balancing
// decisions are the balancer's.
//
// One goroutine, the event loop (loop), owns the balancer and all state of requests, attempts and the endpoint list. It
// never waits for I/O: I/O runs on other goroutines, which post the results to it. The main packages below this one:
//
//   - config reads the configuration and defines what a reload may change;
//   - listener provides the listening socket; clientconn manages client connections; header parses and formats headers;
//   - upstream sends attempts over connections to servers; bodybudget limits the memory that bodies occupy;
//   - discovery follows the endpoint list; follower applies the settings of rollouts;
//   - snapshotter saves what the balancer has learned; processlock lets one process of a node replace another;
//   - sentids remembers the IDs of requests that must not run twice;
//   - control, metrics and requestlog serve operators.
//
// A node keeps up to three kinds of data on disk, each only if the configuration names a location:
//
//   - snapshots of what the balancer has learned, written at an interval (snapshotter);
//   - the version of the settings that the node runs (follower). It is saved before it is applied, and it is applied even
//     if saving fails;
//   - the last endpoint list of the registry (registry/client).
//
// Each is read once, at startup, after the configuration. Damaged files are logged and ignored. A node with an inherited
// socket also has two files in the directory for temporary files, a lock (processlock) and the IDs of the latest requests
// that must not run twice (sentids). They hold nothing that a later node needs.
//
// While discovery or the registry is unreachable, a serving node continues with its current endpoint list and settings,
// without a time limit. A node with a rollout that starts during that time rejects requests until the registry counts it
// as in sync.
//
// An attempt for a client that has disconnected is stopped at two points. The pre-send check of package upstream prevents
// it from being sent. If it is in flight, the loop reports the disconnect to the balancer, and the balancer cancels the
// attempt if the settings allow it (Settings.Cancellation). Otherwise the attempt runs until its timeout.
//
// Times in the event loop are Unix times, expressed as durations, from a clock that never goes backwards.
package node
