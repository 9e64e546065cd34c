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
	Seed     uint64
	Virtual  bool
	Replica  []string                                                       // the command of a replica of the registry, which takes --config FILE; none: this program's own
	Node     []string                                                       // the command of a node; none: this program's own
	Progress func(done, total time.Duration)                                // called about once a second of the run; may be nil
	Log      func(format string, args ...any)                               // what nodes write and what befalls them; may be nil
	Module   func(s balancer.Settings, seed uint64) (virtual.Module, error) // on the virtual clock; nil: the one in service
}

// Result is what came of a run.
type Result struct {
	Scenario    string                  `json:"scenario"`
	Seed        uint64                  `json:"seed"`
	Virtual     bool                    `json:"virtual"`
	Valid       bool                    `json:"valid"`   // the load was sent in time
	Partial     bool                    `json:"partial"` // it was broken off
	Seconds     float64                 `json:"seconds"` // of load
	Asked       int                     `json:"asked"`
	Served      float64                 `json:"served_share"` // within the aim
	Worth       float64                 `json:"worth_share"`
	TailServed  float64                 `json:"tail_served"`   // in the last quarter of the load
	AfterKill   float64                 `json:"after_restart"` // served share in the 5 s after killed nodes are back over that in the 5 s before, mean of all kills; 0: none
	RulesBroken int                     `json:"rules_broken"`
	Rules       map[string]int          `json:"rules"`
	Violations  []oracle.Violation      `json:"violations"`
	Failed      []string                `json:"expect_failed"`
	LateShare   float64                 `json:"loader_late_share"`
	LateWorstMS float64                 `json:"loader_late_worst_ms"`
	Attempts    float64                 `json:"attempts_per_request"`
	Tries       float64                 `json:"tries_per_request"`
	Classes     map[string]*ClassResult `json:"per_class"`
	Series      []Second                `json:"series"`
	Faults      []Mark                  `json:"faults"`
	Events      uint64                  `json:"events"`
	ClassNames  []string                `json:"class_names"` // in the order of the file, as the entries of Series
	ZoneNames   []string                `json:"zone_names"`
	NodeNames   []string                `json:"node_names"`
	MostMemory  float64                 `json:"node_memory_mb_most"` // of any node's process; 0 on the virtual clock
	MostOpen    float64                 `json:"node_descriptors_most"`
}

// ClassResult is one class's.
type ClassResult struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Gone    int     `json:"gone"`
	Share   float64 `json:"served_share"`
	P50MS   float64 `json:"p50_ms"`
	P90MS   float64 `json:"p90_ms"`
	P99MS   float64 `json:"p99_ms"`

	latency *hdrhistogram.Histogram
}

// Second is what became of the requests that came in one second of the run, and what servers held at its end.
type Second struct {
	Asked    []int   `json:"asked"` // by class
	Served   []int   `json:"served"`
	Refused  []int   `json:"refused"`
	Failed   []int   `json:"failed"`
	ByZone   []int   `json:"served_by_zone"`
	AskZone  []int   `json:"asked_by_zone"`
	Retries  int     `json:"retries"`
	Attempts int     `json:"attempts"`
	InFlight []int   `json:"in_flight"` // by server
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	// Of each node's process, in the order of NodeNames; 0: it did not run.
	Memory      []float64 `json:"memory_mb,omitempty"`
	Descriptors []float64 `json:"descriptors,omitempty"`
	latency     *hdrhistogram.Histogram
}

// Mark is a fault as it was played.
type Mark struct {
	Kind    string   `json:"kind"`
	From    float64  `json:"from_s"`
	To      float64  `json:"to_s"`
	Nodes   []string `json:"nodes,omitempty"`
	Servers []string `json:"servers,omitempty"`
}

// lateBy is how late a request may be sent, and lateMost the share that may be later, for a run to be valid.
const (
	lateBy   = 5 * time.Millisecond
	lateMost = 0.01
)

// Bounds of the latency histograms, in microseconds.
const (
	leastLatency = 1
	mostLatency  = int64(10 * time.Minute / time.Microsecond)
	digits       = 3
)

