// Package replica implements one replica of the registry: the replicated state behind hashicorp/raft, leases kept by the
// leader, and an HTTP API for writers and watchers.
//
// Ownership:
//   - Only raft changes the state machine (fsm). It applies the log entries in order, or restores a snapshot. Any goroutine may
//     read the state under its lock. The same log gives the same state on every replica.
//   - Leases are in the leader's memory, and only one goroutine (leaderLoop) accesses them. Their times are on a clock that
//     starts with the replica. The leader proposes the effects of an expired lease as writes, which raft rejects if the replica
//     no longer leads.
//   - The event for each batch of log entries is encoded once and shared by all watches (broadcaster). A slow watcher does not
//     delay others, and no events are queued for it.
//
// Invariants:
//   - An acknowledged write is on the disks of a majority. Each log entry carries a checksum. A replica that reads an entry
//     with a wrong checksum stops, and a replica whose log was removed does not start.
//   - Revisions never decrease. The restore of a backup begins a new epoch, and watchers then get the full list.
//   - A replica whose disk is slow gives up leadership; one whose disk hangs stops.
//
// New, Close, Addr and Failed may be called from any goroutine. Times are durations; in the API and in stored data they are
// in milliseconds, as the names of the fields say.
package replica
