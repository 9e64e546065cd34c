// Package rollout decides which version of their settings the nodes of a site run.
//
// A version is proposed, acknowledged by a quorum of nodes, and then started stage by stage: each stage gives a larger
// fraction of the nodes the version as their target. The last stage gives it to all nodes, and the version is committed.
// A version that only some nodes have as their target is undone by a rollback, which is another version with the
// committed content.
//
// The package is pure: it does no I/O and reads no clock. [State] is a state machine that every replica of the registry
// drives with the same calls in the same order, so that all replicas reach the same decisions. A State must not be used
// by several goroutines at once; the registry guards it with the lock of the state that contains it. [BakeTimer] belongs
// to one controller and is not replicated.
//
// # Invariants
//
//   - Quorum: no node gets a version as its target before more than half of the nodes of each zone, and of all nodes,
//     have acknowledged it. Every node counts that was ever registered and not decommissioned, so a partition does not
//     shrink the quorum. A lost zone is exempt from its own quorum: all its nodes became unreachable, and none has been
//     in sync since. Its nodes still count, as not having acknowledged, in the quorum of all nodes.
//   - An acknowledgement is valid for one incarnation of one node, and for one version and hash.
//   - A node is unreachable while its lease has ended according to the registry's leader. A new or returning node, in the
//     same or another incarnation, is syncing until that incarnation reports that it runs its target version, which is
//     never older than the committed one. Only nodes in sync can acknowledge or reject a version, and only they are
//     waited for.
//   - At most two contents run at once among the nodes in sync. A version can be proposed only when every node in sync is
//     known to run the committed one, and a partially applied version can only be replaced by a rollback.
//   - A stage starts only when at least half of the nodes of the stages before it, and at least one, are in sync and run
//     the version. If a single node was started and is no longer in sync, one more node is started in its place first.
//   - The target version of a node never decreases.
//   - A node that runs a version that was never its target, or that rejects the proposed version, halts the rollout.
//
// # Fixed texts
//
// Error texts of this package are stored in the registry and sent to its clients as they are. They must not change while
// replicas of different builds can run together.
package rollout
