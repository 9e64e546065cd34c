package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// PermitResult is what decisions about permits cost.
type PermitResult struct {
	Units              int     `json:"units"`
	RequestedPerSecond float64 `json:"asked_per_s"` // by an open loop
	DecidedPerSecond   float64 `json:"decided_per_s"`
	P50MS              float64 `json:"p50_ms"` // from when a decision was due until its answer
	P99MS              float64 `json:"p99_ms"`
	Granted            int     `json:"granted"`
	Returned           int     `json:"returned"`
}

// MeasurePermits asks for permits and gives them back, at a rate and one write each, beside so many units as instances.
func MeasurePermits(ctx context.Context, o Options, rate int, lasts time.Duration) (*PermitResult, error) {
	p := &PermitResult{Units: o.Instances, RequestedPerSecond: float64(rate)}
	o.Watches = 1
	_, err := measure(ctx, o, (*measurement).fill, func(m *measurement, ctx context.Context) error { return m.permits(ctx, p, rate, lasts) })
	return p, err
}

func (m *measurement) permits(ctx context.Context, p *PermitResult, rate int, lasts time.Duration) error {
	m.step("permits")
	whole := 0.5
	if _, err := m.w.Write(ctx, state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: benchTier, Total: &whole, Zone: &whole}}, PermitExpiryMS: 60_000}}); err != nil {
		return err
	}
	var agreed state.CoordinationView
	if err := m.w.Call(ctx, "GET", "/registry/agreed?consistent=1&units=1", nil, &agreed); err != nil {
		return err
	}
	var mu sync.Mutex
	latency := hdrhistogram.New(1, mostMS*1000, 3)
	var granted, returned atomic.Int64
	var failed error
	due := make(chan time.Time, rate)
	var all sync.WaitGroup
	var next atomic.Int64
	for range min(rate, 512) {
		all.Go(func() {
			var held *state.Op // to be returned by the next decision
			for at := range due {
				op := held
				if op == nil {
					u := agreed.Units[int(next.Add(1))%len(agreed.Units)]
					op = &state.Op{Kind: state.OpGrantPermit, UID: u.UID, Incarnation: u.Token, Holder: "bench"}
				}
				a, err := m.w.Write(ctx, *op)
				mu.Lock()
				latency.RecordValue(max(1, time.Since(at).Microseconds()))
				if err != nil && failed == nil {
					failed = err
				}
				mu.Unlock()
				switch {
				case err != nil:
				case held != nil:
					held = nil
					returned.Add(1)
				case a[0].Code == "":
					granted.Add(1)
					held = &state.Op{Kind: state.OpReturnPermit, UID: op.UID, Token: a[0].Token}
				}
			}
		})
	}
	began := time.Now()
	n := int(lasts.Seconds() * float64(rate))
	for i := range n {
		at := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		due <- at
	}
	close(due)
	all.Wait()
	if failed != nil {
		return fmt.Errorf("a decision: %w", failed)
	}
	p.DecidedPerSecond = float64(n) / time.Since(began).Seconds()
	p.P50MS, p.P99MS = float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000
	p.Granted, p.Returned = int(granted.Load()), int(returned.Load())
	return nil
}
