package scale

import (
	"slices"
	"sync"
	"time"

	"umberbank/internal/registry/state"
)

// versionTracker records when nodes start to run a version. It is safe for concurrent use.
type versionTracker struct {
	mu        sync.Mutex
	byContent map[string]*propagation // by the content's hash
}

// propagation is the progress of one version.
type propagation struct {
	began time.Time
	done  chan struct{} // closed when all expected nodes run the version

	mu        sync.Mutex
	waiting   map[string]bool // expected nodes that do not run the version yet
	durations []time.Duration // time from began until each of the other expected nodes ran it
}

// expect starts to track when nodes run a version with the given settings. It must be called before the proposal.
func (t *versionTracker) expect(settings []byte, nodes []string) *propagation {
	s := &propagation{began: time.Now(), done: make(chan struct{}), waiting: map[string]bool{}}
	for _, n := range nodes {
		s.waiting[n] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byContent == nil {
		t.byContent = map[string]*propagation{}
	}
	t.byContent[state.ContentHash(settings)] = s
	return s
}

// recordRunning records that a node has started to run settings.
func (t *versionTracker) recordRunning(node string, settings []byte) {
	t.mu.Lock()
	s := t.byContent[state.ContentHash(settings)]
	t.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting[node] {
		return
	}
	delete(s.waiting, node)
	s.durations = append(s.durations, time.Since(s.began))
	if len(s.waiting) == 0 {
		close(s.done)
	}
}

// propagationTimes returns, in ascending order, the time until each node that runs the version started to run it.
func (s *propagation) propagationTimes() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.durations))
}
