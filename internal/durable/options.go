package durable

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Options describe where a state is stored and what it is.
type Options struct {
	Dir        string // the directory; Open creates it
	Kind       string // of the state, 1 to 64 bytes; files of other kinds in Dir are left alone
	Schema     uint32 // the newest version of the payload's form that the caller understands
	Retain     int    // snapshots to retain; 0: 3
	MaxPayload int    // limit of a payload and of a record, in bytes; 0: 64 MiB
	FS         FS     // nil: OS
}

const (
	defaultRetain     = 3
	defaultMaxPayload = 64 << 20
)

// Names of files in a Store's directory.
const (
	// SnapshotSuffix ends the names of snapshot files.
	SnapshotSuffix = ".state"

	temporarySuffix = ".tmp"
	lockFile        = "lock"
	sequenceDigits  = 16 // hexadecimal, so that names sort by number
)

func (o *Options) setDefaults() {
	if o.Retain == 0 {
		o.Retain = defaultRetain
	}
	if o.MaxPayload == 0 {
		o.MaxPayload = defaultMaxPayload
	}
	if o.FS == nil {
		o.FS = OS
	}
}

func (o *Options) snapshotPath(seq uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%s-%016x%s", o.Kind, seq, SnapshotSuffix))
}

// parseSnapshotName returns the sequence number in the name of a snapshot of this kind; ok is false for any other name.
func (o *Options) parseSnapshotName(name string) (seq uint64, ok bool) {
	stem, isSnapshot := strings.CutSuffix(name, SnapshotSuffix)
	digits, isKind := strings.CutPrefix(stem, o.Kind+"-")
	if !isSnapshot || !isKind || len(digits) != sequenceDigits {
		return 0, false
	}
	seq, err := strconv.ParseUint(digits, 16, 64)
	return seq, err == nil
}

// sequences returns the sequence numbers of the snapshots among names, in rising order.
func (o *Options) sequences(names []string) []uint64 {
	var seqs []uint64
	for _, name := range names {
		if seq, ok := o.parseSnapshotName(name); ok {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}
