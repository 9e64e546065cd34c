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
	"umberbank/internal/node/upstream"
)

const (
	// eventBacklog is how many events may wait for the loop before post blocks.
	eventBacklog = 1024
	// staleInterval is how often stale connections to servers are looked for.
	staleInterval = time.Second
	// ejectedInterval is how often the balancer is asked how many endpoints are ejected.
	ejectedInterval = 200 * time.Millisecond
)

// clock is Unix time that never goes back: the wall's at the start plus what has passed since.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// requestBalancer is what the loop needs of the balancer; balancer.Balancer implements it. Only the loop's goroutine may call it.
type requestBalancer interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	EjectedCount(now time.Duration) int
	Snapshot(now time.Duration) balancer.Snapshot
}

// loop is the event loop. Its methods run on the one goroutine of run, except for post, after and snapshot, which any other
// goroutine may call. I/O happens on other goroutines, which post its results.
type loop struct {
	now         func() time.Duration // of the clock
	balancer    requestBalancer
	pool        *upstream.Pool
	watcher     *watcher
	metrics     *metrics.Metrics
	running     context.Context         // of run: polls end with it
	classes     atomic.Pointer[classes] // swapped by the loop, read by the frontend too
	maxAttempts int
	events      chan func()
	done        chan struct{} // closed when run has ended

	queue     []balancer.Event // for the balancer, in order
	requests  map[string]*request
	endpoints map[string]*upstream.Endpoint // by ID
	lastID    uint64                        // of a request
	closing   bool                          // the process is about to be killed
}

func newLoop(cfg config.Config, b requestBalancer, pool *upstream.Pool, client *discovery.Client, counters *metrics.Metrics) *loop {
	l := &loop{
		now:         clock{time.Now()}.now,
		balancer:    b,
		pool:        pool,
		metrics:     counters,
		maxAttempts: cfg.Settings.MaxAttempts,
		events:      make(chan func(), eventBacklog),
		done:        make(chan struct{}),
		requests:    map[string]*request{},
		endpoints:   map[string]*upstream.Endpoint{},
	}
	l.watcher = newWatcher(l, client, !cfg.Settings.PollDiscovery)
	l.setClasses(cfg.Settings)
	return l
}

// reconfigure takes over new settings and discovery's address, in one step.
func (l *loop) reconfigure(cfg config.Config) {
	l.setClasses(cfg.Settings)
	l.maxAttempts = cfg.Settings.MaxAttempts
	l.pool.Reconfigure(cfg.Connections)
	l.watcher.pushed = !cfg.Settings.PollDiscovery
	l.handle(balancer.Reconfigure{Settings: cfg.Settings})
	l.watcher.reconfigure(cfg.Discovery)
}

// setClasses puts the classes of the settings in force.
func (l *loop) setClasses(settings balancer.Settings) {
	l.classes.Store(newClasses(settings))
	for _, c := range settings.Classes {
		l.metrics.AddClass(c.Name)
	}
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer func() { l.watcher.stop() }()
	l.running = ctx
	stale := time.NewTicker(staleInterval)
	defer stale.Stop()
	ejected := time.NewTicker(ejectedInterval)
	defer ejected.Stop()
	for {
		select {
		case f := <-l.events:
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

// post hands the loop something to do. It may block, so the loop itself must not call it.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// after posts f when d has passed.
func (l *loop) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.post(f) })
}

// handle gives the balancer an event, and then those that their own actions caused at once.
func (l *loop) handle(e balancer.Event) {
	l.queue = append(l.queue, e)
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		for _, a := range l.balancer.Handle(l.now(), e) {
			l.perform(a)
		}
	}
}

// perform carries out an action of the balancer.
func (l *loop) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		l.send(a)
	case balancer.Cancel:
		l.cancel(a)
	case balancer.Reject:
		l.finish(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case balancer.Fail:
		l.finish(a.ID, answer{status: http.StatusBadGateway})
	case balancer.SetTimer:
		l.after(a.At-l.now(), func() { l.handle(balancer.TimerFired{Token: a.Token}) })
	case balancer.Subscribe:
		l.watcher.subscribe()
	}
}

// snapshot asks the loop for what the balancer has learned; false: the loop has ended.
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
