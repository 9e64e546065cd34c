// Package lab plays a scenario, on real processes or on the virtual clock, and says what came of it.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/balancer"
	"umberbank/internal/lab/fault"
	"umberbank/internal/lab/fleet"
	"umberbank/internal/lab/model"
	"umberbank/internal/lab/oracle"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
	"umberbank/internal/lab/traffic"
	"umberbank/internal/lab/virtual"
	"umberbank/internal/simwire"
)

// Options say how a scenario is played.
type Options struct {
	Seed        uint64
	Virtual     bool
	Replica     []string                                                         // the command of a replica of the registry, which takes --config FILE; none: this program's own
	Node        []string                                                         // the command of a node; none: this program's own
	Progress    func(done, total time.Duration)                                  // called about once a second of the run; may be nil
	Log         func(format string, args ...any)                                 // what nodes write and what befalls them; may be nil
	NewBalancer func(s balancer.Settings, seed uint64) (virtual.Balancer, error) // on the virtual clock; nil: the one in service
}

// Result is what came of a run.
type Result struct {
	Scenario                 string                  `json:"scenario"`
	Seed                     uint64                  `json:"seed"`
	Virtual                  bool                    `json:"virtual"`
	Valid                    bool                    `json:"valid"`   // the load was sent in time
	Partial                  bool                    `json:"partial"` // it was broken off
	Seconds                  float64                 `json:"seconds"` // of load
	Requests                 int                     `json:"asked"`
	ServedShare              float64                 `json:"served_share"` // within the aim
	WeightedServedShare      float64                 `json:"worth_share"`
	LastQuarterServedShare   float64                 `json:"tail_served"`   // in the last quarter of the load
	RecoveryAfterRestart     float64                 `json:"after_restart"` // served share in the 5 s after killed nodes are back over that in the 5 s before, mean of all kills; 0: none
	RulesBroken              int                     `json:"rules_broken"`
	ViolationsByRule         map[string]int          `json:"rules"`
	Violations               []oracle.Violation      `json:"violations"`
	FailedExpectations       []string                `json:"expect_failed"`
	LoaderLateShare          float64                 `json:"loader_late_share"`
	LoaderMaxDelayMS         float64                 `json:"loader_late_worst_ms"`
	AttemptsPerRequest       float64                 `json:"attempts_per_request"`
	ClientAttemptsPerRequest float64                 `json:"tries_per_request"`
	Classes                  map[string]*ClassResult `json:"per_class"`
	Series                   []Second                `json:"series"`
	Faults                   []FaultSpan             `json:"faults"`
	Events                   uint64                  `json:"events"`
	ClassNames               []string                `json:"class_names"` // in the order of the file, as the entries of Series
	ZoneNames                []string                `json:"zone_names"`
	NodeNames                []string                `json:"node_names"`
	MaxNodeMemoryMB          float64                 `json:"node_memory_mb_most"` // of any node's process; 0 on the virtual clock
	MaxNodeDescriptors       float64                 `json:"node_descriptors_most"`
}

// ClassResult is one class's.
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

// Second is what became of the requests that came in one second of the run, and what servers held at its end.
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
	// Of each node's process, in the order of NodeNames; 0: it did not run.
	MemoryMB    []float64 `json:"memory_mb,omitempty"`
	Descriptors []float64 `json:"descriptors,omitempty"`
	latency     *hdrhistogram.Histogram
}

// FaultSpan is a fault as it was played.
type FaultSpan struct {
	Kind        string   `json:"kind"`
	FromSeconds float64  `json:"from_s"`
	ToSeconds   float64  `json:"to_s"`
	Nodes       []string `json:"nodes,omitempty"`
	Servers     []string `json:"servers,omitempty"`
}

