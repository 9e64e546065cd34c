package client

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"umberbank/internal/durable"
)

// cache keeps a Reader's list in a folder: a snapshot of it, and a log of the changes since, so that what a change
// costs does not depend on the list's length. One goroutine writes it, and no news waits for the disk.
type cache struct {
	opt   durable.Options
	store *durable.Store // nil: the folder could not be had so far
	said  string         // the last complaint, which is not repeated

	// What is not written yet; under the Reader's lock.
	pending []message
	whole   bool // the list itself has to be written, not what has changed
	news    chan struct{}
}

// What the cache's files are, and their bounds.
const (
	cacheKind   = "registry-list"
	cacheSchema = 1
	mostPending = 1024    // changes; beyond that the list is written
	leastLog    = 1 << 18 // bytes of a log that are never worth another snapshot
)

func newCache(dir string) *cache {
	return &cache{opt: durable.Options{Dir: dir, Kind: cacheKind, Schema: cacheSchema, Retain: 2}, whole: true, news: make(chan struct{}, 1)}
}

// load gives the Reader what the cache has, as far as it is whole.
func (c *cache) load(r *Watcher) {
	found, thrown := durable.Load(c.opt, func(s durable.Snapshot) error {
		var m message
		if err := json.Unmarshal(s.Payload, &m); err != nil {
			return err
		}
		if !m.FullList || m.Instances == nil {
			return errors.New("no whole list")
		}
		r.take(m)
		return nil
	})
	if found != nil {
		bad := durable.Replay(c.opt, found.Seq, func(record []byte) error {
			var m message
			if err := json.Unmarshal(record, &m); err != nil {
				return err
			}
			if m.FullList || m.Instances == nil || !r.take(m) {
				return errors.New("no change that follows the one before")
			}
			return nil
		})
		if bad != nil {
			thrown = append(thrown, *bad)
		}
	}
	for _, t := range thrown {
		r.opt.Log("cache: passed over: %v", t)
	}
}

// add notes news that the Reader has taken; it holds its lock.
func (c *cache) add(m message) {
	if c.whole = c.whole || m.FullList || len(c.pending) == mostPending; c.whole {
		c.pending = nil
	} else {
		c.pending = append(c.pending, m)
	}
	select {
	case c.news <- struct{}{}:
	default: // the writer is about to look
	}
}

// run writes what there is to write until ctx ends, and then once more.
func (c *cache) run(ctx context.Context, r *Watcher) {
	defer func() {
		if c.store != nil {
			c.store.Close()
		}
	}()
	for ended := false; !ended; {
		select {
		case <-c.news:
		case <-ctx.Done():
			ended = true
		}
		err := c.write(r)
		if err != nil && err.Error() != c.said {
			r.opt.Log("cache: %v", err)
			c.said = err.Error()
		} else if err == nil {
			c.said = ""
		}
	}
}

// write writes what has changed since the last time. After a fault the list itself is written with the next news.
func (c *cache) write(r *Watcher) (err error) {
	r.mu.Lock()
	pending, whole := c.pending, c.whole
	c.pending, c.whole = nil, false
	var all message
	if whole = whole || c.store != nil && c.store.LogSize() > max(leastLog, 2*c.store.SnapshotSize()); whole {
		all = message{Revision: r.rev, FullList: true, Instances: r.sorted()}
	}
	r.mu.Unlock()
	defer func() {
		if err != nil {
			r.mu.Lock()
			c.pending, c.whole = nil, true
			r.mu.Unlock()
		}
	}()
	if whole && all.Revision == 0 { // nothing was heard yet
		r.mu.Lock()
		c.whole = true
		r.mu.Unlock()
		return nil
	}
	if !whole && len(pending) == 0 {
		return nil
	}
	if c.store == nil {
		if c.store, err = durable.Open(c.opt); err != nil {
			c.store = nil // another process that still ends, or the disk
			return err
		}
	}
	if whole {
		text, err := json.Marshal(all)
		if err != nil {
			return err
		}
		return c.store.Save(text, time.Now())
	}
	records := make([][]byte, len(pending))
	for i, m := range pending {
		if records[i], err = json.Marshal(m); err != nil {
			return err
		}
	}
	return c.store.Append(records...)
}
