package scale

import (
	"slices"
	"sync"
	"time"

	"umberbank/internal/registry/state"
)

// tracker knows when versions came into force at nodes, by what these themselves run.
type tracker struct {
	mu      sync.Mutex
	spreads map[string]*spread // by the content's hash
}

// spread is one version on its way.
type spread struct {
	began time.Time
	done  chan struct{} // closed when all that it waits for run it

	mu    sync.Mutex
	waits map[string]bool // nodes that do not run it yet
	took  []time.Duration // of the others
}

// expect begins to watch for a content at nodes. It comes before the proposal.
func (t *tracker) expect(settings []byte, nodes []string) *spread {
	s := &spread{began: time.Now(), done: make(chan struct{}), waits: map[string]bool{}}
	for _, n := range nodes {
		s.waits[n] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spreads == nil {
		t.spreads = map[string]*spread{}
	}
	t.spreads[state.ContentHash(settings)] = s
	return s
}

// ran notes that a node runs settings from now on.
func (t *tracker) ran(node string, settings []byte) {
	t.mu.Lock()
	s := t.spreads[state.ContentHash(settings)]
	t.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waits[node] {
		return
	}
	delete(s.waits, node)
	s.took = append(s.took, time.Since(s.began))
	if len(s.waits) == 0 {
		close(s.done)
	}
}

// times are how long it took to each node that runs it, rising.
func (s *spread) times() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.took))
}
