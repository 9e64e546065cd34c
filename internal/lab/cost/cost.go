package cost

import (
	"context"
	"fmt"
	"math"
	"os"
	"time"

	"umberbank/internal/process"
)

// Options configure a measurement.
type Options struct {
	// Node is the command of a node, and Relay that of the baseline relay (see ServeRelay). Both take --stats FILE (see
	// WriteStatsOnSignals). Each defaults to a subcommand of this program.
	Node, Relay []string
	// Duration is the duration of each load. Throughput takes two loads for the node and two for the relay, and latency takes
	// three loads in all. It defaults to 3 s.
	Duration time.Duration
	// Step receives the name of each measurement. It may be nil.
	Step func(string)
	// Rate is the number of requests per second at which latencies are measured. It defaults to half of the lower throughput.
	Rate float64
	// Servers is the number of servers in the list, at most MaxServers. It defaults to 8.
	Servers int
}

// Result is the cost of a node and of the baseline relay. Ratios are those of the node to the relay.
type Result struct {
	Node            ProcessCost `json:"node"`
	Relay           ProcessCost `json:"bare_relay"`
	Direct          Latency     `json:"direct"`     // of requests sent directly to the servers, at the paced rate
	Servers         int         `json:"servers"`    // number of servers in the list
	PacedRate       float64     `json:"paced_rps"`  // requests per second at which latencies were measured
	AddedP99Ratio   float64     `json:"p99_ratio"`  // of the added latencies; zero if the relay added none
	ThroughputRatio float64     `json:"held_ratio"` // of the throughputs
	CPURatio        float64     `json:"cpu_ratio"`  // of the processor times per request
	AllocRatio      float64     `json:"alloc_ratio"`
	Valid           bool        `json:"valid"`  // the load was sent on time
	Pinned          bool        `json:"pinned"` // each process ran on one core of its own
}

// ProcessCost is the cost of the node or of the baseline relay.
type ProcessCost struct {
	Throughput   float64            `json:"held_rps"` // requests served per second with every connection busy
	Rejected     int                `json:"refused"`  // responses with a status other than 200
	CPUMicros    float64            `json:"cpu_us_per_request"`
	AllocBytes   float64            `json:"alloc_bytes_per_request"`
	Allocs       float64            `json:"allocs_per_request"`
	CPUSplit     map[string]float64 `json:"cpu_us_split"`      // by part; see Parts
	AllocSplit   map[string]float64 `json:"alloc_bytes_split"` // by part
	Latency      Latency            `json:"latency"`
	Added        Latency            `json:"added"`          // over Result.Direct
	MemoryMB     float64            `json:"memory_mb"`      // resident, after the load
	IdleMemoryMB float64            `json:"memory_mb_rest"` // resident, before the load
	Descriptors  int                `json:"descriptors"`
}

// Latency has quantiles of a latency, in microseconds.
type Latency struct {
	P50 float64 `json:"p50_us"`
	P99 float64 `json:"p99_us"`
}

// minus returns the differences of the quantiles of l and o.
func (l Latency) minus(o Latency) Latency { return Latency{l.P50 - o.P50, l.P99 - o.P99} }

const (
	// busyConnections is the number of connections of a throughput measurement, pacedConnections that of a latency measurement.
	busyConnections  = 32
	pacedConnections = 64
	defaultServers   = 8
	defaultDuration  = 3 * time.Second
	// warmUpDuration is the duration of the load before a throughput measurement.
	warmUpDuration = time.Second
	// startTimeout is the timeout for the start of a process, and for its statistics.
	startTimeout = 10 * time.Second
	// maxLateShare is the largest share of late requests in a valid run.
	maxLateShare = 0.01
)

// MaxServers is the largest number of servers that a measurement supports.
const MaxServers = 4096

// Validate returns an error if the options are invalid.
func (o *Options) Validate() error {
	switch {
	case o.Rate < 0 || math.IsNaN(o.Rate) || math.IsInf(o.Rate, 0):
		return fmt.Errorf("rate: %v is no number from 0 on", o.Rate)
	case o.Servers < 0 || o.Servers > MaxServers:
		return fmt.Errorf("servers: %d is not from 1 to %d", o.Servers, MaxServers)
	}
	return nil
}