// run is a run under way.
type run struct {
	opt     Options
	site    *scenario.Site
	loop    *sim.Loop
	oracle  *oracle.Oracle
	world   *model.World
	front   *traffic.Front
	clients *traffic.Clients
	result  *Result
	late    int
	worst   time.Duration
	counted int
	sums    sums
	usage   func(node int) (fleet.Usage, bool) // nil: nodes are no processes
}

// sums are what shares are reckoned from.
type sums struct {
	served, tail, tailAsked, tries int
	worth, worthAsked              float64
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
	r.close(err != nil)
	return r.result, err
}

func newRun(site *scenario.Site, opt Options) *run {
	if opt.Log == nil {
		opt.Log = func(string, ...any) {}
	}
	r := &run{opt: opt, site: site, loop: sim.New()}
	r.oracle = oracle.New(r.loop, site)
	r.world = model.NewWorld(r.loop, site, r.oracle)
	r.world.Process = r.process
	r.oracle.Watch(r.world)
	r.front = traffic.NewFront(r.world)
	r.clients = traffic.New(r.world, r.front, r.count)
	r.result = newResult(site, opt)
	return r
}

func newResult(site *scenario.Site, opt Options) *Result {
	res := &Result{Scenario: site.Name, Seed: opt.Seed, Virtual: opt.Virtual, Rules: map[string]int{}, Classes: map[string]*ClassResult{},
		Failed: []string{}, Violations: []oracle.Violation{}, Faults: []Mark{}}
	for _, c := range site.Classes {
		res.ClassNames = append(res.ClassNames, c.Name)
		res.Classes[c.Name] = &ClassResult{latency: hdrhistogram.New(leastLatency, mostLatency, digits)}
	}
	for _, z := range site.Zones {
		res.ZoneNames = append(res.ZoneNames, z.Name)
	}
	for _, n := range site.Nodes {
		res.NodeNames = append(res.NodeNames, n.Name)
	}
	return res
}

// tailFor is how long a run goes on after its load, so that what is under way ends.
func (r *run) tailFor() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.site.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest + time.Second
}

// begin starts load and faults.
func (r *run) begin(events []*fault.Event) {
	now := r.loop.Now()
	p := &fault.Player{World: r.world, Clients: r.clients, Process: r.process, Note: r.note}
	p.Start(events)
	r.clients.Start()
	r.eachSecond(now)
}

// process does something to a node's process and tells all who must know.
func (r *run) process(node int, act model.ProcessAct) {
	r.opt.Log("%v %v %s", r.loop.Now().Round(time.Millisecond), act, r.site.Nodes[node].Name)
	if act != model.Start { // a start counts when the node is ready
		r.oracle.Process(node, act)
	}
	if act == model.Kill || act == model.Terminate {
		r.front.Died(node)
	}
	r.world.Backend.Process(node, act)
}

// ready hears that a node's process serves.
func (r *run) ready(node int) {
	r.oracle.Process(node, model.Start)
	r.front.Ready(node)
	r.world.NodeReady(node)
}

