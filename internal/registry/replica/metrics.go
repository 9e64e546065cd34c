package replica

import (
	"net/http"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"umberbank/internal/registry/state"
)

// Buckets of write latencies. Each is twice as long as the one before.
const (
	firstWriteBucket = 0.0005 // seconds
	writeBuckets     = 14
)

// metrics holds the metrics of a replica. They have their own prometheus.Registry, because several replicas may run in one
// process.
type metrics struct {
	registry     *prometheus.Registry
	writes       *prometheus.CounterVec // writes applied, by kind and fault
	fullLists    prometheus.Counter     // full lists sent to watches, at their start or in place of events
	events       prometheus.Counter     // events and full lists sent to watches
	writeSeconds prometheus.Histogram   // from proposing a write to its result, on the leader
}

// newMetrics returns the metrics of a replica. The values of gauges are read when the metrics are collected.
func newMetrics(r *Replica) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "registry_writes_total", Help: "Writes applied, by kind and fault.",
		}, []string{"kind", "fault"}),
		fullLists: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "registry_watch_whole_lists_total", Help: "Whole lists given to watchers.",
		}),
		events: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "registry_watch_lines_total", Help: "Changes given to watchers.",
		}),
		writeSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "registry_write_seconds", Help: "From a write's call to its answer, on the leader.",
			Buckets: prometheus.ExponentialBuckets(firstWriteBucket, 2, writeBuckets),
		}),
	}
	m.registry.MustRegister(m.writes, m.fullLists, m.events, m.writeSeconds)
	m.registerGauges(r)
	return m
}

func (m *metrics) registerGauges(r *Replica) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	stateGauge := func(name, help string, value func(*state.State) float64) {
		gauge(name, help, func() (v float64) {
			r.fsm.read(func(s *state.State) { v = value(s) })
			return v
		})
	}
	stateGauge("registry_entries", "Servers in the list.", func(s *state.State) float64 { return float64(s.Len()) })
	stateGauge("registry_suspects", "Servers whose ended leases are not believed.", func(s *state.State) float64 {
		return float64(countSuspects(s))
	})
	stateGauge("registry_epoch", "Moved on by each restored backup.", func(s *state.State) float64 {
		return float64(state.Epoch(s.Revision()))
	})
	gauge("registry_watchers", "Open watches.", func() float64 { return float64(r.watches.len()) })
	gauge("registry_leads", "1 on the leader.", func() float64 {
		if r.raft.State() == raft.Leader {
			return 1
		}
		return 0
	})
	gauge("registry_stale_seconds", "Since this replica last heard from its leader.", func() float64 { return r.staleness().Seconds() })
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// countWrite counts a write by kind and code. Kinds that are not listed here, such as those for permits, records and settings,
// are counted as "unknown", so that clients cannot create labels.
func (m *metrics) countWrite(kind state.OpKind, code state.Code) {
	switch kind {
	case state.OpRegister, state.OpUpdate, state.OpRemove, state.OpExpire, state.OpSuspect, state.OpTrust, state.OpSetMember, state.OpNoop:
	default:
		kind = "unknown"
	}
	m.writes.WithLabelValues(string(kind), string(code)).Inc()
}
