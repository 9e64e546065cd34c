// Package client is a client of the registry that fails over between several replicas.
//
// A Watcher follows the list of instances. It keeps the last list while the registry is unreachable, and never applies an
// older revision or an incomplete event. It switches to another replica when a watch ends, when no data arrives within the
// idle timeout, and after an event that is invalid or older than the list. The list can be cached on disk so that it survives
// a restart.
//
// A Client sends a request to one replica after another until one responds with success or rejects the request. Writes carry
// ids, so it is safe to retry a write that may already have been applied.
//
// A LeaseHolder keeps instances registered by renewing their leases.
//
// Methods are safe for concurrent use, except that only one goroutine may call Run of a Watcher or a LeaseHolder. Run of a
// Watcher with a cache may be called only once, because it closes the cache when it returns.
package client