func (r *run) note(e *fault.Event, on bool) {
	if on {
		m := Mark{Kind: e.Kind, From: e.From.Seconds(), To: e.To.Seconds()}
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
	r.opt.Log("%v fault %s %s", r.loop.Now().Round(time.Millisecond), e.Kind, word)
}

// eachSecond notes what servers hold, and tells of the progress.
func (r *run) eachSecond(at time.Duration) {
	r.loop.At(at+time.Second, func() {
		sec := r.second(at)
		sec.Attempts = r.oracle.Attempts - r.counted
		r.counted = r.oracle.Attempts
		for _, s := range r.world.Servers {
			sec.InFlight = append(sec.InFlight, s.InFlight())
		}
		if r.usage != nil {
			r.measure(sec)
		}
		if r.opt.Progress != nil {
			r.opt.Progress(r.loop.Now(), r.site.Duration.D())
		}
		if at+time.Second < r.site.Duration.D() {
			r.eachSecond(at + time.Second)
		}
	})
}

// measure notes what nodes' processes hold, and what is over their limits.
func (r *run) measure(sec *Second) {
	l := &r.site.Limits
	for n := range r.site.Nodes {
		u, runs := r.usage(n)
		sec.Memory, sec.Descriptors = append(sec.Memory, u.MemoryMB), append(sec.Descriptors, float64(u.Descriptors))
		r.result.MostMemory, r.result.MostOpen = max(r.result.MostMemory, u.MemoryMB), max(r.result.MostOpen, float64(u.Descriptors))
		if runs && (u.MemoryMB > float64(l.MemoryMB) || u.Descriptors > l.Sockets) {
			r.oracle.Exceeded(n, fmt.Sprintf("%.0f MB of %d and %d descriptors of %d", u.MemoryMB, l.MemoryMB, u.Descriptors, l.Sockets))
		}
	}
}

// second is the entry for the requests that came at a time.
func (r *run) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.result.Series) <= i {
		n, z := len(r.site.Classes), len(r.site.Zones)
		r.result.Series = append(r.result.Series, Second{Asked: make([]int, n), Served: make([]int, n), Refused: make([]int, n),
			Failed: make([]int, n), ByZone: make([]int, z), AskZone: make([]int, z), InFlight: []int{}})
	}
	return &r.result.Series[i]
}

// count enters a request's end.
func (r *run) count(t traffic.Result) {
	class := &r.site.Classes[t.Class]
	c := r.result.Classes[class.Name]
	sec := r.second(t.At)
	c.Asked++
	sec.Asked[t.Class]++
	sec.AskZone[t.Zone]++
	r.result.Asked++
	r.sums.tries += t.Tries
	sec.Retries += t.Tries - 1
	tail := t.At >= r.site.Duration.D()*3/4
	if t.SentBy > lateBy {
		r.late++
	}
	r.worst = max(r.worst, t.SentBy)
	if t.End == traffic.Gone { // nothing is owed to who has left
		c.Gone++
		return
	}
	r.sums.worthAsked += class.Worth
	if tail {
		r.sums.tailAsked++
	}
	switch t.End {
	case traffic.Served:
		c.Served++
		sec.Served[t.Class]++
		sec.ByZone[t.Zone]++
		r.sums.served++
		r.sums.worth += class.Worth
		if tail {
			r.sums.tail++
		}
	case traffic.Late:
		c.Late++
	case traffic.Refused:
		c.Refused++
		sec.Refused[t.Class]++
	default:
		c.Failed++
		sec.Failed[t.Class]++
	}
	if t.End == traffic.Served || t.End == traffic.Late {
		us := min(max(int64(t.Latency/time.Microsecond), leastLatency), mostLatency)
		c.latency.RecordValue(us)
		if sec.latency == nil {
			sec.latency = hdrhistogram.New(leastLatency, mostLatency, 2)
		}
		sec.latency.RecordValue(us)
	}
}

// close reckons the shares and what of the expectations did not hold.
func (r *run) close(partial bool) {
	res := r.result
	res.Partial, res.Events = partial, r.loop.Events()
	res.Seconds = min(r.loop.Now(), r.site.Duration.D()).Seconds()
	gone := 0
	for _, c := range res.Classes {
		gone += c.Gone
		c.Share = share(float64(c.Served), float64(c.Asked-c.Gone))
		c.P50MS, c.P90MS, c.P99MS = quantile(c.latency, 50), quantile(c.latency, 90), quantile(c.latency, 99)
	}
	for i := range res.Series {
		if s := &res.Series[i]; s.latency != nil {
			s.P50MS, s.P99MS = quantile(s.latency, 50), quantile(s.latency, 99)
		}
	}
	res.Served = share(float64(r.sums.served), float64(res.Asked-gone))
	res.Worth = share(r.sums.worth, r.sums.worthAsked)
	res.TailServed = share(float64(r.sums.tail), float64(r.sums.tailAsked))
	res.AfterKill = afterKill(res)
	res.LateShare = share(float64(r.late), float64(res.Asked))
	res.LateWorstMS = r.worst.Seconds() * 1000
	res.Valid = !partial && res.LateShare <= lateMost && res.Asked > 0
	res.Attempts = share(float64(r.oracle.Attempts), float64(res.Asked))
	res.Tries = share(float64(r.sums.tries), float64(res.Asked))
	res.RulesBroken, res.Rules = r.oracle.RulesBroken(), r.oracle.Broken
	res.Violations = append(res.Violations, r.oracle.Violations...)
	r.expect()
}

