// Package replica implements one replica of the registry: the replicated state behind hashicorp/raft, leases kept by the
// leader, and an HTTP API for writers and watchers.
//
// Ownership:
//   - Only raft changes the state machine (fsm), by one log entry after the other. Any goroutine may read it under its lock.
//     The same log gives the same state on every replica.
//   - Leases are in the leader's memory, on a clock of its own, and only one goroutine (leaderLoop) accesses them. The effects
//     of an expired lease are proposed as writes, which fail if another replica leads by then.
//   - Watch events are encoded once for each revision and shared by all watches (broadcaster). A slow watcher costs nothing
//     and does not delay others.
//
// Invariants:
//   - An acknowledged write is on the disks of a majority. Each log entry carries a checksum. A replica that reads an entry
//     with a wrong checksum stops, and a replica whose log was removed does not start.
//   - Revisions never decrease. The restore of a backup begins a new epoch, upon which watchers fetch the full list.
//   - A replica whose disk is slow gives up leadership; one whose disk hangs stops.
//
// New, Close, Addr and Failed may be called from any goroutine. Times are durations; in the API and in stored data they are
// in milliseconds, as the names of the fields say.
package replica
