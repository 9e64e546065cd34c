// Package node runs package balancer on real sockets: clients on one side, servers on the other, and discovery or a
// registry, which has the endpoint list. It makes no decisions.
//
// One goroutine, the event loop (loop), owns the balancer and all state of requests, attempts and the endpoint list. It never waits
// for I/O: the goroutines that do post what came of it. The packages below this one each have a part with an interface of its own:
//
//   - config reads the configuration and says what a reload may change;
//   - clientconn has the clients' connections, header the names and forms of the headers;
//   - upstream makes attempts over connections to servers; bodybudget bounds what bodies hold of the memory;
//   - discovery follows the endpoint list; follower takes settings by agreement of the site;
//   - snapshotter saves what the balancer has learned; processlock lets processes take over from each other;
//   - control and metrics are for operators.
//
// On disk a node has, where its configuration names a place: snapshots, written at an interval (snapshotter); the version of settings
// that it runs, written before it is run, which it is even if writing fails (follower); and the last endpoint list of the registry (registry/client). It reads each once, at
// its start, after the configuration. What is damaged is logged and ignored.
//
// While discovery or the registry cannot be reached, a node that serves goes on with the endpoint list and the settings that it has,
// without a limit of time. A node with a rollout that starts then waits until the registry counts it as in sync.
//
// An attempt for a client that has disconnected is stopped at two places: the pre-send check of package upstream keeps it from being
// sent, and the Cancel of the balancer, which the loop notifies, ends one that is in flight; the latter only if the settings allow
// cancellation (cancelling), else the attempt runs to its timeout.
//
// The times of the event loop are Unix time, as durations, by a clock that never goes back.
package node
