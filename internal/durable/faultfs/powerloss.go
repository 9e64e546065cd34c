package faultfs

import (
	"maps"
	"slices"
)

// outcome is what a power loss may leave of a file with unsynced data.
type outcome int

const (
	unwritten  outcome = iota // the content of the last sync
	truncated                 // the synced content and the first half of the data written since
	zeroFilled                // the full length, with zeros for the first half of the data written since the sync
	written                   // all data

	outcomeCount
)

// afterPowerLoss returns the content after a power loss with an outcome.
func (n *inode) afterPowerLoss(o outcome) []byte {
	if !n.dirty {
		return n.synced
	}
	middle := (len(n.synced) + len(n.current)) / 2
	switch o {
	case unwritten:
		return n.synced
	case truncated:
		return n.current[:middle]
	case zeroFilled:
		content := slices.Clone(n.current)
		clear(content[len(n.synced):middle])
		return content
	default:
		return n.current
	}
}

// ForEachPowerLoss calls do with every state in which a power loss at this step may leave the disk. It combines every subset of
// the unsynced directory changes with every outcome for the unsynced data, which is the same for all files.
func (f *FS) ForEachPowerLoss(do func(after *FS)) {
	for subset := range 1 << len(f.pending) {
		files := maps.Clone(f.onDisk)
		for i, c := range f.pending {
			if subset>>i&1 == 1 {
				c.applyTo(files)
			}
		}
		for o := range outcomeCount {
			after, dirty := New(), false
			for path, n := range files {
				after.Put(path, n.afterPowerLoss(o))
				dirty = dirty || n.dirty
			}
			do(after)
			if !dirty {
				break // all outcomes are the same
			}
		}
	}
}