// aroundKill is how many seconds before and after a kill are looked at.
const aroundKill = 5

// afterKill reckons Result.AfterKill. Kills that come sooner than that one after another are looked at all the same.
func afterKill(res *Result) float64 {
	served := func(from, to int) float64 {
		s, n := 0, 0
		for _, sec := range res.Series[max(0, min(from, len(res.Series))):max(0, min(to, len(res.Series)))] {
			for c := range sec.Asked {
				s, n = s+sec.Served[c], n+sec.Asked[c]
			}
		}
		return share(float64(s), float64(n))
	}
	sum, kills := 0.0, 0
	for _, m := range res.Faults {
		if before := served(int(m.From)-aroundKill, int(m.From)); m.Kind == "kill" && before > 0 && m.To < res.Seconds-1 {
			back := int(math.Ceil(m.To))
			sum += served(back, back+aroundKill) / before
			kills++
		}
	}
	return share(sum, float64(kills))
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// expect compares the result with what the file wants.
func (r *run) expect() {
	res, e := r.result, &r.site.Expect
	least := func(name string, got, want float64) {
		if got < want {
			res.Failed = append(res.Failed, fmt.Sprintf("%s is %.3f, wanted at least %.3f", name, got, want))
		}
	}
	least("served_share", res.Served, e.Served)
	least("worth_share", res.Worth, e.Worth)
	least("tail_served", res.TailServed, e.TailServed)
	if e.After > 0 {
		least("after_restart", res.AfterKill, e.After)
	}
	for _, name := range res.ClassNames {
		least("served_share of "+name, res.Classes[name].Share, e.Class[name])
		if p := res.Classes[name].P99MS; e.P99 > 0 && p > e.P99.D().Seconds()*1000 {
			res.Failed = append(res.Failed, fmt.Sprintf("p99 of %s is %.0f ms, wanted at most %.0f ms", name, p, e.P99.D().Seconds()*1000))
		}
	}
	if e.Attempts > 0 && res.Attempts > e.Attempts {
		res.Failed = append(res.Failed, fmt.Sprintf("attempts_per_request is %.2f, wanted at most %.2f", res.Attempts, e.Attempts))
	}
	if res.RulesBroken > e.RulesBroken {
		res.Failed = append(res.Failed, fmt.Sprintf("rules_broken is %d, wanted at most %d", res.RulesBroken, e.RulesBroken))
	}
}

// Held tells whether the run counts and all held that was expected.
func (r *Result) Held() bool { return r.Valid && len(r.Failed) == 0 }

// ---- The two clocks ----

func (r *run) playVirtual(ctx context.Context) error {
	if r.site.Registry.Replicas > 0 {
		return errors.New("a registry is played by real processes alone; --set registry.replicas=0 plays plain discovery")
	}
	mk := r.opt.Module
	if mk == nil {
		mk = func(s balancer.Settings, seed uint64) (virtual.Module, error) { return balancer.New(s, seed) }
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
	f := virtual.New(r.world, settings, func(_ int, s balancer.Settings, seed uint64) (virtual.Module, error) { return mk(s, seed) }, r.ready)
	r.world.Backend = f
	events := fault.Plan(r.site)
	f.StartAll()
	r.begin(events)
	err := r.loop.RunVirtual(ctx, r.site.Duration.D()+r.tailFor())
	return errors.Join(err, failed, f.Err())
}

func (r *run) playReal(ctx context.Context) error {
	events := fault.Plan(r.site)
	f, err := fleet.New(r.world, r.oracle, fleet.Options{Node: r.opt.Node, Replica: r.opt.Replica, Events: events, Ready: r.ready, Log: r.opt.Log})
	if err != nil {
		return err
	}
	r.world.Backend, r.usage = f, f.Usage
	return f.Play(ctx, func() { r.begin(events) }, r.site.Duration.D()+r.tailFor())
}
