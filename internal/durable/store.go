// Package durable keeps a state in files so that whatever ends the process, or the machine, what is read afterwards
// is a state that was once written whole: the last one whose Save returned, or a later one. What is damaged is named and
// passed over, never loaded, and never a reason not to start. docs/durability.md says what is promised.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options say where a state is kept and what it is.
type Options struct {
	Dir        string
	Kind       string // of the state; other kinds in the folder are let be
	Schema     uint32 // the newest version of the payload that is understood
	Retain     int    // snapshots that are kept; 0: 3
	MaxPayload int    // bytes of a payload; 0: 64 MiB
	FS         FS     // nil: OS
}

const (
	defaultKeep = 3
	defaultMost = 64 << 20
	unfinished  = ".tmp"
	lockFile    = "lock"
)

// SnapshotSuffix ends the names of a Store's snapshots.
const SnapshotSuffix = ".state"

func (o *Options) complete() {
	if o.Retain == 0 {
		o.Retain = defaultKeep
	}
	if o.MaxPayload == 0 {
		o.MaxPayload = defaultMost
	}
	if o.FS == nil {
		o.FS = OS
	}
}

func (o *Options) path(seq uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%s-%016x%s", o.Kind, seq, SnapshotSuffix))
}

// seqOf is the number in a snapshot's name; false: it is none of this kind.
func (o *Options) seqOf(name string) (uint64, bool) {
	text, is := strings.CutSuffix(name, SnapshotSuffix)
	text, of := strings.CutPrefix(text, o.Kind+"-")
	if !is || !of || len(text) != 16 {
		return 0, false
	}
	seq, err := strconv.ParseUint(text, 16, 64)
	return seq, err == nil
}

// SkippedFile is a file that was passed over.
type SkippedFile struct {
	File   string
	Reason error
}

func (t SkippedFile) String() string { return fmt.Sprintf("%s: %v", t.File, t.Reason) }

// Load returns the newest whole snapshot that take accepts, nil if there is none, and what was passed over on the
// way. It takes no lock: another process may go on saving meanwhile.
func Load(o Options, take func(Snapshot) error) (*Snapshot, []SkippedFile) {
	o.complete()
	names, err := o.FS.ReadDir(o.Dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, []SkippedFile{{o.Dir, err}}
	}
	var thrown []SkippedFile
	for _, seq := range o.numbers(names) {
		s, err := o.read(seq)
		if err == nil {
			err = take(s)
		}
		switch {
		case err == nil:
			return &s, thrown
		case errors.Is(err, fs.ErrNotExist): // its writer has a newer one
		default:
			thrown = append(thrown, SkippedFile{o.path(seq), err})
		}
	}
	return nil, thrown
}

// numbers are those of the snapshots among names, the newest first.
func (o *Options) numbers(names []string) (l []uint64) {
	for _, n := range names {
		if seq, is := o.seqOf(n); is {
			l = append(l, seq)
		}
	}
	slices.Sort(l)
	slices.Reverse(l)
	return l
}

func (o *Options) read(seq uint64) (Snapshot, error) {
	text, err := o.FS.ReadFile(o.path(seq))
	if err != nil {
		return Snapshot{}, err
	}
	s, err := Decode(text)
	switch {
	case err != nil:
	case s.Kind != o.Kind || s.Seq != seq:
		err = fmt.Errorf("it is number %d of kind %q under another's name", s.Seq, s.Kind)
	case s.Schema > o.Schema:
		err = fmt.Errorf("%w: form %d, this one knows up to %d", errNewer, s.Schema, o.Schema)
	}
	return s, err
}

// Store saves snapshots in a folder that it has to itself. Its methods are for one goroutine.
type Store struct {
	opt  Options
	lock io.Closer
	next uint64
	old  []uint64 // that are there, the newest last

	base    uint64 // of the snapshot that Append goes with; 0: none was saved yet
	log     File   // nil: nothing was appended to it
	size    int    // of its payload
	records uint64
	logSize int
	failed  bool // what was last written may or may not be there
}

