package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/lab/oracle"
	"umberbank/internal/lab/scenario"
)

// Result is the outcome of a run. Reports and comparisons read its JSON form.
type Result struct {
	Scenario               string  `json:"scenario"`
	Seed                   uint64  `json:"seed"`
	Virtual                bool    `json:"virtual"`
	Valid                  bool    `json:"valid"`   // the run ended normally with requests, nearly all sent on time
	Partial                bool    `json:"partial"` // the run was interrupted
	Seconds                float64 `json:"seconds"` // duration of the load
	Requests               int     `json:"asked"`
	ServedShare            float64 `json:"served_share"` // share served within the latency objective, without abandoned requests
	WeightedServedShare    float64 `json:"worth_share"`  // the same, weighted by priority
	LastQuarterServedShare float64 `json:"tail_served"`  // ServedShare of the last quarter of the load
	// RecoveryAfterRestart is the share served after a node's restart relative to the share before its kill, as the mean over
	// kills. It leaves out kills before which nothing was served, and those that end in the last second of the run or later. It
	// is zero if no kill remains.
	RecoveryAfterRestart     float64                 `json:"after_restart"`
	RulesBroken              int                     `json:"rules_broken"`
	ViolationsByRule         map[string]int          `json:"rules"`
	Violations               []oracle.Violation      `json:"violations"`
	FailedExpectations       []string                `json:"expect_failed"`     // a message for each expectation that was not met
	LoaderLateShare          float64                 `json:"loader_late_share"` // share of requests sent later than maxSendDelay
	LoaderMaxDelayMS         float64                 `json:"loader_late_worst_ms"`
	AttemptsPerRequest       float64                 `json:"attempts_per_request"`
	ClientAttemptsPerRequest float64                 `json:"tries_per_request"`
	Classes                  map[string]*ClassResult `json:"per_class"`
	Series                   []Second                `json:"series"`
	Faults                   []FaultSpan             `json:"faults"`
	Events                   uint64                  `json:"events"`
	ClassNames               []string                `json:"class_names"` // in the scenario's order, as in the entries of Series
	ZoneNames                []string                `json:"zone_names"`
	NodeNames                []string                `json:"node_names"`
	MaxNodeMemoryMB          float64                 `json:"node_memory_mb_most"` // maximum of all nodes; zero if Virtual
	MaxNodeDescriptors       float64                 `json:"node_descriptors_most"`
}

// ClassResult counts the requests of one class by their outcome.
type ClassResult struct {
	Requests    int     `json:"asked"`
	Served      int     `json:"served"`
	Late        int     `json:"late"`
	Rejected    int     `json:"refused"`
	Failed      int     `json:"failed"`
	Abandoned   int     `json:"gone"`
	ServedShare float64 `json:"served_share"`
	P50MS       float64 `json:"p50_ms"`
	P90MS       float64 `json:"p90_ms"`
	P99MS       float64 `json:"p99_ms"`

	latency *hdrhistogram.Histogram
}

// Second counts the requests that arrived within one second of the run, and the requests in flight at its end.
type Second struct {
	Requests       []int   `json:"asked"` // by class
	Served         []int   `json:"served"`
	Rejected       []int   `json:"refused"`
	Failed         []int   `json:"failed"`
	ServedByZone   []int   `json:"served_by_zone"`
	RequestsByZone []int   `json:"asked_by_zone"`
	Retries        int     `json:"retries"`
	Attempts       int     `json:"attempts"`
	InFlight       []int   `json:"in_flight"` // by server
	P50MS          float64 `json:"p50_ms"`
	P99MS          float64 `json:"p99_ms"`
	// Usage of each node's process, in the order of NodeNames; zero while the process did not run.
	MemoryMB    []float64 `json:"memory_mb,omitempty"`
	Descriptors []float64 `json:"descriptors,omitempty"`
	latency     *hdrhistogram.Histogram
}

// FaultSpan is a fault of the run, with its begin and end in seconds since the start of the run.
type FaultSpan struct {
	Kind        string   `json:"kind"`
	FromSeconds float64  `json:"from_s"`
	ToSeconds   float64  `json:"to_s"`
	Nodes       []string `json:"nodes,omitempty"`
	Servers     []string `json:"servers,omitempty"`
}

// Passed reports whether the run is valid and met the expectations of its scenario.
func (r *Result) Passed() bool { return r.Valid && len(r.FailedExpectations) == 0 }

// newResult returns an empty Result for a site.
func newResult(site *scenario.Site, opt Options) *Result {
	res := &Result{
		Scenario:           site.Name,
		Seed:               opt.Seed,
		Virtual:            opt.Virtual,
		ViolationsByRule:   map[string]int{},
		Classes:            map[string]*ClassResult{},
		FailedExpectations: []string{},
		Violations:         []oracle.Violation{},
		Faults:             []FaultSpan{},
	}
	for _, c := range site.Classes {
		res.ClassNames = append(res.ClassNames, c.Name)
		res.Classes[c.Name] = &ClassResult{latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, histogramDigits)}
	}
	for _, z := range site.Zones {
		res.ZoneNames = append(res.ZoneNames, z.Name)
	}
	for _, n := range site.Nodes {
		res.NodeNames = append(res.NodeNames, n.Name)
	}
	return res
}

// newSecond returns an empty Second.
func newSecond(classes, zones int) Second {
	return Second{
		Requests:       make([]int, classes),
		Served:         make([]int, classes),
		Rejected:       make([]int, classes),
		Failed:         make([]int, classes),
		ServedByZone:   make([]int, zones),
		RequestsByZone: make([]int, zones),
		InFlight:       []int{},
	}
}

const (
	// maxSendDelay is the delay after its arrival time up to which a request counts as sent on time.
	maxSendDelay = 5 * time.Millisecond
	// maxLateShare is the largest share of late requests in a valid run.
	maxLateShare = 0.01
)

// Bounds of the latency histograms, in microseconds, and their significant digits.
const (
	minLatencyUS          = 1
	maxLatencyUS          = int64(10 * time.Minute / time.Microsecond)
	histogramDigits       = 3
	secondHistogramDigits = 2
)
