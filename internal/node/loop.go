package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/config"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/sentids"
	"umberbank/internal/node/upstream"
)

const (
	// postQueueSize is the number of posted functions that may be queued before post blocks.
	postQueueSize = 1024
	// staleInterval is the interval at which stale connections to servers are closed.
	staleInterval = time.Second
	// ejectedInterval is the interval at which the metric of ejected endpoints is updated.
	ejectedInterval = 200 * time.Millisecond
)

// clock provides Unix time that never goes backwards: the wall clock at start plus the monotonic time since.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at returns the clock time at t, which must have a monotonic reading.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// requestBalancer is the part of balancer.Balancer that the loop uses. Only the loop's goroutine may call it.
type requestBalancer interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	EjectedCount(now time.Duration) int
	Snapshot(now time.Duration) balancer.Snapshot
}

// loop is the event loop. Its methods run on the goroutine of run, except for post, after, snapshot and setDeadlines, which
// other goroutines may call. I/O runs on other goroutines, which post its results.
type loop struct {
	now         func() time.Duration          // returns the clock time; see clock
	clockTime   func(time.Time) time.Duration // converts a time to clock time
	balancer    requestBalancer
	pool        *upstream.Pool
	watcher     *watcher
	metrics     *metrics.Metrics
	ends        *endRecorder
	sentIDs     *sentids.Table
	ctx         context.Context         // the context of run; polls end with it
	classes     atomic.Pointer[classes] // replaced by the loop, also read by the frontend
	maxAttempts int
	posted      chan func()
	done        chan struct{} // closed when run has returned

	events    []balancer.Event              // events not yet handled by the balancer, in order
	requests  map[string]*request           // by ID
	endpoints map[string]*upstream.Endpoint // by ID
	lastID    uint64                        // the ID of the latest request
	closing   bool                          // the process is about to be killed; new requests are rejected
}

func newLoop(cfg config.Config, b requestBalancer, pool *upstream.Pool, client *discovery.Client, counters *metrics.Metrics) *loop {
	clock := clock{time.Now()}
	l := &loop{
		now:         clock.now,
		clockTime:   clock.at,
		balancer:    b,
		pool:        pool,
		metrics:     counters,
		ends:        newEndRecorder(counters),
		sentIDs:     sentids.New(),
		maxAttempts: cfg.Settings.MaxAttempts,
		posted:      make(chan func(), postQueueSize),
		done:        make(chan struct{}),
		requests:    map[string]*request{},
		endpoints:   map[string]*upstream.Endpoint{},
	}
	l.watcher = newWatcher(l, client, !cfg.Settings.PollDiscovery)
	l.setClasses(cfg.Settings)
	return l
}

// reconfigure applies new settings and a new discovery address, in one step.
func (l *loop) reconfigure(cfg config.Config) {
	l.setClasses(cfg.Settings)
	l.maxAttempts = cfg.Settings.MaxAttempts
	l.pool.Reconfigure(cfg.Connections)
	l.watcher.pushMode = !cfg.Settings.PollDiscovery
	l.handle(balancer.Reconfigure{Settings: cfg.Settings})
	l.watcher.reconfigure(cfg.Discovery)
}

// setClasses replaces the classes with those of the settings.
func (l *loop) setClasses(settings balancer.Settings) {
	l.classes.Store(newClasses(settings))
	for _, c := range settings.Classes {
		l.metrics.AddClass(c.Name)
	}
}

// run runs posted functions and periodic tasks until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer func() { l.watcher.stop() }()
	l.ctx = ctx
	stale := time.NewTicker(staleInterval)
	defer stale.Stop()
	ejected := time.NewTicker(ejectedInterval)
	defer ejected.Stop()
	for {
		select {
		case f := <-l.posted:
			f()
		case <-stale.C:
			go l.pool.CloseStale()
		case <-ejected.C:
			l.metrics.EndpointsEjected.Store(int64(l.balancer.EjectedCount(l.now())))
		case <-ctx.Done():
			return
		}
	}
}

// post runs f on the loop's goroutine. It drops f if the loop has ended. It may block, so the loop itself must not call it.
func (l *loop) post(f func()) {
	select {
	case l.posted <- f:
	case <-l.done:
	}
}

// after posts f once d has passed.
func (l *loop) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.post(f) })
}

// handle passes an event to the balancer, and then the events that its actions cause synchronously.
func (l *loop) handle(e balancer.Event) {
	l.events = append(l.events, e)
	for len(l.events) > 0 {
		e := l.events[0]
		l.events = l.events[1:]
		for _, a := range l.balancer.Handle(l.now(), e) {
			l.perform(a)
		}
	}
}

// perform executes an action of the balancer.
func (l *loop) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		l.send(a)
	case balancer.Cancel:
		l.cancel(a)
	case balancer.Reject:
		l.finish(a.ID, clientResponse{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter, end: metrics.RejectedByBalancer})
	case balancer.Fail:
		l.finish(a.ID, clientResponse{status: http.StatusBadGateway, end: metrics.FailedByBalancer})
	case balancer.SetTimer:
		l.after(a.At-l.now(), func() { l.handle(balancer.TimerFired{Token: a.Token}) })
	case balancer.Subscribe:
		l.watcher.subscribe()
	}
}

// snapshot returns a snapshot of the balancer's state. ok is false if the loop has ended.
func (l *loop) snapshot() (s balancer.Snapshot, ok bool) {
	taken := make(chan balancer.Snapshot, 1)
	l.post(func() { taken <- l.balancer.Snapshot(l.now()) })
	select {
	case s = <-taken:
		return s, true
	case <-l.done:
		return s, false
	}
}
