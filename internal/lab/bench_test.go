package lab

import (
	"fmt"
	"runtime"
	"testing"

	"umberbank/internal/lab/scenario"
)

// Measures how the speed of the virtual clock and the memory of servers and nodes depend on the size of the site.
func BenchmarkVirtual(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := shippedScenario(b, "scale.toml", `duration="10s"`, fmt.Sprintf("load.rate=%d", 2*n), fmt.Sprintf("nodes=%d", n/10), "fault=[]")
			s.Tiers[0].Servers = n
			var events, requests float64
			for b.Loop() {
				r, err := Run(b.Context(), s, Options{Seed: 1, Virtual: true})
				if err != nil {
					b.Fatal(err)
				}
				events, requests = events+float64(r.Events), requests+float64(r.Requests)
			}
			b.ReportMetric(events/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(requests/b.Elapsed().Seconds(), "requests/s")
		})
	}
	for _, c := range []struct {
		name           string
		nodes, servers int
	}{{"server", 1, 10_000}, {"node", 1000, 10}} {
		b.Run("memory-per-"+c.name, func(b *testing.B) {
			s := shippedScenario(b, "scale.toml", `duration="1ms"`, fmt.Sprintf("nodes=%d", c.nodes), "fault=[]")
			s.Tiers[0].Servers = c.servers
			var bytes float64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := newRun(scenario.NewSite(s, 1), Options{Virtual: true})
				if err := r.runVirtual(b.Context()); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				bytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(bytes/float64(max(c.nodes, c.servers)), "bytes/each")
		})
	}
}
