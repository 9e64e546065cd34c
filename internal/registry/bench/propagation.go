package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	pauseBetweenChanges = 30 * time.Millisecond
	maxLatencyMS        = 60_000
	latencyDigits       = 3
	stormChanges        = 20
	// Changes are numbered so that those of different steps have different capacities.
	firstStormChange = 1000
	failoverChange   = 5000
	// eventsPerStormWatch is how many events of one watch a storm's channel holds, more than the storm has changes.
	eventsPerStormWatch = 32
)

// newLatency returns a histogram of latencies in µs.
func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS*1000, latencyDigits)
}

// recordLatency records a latency of at least 1 µs. One above the histogram's range is left out: steps end before.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(max(1, d.Microseconds())) //nolint:errcheck // see above
}

// quantileMS is a quantile of latencies in ms.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// watches are the open watches of a measurement.
type watches struct {
	all       []*watch
	addresses []string
	running   sync.WaitGroup
	wanted    atomic.Int64   // the revision that is waited for
	received  chan time.Time // when a watch received it
}

// openWatches opens watches from a revision, evenly over the replicas.
func (m *measurement) openWatches(ctx context.Context, revision int64) (*watches, error) {
	w := &watches{addresses: m.cluster.Addresses(), received: make(chan time.Time, m.options.Watches)}
	note := func(revision int64) {
		if revision == w.wanted.Load() {
			w.received <- time.Now()
		}
	}
	for i := range m.options.Watches {
		x := &watch{}
		if err := x.open(ctx, w.addresses[i%len(w.addresses)], revision, note, &w.running); err != nil {
			w.close()
			return nil, err
		}
		w.all = append(w.all, x)
	}
	return w, nil
}

// close ends all watches and waits for their goroutines.
func (w *watches) close() {
	for _, x := range w.all {
		x.conn.Close()
	}
	w.running.Wait()
}

// propagateAndReconnect times changes to all watches, and then lets these all reconnect at once.
func (m *measurement) propagateAndReconnect(ctx context.Context) error {
	w, err := m.propagate(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	return m.reconnectStorm(ctx, w)
}

// propagate times changes to all watches, which it returns open.
func (m *measurement) propagate(ctx context.Context) (*watches, error) {
	m.begin("propagation")
	revision, err := m.currentRevision(ctx)
	if err != nil {
		return nil, err
	}
	memory := m.memory()
	w, err := m.openWatches(ctx, revision)
	if err != nil {
		return nil, err
	}
	if err := m.timeChanges(ctx, w, revision, memory); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// timeChanges makes changes from a revision on. memory is that of the replicas before there were watches.
func (m *measurement) timeChanges(ctx context.Context, w *watches, revision int64, memory float64) error {
	latency := newLatency()
	w.wanted.Store(revision)
	// The first change tells that all watches are open, and is not timed.
	if _, err := m.timeChange(ctx, w, 0, nil); err != nil {
		return err
	}
	cpu := m.cpuTime()
	m.result.BytesPerWatch = (m.memory() - memory) / float64(m.options.Watches)
	var writes time.Duration
	for i := range m.options.Changes {
		time.Sleep(pauseBetweenChanges)
		took, err := m.timeChange(ctx, w, i+1, latency)
		if err != nil {
			return err
		}
		writes += took
	}
	time.Sleep(pauseBetweenChanges)
	m.result.PropagationP50MS, m.result.PropagationP99MS = quantileMS(latency, 50), quantileMS(latency, 99)
	m.result.WriteMeanMS = milliseconds(writes) / float64(m.options.Changes)
	m.result.CPUPerChangeMS = milliseconds(m.cpuTime()-cpu) / float64(m.options.Changes)
	return nil
}

// timeChange makes a change, waits until all watches have received it, and records their latencies. It returns how long the
// write took. Without a histogram nothing is recorded.
func (m *measurement) timeChange(ctx context.Context, w *watches, i int, latency *hdrhistogram.Histogram) (time.Duration, error) {
	w.wanted.Add(1)
	began := time.Now()
	if _, err := m.changeInstance(ctx, i); err != nil {
		return 0, err
	}
	took := time.Since(began)
	for range w.all {
		select {
		case at := <-w.received:
			if latency != nil {
				recordLatency(latency, at.Sub(began))
			}
		case <-ctx.Done():
			return 0, fmt.Errorf("change %d did not come to all watchers: %w", i, ctx.Err())
		}
	}
	return took, nil
}

// reconnectStorm breaks all watches, changes something, and lets all reconnect at once.
func (m *measurement) reconnectStorm(ctx context.Context, w *watches) error {
	m.begin("storm")
	w.close()
	last := int64(0)
	for i := range stormChanges {
		var err error
		if last, err = m.changeInstance(ctx, firstStormChange+i); err != nil {
			return err
		}
	}
	began := time.Now()
	caughtUp := make(chan struct{}, len(w.all)*eventsPerStormWatch)
	note := func(revision int64) {
		if revision >= last {
			caughtUp <- struct{}{}
		}
	}
	if err := w.reopen(ctx, note); err != nil {
		return err
	}
	for range w.all {
		select {
		case <-caughtUp:
		case <-ctx.Done():
			return fmt.Errorf("not all watches reconnected: %w", ctx.Err())
		}
	}
	m.result.ReconnectStormSeconds = time.Since(began).Seconds()
	m.result.ResumedFraction = w.resumedFraction()
	return nil
}

// reopen opens all watches at once, each at another replica than before, from the revision that it has.
func (w *watches) reopen(ctx context.Context, received func(revision int64)) error {
	var opening errgroup.Group
	for i, x := range w.all {
		x.fullLists.Store(0)
		opening.Go(func() error {
			return x.open(ctx, w.addresses[(i+1)%len(w.addresses)], x.revision.Load(), received, &w.running)
		})
	}
	return opening.Wait()
}

// resumedFraction is the share of the watches that were reopened and needed no full list.
func (w *watches) resumedFraction() float64 {
	fullLists := 0
	for _, x := range w.all {
		if x.fullLists.Load() > 0 {
			fullLists++
		}
	}
	return 1 - float64(fullLists)/float64(len(w.all))
}
