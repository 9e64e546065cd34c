package faultfs

import (
	"maps"
	"slices"
)

// outcome is what a power loss may leave of a file that was not synced.
type outcome int

const (
	unwritten  outcome = iota // the content of the last sync
	truncated                 // and the first half of what was written since
	zeroFilled                // the full length, with zeros for the first half of what was written since
	written                   // everything

	outcomeCount
)

// afterPowerLoss returns the content that an outcome leaves.
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

// ForEachPowerLoss calls do with every state in which a power loss now may leave the disk: every subset of the directory
// changes that were not synced, and for each of them every outcome for the files that were not synced.
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
