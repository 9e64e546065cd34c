// Package replica is one replica of the registry: the replicated state behind hashicorp/raft, leases kept by the leader,
// and an HTTP API for writers and watchers.
//
// Who owns what:
//   - The state machine (fsm) is changed by raft alone, one entry of the log after the other, and read under its lock by
//     any goroutine. The same log gives the same state on every replica.
//   - Leases are in the leader's memory, on a clock of its own, and touched by one goroutine (leaderLoop). What follows
//     from an expired lease is proposed as a write, so it comes to nothing if another replica leads by then.
//   - Watch events are encoded once for each revision and shared by all watches (broadcaster). A slow watcher costs
//     nothing and delays nobody.
//
// Invariants:
//   - An acknowledged write is on the disks of a majority. Each entry of the log carries a checksum; a replica that reads
//     one which is not what was written ends, and one whose log was removed does not start.
//   - Revisions only grow. A restored backup begins a new epoch, which tells watchers to take the full list.
//   - A replica whose disk is slow gives up leadership; one whose disk hangs ends.
//
// New, Close, Addr and Failed may be called from any goroutine. Times are durations; in the API and in stored data they are
// in milliseconds, as the names of the fields say.
package replica
