package snapshotter

import (
	"fmt"
	"testing"
	"time"

	"umberbank/balancer"
)

// BenchmarkSave measures the time to encode one snapshot of 10,000 endpoints, without the disk, and the
// share of a core that snapshots take with the pauses in between.
func BenchmarkSave(b *testing.B) {
	snapshot := balancer.Snapshot{LimitPerEndpoint: 4}
	for i := range 10_000 {
		snapshot.Endpoints = append(snapshot.Endpoints, balancer.EndpointSnapshot{ID: fmt.Sprintf("s-%08x", i*7919), Slowness: 0.1 + float64(i)/1e5, LatencySamples: 3})
	}
	s := New(b.TempDir(), time.Second)
	var encoding time.Duration
	for range b.N {
		d, err := s.save(func() (balancer.Snapshot, bool) { return snapshot, true })
		if err != nil {
			b.Fatal(err)
		}
		encoding += d
	}
	secondsPerOp := encoding.Seconds() / float64(b.N)
	b.ReportMetric(secondsPerOp*1000, "ms-words/op")
	b.ReportMetric(100*secondsPerOp/max(time.Second.Seconds(), pauseFactor*secondsPerOp), "%core")
}
