package durable

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Options configures where and how a state is stored.
type Options struct {
	Dir        string // directory of the files; Open creates it
	Kind       string // kind of the state, 1 to 64 bytes; files of other kinds in Dir are not touched
	Schema     uint32 // version of the payload format that Save writes, and the newest that the caller can read
	Retain     int    // number of snapshots to retain; 3 if zero
	MaxPayload int    // maximum size of a payload or a record in bytes; 64 MiB if zero
	FS         FS     // file system to use; OS if nil
}

const (
	defaultRetain     = 3
	defaultMaxPayload = 64 << 20
)

// Names of files in a Store's directory.
const (
	// SnapshotSuffix is the suffix of snapshot file names.
	SnapshotSuffix = ".state"

	temporarySuffix = ".tmp"
	lockFile        = "lock"
	sequenceDigits  = 16 // hexadecimal, with leading zeros so that names sort by number
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

// sequences returns the sequence numbers of the snapshots among names, in increasing order.
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