// Open makes the folder if there is none and takes its lock; ErrInUse: another process has it. What a process that died
// left unfinished is taken away.
func Open(o Options) (*Store, error) {
	o.complete()
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, err
	}
	lock, err := o.FS.Lock(filepath.Join(o.Dir, lockFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	names, err := o.FS.ReadDir(o.Dir)
	if err != nil {
		lock.Close()
		return nil, err
	}
	s := &Store{opt: o, lock: lock, old: o.numbers(names)}
	slices.Reverse(s.old)
	// One that is damaged or from a newer version counts too: no number is given twice.
	if n := len(s.old); n > 0 {
		s.next = s.old[n-1]
	}
	for _, n := range names {
		if strings.HasPrefix(n, o.Kind+"-") && strings.HasSuffix(n, unfinished) {
			o.FS.Remove(filepath.Join(o.Dir, n)) // else it only takes room
		}
	}
	return s, nil
}

// Save keeps a payload as the newest snapshot. When it returns nil the snapshot outlives a crash and a power loss; after an
// error the older ones stand, and the new one may or may not. Each call writes a file of its own from its beginning:
// what a failed sync leaves behind is never relied on.
func (s *Store) Save(payload []byte, taken time.Time) error {
	if len(payload) > s.opt.MaxPayload {
		return fmt.Errorf("%s: a state of %d bytes, over the %d allowed", s.opt.Dir, len(payload), s.opt.MaxPayload)
	}
	s.next++
	text, err := Encode(Snapshot{s.opt.Kind, s.opt.Schema, s.next, taken, payload})
	if err != nil {
		return err
	}
	path := s.opt.path(s.next)
	if err := writeFile(s.opt.FS, path, path+unfinished, text); err != nil {
		s.failed = true // it may be there all the same, and then the log before it counts for nothing
		return err
	}
	if s.log != nil {
		s.log.Close() // all that counts in it is synced
	}
	s.base, s.size, s.log, s.records, s.logSize, s.failed = s.next, len(payload), nil, 0, 0, false
	s.old = append(s.old, s.next)
	s.prune()
	return nil
}

// SnapshotSize is how many bytes the payload of the last Save had; 0: there was none.
func (s *Store) SnapshotSize() int { return s.size }

// prune removes what is older than what is to be kept. What cannot be removed is tried again with the next.
func (s *Store) prune() {
	for len(s.old) > s.opt.Retain {
		for _, name := range []string{s.opt.logPath(s.old[0]), s.opt.path(s.old[0])} { // no log outlives its snapshot
			if err := s.opt.FS.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return
			}
		}
		s.old = s.old[1:]
	}
}

// LockDir takes the lock of a folder of the machine, as Open does; ErrInUse: a process has it.
func LockDir(dir string) (io.Closer, error) {
	lock, err := OS.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return lock, nil
}

// Close lets others have the folder.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lock.Close())
}

// writeFile puts a file in place at once or not at all, by way of tmp, and returns when it lasts.
func writeFile(fsys FS, path, tmp string, text []byte) error {
	f, err := fsys.Create(tmp)
	if errors.Is(err, fs.ErrExist) { // of a try that could not clear up
		if err = fsys.Remove(tmp); err == nil {
			f, err = fsys.Create(tmp)
		}
	}
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = fsys.Rename(tmp, path)
	}
	if err != nil {
		fsys.Remove(tmp) // else the next Open does
		return err
	}
	return fsys.SyncDir(filepath.Dir(path))
}

// WriteFile keeps a single snapshot in a file, in the place of the one before. It lasts when it returns nil; after an
// error the one before stands, or the new one does. Several processes may write the same file: the last one counts.
func WriteFile(path string, s Snapshot) error {
	text, err := Encode(s)
	if err != nil {
		return err
	}
	return writeFile(OS, path, fmt.Sprintf("%s.%d%s", path, os.Getpid(), unfinished), text)
}

// ReadFile reads a file as WriteFile or a Store writes it, whatever its kind.
func ReadFile(path string) (Snapshot, error) {
	text, err := OS.ReadFile(path)
	if err != nil {
		return Snapshot{}, err
	}
	s, err := Decode(text)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
