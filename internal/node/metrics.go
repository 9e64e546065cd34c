package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
)

// metrics are the operators' figures, counted from the start of the process. Any goroutine may count and
// read; nobody waits.
type metrics struct {
	forwards    atomic.Int64 // attempts written whole to servers
	outstanding atomic.Int64 // requests taken and not ended
	discovered  atomic.Int64 // servers in the list
	ejected     atomic.Int64 // of them, those that the module avoids now
	applied     atomic.Int64 // configurations taken at SIGHUP
	rejected    atomic.Int64 // and turned down

	mu      sync.Mutex
	results map[string]*results // by class
}

// results count the final answers to one class's requests.
type results struct {
	Succeeded int64 `json:"succeeded"`
	Declined  int64 `json:"declined"`
	Aborted   int64 `json:"aborted"`
}

// list makes a class show, with zeros if nothing has happened to it yet.
func (m *metrics) list(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(class)
}

// answered counts a final answer. broken: it did not go out whole.
func (m *metrics) answered(class string, status int, broken bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.of(class)
	switch {
	case status == http.StatusOK && !broken:
		r.Succeeded++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Declined++
	default:
		r.Aborted++
	}
}

func (m *metrics) of(class string) *results {
	if m.results == nil {
		m.results = map[string]*results{}
	}
	r := m.results[class]
	if r == nil {
		r = &results{}
		m.results[class] = r
	}
	return r
}

// text words the figures as one line of JSON.
func (m *metrics) text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := json.Marshal(struct {
		Results     map[string]*results `json:"results"`
		Outstanding int64               `json:"outstanding"`
		Forwards    int64               `json:"forwards"`
		Discovered  int64               `json:"discovered"`
		Ejected     int64               `json:"ejected"`
		Applied     int64               `json:"sighup_applied"`
		Rejected    int64               `json:"sighup_rejected"`
	}{m.results, m.outstanding.Load(), m.forwards.Load(), m.discovered.Load(), m.ejected.Load(),
		m.applied.Load(), m.rejected.Load()})
	if err != nil {
		return "fail " + err.Error()
	}
	return string(b)
}
