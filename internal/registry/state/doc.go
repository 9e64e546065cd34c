// Package state is the replicated state machine of the registry. It holds the instances of a site, their disruption budgets
// and permits, the records of releases, and the rollout of the nodes' settings.
//
// [State] does no I/O and reads no clock. A replica applies the committed log to it, one [Op] after the other, and the same
// log produces the same State on every replica and after every replay. The leader measures time, keeps the leases, and proposes
// the writes that follow from them as Ops.
//
// A State must not be used by several goroutines at once while one of them applies writes. Callers must not change what the
// pointers and maps that its methods return refer to, and may read it only until the next write. An [Instance] may be read at
// any time: it is immutable once it is in a State, and a change replaces it by another.
//
// # Invariants
//
//   - A write increases the revision by one or not at all. Each change of an instance, a record, a permit, the limits or the
//     rollout increases it. Rejected and repeated writes, [OpSetMember] and [OpNoop] do not. The high bits of a revision are
//     its epoch, which only the restore of a backup increases; see [Epoch].
//   - The token of an instance is the revision at which its process registered. A later process with the same UID gets
//     a higher token, and from then on writes with the earlier token are fenced.
//   - A write with an ID is applied once; a repeated write gets the first result. The last 65,536 IDs are kept, and none
//     across the restore of a backup.
//   - A write with a [Fence] is applied only while the named instance has the given token.
//   - A server whose permit has begun is draining until it has restarted or until an [OpUpdate] sets it to serving. The OpUpdate
//     is rejected while a release is changing the server to another version.
//
// # Encodings
//
// Op, [Result], Instance, [Record], [CoordinationView] and the snapshot are stored in the log and its snapshots, or are
// bodies of the registry's API. Their JSON names, the kinds of writes and the codes of results are fixed. Golden files
// under testdata pin them.
package state
