// Package rollout decides which version of the settings each node of a site runs.
//
// A version is proposed, acknowledged by a quorum of nodes, and then started stage by stage. Each stage makes the version the
// target of a larger fraction of the nodes. The last stage makes it the target of all nodes and commits it. A version that is
// the target of only some nodes is undone by a rollback, which is another version with the committed content.
//
// The package does no I/O and reads no clock. [State] is a state machine: every replica of the registry applies the same
// calls in the same order and reaches the same decisions. A State must not be used by several goroutines at once. The state
// of the registry contains the State, and its lock guards both. [BakeTimer] belongs to one controller and is not replicated.
//
// The content of a version is the settings that it consists of. Versions with equal hashes have equal contents.
//
// # Invariants
//
//   - Quorum: a version becomes the target of a node only after more than half of the nodes of each zone, and more than half
//     of all nodes, have acknowledged it. Every node that was registered and has not been decommissioned counts, so a
//     partition does not shrink the quorum.
//   - A zone is lost from the time at which all its nodes are unreachable until one of them is in sync again. A lost zone is
//     exempt from its own quorum. In the quorum of all nodes, its nodes count as not having acknowledged.
//   - An acknowledgement is valid for one incarnation of one node, and for one version and hash.
//   - A node is unreachable from the write that records the end of its lease until the write that records that it has renewed
//     the lease or registered again. A node that is new, has restarted or is reachable again is syncing until that incarnation
//     reports its target version, which is never older than the committed one. Only nodes in sync can acknowledge or reject a
//     version, and a rollout waits only for nodes in sync.
//   - Nodes in sync run at most two different contents at the same time. A version can be proposed only when every node in
//     sync is known to run the committed one, and a partially applied version can be replaced only by a rollback.
//   - After the first stage, the next one starts only when every node in sync that has the version as its target is known to
//     run it, and at least half of all nodes with that target are in sync. If only one node has that target and it is out of
//     sync, one more node gets the version before the next stage starts.
//   - The target version of a node never decreases.
//   - A pending version is halted when a node rejects it, and when a node reports a version newer than its target or a hash
//     that differs from the version's. No further stage of a halted version starts.
//
// # Fixed texts
//
// The error texts of this package are stored in the registry and sent to its clients unchanged. They must not change while
// replicas of different builds can run together.
package rollout
