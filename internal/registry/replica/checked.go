package replica

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// checked is a log whose entries carry a checksum of all that matters in them. bbolt checks the pages that say where
// things are, but not what is in them: a flipped byte there would become part of the State of one replica alone.
//
// It also keeps the time of each sync, from which the replica tells that its disk is slow or hangs.
type checked struct {
	raft.LogStore
	wait   func()      // before each sync; nil: not at all
	spoilt func(error) // hears of each entry that is not what was written

	base  time.Time    // on the monotonic clock
	began atomic.Int64 // of the sync under way, since base; 0: there is none
	slow  atomic.Int32 // syncs in a row that took longer than limit
	limit time.Duration
}

// errSpoilt says that an entry of the log is not what was written. The replica ends on it: raft itself only skips the
// call that needed the entry, so a leader would go on leading and never bring those up to date who lack it.
type errSpoilt struct{ index uint64 }

func (e errSpoilt) Error() string {
	return fmt.Sprintf("entry %d of the log is not what was written: take this replica out, empty its folder and add it again", e.index)
}

// sum is the checksum of an entry.
func sum(l *raft.Log, data []byte) uint64 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], l.Index)
	binary.BigEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	d := xxhash.New()
	d.Write(head[:]) // neither ever fails
	d.Write(data)
	return d.Sum64()
}

// StoreLog stores one entry.
func (c *checked) StoreLog(l *raft.Log) error { return c.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries, each with its checksum behind its data. The entries themselves stay as they are.
func (c *checked) StoreLogs(logs []*raft.Log) error {
	out := make([]*raft.Log, len(logs))
	for i, l := range logs {
		with := *l
		with.Data = binary.BigEndian.AppendUint64(append(make([]byte, 0, len(l.Data)+8), l.Data...), sum(l, l.Data))
		out[i] = &with
	}
	began := time.Now()
	c.began.Store(max(1, int64(began.Sub(c.base))))
	defer c.began.Store(0)
	if c.wait != nil {
		c.wait()
	}
	err := c.LogStore.StoreLogs(out)
	if time.Since(began) > c.limit {
		c.slow.Add(1)
	} else {
		c.slow.Store(0)
	}
	return err
}

// hung is how long the sync under way has lasted.
func (c *checked) hung() time.Duration {
	began := c.began.Load()
	if began == 0 {
		return 0
	}
	return time.Since(c.base) - time.Duration(began)
}

// stood leaves the time in which this process stood still out of what the sync under way has lasted: the disk may be
// well.
func (c *checked) stood(gap time.Duration) {
	if began := c.began.Load(); began != 0 {
		c.began.CompareAndSwap(began, began+int64(gap))
	}
}

// GetLog reads an entry, and fails if it is not what was stored.
func (c *checked) GetLog(index uint64, l *raft.Log) error {
	if err := c.LogStore.GetLog(index, l); err != nil {
		return err
	}
	n := len(l.Data) - 8
	if n < 0 || l.Index != index || binary.BigEndian.Uint64(l.Data[n:]) != sum(l, l.Data[:n]) {
		err := errSpoilt{index}
		c.spoilt(err)
		return err
	}
	l.Data = l.Data[:n:n]
	return nil
}

// verify reads the whole log.
func (c *checked) verify() error {
	first, err := c.FirstIndex()
	if err != nil {
		return err
	}
	last, err := c.LastIndex()
	if err != nil || first == 0 {
		return err
	}
	for i := first; i <= last; i++ {
		var l raft.Log
		if err := c.GetLog(i, &l); err != nil {
			return err
		}
	}
	return nil
}
