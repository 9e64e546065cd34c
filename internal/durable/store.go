package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
	"time"
)

// Store writes snapshots and their logs to a directory whose lock it holds. Its methods must not be called concurrently.
type Store struct {
	opt      Options
	lock     io.Closer
	lastSeq  uint64   // highest sequence number assigned
	retained []uint64 // sequence numbers of the snapshots that Open found or Save wrote, without removed ones; increasing

	// The log that follows the last saved snapshot.
	snapshotSeq  uint64 // zero until the first successful Save
	snapshotSize int    // size of its payload in bytes
	log          File   // nil until the first Append after a Save
	recordCount  uint64
	logSize      int  // size of its records in bytes
	logFailed    bool // an Append or the write of a snapshot has failed since the last successful Save
}

// Open creates the directory if it does not exist and takes its lock. It fails with ErrInUse if the lock is held. It removes
// temporary files left by a process that died.
func Open(o Options) (*Store, error) {
	o.setDefaults()
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, err
	}
	lock, err := o.FS.Lock(filepath.Join(o.Dir, lockFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	names, err := o.FS.ReadDir(o.Dir)
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	s := &Store{opt: o, lock: lock, retained: o.sequences(names)}
	// Damaged snapshots and snapshots of a newer version are included, so that no number is used twice.
	if n := len(s.retained); n > 0 {
		s.lastSeq = s.retained[n-1]
	}
	s.removeTemporary(names)
	return s, nil
}

// removeTemporary removes temporary files of this kind. It ignores errors, because a file that remains only takes up space.
func (s *Store) removeTemporary(names []string) {
	for _, name := range names {
		snapshot, isTemporary := strings.CutSuffix(name, temporarySuffix)
		if _, isKind := s.opt.parseSnapshotName(snapshot); isTemporary && isKind {
			_ = s.opt.FS.Remove(filepath.Join(s.opt.Dir, name))
		}
	}
}

// Save writes a payload as the newest snapshot and starts an empty log. When it returns nil, the snapshot is durable. After an
// error, the older snapshots are unchanged, and the new one may or may not exist. Each call writes a complete new file, so
// that it does not depend on what an earlier failed sync left on the disk.
func (s *Store) Save(payload []byte, taken time.Time) error {
	if len(payload) > s.opt.MaxPayload {
		return fmt.Errorf("%s: state of %d bytes exceeds the limit of %d bytes", s.opt.Dir, len(payload), s.opt.MaxPayload)
	}
	s.lastSeq++
	content, err := Encode(Snapshot{Kind: s.opt.Kind, Schema: s.opt.Schema, Seq: s.lastSeq, Taken: taken, Payload: payload})
	if err != nil {
		return err
	}
	path := s.opt.snapshotPath(s.lastSeq)
	if err := replaceFile(s.opt.FS, path, path+temporarySuffix, content); err != nil {
		s.logFailed = true // the new snapshot may exist despite the error, which makes the current log obsolete
		return err
	}
	s.beginLog(len(payload))
	s.retained = append(s.retained, s.lastSeq)
	s.prune()
	return nil
}

// beginLog makes Append write to a new log that follows the snapshot just saved.
func (s *Store) beginLog(snapshotSize int) {
	if s.log != nil {
		s.log.Close() // errors are ignored: every acknowledged record was synced
	}
	s.snapshotSeq, s.snapshotSize = s.lastSeq, snapshotSize
	s.log, s.recordCount, s.logSize, s.logFailed = nil, 0, 0, false
}

// SnapshotSize returns the size of the last saved payload in bytes, or zero before the first successful Save.
func (s *Store) SnapshotSize() int { return s.snapshotSize }

// prune removes the oldest snapshots beyond Options.Retain, each after its log. If a removal fails, the next Save retries it.
func (s *Store) prune() {
	for len(s.retained) > s.opt.Retain {
		oldest := s.retained[0]
		for _, path := range []string{s.opt.logPath(oldest), s.opt.snapshotPath(oldest)} {
			if err := s.opt.FS.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return
			}
		}
		s.retained = s.retained[1:]
	}
}

// Close closes the log and releases the directory's lock.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lock.Close())
}

// LockDir takes the lock on a directory of the operating system's file system, as Open does. It fails with ErrInUse if the
// lock is held. The caller must Close the lock.
func LockDir(dir string) (io.Closer, error) {
	lock, err := OS.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return lock, nil
}