// maxSendDelay is how late a request may be sent, and maxLateShare the share that may be later, for a run to be valid.
const (
	maxSendDelay = 5 * time.Millisecond
	maxLateShare = 0.01
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyUS    = 1
	maxLatencyUS    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// run is a run under way.
type run struct {
	options         Options
	site            *scenario.Site
	loop            *sim.Loop
	oracle          *oracle.Oracle
	world           *model.World
	front           *traffic.Front
	clients         *traffic.Clients
	result          *Result
	lateRequests    int
	maxDelay        time.Duration
	attemptsCounted int
	totals          totals
	processUsage    func(node int) (fleet.Usage, bool) // nil: nodes are no processes
}

// totals are what shares are reckoned from.
type totals struct {
	served, lastQuarterServed, lastQuarterRequests, clientAttempts int
	servedWeight, requestedWeight                                  float64
}

// Run plays a scenario. If ctx ends before the run does, the Result is what came until then, marked partial,
// and the error is ctx's.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	r := newRun(scenario.NewSite(s, opt.Seed), opt)
	var err error
	if opt.Virtual {
		err = r.playVirtual(ctx)
	} else {
		err = r.playReal(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	r.finish(err != nil)
	return r.result, err
}

func newRun(site *scenario.Site, opt Options) *run {
	if opt.Log == nil {
		opt.Log = func(string, ...any) {}
	}
	r := &run{options: opt, site: site, loop: sim.New()}
	r.oracle = oracle.New(r.loop, site)
	r.world = model.NewWorld(r.loop, site, r.oracle)
	r.world.Process = r.applyProcessAction
	r.oracle.SetWorld(r.world)
	r.front = traffic.NewFront(r.world)
	r.clients = traffic.New(r.world, r.front, r.recordRequest)
	r.result = newResult(site, opt)
	return r
}

func newResult(site *scenario.Site, opt Options) *Result {
	res := &Result{Scenario: site.Name, Seed: opt.Seed, Virtual: opt.Virtual, ViolationsByRule: map[string]int{}, Classes: map[string]*ClassResult{},
		FailedExpectations: []string{}, Violations: []oracle.Violation{}, Faults: []FaultSpan{}}
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

// drainTime is how long a run goes on after its load, so that what is under way ends.
func (r *run) drainTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.site.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest + time.Second
}

// start starts load and faults.
func (r *run) start(events []*fault.Event) {
	now := r.loop.Now()
	p := &fault.Player{World: r.world, Clients: r.clients, Process: r.applyProcessAction, Note: r.recordFault}
	p.Start(events)
	r.clients.Start()
	r.sampleEverySecond(now)
}

// applyProcessAction does something to a node's process and tells all who must know.
func (r *run) applyProcessAction(node int, act model.ProcessAct) {
	r.options.Log("%v %v %s", r.loop.Now().Round(time.Millisecond), act, r.site.Nodes[node].Name)
	if act != model.Start { // a start counts when the node is ready
		r.oracle.Process(node, act)
	}
	if act == model.Kill || act == model.Terminate {
		r.front.Died(node)
	}
	r.world.Backend.Process(node, act)
}

// nodeReady hears that a node's process serves.
func (r *run) nodeReady(node int) {
	r.oracle.Process(node, model.Start)
	r.front.Ready(node)
	r.world.NodeReady(node)
}

func (r *run) recordFault(e *fault.Event, on bool) {
	if on {
		m := FaultSpan{Kind: e.Kind, FromSeconds: e.From.Seconds(), ToSeconds: e.To.Seconds()}
		for _, n := range e.Nodes {
			m.Nodes = append(m.Nodes, r.site.Nodes[n].Name)
		}
		for _, i := range e.Replicas {
			m.Nodes = append(m.Nodes, fmt.Sprint("r", i))
		}
		for _, s := range e.Servers {
			m.Servers = append(m.Servers, r.site.Servers[s].Name)
		}
		r.result.Faults = append(r.result.Faults, m)
	}
	word := map[bool]string{true: "begins", false: "ends"}[on]
	r.options.Log("%v fault %s %s", r.loop.Now().Round(time.Millisecond), e.Kind, word)
}

// sampleEverySecond notes what servers hold, and tells of the progress.
func (r *run) sampleEverySecond(at time.Duration) {
	r.loop.At(at+time.Second, func() {
		sec := r.secondAt(at)
		sec.Attempts = r.oracle.Attempts - r.attemptsCounted
		r.attemptsCounted = r.oracle.Attempts
		for _, s := range r.world.Servers {
			sec.InFlight = append(sec.InFlight, s.InFlight())
		}
		if r.processUsage != nil {
			r.recordUsage(sec)
		}
		if r.options.Progress != nil {
			r.options.Progress(r.loop.Now(), r.site.Duration.D())
		}
		if at+time.Second < r.site.Duration.D() {
			r.sampleEverySecond(at + time.Second)
		}
	})
}

// recordUsage notes what nodes' processes hold, and what is over their limits.
func (r *run) recordUsage(sec *Second) {
	l := &r.site.Limits
	for n := range r.site.Nodes {
		u, runs := r.processUsage(n)
		sec.MemoryMB, sec.Descriptors = append(sec.MemoryMB, u.MemoryMB), append(sec.Descriptors, float64(u.Descriptors))
		r.result.MaxNodeMemoryMB, r.result.MaxNodeDescriptors = max(r.result.MaxNodeMemoryMB, u.MemoryMB), max(r.result.MaxNodeDescriptors, float64(u.Descriptors))
		if runs && (u.MemoryMB > float64(l.MemoryMB) || u.Descriptors > l.Sockets) {
			r.oracle.Exceeded(n, fmt.Sprintf("%.0f MB of %d and %d descriptors of %d", u.MemoryMB, l.MemoryMB, u.Descriptors, l.Sockets))
		}
	}
}

// secondAt is the entry for the requests that came at a time.
func (r *run) secondAt(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.result.Series) <= i {
		n, z := len(r.site.Classes), len(r.site.Zones)
		r.result.Series = append(r.result.Series, Second{Requests: make([]int, n), Served: make([]int, n), Rejected: make([]int, n),
			Failed: make([]int, n), ServedByZone: make([]int, z), RequestsByZone: make([]int, z), InFlight: []int{}})
	}
	return &r.result.Series[i]
}

// recordRequest enters a request's end.
func (r *run) recordRequest(t traffic.Result) {
	class := &r.site.Classes[t.Class]
	c := r.result.Classes[class.Name]
	sec := r.secondAt(t.At)
	c.Requests++
	sec.Requests[t.Class]++
	sec.RequestsByZone[t.Zone]++
	r.result.Requests++
	r.totals.clientAttempts += t.Tries
	sec.Retries += t.Tries - 1
	tail := t.At >= r.site.Duration.D()*3/4
	if t.SentBy > maxSendDelay {
		r.lateRequests++
	}
	r.maxDelay = max(r.maxDelay, t.SentBy)
	if t.End == traffic.Gone { // nothing is owed to who has left
		c.Abandoned++
		return
	}
	r.totals.requestedWeight += class.Worth
	if tail {
		r.totals.lastQuarterRequests++
	}
	switch t.End {
	case traffic.Served:
		c.Served++
		sec.Served[t.Class]++
		sec.ServedByZone[t.Zone]++
		r.totals.served++
		r.totals.servedWeight += class.Worth
		if tail {
			r.totals.lastQuarterServed++
		}
	case traffic.Late:
		c.Late++
	case traffic.Refused:
		c.Rejected++
		sec.Rejected[t.Class]++
	default:
		c.Failed++
		sec.Failed[t.Class]++
	}
	if t.End == traffic.Served || t.End == traffic.Late {
		us := min(max(int64(t.Latency/time.Microsecond), minLatencyUS), maxLatencyUS)
		c.latency.RecordValue(us)
		if sec.latency == nil {
			sec.latency = hdrhistogram.New(minLatencyUS, maxLatencyUS, 2)
		}
		sec.latency.RecordValue(us)
	}
}

// finish reckons the shares and what of the expectations did not hold.
func (r *run) finish(partial bool) {
	res := r.result
	res.Partial, res.Events = partial, r.loop.Events()
	res.Seconds = min(r.loop.Now(), r.site.Duration.D()).Seconds()
	gone := 0
	for _, c := range res.Classes {
		gone += c.Abandoned
		c.ServedShare = fraction(float64(c.Served), float64(c.Requests-c.Abandoned))
		c.P50MS, c.P90MS, c.P99MS = quantile(c.latency, 50), quantile(c.latency, 90), quantile(c.latency, 99)
	}
	for i := range res.Series {
		if s := &res.Series[i]; s.latency != nil {
			s.P50MS, s.P99MS = quantile(s.latency, 50), quantile(s.latency, 99)
		}
	}
	res.ServedShare = fraction(float64(r.totals.served), float64(res.Requests-gone))
	res.WeightedServedShare = fraction(r.totals.servedWeight, r.totals.requestedWeight)
	res.LastQuarterServedShare = fraction(float64(r.totals.lastQuarterServed), float64(r.totals.lastQuarterRequests))
	res.RecoveryAfterRestart = recoveryAfterRestart(res)
	res.LoaderLateShare = fraction(float64(r.lateRequests), float64(res.Requests))
	res.LoaderMaxDelayMS = r.maxDelay.Seconds() * 1000
	res.Valid = !partial && res.LoaderLateShare <= maxLateShare && res.Requests > 0
	res.AttemptsPerRequest = fraction(float64(r.oracle.Attempts), float64(res.Requests))
	res.ClientAttemptsPerRequest = fraction(float64(r.totals.clientAttempts), float64(res.Requests))
	res.RulesBroken, res.ViolationsByRule = r.oracle.ViolationCount(), r.oracle.ViolationCounts
	res.Violations = append(res.Violations, r.oracle.Violations...)
	r.checkExpectations()
}

// recoverySeconds is how many seconds before and after a kill are looked at.
const recoverySeconds = 5

// recoveryAfterRestart reckons Result.RecoveryAfterRestart. Kills that come sooner than that one after another are looked at all the same.
func recoveryAfterRestart(res *Result) float64 {
	served := func(from, to int) float64 {
		s, n := 0, 0
		for _, sec := range res.Series[max(0, min(from, len(res.Series))):max(0, min(to, len(res.Series)))] {
			for c := range sec.Requests {
				s, n = s+sec.Served[c], n+sec.Requests[c]
			}
		}
		return fraction(float64(s), float64(n))
	}
	sum, kills := 0.0, 0
	for _, m := range res.Faults {
		if before := served(int(m.FromSeconds)-recoverySeconds, int(m.FromSeconds)); m.Kind == "kill" && before > 0 && m.ToSeconds < res.Seconds-1 {
			back := int(math.Ceil(m.ToSeconds))
			sum += served(back, back+recoverySeconds) / before
			kills++
		}
	}
	return fraction(sum, float64(kills))
}

func fraction(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// checkExpectations compares the result with what the file wants.
func (r *run) checkExpectations() {
	res, e := r.result, &r.site.Expect
	least := func(name string, got, want float64) {
		if got < want {
			res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf("%s is %.3f, wanted at least %.3f", name, got, want))
		}
	}
	least("served_share", res.ServedShare, e.Served)
	least("worth_share", res.WeightedServedShare, e.Worth)
	least("tail_served", res.LastQuarterServedShare, e.TailServed)
	if e.After > 0 {
		least("after_restart", res.RecoveryAfterRestart, e.After)
	}
	for _, name := range res.ClassNames {
		least("served_share of "+name, res.Classes[name].ServedShare, e.Class[name])
		if p := res.Classes[name].P99MS; e.P99 > 0 && p > e.P99.D().Seconds()*1000 {
			res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf("p99 of %s is %.0f ms, wanted at most %.0f ms", name, p, e.P99.D().Seconds()*1000))
		}
	}
	if e.Attempts > 0 && res.AttemptsPerRequest > e.Attempts {
		res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf("attempts_per_request is %.2f, wanted at most %.2f", res.AttemptsPerRequest, e.Attempts))
	}
	if res.RulesBroken > e.RulesBroken {
		res.FailedExpectations = append(res.FailedExpectations, fmt.Sprintf("rules_broken is %d, wanted at most %d", res.RulesBroken, e.RulesBroken))
	}
}

