package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
)

// SkippedFile is a file that could not be used, and why.
type SkippedFile struct {
	File   string // path
	Reason error
}

// String returns the path and the reason.
func (f SkippedFile) String() string { return fmt.Sprintf("%s: %v", f.File, f.Reason) }

// Load returns the newest intact snapshot that accept returns nil for, and the files that it skipped on the way. The
// snapshot is nil if there is none. Load takes no lock: another process may write meanwhile.
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
		case errors.Is(err, fs.ErrNotExist): // pruned meanwhile by its writer, which has a newer one
		default:
			skipped = append(skipped, SkippedFile{o.snapshotPath(seq), err})
		}
	}
	return nil, skipped
}

// readSnapshot reads the snapshot of a sequence number and checks that it is the one its name says.
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
		return s, fmt.Errorf("it is number %d of kind %q under another's name", s.Seq, s.Kind)
	case s.Schema > o.Schema:
		return s, fmt.Errorf("%w: form %d, this one knows up to %d", ErrNewerVersion, s.Schema, o.Schema)
	}
	return s, nil
}
