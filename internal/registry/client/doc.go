// Package client reads and writes the registry over several replicas.
//
// A Watcher follows the list of instances. It goes on from the last list that it held for as long as the registry is
// unreachable, never applies an older revision or half a list, and leaves a replica that is silent, behind or has gone
// back to an older revision. Its list can be cached on disk over restarts.
//
// A Client calls replicas until one answers. Writes carry ids, so that a retry of a write that was carried out is harmless.
//
// A LeaseHolder keeps instances registered by renewing their leases.
//
// Methods may be called from any goroutine, except Run of a Watcher and of a LeaseHolder, which are for one.
package client
