// Package durable stores an application's state in files that survive a crash of the process or of the machine.
//
// A Store holds an exclusive lock on its directory. It writes numbered snapshots there, and for the newest snapshot a log of
// the records appended after it. Load and Replay read them without a lock, even while a Store is writing.
//
// # Guarantees
//
//   - After a crash, Load returns the last snapshot whose Save returned nil, or a later one. It never returns a partial one.
//   - Replay applies, in order and without gaps, every record whose Append returned nil, and possibly later ones.
//   - A damaged snapshot is reported and skipped. A damaged log is reported, and its records before the damage are applied.
//     Neither prevents a process from starting.
//   - Sequence numbers only increase. A number is never used for two snapshots.
//   - After a failed write or sync, nothing is appended until a new snapshot has been saved to a new file, because the state
//     that the failed call left on the disk is unknown.
//
// docs/durability.md describes these guarantees for operators.
//
// # Files
//
// KIND-SEQUENCE.state is a snapshot (see Encode). KIND-SEQUENCE.log is the log that follows it. The Store holds a lock on the
// file named lock. Files of other kinds in the directory are not touched. All sizes in this package are in bytes.
//
// # Concurrency
//
// A Store must not be used by several goroutines at the same time. Load, Replay, ReadFile and WriteFile are safe for
// concurrent use.
package durable