// setDefaults sets the options that are missing.
func (o *Options) setDefaults() {
	if o.Servers == 0 {
		o.Servers = defaultServers
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
}

// Measure measures a node and the baseline relay. It takes about seven times Options.Duration, and 2 s for the load before
// the throughput measurements. It stops its processes before it returns. If the options are invalid, it starts no process.
func Measure(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	var servers []string
	for range o.Servers {
		s, err := newInstantServer()
		if err != nil {
			return nil, err
		}
		defer s.close()
		servers = append(servers, s.listener.Addr().String())
	}
	dir, err := os.MkdirTemp("", "umberbank-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	launcher := process.NewLauncher()
	defer launcher.Close()
	node, err := startNode(ctx, launcher, o.Node, dir, servers)
	if err != nil {
		return nil, err
	}
	defer node.stop()
	relay, err := startRelay(ctx, launcher, o.Relay, dir, servers)
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	m := measurement{options: o, servers: servers, node: node, relay: relay,
		result: &Result{Valid: true, Servers: o.Servers, Pinned: node.pinned && relay.pinned}}
	if err := m.run(ctx); err != nil {
		return nil, err
	}
	return m.result, nil
}

// measurement is a measurement in progress.
type measurement struct {
	options     Options
	servers     []string // addresses
	node, relay *measuredProcess
	result      *Result
}

// run measures the throughputs, then the latencies at a rate below both, and computes the ratios.
func (m *measurement) run(ctx context.Context) error {
	r := m.result
	if err := m.throughput(ctx, "the node", m.node, &r.Node); err != nil {
		return err
	}
	if err := m.throughput(ctx, "the bare relay", m.relay, &r.Relay); err != nil {
		return err
	}
	lower := min(r.Node.Throughput, r.Relay.Throughput)
	r.PacedRate = m.options.Rate
	if r.PacedRate == 0 {
		r.PacedRate = lower / 2
	}
	if r.PacedRate >= lower {
		return fmt.Errorf("rate: %.0f requests/s is not below the lower throughput, %.0f requests/s", r.PacedRate, lower)
	}
	var err error
	if r.Direct, err = m.latency(ctx, "no relay", func(i int) string { return m.servers[i%len(m.servers)] }); err != nil {
		return err
	}
	if r.Node.Latency, err = m.latency(ctx, "the node", m.node.address); err != nil {
		return err
	}
	if r.Relay.Latency, err = m.latency(ctx, "the bare relay", m.relay.address); err != nil {
		return err
	}
	r.Node.Added = r.Node.Latency.minus(r.Direct)
	r.Relay.Added = r.Relay.Latency.minus(r.Direct)
	if r.Relay.Added.P99 > 0 {
		r.AddedP99Ratio = r.Node.Added.P99 / r.Relay.Added.P99
	}
	r.ThroughputRatio = r.Node.Throughput / r.Relay.Throughput
	r.CPURatio = r.Node.CPUMicros / r.Relay.CPUMicros
	r.AllocRatio = r.Node.AllocBytes / r.Relay.AllocBytes
	return nil
}

// throughput measures the throughput of a process and the cost of a request.
func (m *measurement) throughput(ctx context.Context, name string, p *measuredProcess, s *ProcessCost) error {
	m.options.Step("throughput of " + name + " with all connections busy")
	if err := p.measureThroughput(ctx, m.options.Duration, s); err != nil {
		return fmt.Errorf("%s: %w: %s", name, err, p.logTail())
	}
	return nil
}

// latency measures the latency at the paced rate. address is that of connection i.
func (m *measurement) latency(ctx context.Context, name string, address func(i int) string) (Latency, error) {
	m.options.Step("latency of " + name)
	load, err := (&loader{addr: address}).runPaced(ctx, pacedConnections, m.result.PacedRate, m.options.Duration)
	if err != nil {
		return Latency{}, fmt.Errorf("%s: %w", name, err)
	}
	if float64(load.late) > maxLateShare*float64(load.served) {
		m.result.Valid = false
	}
	return Latency{micros(load.latency.ValueAtQuantile(50)), micros(load.latency.ValueAtQuantile(99))}, nil
}

// micros converts nanoseconds to microseconds.
func micros(ns int64) float64 { return float64(ns) / 1000 }
