package replica

import (
	"encoding/json"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// Bounds of what a broadcaster keeps for watches to resume from.
const (
	maxHistoryInstances = 20_000 // changed instances
	maxEventsBehind     = 64     // a watch that is further behind gets one event with the latest state of what it missed
)

// eventBatch is a change, or several that were applied together, encoded once for all watches.
type eventBatch struct {
	from, to int64 // revisions that it leads from and to
	frame    []byte
	changed  []*state.Instance
}

// broadcaster hands changes to any number of watches. Each holds only its revision; nothing is kept for it, so a slow one
// costs nothing and delays nobody. Its methods may be called from any goroutine, publish and reset from one at a time.
type broadcaster struct {
	mu       checkedsync.Mutex
	revision int64
	batches  []eventBatch  // the newest last, without gaps
	history  int           // changed instances in batches
	next     chan struct{} // closed at the next revision

	fullList         []byte // encoded, of fullListRevision
	fullListRevision int64
}

func newBroadcaster(revision int64) *broadcaster {
	return &broadcaster{revision: revision, next: make(chan struct{})}
}

// publish adds a change that leads to a revision.
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

// reset forgets all changes: watches must take the full list.
func (b *broadcaster) reset(revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batches, b.history = nil, 0
	b.advance(revision)
}

// advance wakes all watches at a new revision. b.mu is held.
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

// missedEvents is what a watch at some revision has not been sent.
type missedEvents struct {
	frames   [][]byte        // in their order
	revision int64           // that they lead to
	fullList bool            // the watch must take the full list instead
	next     <-chan struct{} // closed at the next revision
}

// eventsSince returns what a watch that holds a revision has missed.
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

// batchFrom is the index of the batch that leads on from a revision; -1 if it fell out of the history, or the revision is
// of another epoch. b.mu is held.
func (b *broadcaster) batchFrom(revision int64) int {
	found := -1
	for i := len(b.batches) - 1; i >= 0 && b.batches[i].from >= revision; i-- {
		if b.batches[i].from == revision {
			found = i
		}
	}
	return found
}

// instancesSince returns the instances that have changed since a revision; ok is false if not all are known.
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

// encodedList returns the encoded full list and its revision. It is encoded once for each revision that is asked for; list
// returns the instances and their revision.
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

// encodeEvent encodes an event as a line. Instances with a role are no servers and stay out of it.
func encodeEvent(e api.WatchEvent) ([]byte, error) {
	servers := []*state.Instance{} // encoded as [], which readers tell from a missing list
	for _, instance := range e.Instances {
		if instance.Role == "" {
			servers = append(servers, instance)
		}
	}
	e.Instances = servers
	text, err := json.Marshal(e)
	return append(text, '\n'), err
}

// mergeBatches encodes the latest state of all that several batches have changed as one event.
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
