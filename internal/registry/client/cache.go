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

// Parameters of the cache files.
const (
	cacheKind             = "registry-list"
	cacheSchema           = 1
	cacheSnapshots        = 2       // snapshots to retain
	maxPendingEvents      = 1024    // if more events are pending, the full list is written instead
	minCompactLogBytes    = 1 << 18 // a shorter log is not worth a new snapshot
	minLogToSnapshotRatio = 2       // the log is compacted when it is larger than the snapshot by this factor
)

var (
	errNotFullList  = errors.New("snapshot is not a full list")
	errNotSuccessor = errors.New("record is not a change that follows the previous one")
)

// cache stores the list of a Watcher in a directory, as a snapshot and a log of the events since the snapshot, so that most
// events are stored without writing the full list again. A single goroutine writes the files, so applying an event never
// waits for the disk.
type cache struct {
	opt       durable.Options
	logger    *slog.Logger
	store     *durable.Store // nil until the directory has been opened
	lastError string         // text of the last write's error; empty if that write succeeded

	mu       *sync.Mutex       // the Watcher's lock, so that pending and list are consistent
	list     func() WatchEvent // returns the full list; mu must be held
	pending  []WatchEvent      // events that are not written yet
	fullList bool              // the full list must be written next, instead of pending
	dirty    chan struct{}     // holds a value while there is something to write
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

// load applies the newest intact snapshot, and then the records of its log up to the first damaged or invalid one. apply
// reports whether it has applied an event.
func (c *cache) load(apply func(WatchEvent) bool) {
	found, skipped := durable.Load(c.opt, func(s durable.Snapshot) error {
		var event WatchEvent
		if err := json.Unmarshal(s.Payload, &event); err != nil {
			return err
		}
		if !event.FullList || checkInstances(event) != nil {
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
			if event.FullList || checkInstances(event) != nil || !apply(event) {
				return errNotSuccessor
			}
			return nil
		})
		if damaged != nil {
			skipped = append(skipped, *damaged)
		}
	}
	for _, s := range skipped {
		c.logger.Warn("cannot load a file of the cached list completely", "file", s.File, "reason", s.Reason)
	}
}

// add queues an event that the Watcher has applied. c.mu must be held.
func (c *cache) add(event WatchEvent) {
	if c.fullList || event.FullList || len(c.pending) == maxPendingEvents {
		c.fullList, c.pending = true, nil
	} else {
		c.pending = append(c.pending, event)
	}
	select {
	case c.dirty <- struct{}{}:
	default: // the writer has already been notified
	}
}

// run writes queued events until ctx is done. It then writes the remaining ones and closes the store.
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

// logError logs the error of a write, unless the previous write failed with the same error. err may be nil.
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

// write writes the changes since the last write. After an error, the next write stores the full list.
func (c *cache) write() error {
	list, pending := c.takePending()
	if list != nil && list.Revision == 0 { // no list has been loaded or received yet
		c.scheduleFullList()
		return nil
	}
	if list == nil && len(pending) == 0 {
		return nil
	}
	err := c.save(list, pending)
	if err != nil {
		c.scheduleFullList()
	}
	return err
}

// takePending returns what must be written and resets it: the full list, or the pending events if list is nil.
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

// needsCompaction reports whether the log is so large that a new snapshot must replace it. c.mu must be held.
func (c *cache) needsCompaction() bool {
	return c.store != nil && c.store.LogSize() > max(minCompactLogBytes, minLogToSnapshotRatio*c.store.SnapshotSize())
}

func (c *cache) scheduleFullList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.fullList = nil, true
}

// save writes the list as a snapshot, or if list is nil appends events to the log.
func (c *cache) save(list *WatchEvent, pending []WatchEvent) error {
	if c.store == nil {
		store, err := durable.Open(c.opt)
		if err != nil {
			return err // for example the previous process has not exited yet, or a disk error
		}
		c.store = store
	}
	if list != nil {
		payload, err := json.Marshal(list)
		if err != nil {
			return err
		}
		return c.store.Save(payload, time.Now())
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
