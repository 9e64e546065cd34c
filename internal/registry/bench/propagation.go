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
	// Each step numbers its changes from a different start, so that no two steps set the same capacities. This holds for up to
	// 999 timed changes.
	firstStormChange = 1000
	failoverChange   = 5000
	// eventsPerStormWatch is the capacity per watch of the channel for the events of a storm. It exceeds the number of changes,
	// so that sending an event never blocks.
	eventsPerStormWatch = 32
)

// newLatency returns a histogram of latencies in microseconds.
func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS*1000, latencyDigits)
}

// recordLatency records a latency, rounded up to 1 µs if it is shorter. A latency beyond the range of the histogram is dropped.
// Only a step that has timed out can have one.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(max(1, d.Microseconds())) //nolint:errcheck // see above
}

// quantileMS returns a quantile of latencies in milliseconds. percent is between 0 and 100.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// watches are the open watches of a measurement.
type watches struct {
	all             []*watch
	addresses       []string
	running         sync.WaitGroup
	awaitedRevision atomic.Int64   // revision whose events are timed
	received        chan time.Time // times at which watches received that revision
}

// openWatches opens the watches from a revision, spread evenly over the replicas.
func (m *measurement) openWatches(ctx context.Context, revision int64) (*watches, error) {
	w := &watches{addresses: m.cluster.Addresses(), received: make(chan time.Time, m.options.Watches)}
	onEvent := func(revision int64) {
		if revision == w.awaitedRevision.Load() {
			w.received <- time.Now()
		}
	}
	for i := range m.options.Watches {
		x := &watch{}
		if err := x.open(ctx, w.addresses[i%len(w.addresses)], revision, onEvent, &w.running); err != nil {
			w.close()
			return nil, err
		}
		w.all = append(w.all, x)
	}
	return w, nil
}

// close closes all watches and waits for their goroutines.
func (w *watches) close() {
	for _, x := range w.all {
		x.conn.Close()
	}
	w.running.Wait()
}

// propagateAndReconnect times the propagation of changes to all watches, and then a reconnect of all of them at once.
func (m *measurement) propagateAndReconnect(ctx context.Context) error {
	w, err := m.propagate(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	return m.reconnectStorm(ctx, w)
}

// propagate times the propagation of changes to all watches. It returns the watches, which are open.
func (m *measurement) propagate(ctx context.Context) (*watches, error) {
	m.beginStep("propagation")
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

// timeChanges makes the changes after a revision and fills in the result. memory is the memory of the replicas, in bytes,
// before the watches were opened.
func (m *measurement) timeChanges(ctx context.Context, w *watches, revision int64, memory float64) error {
	latency := newLatency()
	w.awaitedRevision.Store(revision)
	// The first change ensures that all watches are open, and is not timed.
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

// timeChange makes a change, waits until all watches have received it, and records their latencies unless latency is nil. It
// returns the duration of the write.
func (m *measurement) timeChange(ctx context.Context, w *watches, i int, latency *hdrhistogram.Histogram) (time.Duration, error) {
	w.awaitedRevision.Add(1)
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
			return 0, fmt.Errorf("change %d did not reach all watches: %w", i, ctx.Err())
		}
	}
	return took, nil
}

// reconnectStorm closes all watches, makes changes, and measures the time until all watches have reconnected and caught up.
func (m *measurement) reconnectStorm(ctx context.Context, w *watches) error {
	m.beginStep("storm")
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
	onEvent := func(revision int64) {
		if revision >= last {
			caughtUp <- struct{}{}
		}
	}
	if err := w.reopen(ctx, onEvent); err != nil {
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

// reopen opens all watches at once, each at another replica than before and from the last revision that it has received.
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

// resumedFraction returns the fraction of the reopened watches that received no full list.
func (w *watches) resumedFraction() float64 {
	fullLists := 0
	for _, x := range w.all {
		if x.fullLists.Load() > 0 {
			fullLists++
		}
	}
	return 1 - float64(fullLists)/float64(len(w.all))
}