// Passed tells whether the run counts and all held that was expected.
func (r *Result) Passed() bool { return r.Valid && len(r.FailedExpectations) == 0 }

// ---- The two clocks ----

func (r *run) playVirtual(ctx context.Context) error {
	if r.site.Registry.Replicas > 0 {
		return errors.New("a registry is played by real processes alone; --set registry.replicas=0 plays plain discovery")
	}
	mk := r.options.NewBalancer
	if mk == nil {
		mk = func(s balancer.Settings, seed uint64) (virtual.Balancer, error) { return balancer.New(s, seed) }
	}
	var failed error
	parsed := map[int]balancer.Settings{}
	settings := func(node int) balancer.Settings {
		n := r.site.Nodes[node]
		s, ok := parsed[n.Tier] // they differ by tier and index only
		if !ok {
			var err error
			if s, _, err = simwire.ParseSettings(r.site.Settings(node)); err != nil {
				failed = err
			}
			parsed[n.Tier] = s
		}
		s.ReplicaIndex = n.Index
		if r.site.State.Keep {
			s.SnapshotMaxAge = r.site.State.Age.D()
		}
		return s
	}
	f := virtual.New(r.world, settings, func(_ int, s balancer.Settings, seed uint64) (virtual.Balancer, error) { return mk(s, seed) }, r.nodeReady)
	r.world.Backend = f
	events := fault.Plan(r.site)
	f.StartAll()
	r.start(events)
	err := r.loop.RunVirtual(ctx, r.site.Duration.D()+r.drainTime())
	return errors.Join(err, failed, f.Err())
}

func (r *run) playReal(ctx context.Context) error {
	events := fault.Plan(r.site)
	f, err := fleet.New(r.world, r.oracle, fleet.Options{Node: r.options.Node, Replica: r.options.Replica, Events: events, Ready: r.nodeReady, Log: r.options.Log})
	if err != nil {
		return err
	}
	r.world.Backend, r.processUsage = f, f.Usage
	return f.Play(ctx, func() { r.start(events) }, r.site.Duration.D()+r.drainTime())
}
