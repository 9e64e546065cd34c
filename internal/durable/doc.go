// Package durable stores an application's state in files that survive a crash of the process or of the machine.
//
// A Store writes numbered snapshots into a directory that it holds alone, and beside the newest snapshot a log of the records
// appended since. Load and Replay read them back without a lock, also while a Store writes.
//
// # Guarantees
//
//   - After a crash Load returns the last snapshot whose Save returned nil, or a later one, never a partial one.
//   - Replay returns, in order and without a gap, every record whose Append returned nil, and possibly later ones.
//   - A damaged file is reported and skipped: it is never loaded, and it never keeps a process from starting.
//   - Sequence numbers only rise; a number is never used for two snapshots.
//   - After a failed write or sync nothing is appended until a new snapshot was saved to a new file, because what the failed
//     call left on the disk is unknown.
//
// docs/durability.md states them for operators.
//
// # Files
//
// KIND-SEQUENCE.state is a snapshot (see Encode), KIND-SEQUENCE.log the log that follows it, and lock is held by the Store.
// Files of other kinds in the directory are left alone. Sizes are in bytes.
//
// # Concurrency
//
// A Store's methods are for one goroutine at a time. Load, Replay, ReadFile and WriteFile may be called by any.
package durable
