package replica

import (
	"net/http"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"umberbank/internal/registry/state"
)

// meters are a replica's figures, in a registry of their own: several replicas may run in one process.
type meters struct {
	all    *prometheus.Registry
	writes *prometheus.CounterVec // applied, by kind and fault
	wholes prometheus.Counter     // whole lists that watches began with or fell back to
	lines  prometheus.Counter     // changes handed to watchers
	took   prometheus.Histogram   // seconds from a write's call to its answer, on the leader
}

// newMeters returns the figures of a replica; what changes by itself is read when it is asked for.
func newMeters(r *Replica) *meters {
	m := &meters{all: prometheus.NewRegistry(),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "registry_writes_total", Help: "Writes applied, by kind and fault."}, []string{"kind", "fault"}),
		wholes: prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watch_whole_lists_total", Help: "Whole lists given to watchers."}),
		lines:  prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watch_lines_total", Help: "Changes given to watchers."}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "registry_write_seconds", Help: "From a write's call to its answer, on the leader.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)})}
	read := func(f func(*state.State) float64) func() float64 {
		return func() (v float64) {
			r.fsm.read(func(s *state.State) { v = f(s) })
			return v
		}
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	m.all.MustRegister(m.writes, m.wholes, m.lines, m.took,
		gauge("registry_entries", "Servers in the list.", read(func(s *state.State) float64 { return float64(s.Len()) })),
		gauge("registry_suspects", "Servers whose ended leases are not believed.", read(func(s *state.State) float64 {
			n := 0
			for _, e := range s.Instances() {
				if e.Suspect {
					n++
				}
			}
			return float64(n)
		})),
		gauge("registry_epoch", "Moved on by each restored backup.", read(func(s *state.State) float64 { return float64(state.Epoch(s.Revision())) })),
		gauge("registry_watchers", "Open watches.", func() float64 { return float64(r.streams.len()) }),
		gauge("registry_leads", "1 on the leader.", func() float64 {
			if r.raft.State() == raft.Leader {
				return 1
			}
			return 0
		}),
		gauge("registry_stale_seconds", "Since this replica last heard from its leader.", func() float64 { return r.staleness().Seconds() }))
	return m
}

func (m *meters) handler() http.Handler { return promhttp.HandlerFor(m.all, promhttp.HandlerOpts{}) }

// applied counts a write.
func (m *meters) applied(kind, fault string) {
	switch kind { // what callers name must not make a figure of its own
	case state.OpRegister, state.OpUpdate, state.OpRemove, state.OpExpire, state.OpSuspect, state.OpTrust, state.OpSetMember, state.OpNoop:
	default:
		kind = "unknown"
	}
	m.writes.WithLabelValues(kind, fault).Inc()
}
