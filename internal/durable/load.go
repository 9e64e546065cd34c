package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
)

// SkippedFile describes a file that could not be used.
type SkippedFile struct {
	File   string // path
	Reason error
}

// String returns the path and the reason.
func (f SkippedFile) String() string { return fmt.Sprintf("%s: %v", f.File, f.Reason) }

// Load returns the newest intact snapshot for which accept returns nil, and the files that it skipped. The snapshot is nil if
// there is none. Load takes no lock, so another process may write at the same time.
func Load(o Options, accept func(Snapshot) error) (*Snapshot, []SkippedFile) {
	o.setDefaults()
	names, err := o.FS.ReadDir(o.Dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, []SkippedFile{{o.Dir, err}}
	}
	var skipped []SkippedFile
	for _, seq := range slices.Backward(o.sequences(names)) {
		s, err := o.readSnapshot(seq)
		if err == nil {
			err = accept(s)
		}
		switch {
		case err == nil:
			return &s, skipped
		case errors.Is(err, fs.ErrNotExist): // a Store pruned it after ReadDir and has a newer snapshot
		default:
			skipped = append(skipped, SkippedFile{o.snapshotPath(seq), err})
		}
	}
	return nil, skipped
}

// readSnapshot reads the snapshot with a sequence number. It checks that the kind and the sequence number in the file match
// its name, and that the schema is supported.
func (o *Options) readSnapshot(seq uint64) (Snapshot, error) {
	content, err := o.FS.ReadFile(o.snapshotPath(seq))
	if err != nil {
		return Snapshot{}, err
	}
	s, err := Decode(content)
	switch {
	case err != nil:
		return s, err
	case s.Kind != o.Kind || s.Seq != seq:
		return s, fmt.Errorf("content is snapshot %d of kind %q, which does not match the file name", s.Seq, s.Kind)
	case s.Schema > o.Schema:
		return s, fmt.Errorf("%w: schema %d, newest supported is %d", ErrNewerVersion, s.Schema, o.Schema)
	}
	return s, nil
}
