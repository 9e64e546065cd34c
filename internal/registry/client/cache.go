package client

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"umberbank/internal/durable"
)

// Kind, schema and limits of the cache's files.
const (
	cacheKind             = "registry-list"
	cacheSchema           = 1
	cacheSnapshots        = 2       // number of snapshots retained
	maxPendingEvents      = 1024    // beyond that the full list is written
	minLogToCompact       = 1 << 18 // bytes; a shorter log is never worth another snapshot
	minLogToSnapshotRatio = 2       // the log is compacted once it is this many times the snapshot
)

var (
	errNotFullList = errors.New("no whole list")
	errNotFollowUp = errors.New("no change that follows the one before")
)

// cache keeps a Watcher's list in a folder: a snapshot of it, and a log of the events since, so that what an event costs does
// not depend on the list's length. One goroutine writes it, and no event waits for the disk.
type cache struct {
	opt       durable.Options
	logger    *slog.Logger
	store     *durable.Store // nil: the folder could not be opened so far
	lastError string         // is not logged again

	mu       *sync.Mutex       // the Watcher's, so that pending events fit the list
	list     func() WatchEvent // the full list, with mu held
	pending  []WatchEvent      // not written yet
	fullList bool              // the list itself has to be written, not what has changed
	dirty    chan struct{}     // has a value while there is something to write
}

func newCache(dir string, logger *slog.Logger, mu *sync.Mutex, list func() WatchEvent) *cache {
	return &cache{
		opt:      durable.Options{Dir: dir, Kind: cacheKind, Schema: cacheSchema, Retain: cacheSnapshots},
		logger:   logger,
		mu:       mu,
		list:     list,
		fullList: true,
		dirty:    make(chan struct{}, 1),
	}
}

// load applies what the folder has, as far as it is intact. apply says whether an event follows what was applied before.
func (c *cache) load(apply func(WatchEvent) bool) {
	found, skipped := durable.Load(c.opt, func(s durable.Snapshot) error {
		var event WatchEvent
		if err := json.Unmarshal(s.Payload, &event); err != nil {
			return err
		}
		if !event.FullList || event.Instances == nil {
			return errNotFullList
		}
		apply(event)
		return nil
	})
	if found != nil {
		damaged := durable.Replay(c.opt, found.Seq, func(record []byte) error {
			var event WatchEvent
			if err := json.Unmarshal(record, &event); err != nil {
				return err
			}
			if event.FullList || event.Instances == nil || !apply(event) {
				return errNotFollowUp
			}
			return nil
		})
		if damaged != nil {
			skipped = append(skipped, *damaged)
		}
	}
	for _, s := range skipped {
		c.logger.Warn("skipping a damaged file of the cached list", "file", s.File, "reason", s.Reason)
	}
}

// add notes an event that the Watcher has applied. c.mu is held.
func (c *cache) add(event WatchEvent) {
	if c.fullList || event.FullList || len(c.pending) == maxPendingEvents {
		c.fullList, c.pending = true, nil
	} else {
		c.pending = append(c.pending, event)
	}
	select {
	case c.dirty <- struct{}{}:
	default: // the writer is about to look
	}
}

// run writes what there is to write until ctx ends, and then once more.
func (c *cache) run(ctx context.Context) {
	defer func() {
		if c.store != nil {
			c.store.Close()
		}
	}()
	for ended := false; !ended; {
		select {
		case <-c.dirty:
		case <-ctx.Done():
			ended = true
		}
		c.logError(c.write())
	}
}

// logError logs an error unless it is the last one again.
func (c *cache) logError(err error) {
	if err == nil {
		c.lastError = ""
		return
	}
	if err.Error() != c.lastError {
		c.logger.Warn("writing the cached list failed", "error", err)
		c.lastError = err.Error()
	}
}

// write writes what has changed since the last time. After an error the list itself is written with the next event.
func (c *cache) write() error {
	list, pending := c.takePending()
	if list != nil && list.Revision == 0 { // nothing was received yet
		c.writeListNext()
		return nil
	}
	if list == nil && len(pending) == 0 {
		return nil
	}
	err := c.save(list, pending)
	if err != nil {
		c.writeListNext()
	}
	return err
}

// takePending takes what is to be written: the list, or if that is nil events.
func (c *cache) takePending() (list *WatchEvent, pending []WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending, fullList := c.pending, c.fullList
	c.pending, c.fullList = nil, false
	if fullList || c.needsCompaction() {
		l := c.list()
		list = &l
	}
	return list, pending
}

// needsCompaction says whether the log has grown so long that a snapshot pays.
func (c *cache) needsCompaction() bool {
	return c.store != nil && c.store.LogSize() > max(minLogToCompact, minLogToSnapshotRatio*c.store.SnapshotSize())
}

func (c *cache) writeListNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.fullList = nil, true
}

// save writes the list as a snapshot, or events behind the last one.
func (c *cache) save(list *WatchEvent, pending []WatchEvent) error {
	if c.store == nil {
		store, err := durable.Open(c.opt)
		if err != nil {
			return err // another process that has not ended yet, or the disk
		}
		c.store = store
	}
	if list != nil {
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		return c.store.Save(text, time.Now())
	}
	records := make([][]byte, len(pending))
	for i, event := range pending {
		var err error
		if records[i], err = json.Marshal(event); err != nil {
			return err
		}
	}
	return c.store.Append(records...)
}
