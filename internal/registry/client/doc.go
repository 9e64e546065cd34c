// Package client is a client of the registry that fails over between several replicas.
//
// A Watcher follows the list of instances. It keeps the last list while the registry is unreachable, and never applies an
// older revision or an incomplete event. It switches to another replica when the current one sends nothing, is behind, or
// has gone back to an older revision. The list can be cached on disk so that it survives a restart.
//
// A Client sends a request to one replica after another until one responds. Writes carry ids, so it is safe to retry a write
// that may already have been applied.
//
// A LeaseHolder keeps instances registered by renewing their leases.
//
// Methods are safe for concurrent use, except that only one goroutine may call Run of a Watcher or a LeaseHolder.
package client
