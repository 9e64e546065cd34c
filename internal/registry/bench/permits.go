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

// PermitResult contains the rate and latency of decisions about disruption permits.
type PermitResult struct {
	Units              int     `json:"units"`
	RequestedPerSecond float64 `json:"asked_per_s"` // rate of the open-loop load
	DecidedPerSecond   float64 `json:"decided_per_s"`
	P50MS              float64 `json:"p50_ms"` // from the scheduled time of a request to its response
	P99MS              float64 `json:"p99_ms"`
	Granted            int     `json:"granted"`
	Returned           int     `json:"returned"` // returns with a response, even if the permit had already ended
}

const (
	maxPermitWorkers   = 512
	permitTierFraction = 0.5    // fraction of the tier, and of each zone, that may be disrupted at once
	permitExpiryMS     = 60_000 // long enough that no permit expires during a measurement
	permitHolder       = "bench"
	unusedWatches      = 1 // Options require a watch, although MeasurePermits opens none
)

// MeasurePermits requests and returns disruption permits at a fixed rate per second. Each request and each return is a decision
// and a write of its own. Every instance of the list is a unit.
func MeasurePermits(ctx context.Context, o Options, rate int, duration time.Duration) (*PermitResult, error) {
	o.Watches = unusedWatches
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
	m.beginStep("permits")
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
		return nil, fmt.Errorf("request or return a permit: %w", err)
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

// setLimits sets disruption limits that allow permits to be granted.
func (m *measurement) setLimits(ctx context.Context) error {
	share := permitTierFraction
	limits := &disruption.Limits{
		Tiers:          []disruption.Limit{{Tier: benchTier, Total: &share, Zone: &share}},
		PermitExpiryMS: permitExpiryMS,
	}
	_, err := m.client.Write(ctx, state.Op{Kind: state.OpSetLimits, Limits: limits})
	return err
}

// permitLoad is an open-loop load of decisions about permits: each decision has a scheduled time, and its latency includes the
// delay until a worker sends it.
type permitLoad struct {
	*measurement
	units    []*state.Instance
	nextUnit atomic.Int64
	granted  atomic.Int64
	returned atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	err     error // first error
}

// run makes count decisions at a fixed rate per second, and returns the time until all of them have a response.
func (l *permitLoad) run(ctx context.Context, rate, count int) (time.Duration, error) {
	due := make(chan time.Time, rate)
	var workers sync.WaitGroup
	for range min(rate, maxPermitWorkers) {
		workers.Go(func() { l.runWorker(ctx, due) })
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

// runWorker makes one decision for each scheduled time that it receives. It requests a permit, and returns a granted permit with
// its next decision.
func (l *permitLoad) runWorker(ctx context.Context, due <-chan time.Time) {
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

// nextRequest returns the write that requests a permit for the next unit.
func (l *permitLoad) nextRequest() *state.Op {
	unit := l.units[int(l.nextUnit.Add(1))%len(l.units)]
	return &state.Op{Kind: state.OpGrantPermit, UID: unit.UID, Incarnation: unit.Token, Holder: permitHolder}
}

// record records the latency of a decision, and the first error.
func (l *permitLoad) record(latency time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordLatency(l.latency, latency)
	if err != nil && l.err == nil {
		l.err = err
	}
}
