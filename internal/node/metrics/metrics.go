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

	mu          sync.Mutex
	results     map[string]*ClassResults
	attemptEnds map[AttemptEnd]int64
	requestEnds map[RequestEnd]int64
}

// ClassResults count the final responses to the requests of one class. Requests whose client
// disconnected before the final response was available are not counted.
type ClassResults struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// AttemptEnd says how an attempt ended without success.
type AttemptEnd struct {
	Result string // of the attempt
	Phase  string // during which it ended
}

// MarshalText formats an AttemptEnd as a key of the report.
func (e AttemptEnd) MarshalText() ([]byte, error) { return []byte(e.Result + " " + e.Phase), nil }

// RequestEnd is the reason why a request got no response of a server. Its text is a key of the report.
type RequestEnd string

// Reasons why requests got no response of a server.
const (
	NotAccepted        RequestEnd = "not_accepted"  // the node rejected it because of its head or its body
	ShuttingDown       RequestEnd = "shutting_down" // it came or was unfinished shortly before the kill
	RejectedByBalancer RequestEnd = "rejected"      // the balancer rejected it
	FailedByBalancer   RequestEnd = "failed"        // the balancer failed it
	NoDecision         RequestEnd = "no_decision"   // the balancer did not complete it by its deadline
	ClientDisconnected RequestEnd = "disconnected"  // its client disconnected
	RepeatedID         RequestEnd = "repeated_id"   // a server may have run an earlier request with its correlation ID
	ResponseTruncated  RequestEnd = "truncated"     // a streamed response could not be completed
)

// report is the JSON format of the metrics.
type report struct {
	Results          map[string]*ClassResults `json:"results"`
	InFlight         int64                    `json:"outstanding"`
	AttemptsSent     int64                    `json:"forwards"`
	EndpointsListed  int64                    `json:"discovered"`
	EndpointsEjected int64                    `json:"ejected"`
	ReloadsApplied   int64                    `json:"sighup_applied"`
	ReloadsRejected  int64                    `json:"sighup_rejected"`
	AttemptEnds      map[AttemptEnd]int64     `json:"attempt_ends"`
	RequestEnds      map[RequestEnd]int64     `json:"request_ends"`
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

// CountAttemptEnd counts the end of an attempt that did not succeed.
func (m *Metrics) CountAttemptEnd(end AttemptEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attemptEnds == nil {
		m.attemptEnds = map[AttemptEnd]int64{}
	}
	m.attemptEnds[end]++
}

// CountRequestEnd counts a request that got no response of a server.
func (m *Metrics) CountRequestEnd(end RequestEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requestEnds == nil {
		m.requestEnds = map[RequestEnd]int64{}
	}
	m.requestEnds[end]++
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
		AttemptEnds:      orEmpty(m.attemptEnds),
		RequestEnds:      orEmpty(m.requestEnds),
	})
	if err != nil {
		return "fail " + err.Error()
	}
	return string(text)
}

// orEmpty returns counts, or an empty map in place of nil, which JSON would show as null.
func orEmpty[K comparable](counts map[K]int64) map[K]int64 {
	if counts == nil {
		return map[K]int64{}
	}
	return counts
}
