package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// PermitResult is what decisions about disruption permits cost.
type PermitResult struct {
	Units              int     `json:"units"`
	RequestedPerSecond float64 `json:"asked_per_s"` // by an open loop
	DecidedPerSecond   float64 `json:"decided_per_s"`
	P50MS              float64 `json:"p50_ms"` // from when a decision was due until its answer
	P99MS              float64 `json:"p99_ms"`
	Granted            int     `json:"granted"`
	Returned           int     `json:"returned"`
}

const (
	maxPermitWorkers     = 512
	permitTierFraction   = 0.5    // of the tier, and of each zone, may be out at once
	permitExpiryMS       = 60_000 // no permit expires meanwhile
	permitHolder         = "bench"
	permitMinimalWatches = 1
)

// MeasurePermits requests permits and returns them, at a rate per second and one write each, beside as many units as there
// are instances.
func MeasurePermits(ctx context.Context, o Options, rate int, duration time.Duration) (*PermitResult, error) {
	o.Watches = permitMinimalWatches
	var result *PermitResult
	_, err := measure(ctx, o, (*measurement).registerInstances, func(m *measurement, ctx context.Context) (err error) {
		result, err = m.permits(ctx, rate, duration)
		return err
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

func (m *measurement) permits(ctx context.Context, rate int, duration time.Duration) (*PermitResult, error) {
	m.begin("permits")
	if err := m.setLimits(ctx); err != nil {
		return nil, err
	}
	var view state.CoordinationView
	if err := m.client.Call(ctx, http.MethodGet, api.PathCoordination+"?consistent=1&units=1", nil, &view); err != nil {
		return nil, err
	}
	l := &permitLoad{measurement: m, units: view.Units, latency: newLatency()}
	count := int(duration.Seconds() * float64(rate))
	took, err := l.run(ctx, rate, count)
	if err != nil {
		return nil, fmt.Errorf("a decision: %w", err)
	}
	return &PermitResult{
		Units:              m.options.Instances,
		RequestedPerSecond: float64(rate),
		DecidedPerSecond:   float64(count) / took.Seconds(),
		P50MS:              quantileMS(l.latency, 50),
		P99MS:              quantileMS(l.latency, 99),
		Granted:            int(l.granted.Load()),
		Returned:           int(l.returned.Load()),
	}, nil
}

// setLimits sets limits under which permits are granted.
func (m *measurement) setLimits(ctx context.Context) error {
	share := permitTierFraction
	limits := &disruption.Limits{
		Tiers:          []disruption.Limit{{Tier: benchTier, Total: &share, Zone: &share}},
		PermitExpiryMS: permitExpiryMS,
	}
	_, err := m.client.Write(ctx, state.Op{Kind: state.OpSetLimits, Limits: limits})
	return err
}

// permitLoad is an open loop of decisions about permits.
type permitLoad struct {
	*measurement
	units    []*state.Instance
	nextUnit atomic.Int64
	granted  atomic.Int64
	returned atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	err     error // the first
}

// run makes so many decisions at a rate per second, and returns how long that took.
func (l *permitLoad) run(ctx context.Context, rate, count int) (time.Duration, error) {
	due := make(chan time.Time, rate)
	var workers sync.WaitGroup
	for range min(rate, maxPermitWorkers) {
		workers.Go(func() { l.work(ctx, due) })
	}
	began := time.Now()
	for i := range count {
		at := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		due <- at
	}
	close(due)
	workers.Wait()
	return time.Since(began), l.err
}

// work requests a permit with one decision, and returns it with the next.
func (l *permitLoad) work(ctx context.Context, due <-chan time.Time) {
	var toReturn *state.Op
	for at := range due {
		op := toReturn
		if op == nil {
			op = l.nextRequest()
		}
		results, err := l.client.Write(ctx, *op)
		l.record(time.Since(at), err)
		switch {
		case err != nil:
		case toReturn != nil:
			toReturn = nil
			l.returned.Add(1)
		case results[0].Code == "":
			l.granted.Add(1)
			toReturn = &state.Op{Kind: state.OpReturnPermit, UID: op.UID, Token: results[0].Token}
		}
	}
}

// nextRequest requests a permit for the next unit.
func (l *permitLoad) nextRequest() *state.Op {
	unit := l.units[int(l.nextUnit.Add(1))%len(l.units)]
	return &state.Op{Kind: state.OpGrantPermit, UID: unit.UID, Incarnation: unit.Token, Holder: permitHolder}
}

// record records a decision.
func (l *permitLoad) record(latency time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordLatency(l.latency, latency)
	if err != nil && l.err == nil {
		l.err = err
	}
}
