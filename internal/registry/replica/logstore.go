package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// ErrCorruptEntry says that an entry of the log is not what was written. A replica ends on it: raft itself only skips the
// call that needed the entry, so a leader would go on leading and never bring those up to date who lack it.
var ErrCorruptEntry = errors.New("is not what was written")

// checksumSize is the size in bytes of the checksum behind the data of each entry.
const checksumSize = 8

// checksumStore is a log store whose entries carry a checksum of all that matters in them. bbolt checks the pages that say
// where things are, but not what is in them: a flipped byte there would become part of the state of one replica alone.
//
// It also measures each sync, from which the replica tells that its disk is slow or hangs.
type checksumStore struct {
	raft.LogStore
	beforeSync func()      // nil: nothing to do
	onCorrupt  func(error) // called for each corrupt entry that is read
	syncs      syncMonitor
}

// newChecksumStore returns a store above another. A sync that takes longer than slowSync is slow.
func newChecksumStore(store raft.LogStore, slowSync time.Duration, onCorrupt func(error)) *checksumStore {
	return &checksumStore{LogStore: store, onCorrupt: onCorrupt, syncs: syncMonitor{base: time.Now(), slowAfter: slowSync}}
}

// checksum is the checksum of an entry with this data.
func checksum(entry *raft.Log, data []byte) uint64 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], entry.Index)
	binary.BigEndian.PutUint64(head[8:], entry.Term)
	head[16] = byte(entry.Type)
	d := xxhash.New()
	d.Write(head[:]) //nolint:errcheck // it never fails
	d.Write(data)    //nolint:errcheck // it never fails
	return d.Sum64()
}

// StoreLog stores one entry.
func (s *checksumStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores copies of entries, each with its checksum behind its data.
func (s *checksumStore) StoreLogs(entries []*raft.Log) error {
	stored := make([]*raft.Log, len(entries))
	for i, e := range entries {
		c := *e
		c.Data = binary.BigEndian.AppendUint64(append(make([]byte, 0, len(e.Data)+checksumSize), e.Data...), checksum(e, e.Data))
		stored[i] = &c
	}
	began := s.syncs.begin()
	defer s.syncs.end()
	if s.beforeSync != nil {
		s.beforeSync()
	}
	err := s.LogStore.StoreLogs(stored)
	s.syncs.record(time.Since(began))
	return err
}

// GetLog reads an entry. It fails with ErrCorruptEntry if that is not what was stored.
func (s *checksumStore) GetLog(index uint64, entry *raft.Log) error {
	if err := s.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	n := len(entry.Data) - checksumSize
	if n < 0 || entry.Index != index || binary.BigEndian.Uint64(entry.Data[n:]) != checksum(entry, entry.Data[:n]) {
		err := fmt.Errorf("entry %d of the log %w: take this replica out, empty its folder and add it again", index, ErrCorruptEntry)
		s.onCorrupt(err)
		return err
	}
	entry.Data = entry.Data[:n:n]
	return nil
}

// verify reads the whole log.
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
