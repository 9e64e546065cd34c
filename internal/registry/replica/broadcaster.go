package replica

import (
	"encoding/json"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

const (
	// maxHistoryInstances is the maximum number of changed instances in the history from which watches resume. The latest
	// batch is kept even if it has more.
	maxHistoryInstances = 20_000
	// maxEventsBehind is the maximum number of events that a watch gets one by one. A watch that has missed more gets one event
	// with the latest state of each changed instance.
	maxEventsBehind = 64
)

// eventBatch is a change, or several changes that were applied together, encoded once for all watches.
type eventBatch struct {
	from, to int64 // revisions before and after the changes
	frame    []byte
	changed  []*state.Instance
}

// broadcaster distributes changes to any number of watches. A watch holds its own revision and the broadcaster keeps nothing
// per watch, so a slow watch does not delay others, and no events are queued for it. The methods may be called from any
// goroutine, but publish and reset from only one at a time.
type broadcaster struct {
	mu       checkedsync.Mutex
	revision int64
	batches  []eventBatch  // oldest first, without gaps
	history  int           // number of changed instances in batches
	next     chan struct{} // closed at the next revision

	fullList         []byte // encoded full list at fullListRevision; nil until the first request
	fullListRevision int64
}

func newBroadcaster(revision int64) *broadcaster {
	return &broadcaster{revision: revision, next: make(chan struct{})}
}

// publish adds the changes that lead to a revision.
func (b *broadcaster) publish(revision int64, changed []*state.Instance) error {
	text, err := encodeEvent(api.WatchEvent{Revision: revision, Instances: changed})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batches = append(b.batches, eventBatch{b.revision, revision, chunk(text), changed})
	b.history += len(changed)
	for b.history > maxHistoryInstances && len(b.batches) > 1 {
		b.history -= len(b.batches[0].changed)
		b.batches[0] = eventBatch{}
		b.batches = b.batches[1:]
	}
	b.advance(revision)
	return nil
}

// reset drops all changes, so that watches get the full list next.
func (b *broadcaster) reset(revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batches, b.history = nil, 0
	b.advance(revision)
}

// advance sets a new revision and wakes all watches. b.mu must be held.
func (b *broadcaster) advance(revision int64) {
	b.revision = revision
	close(b.next)
	b.next = make(chan struct{})
}

// current returns the revision, and a channel that is closed at the next one.
func (b *broadcaster) current() (revision int64, next <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision, b.next
}

// missedEvents is what has not been sent yet to a watch at some revision.
type missedEvents struct {
	frames   [][]byte        // in order
	revision int64           // after the frames
	fullList bool            // the watch must get the full list instead
	next     <-chan struct{} // closed at the next revision
}

// eventsSince returns what a watch at a revision has missed.
func (b *broadcaster) eventsSince(revision int64) (missedEvents, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision == b.revision {
		return missedEvents{revision: revision, next: b.next}, nil
	}
	first := b.batchFrom(revision)
	if first < 0 {
		return missedEvents{fullList: true, next: b.next}, nil
	}
	missed := missedEvents{revision: b.revision, next: b.next}
	batches := b.batches[first:]
	if len(batches) > maxEventsBehind {
		text, err := mergeBatches(b.revision, batches)
		missed.frames = [][]byte{chunk(text)}
		return missed, err
	}
	for _, batch := range batches {
		missed.frames = append(missed.frames, batch.frame)
	}
	return missed, nil
}

// batchFrom returns the index of the first batch that starts at a revision. It returns -1 if the history no longer has that
// batch, or if the revision is of another epoch. b.mu must be held.
func (b *broadcaster) batchFrom(revision int64) int {
	found := -1
	for i := len(b.batches) - 1; i >= 0 && b.batches[i].from >= revision; i-- {
		if b.batches[i].from == revision {
			found = i
		}
	}
	return found
}

// instancesSince returns the instances that have changed since a revision. ok is false if the history does not have all of
// them.
func (b *broadcaster) instancesSince(since int64) (revision int64, next <-chan struct{}, changed []*state.Instance, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since == b.revision {
		return b.revision, b.next, nil, true
	}
	for _, batch := range b.batches {
		ok = ok || batch.from == since
		if ok {
			changed = append(changed, batch.changed...)
		}
	}
	return b.revision, b.next, changed, ok
}

// encodedList returns the encoded full list and its revision. It caches the encoding for later calls at the same revision.
// Concurrent calls may encode the same revision more than once. list returns the instances and their revision.
func (b *broadcaster) encodedList(list func() (int64, []*state.Instance)) ([]byte, int64, error) {
	b.mu.Lock()
	text, revision, now := b.fullList, b.fullListRevision, b.revision
	b.mu.Unlock()
	if text != nil && revision == now {
		return text, revision, nil
	}
	revision, instances := list()
	text, err := encodeEvent(api.WatchEvent{Revision: revision, FullList: true, Instances: instances})
	if err != nil {
		return nil, 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.fullListRevision || b.fullList == nil {
		b.fullList, b.fullListRevision = text, revision
	}
	return text, revision, nil
}

// encodeEvent encodes an event as a line of JSON. It omits instances with a role, which are not servers.
func encodeEvent(e api.WatchEvent) ([]byte, error) {
	servers := []*state.Instance{} // not nil, so that it is encoded as [], which readers distinguish from a missing list
	for _, instance := range e.Instances {
		if instance.Role == "" {
			servers = append(servers, instance)
		}
	}
	e.Instances = servers
	text, err := json.Marshal(e)
	return append(text, '\n'), err
}

// mergeBatches encodes one event with the latest state of each instance that the batches have changed.
func mergeBatches(revision int64, batches []eventBatch) ([]byte, error) {
	index := map[string]int{}
	var latest []*state.Instance
	for _, batch := range batches {
		for _, e := range batch.changed {
			if i, known := index[e.UID]; known {
				latest[i] = e
			} else {
				index[e.UID] = len(latest)
				latest = append(latest, e)
			}
		}
	}
	return encodeEvent(api.WatchEvent{Revision: revision, Instances: latest})
}
