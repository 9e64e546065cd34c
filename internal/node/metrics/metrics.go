// Package metrics counts what operators read with the command "vars": docs/oncall/figures.md describes each figure.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
)

// Metrics are the figures of one process, counted from its start. Any goroutine may count and read; nobody waits for long. The
// zero value is ready to use.
type Metrics struct {
	AttemptsSent     atomic.Int64 // attempts whose request was written to a server to its last byte
	InFlight         atomic.Int64 // client requests that were accepted and have not ended
	EndpointsListed  atomic.Int64 // servers in the endpoint list, draining ones among them
	EndpointsEjected atomic.Int64 // of these, the ones that are ejected now
	ReloadsApplied   atomic.Int64 // configurations that were taken over
	ReloadsRejected  atomic.Int64 // configurations that were rejected

	mu      sync.Mutex
	results map[string]*ClassResults
}

// ClassResults count the final answers to the requests of one class. Requests whose client disconnected are in none.
type ClassResults struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// report is the form in which operators get the figures.
type report struct {
	Results          map[string]*ClassResults `json:"results"`
	InFlight         int64                    `json:"outstanding"`
	AttemptsSent     int64                    `json:"forwards"`
	EndpointsListed  int64                    `json:"discovered"`
	EndpointsEjected int64                    `json:"ejected"`
	ReloadsApplied   int64                    `json:"sighup_applied"`
	ReloadsRejected  int64                    `json:"sighup_rejected"`
}

// AddClass makes a class show, with zeros if nothing has happened to it yet.
func (m *Metrics) AddClass(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resultsOf(class)
}

// CountResponse counts the final answer to a request of a class, by its HTTP status. An incomplete answer, one that was not
// written to its end, counts as failed whatever its status.
func (m *Metrics) CountResponse(class string, status int, incomplete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.resultsOf(class)
	switch {
	case status == http.StatusOK && !incomplete:
		r.Succeeded++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Rejected++
	default:
		r.Failed++
	}
}

// resultsOf returns the results of a class, which it adds if they are missing; m.mu is locked.
func (m *Metrics) resultsOf(class string) *ClassResults {
	if m.results == nil {
		m.results = map[string]*ClassResults{}
	}
	r := m.results[class]
	if r == nil {
		r = &ClassResults{}
		m.results[class] = r
	}
	return r
}

// JSON returns the figures as one line of JSON, or "fail" and the reason.
func (m *Metrics) JSON() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := json.Marshal(report{
		Results:          m.results,
		InFlight:         m.InFlight.Load(),
		AttemptsSent:     m.AttemptsSent.Load(),
		EndpointsListed:  m.EndpointsListed.Load(),
		EndpointsEjected: m.EndpointsEjected.Load(),
		ReloadsApplied:   m.ReloadsApplied.Load(),
		ReloadsRejected:  m.ReloadsRejected.Load(),
	})
	if err != nil {
		return "fail " + err.Error()
	}
	return string(text)
}
