package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// ErrCorruptEntry is returned for a log entry whose checksum does not match. The replica stops on it, because raft itself
// only fails the operation that needed the entry. A leader would keep leading, and the followers that lack the entry would
// never be brought up to date.
var ErrCorruptEntry = errors.New("checksum mismatch, the stored data is not what was written")

// checksumSize is the size in bytes of the checksum that is appended to the data of each entry.
const checksumSize = 8

// checksumStore is a log store whose entries carry a checksum of their index, term, type and data. bbolt checks only the pages
// with its metadata and not those with data, where a flipped byte would become part of the state of a single replica.
//
// It also measures each sync, so that the replica can detect that its disk is slow or hangs.
type checksumStore struct {
	raft.LogStore
	beforeSync func()      // nil if there is nothing to do
	onCorrupt  func(error) // called for each corrupt entry that is read
	syncs      syncMonitor
}

// newChecksumStore returns a store that wraps another. A sync that takes longer than slowSync is slow.
func newChecksumStore(store raft.LogStore, slowSync time.Duration, onCorrupt func(error)) *checksumStore {
	return &checksumStore{LogStore: store, onCorrupt: onCorrupt, syncs: syncMonitor{base: time.Now(), slowAfter: slowSync}}
}

// checksum returns the checksum of an entry with the given data.
func checksum(entry *raft.Log, data []byte) uint64 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], entry.Index)
	binary.BigEndian.PutUint64(head[8:], entry.Term)
	head[16] = byte(entry.Type)
	d := xxhash.New()
	d.Write(head[:]) //nolint:errcheck // Write never fails
	d.Write(data)    //nolint:errcheck // Write never fails
	return d.Sum64()
}

// StoreLog stores a copy of one entry with a checksum.
func (s *checksumStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores copies of entries, each with a checksum appended to its data.
func (s *checksumStore) StoreLogs(entries []*raft.Log) error {
	stored := make([]*raft.Log, len(entries))
	for i, e := range entries {
		c := *e
		c.Data = binary.BigEndian.AppendUint64(append(make([]byte, 0, len(e.Data)+checksumSize), e.Data...), checksum(e, e.Data))
		stored[i] = &c
	}
	start := s.syncs.begin()
	defer s.syncs.end()
	if s.beforeSync != nil {
		s.beforeSync()
	}
	err := s.LogStore.StoreLogs(stored)
	s.syncs.record(time.Since(start))
	return err
}

// GetLog reads an entry. It returns ErrCorruptEntry if the checksum does not match.
func (s *checksumStore) GetLog(index uint64, entry *raft.Log) error {
	if err := s.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	n := len(entry.Data) - checksumSize
	if n < 0 || entry.Index != index || binary.BigEndian.Uint64(entry.Data[n:]) != checksum(entry, entry.Data[:n]) {
		err := fmt.Errorf("log entry %d: %w; remove this replica from the cluster, empty its data directory and add it again", index, ErrCorruptEntry)
		s.onCorrupt(err)
		return err
	}
	entry.Data = entry.Data[:n:n]
	return nil
}

// verify reads all entries and returns the first error.
func (s *checksumStore) verify() error {
	first, err := s.FirstIndex()
	if err != nil {
		return err
	}
	last, err := s.LastIndex()
	if err != nil || first == 0 {
		return err
	}
	for i := first; i <= last; i++ {
		var entry raft.Log
		if err := s.GetLog(i, &entry); err != nil {
			return err
		}
	}
	return nil
}
