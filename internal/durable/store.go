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

// Store writes snapshots and their logs into a directory whose lock it holds. Its methods are for one goroutine at a time.
type Store struct {
	opt      Options
	lock     io.Closer
	lastSeq  uint64   // the highest sequence number given out
	retained []uint64 // sequence numbers of the snapshots in the directory, rising

	// The log that follows the last saved snapshot.
	snapshotSeq  uint64 // 0: none was saved yet
	snapshotSize int    // of its payload
	log          File   // nil: nothing was appended yet
	recordCount  uint64
	logSize      int  // of its records, in bytes
	logFailed    bool // the content of the log is unknown
}

// Open creates the directory if need be and takes its lock; it fails with ErrInUse if another process holds it. Temporary
// files that a process left when it died are removed.
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
	// A snapshot that is damaged or from a newer version counts too, so that no number is used twice.
	if n := len(s.retained); n > 0 {
		s.lastSeq = s.retained[n-1]
	}
	s.removeTemporary(names)
	return s, nil
}

// removeTemporary removes unfinished files. One that cannot be removed only takes space.
func (s *Store) removeTemporary(names []string) {
	for _, name := range names {
		if strings.HasPrefix(name, s.opt.Kind+"-") && strings.HasSuffix(name, temporarySuffix) {
			_ = s.opt.FS.Remove(filepath.Join(s.opt.Dir, name))
		}
	}
}

// Save writes a payload as the newest snapshot and begins an empty log. When it returns nil the snapshot is durable; after an
// error the older ones stand, and the new one may or may not be there. Each call writes a new file from its beginning, so
// that nothing depends on what an earlier failed sync left behind.
func (s *Store) Save(payload []byte, taken time.Time) error {
	if len(payload) > s.opt.MaxPayload {
		return fmt.Errorf("%s: a state of %d bytes, over the %d allowed", s.opt.Dir, len(payload), s.opt.MaxPayload)
	}
	s.lastSeq++
	content, err := Encode(Snapshot{Kind: s.opt.Kind, Schema: s.opt.Schema, Seq: s.lastSeq, Taken: taken, Payload: payload})
	if err != nil {
		return err
	}
	path := s.opt.snapshotPath(s.lastSeq)
	if err := replaceFile(s.opt.FS, path, path+temporarySuffix, content); err != nil {
		s.logFailed = true // the new snapshot may be there all the same, and would make the log before it void
		return err
	}
	s.beginLog(len(payload))
	s.retained = append(s.retained, s.lastSeq)
	s.prune()
	return nil
}

// beginLog makes the snapshot just saved the one that Append continues.
func (s *Store) beginLog(snapshotSize int) {
	if s.log != nil {
		s.log.Close() // every record that counts was synced
	}
	s.snapshotSeq, s.snapshotSize = s.lastSeq, snapshotSize
	s.log, s.recordCount, s.logSize, s.logFailed = nil, 0, 0, false
}

// SnapshotSize returns the size of the last saved payload in bytes; 0 before the first Save.
func (s *Store) SnapshotSize() int { return s.snapshotSize }

// prune removes snapshots beyond those to retain, each after its log. What cannot be removed is tried again at the next Save.
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

// LockDir takes the lock of a directory of the operating system as Open does; it fails with ErrInUse if a Store holds it.
func LockDir(dir string) (io.Closer, error) {
	lock, err := OS.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return lock, nil
}
