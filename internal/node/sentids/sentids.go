// Package sentids remembers the correlation IDs of requests that servers may have run, so that a request
// whose ID comes again does not run twice. It holds a fixed number of IDs and forgets the oldest first.
// The processes of a node that replace each other share one table.
package sentids

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// slots is the number of IDs that a table holds.
	slots = 8192
	// wordBytes is the size of a word in bytes, and fileBytes that of a shared table: a counter and the
	// slots, one word each.
	wordBytes = 8
	fileBytes = (1 + slots) * wordBytes
)

// Table holds the hashes of IDs. It is safe for concurrent use by goroutines and, if it is shared, by
// processes.
type Table struct {
	words  *[1 + slots]atomic.Uint64 // the number of claims so far, and a ring of hashes; zero is free
	mapped []byte                    // the memory of a shared table; nil otherwise
}

// Claim is the exclusive use of an ID. The zero value is no claim.
type Claim struct {
	slot int
	hash uint64
}

// New returns a table of this process alone.
func New() *Table { return &Table{words: new([1 + slots]atomic.Uint64)} }

// Open returns the table that the processes of the named node share through a file in dir.
func Open(dir, node string) (*Table, error) {
	file, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("umberbank-%x.ids", node)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	// Without reserved space, a write to the mapped memory could fail later, which would end the process.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, fileBytes); err != nil {
		return nil, &os.PathError{Op: "allocate", Path: file.Name(), Err: err}
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, &os.PathError{Op: "map", Path: file.Name(), Err: err}
	}
	return &Table{words: (*[1 + slots]atomic.Uint64)(unsafe.Pointer(&mapped[0])), mapped: mapped}, nil
}

// Claim claims an ID. ok is false if it is claimed already. If two processes claim an ID at the same
// moment, ok may be false in both.
func (t *Table) Claim(id string) (claim Claim, ok bool) {
	hash := hashOf(id)
	if t.claimedElsewhere(hash, -1) {
		return Claim{}, false
	}
	slot := 1 + int((t.words[0].Add(1)-1)%slots)
	t.words[slot].Store(hash)
	if t.mapped != nil && t.claimedElsewhere(hash, slot) {
		t.words[slot].CompareAndSwap(hash, 0)
		return Claim{}, false
	}
	return Claim{slot, hash}, true
}

// Release ends a claim whose request no server can have run. It does nothing for the zero Claim.
func (t *Table) Release(claim Claim) {
	if claim.hash != 0 {
		t.words[claim.slot].CompareAndSwap(claim.hash, 0)
	}
}

// claimedElsewhere reports whether a slot other than the given one holds the hash.
func (t *Table) claimedElsewhere(hash uint64, slot int) bool {
	for i := 1; i <= slots; i++ {
		if i != slot && t.words[i].Load() == hash {
			return true
		}
	}
	return false
}

// Close releases the memory of a shared table, which must not be used afterwards.
func (t *Table) Close() error {
	if t.mapped == nil {
		return nil
	}
	return unix.Munmap(t.mapped)
}

// hashOf returns the hash of an ID, which is not zero and the same in all processes.
func hashOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return max(1, h.Sum64())
}
