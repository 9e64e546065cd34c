// Package metrics holds the metrics that operators read with the command "vars". docs/oncall/figures.md
// describes each of them.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
)

// Metrics are the metrics of one process since its start. They are safe for concurrent use, and no call
// blocks for long. The zero value is ready to use.
type Metrics struct {
	AttemptsSent     atomic.Int64 // attempts whose request was written to a server completely
	InFlight         atomic.Int64 // client requests that were accepted and have not ended
	EndpointsListed  atomic.Int64 // servers in the endpoint list, including draining ones
	EndpointsEjected atomic.Int64 // listed servers that are currently ejected
	ReloadsApplied   atomic.Int64 // configurations that were applied by a reload
	ReloadsRejected  atomic.Int64 // configurations that were rejected by a reload

	mu      sync.Mutex
	results map[string]*ClassResults
}

// ClassResults count the final responses to the requests of one class. Requests whose client
// disconnected before the final response was available are not counted.
type ClassResults struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// report is the JSON format of the metrics.
type report struct {
	Results          map[string]*ClassResults `json:"results"`
	InFlight         int64                    `json:"outstanding"`
	AttemptsSent     int64                    `json:"forwards"`
	EndpointsListed  int64                    `json:"discovered"`
	EndpointsEjected int64                    `json:"ejected"`
	ReloadsApplied   int64                    `json:"sighup_applied"`
	ReloadsRejected  int64                    `json:"sighup_rejected"`
}

// AddClass adds a class to the report, with zero counts until its first response.
func (m *Metrics) AddClass(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resultsOf(class)
}

// CountResponse counts the final response to a request of a class. A response with the status 200 counts
// as succeeded, or as failed if it is incomplete, which means that it was not written to its end. 429
// and 503 count as rejected, complete or not, and every other status counts as failed.
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

// resultsOf returns the results of a class, and adds them if they are missing. m.mu must be held.
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

// JSON returns the metrics as one line of JSON, or "fail" and the reason.
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
