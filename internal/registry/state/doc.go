// Package state is the replicated state of the registry: the instances of a site, what may be out of service at once, the
// records of releases, and the rollout of settings.
//
// [State] is a state machine without I/O or clock. A replica applies the committed log to it, one [Op] after the other;
// the same log gives the same State on every replica and after every replay. Leases and time are the leader's business:
// what follows from them arrives as an Op.
//
// A State must not be used by several goroutines at once while one of them applies writes. The pointers and maps that its
// methods return belong to it: callers must not change them, and may read what is not an [Instance] only until the next
// write. An Instance never changes once it is in a State; a change puts another in its place.
//
// # Invariants
//
//   - Revisions increase by one with each write that changes something, and with no other. The high bits of a revision are
//     its epoch, which only a restored backup increases; see [Epoch].
//   - The token of an instance is the revision of its registration. A later process of the same unit gets a higher one,
//     and from then on writes with the token before are fenced.
//   - A write with an ID is applied once; a repeat gets the first result. The last 65,536 IDs are remembered.
//   - A write with a [Fence] is applied only while the named instance has the given token.
//   - While a permit has begun, its unit is draining until it has restarted.
//
// # Stored and sent forms
//
// Op, [Result], Instance, [Record], [CoordinationView] and the snapshot are stored in the log and its snapshots, or are
// bodies of the registry's API. Their JSON names, the kinds of writes and the codes of results are fixed; golden files
// under testdata hold them.
package state
