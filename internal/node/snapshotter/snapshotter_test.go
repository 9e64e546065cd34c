package snapshotter

import (
	"fmt"
	"testing"
	"time"

	"umberbank/balancer"
)

// The cost of one snapshot of 10,000 endpoints, without the disk; the node pauses for pauseFactor times as long after it.
func BenchmarkSave(b *testing.B) {
	m := balancer.Snapshot{LimitPerEndpoint: 4}
	for i := range 10_000 {
		m.Endpoints = append(m.Endpoints, balancer.EndpointSnapshot{ID: fmt.Sprintf("s-%08x", i*7919), Slowness: 0.1 + float64(i)/1e5, LatencySamples: 3})
	}
	k := New(b.TempDir(), time.Second)
	var took time.Duration
	for range b.N {
		d, err := k.save(func() (balancer.Snapshot, bool) { return m, true })
		if err != nil {
			b.Fatal(err)
		}
		took += d
	}
	per := took.Seconds() / float64(b.N)
	b.ReportMetric(per*1000, "ms-words/op")
	b.ReportMetric(100*per/max(time.Second.Seconds(), pauseFactor*per), "%core")
}
