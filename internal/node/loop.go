package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"umberbank/balancer"
)

// clock is Unix time that never goes back: the wall's at the start plus what has passed since.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// request is a caller's request. The loop owns it, but for what the front fills in before accept
// and for the atomic.
type request struct {
	id       string // ours: a caller's id may come twice
	class    string
	repeat   bool
	cost     time.Duration
	deadline time.Duration // clock time by which the module is to answer
	last     time.Duration // clock time at which the node answers for it
	left     time.Duration // how long the caller waits from the request's last byte on
	forward  *http.Request // what goes to a server
	body     []byte        // as much of it as is held
	rest     *callerBody   // what follows of a long one; nil: nothing
	answer   chan answer   // holds the final answer; never blocks

	maxAttempts int            // by the settings when it was accepted
	kind        balancer.Class // likewise
	ran         time.Duration  // when the first attempt was sent that may have run; 0: none may have

	finished atomic.Bool // answered, or its caller has gone; set by the loop alone
	departed atomic.Bool // its caller was seen to go; the loop may not know yet
	here     func() bool // asks, at this instant, whether its caller is still there; by any goroutine
	lastCall *time.Timer // for an answer by the node itself
	attempts []*attempt
	out      int // attempts that have not ended
}

// answer is the final answer to a caller.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
	stream      *download // not nil: the body, as it comes
	rejected    error     // not nil: the request was not taken, for this reason
}

// attempt is one Send of the module.
type attempt struct {
	req    *request
	n      int
	server string
	sent   time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer // cancels it when its time is over
	begun  bool        // its answer is being passed on, as the request's
}

// module decides; balancer.Balancer is the one in service.
type module interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
	EjectedCount(now time.Duration) int
	Snapshot(now time.Duration) balancer.Snapshot
}

// loop owns the module. All its methods but post run on the one goroutine of run; I/O happens on
// others, which post what came of it.
type loop struct {
	clock       clock
	module      module
	upstream    *upstream
	discovery   *discovery
	running     context.Context // of run: questions to discovery end with it
	metrics     *metrics
	classes     atomic.Pointer[classes] // swapped by the loop, read by the front too
	maxAttempts int
	pushed      bool // the list comes unasked: the node watches without a Subscribe
	events      chan func()
	done        chan struct{} // closed when run has ended

	queue     []balancer.Event // for the module, in order
	requests  map[string]*request
	servers   map[string]*server
	rev       int64 // of the list we hold
	cached    bool  // and that is from before the start
	nextID    uint64
	stopWatch context.CancelFunc
	watching  bool          // a watch was opened; a broken one is opened again
	elsewhere bool          // the list comes from a registry, and discovery is not asked
	rest      time.Duration // before the last watch that was opened again
	proven    time.Duration // clock time at which the list was surely current
	asked     time.Duration // when discovery was last asked for the whole of it
	asking    int           // such questions that are out
	askRest   time.Duration // before the next one, where discovery serves calls in turn and the last have failed
	doubting  *time.Timer   // the next look whether one is due; nil before the first watch
	heard     bool          // what discovery's agent holds, since the start
	told      chan struct{} // closed when heard is true
	ending    bool          // the process is about to be killed
}

func newLoop(cfg Config, m module, up *upstream, disc *discovery, counts *metrics) *loop {
	l := &loop{clock: clock{time.Now()}, module: m, upstream: up, discovery: disc, metrics: counts,
		maxAttempts: cfg.Settings.MaxAttempts, pushed: !cfg.Settings.PollDiscovery,
		events: make(chan func(), 1024), done: make(chan struct{}),
		requests: map[string]*request{}, servers: map[string]*server{},
		stopWatch: func() {}, told: make(chan struct{})}
	l.takeClasses(cfg.Settings)
	return l
}

// retune takes over new settings and discovery's address, in one step.
func (l *loop) retune(cfg Config) {
	l.takeClasses(cfg.Settings)
	l.maxAttempts, l.pushed = cfg.Settings.MaxAttempts, !cfg.Settings.PollDiscovery
	l.upstream.retune(cfg.Conns)
	l.handle(balancer.Reconfigure{Settings: cfg.Settings})
	if cfg.Discovery != l.discovery.addr {
		l.moveDiscovery(newDiscovery(cfg.Discovery))
	} else if l.pushed && !l.watching {
		l.subscribe()
	}
}

// takeClasses puts the classes of the settings in force.
func (l *loop) takeClasses(set balancer.Settings) {
	l.classes.Store(newClasses(set))
	for _, c := range set.Classes {
		l.metrics.list(c.Name)
	}
}

// askAvoided is how often the module is asked how many servers it avoids.
const askAvoided = 200 * time.Millisecond

// run works off events until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer func() { l.stopWatch() }()
	l.running = ctx
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	ask := time.NewTicker(askAvoided)
	defer ask.Stop()
	for {
		select {
		case f := <-l.events:
			f()
		case <-sweep.C:
			go l.upstream.sweepStale()
		case <-ask.C:
			l.metrics.ejected.Store(int64(l.module.EjectedCount(l.clock.now())))
		case <-ctx.Done():
			return
		}
	}
}

// post hands the loop something to do. It may wait, so the loop itself must not call it.
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

// handle gives the module an event, and then those that its own actions caused at once.
func (l *loop) handle(e balancer.Event) {
	l.queue = append(l.queue, e)
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		for _, a := range l.module.Handle(l.clock.now(), e) {
			l.carryOut(a)
		}
	}
}

func (l *loop) carryOut(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		l.send(a)
	case balancer.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel(errWithdrawn)
		}
	case balancer.Reject:
		l.finish(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case balancer.Fail:
		l.finish(a.ID, answer{status: http.StatusBadGateway})
	case balancer.SetTimer:
		l.after(a.At-l.clock.now(), func() { l.handle(balancer.TimerFired{Token: a.Token}) })
	case balancer.Subscribe:
		l.subscribe()
	}
}

// ---- Requests ----

// accept takes a request from the front.
func (l *loop) accept(r *request) {
	// The settings may have changed since the front looked.
	if err := l.classes.Load().check(r.class, r.forward.Header); err != nil {
		r.answer <- answer{rejected: err}
		return
	}
	if l.ending {
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	if r.departed.Load() {
		return // nothing is owed
	}
	r.maxAttempts, r.kind = l.maxAttempts, (*l.classes.Load())[r.class]
	l.nextID++
	r.id = strconv.FormatUint(l.nextID, 10)
	l.requests[r.id] = r
	l.metrics.outstanding.Add(1)
	l.awaitLastCall(r)
	l.handle(balancer.Request{ID: r.id, Class: r.class, Deadline: r.deadline, ClientRetry: r.repeat,
		CostHint: r.cost, StreamingBody: r.rest != nil})
}

// awaitLastCall sees to it that, should the module ever say nothing, the caller still gets an answer in
// time.
func (l *loop) awaitLastCall(r *request) {
	r.lastCall = l.after(r.last-l.clock.now(), func() {
		if !r.finished.Load() {
			log.Printf("request %s: no answer from the module by its deadline", r.id)
			l.abandon(r)
		}
	})
}

// startTime makes a request's time begin now.
func (l *loop) startTime(r *request) {
	own := min(ownDelay, r.left/4)
	r.deadline = l.clock.now() + r.left - own
	r.last = r.deadline + own/2
}

// abandon fails a request without the module, which is told that nothing is owed any more.
func (l *loop) abandon(r *request) {
	l.finish(r.id, answer{status: http.StatusBadGateway})
	l.handle(balancer.ClientDisconnected{ID: r.id})
}

// abandonAll fails whatever is unanswered, and refuses whatever comes from now on.
func (l *loop) abandonAll() {
	l.ending = true
	for _, r := range l.requests {
		if !r.finished.Load() {
			l.abandon(r)
		}
	}
}

// gone notes that a caller has closed its connection.
func (l *loop) gone(r *request) {
	if r.lastCall != nil && l.close(r) { // else it was never accepted
		l.metrics.outstanding.Add(-1)
		l.handle(balancer.ClientDisconnected{ID: r.id})
		l.forget(r)
	}
}

// finish gives a request its final answer, once.
func (l *loop) finish(id string, a answer) {
	r := l.requests[id]
	if r != nil && l.close(r) {
		l.metrics.outstanding.Add(-1)
		r.answer <- a
		l.forget(r)
	}
}

// close finishes a request; false if it was before.
func (l *loop) close(r *request) bool {
	r.lastCall.Stop()
	return r.finished.CompareAndSwap(false, true)
}

// forget drops a request that is finished and has no attempt out.
func (l *loop) forget(r *request) {
	if r.finished.Load() && r.out == 0 {
		delete(l.requests, r.id)
	}
}

// ---- Attempts ----

// send starts an attempt. Every Send gets exactly one Outcome.
func (l *loop) send(a balancer.Send) {
	r := l.requests[a.ID]
	if r == nil {
		log.Printf("send for the unknown request %s", a.ID)
		return
	}
	now := l.clock.now()
	timeout := r.deadline - now
	if a.Timeout != 0 { // 0: until the deadline
		timeout = min(timeout, a.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at := &attempt{req: r, n: len(r.attempts), server: a.Endpoint, sent: now, cancel: cancel}
	r.attempts = append(r.attempts, at)
	r.out++
	s := l.servers[a.Endpoint]
	if r.finished.Load() || r.departed.Load() || timeout <= 0 && r.rest == nil || s == nil || r.maxAttempts > 0 && at.n >= r.maxAttempts {
		l.queue = append(l.queue, l.end(at, result{ending: balancer.NotSent}))
		return
	}
	out := call{request: r.forward.Clone(ctx), rest: r.rest,
		clear: clearance{clock: l.clock, wanted: func() bool { return !r.finished.Load() && r.here() },
			until: now + timeout, window: r.sendBy()},
		started: func(d *download) { l.post(func() { l.started(at, d) }) }}
	if r.rest != nil {
		// Its time begins with its last byte. How slow that may be is the caller's body's to say.
		out.clear.until = 0
		out.request.Header.Set("X-Time-Left", timeLeft(r.left))
		out.request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.rest))
		out.taken = func() { l.post(func() { l.taken(at) }) }
		r.lastCall.Stop()
	} else {
		at.timer = time.AfterFunc(timeout, func() { cancel(errTimedOut) })
		if len(r.body) > 0 {
			out.request.Body = io.NopCloser(bytes.NewReader(r.body))
		}
	}
	go func() {
		res := l.upstream.attempt(ctx, s, out)
		l.post(func() { l.handle(l.end(at, res)) })
	}()
}

// sendBy is the clock time from which on the servers may run a repeat of the request anew, less the time on the way; 0:
// there is none. A connection that comes up late must not carry it past that.
func (r *request) sendBy() time.Duration {
	if r.kind.Effect != balancer.WithIdempotencyKey || r.ran == 0 {
		return 0
	}
	return r.ran + r.kind.IdempotencyWindow - min(ownDelay, r.kind.IdempotencyWindow/4)
}

// taken notes that the last byte of a long request was written: its time begins.
func (l *loop) taken(at *attempt) {
	r := at.req
	at.timer = time.AfterFunc(r.left, func() { at.cancel(errTimedOut) })
	if r.finished.Load() {
		return
	}
	l.startTime(r)
	at.timer.Reset(r.deadline - l.clock.now())
	l.awaitLastCall(r)
	l.handle(balancer.RequestBodySent{ID: r.id, Attempt: at.n, Deadline: r.deadline})
}

// started makes an answer that begins the final one of its request, unless there is one already.
func (l *loop) started(at *attempt, d *download) {
	if !l.close(at.req) {
		at.cancel(errWithdrawn)
		d.abandon()
		d.done <- errAbandoned
		return
	}
	at.begun = true
	at.stop()
	at.req.answer <- answer{status: http.StatusOK, contentType: d.contentType, stream: d}
	l.handle(balancer.ResponseStarted{ID: at.req.id, Attempt: at.n})
}

// stop ends an attempt's timer, if it has one.
func (at *attempt) stop() {
	if at.timer != nil {
		at.timer.Stop()
	}
}

// end notes that an attempt has ended and words it for the module. The first success is the
// request's answer.
func (l *loop) end(at *attempt, res result) balancer.Outcome {
	r := at.req
	at.stop()
	at.cancel(nil)
	r.out--
	if at.begun {
		l.metrics.outstanding.Add(-1)
	}
	if r.departed.Load() && l.close(r) { // the word of it is on its way; nothing may follow meanwhile
		l.metrics.outstanding.Add(-1)
	}
	switch res.ending {
	case balancer.Overloaded, balancer.Unreachable, balancer.NotSent: // it never ran
	default:
		if r.ran == 0 || at.sent < r.ran {
			r.ran = at.sent
		}
	}
	if res.ending == balancer.Success {
		l.finish(r.id, answer{status: http.StatusOK, body: res.body, contentType: res.contentType})
	}
	l.forget(r)
	return balancer.Outcome{ID: r.id, Attempt: at.n, Endpoint: at.server, Result: res.ending,
		Latency: l.clock.now() - at.sent, RequestDone: r.finished.Load(), BodyConsumed: r.rest != nil && r.rest.spent.Load()}
}

// ---- Discovery ----

// takeList applies news of the servers: first to what the I/O may use, then to the module.
func (l *loop) takeList(list List, cached bool) {
	l.rev, l.cached = list.Rev, cached
	if !cached {
		l.hear()
	}
	listed := map[string]bool{}
	e := balancer.EndpointUpdate{Full: list.All, Cached: cached}
	for _, t := range list.Targets {
		sv := t.server()
		e.Endpoints = append(e.Endpoints, sv)
		listed[t.UID] = sv.State != balancer.Removed
		s := l.servers[t.UID]
		if s == nil || s.addr != t.Endpoint || s.boot != sv.StartTime {
			// Connections to an earlier process or address are of no use.
			l.removeServer(t.UID)
			s = &server{id: t.UID, addr: t.Endpoint, boot: sv.StartTime}
			l.servers[t.UID] = s
		}
		s.usable.Store(sv.State == balancer.Ready)
		if sv.State != balancer.Ready {
			l.upstream.dropIdle(s)
		}
		if sv.State == balancer.Removed {
			l.removeServer(t.UID)
		}
	}
	if list.All {
		for id := range l.servers {
			if !listed[id] {
				l.removeServer(id)
			}
		}
	}
	l.metrics.discovered.Store(int64(len(l.servers)))
	l.handle(e)
}

// takeNews applies what discovery has said, of the clock time at, unless it is older than what is held: calls overtake
// each other. What the configuration knew is no such measure.
func (l *loop) takeNews(list List, at time.Duration) {
	l.proven = max(l.proven, at)
	if l.cached && list.All || list.Rev > l.rev {
		l.takeList(list, false)
	} else {
		l.hear()
	}
}

// doubt lets the list count as proven at a clock time and no later, so that a question for the whole of it goes out
// silence after that.
func (l *loop) doubt(proven time.Duration) {
	l.proven = proven
	if l.doubting == nil {
		l.doubting = l.after(0, l.askIfDue)
	} else {
		l.doubting.Reset(0)
	}
}

// askIfDue asks for the whole list if nothing has proven for too long that the one that is held is current.
func (l *loop) askIfDue() {
	now := l.clock.now()
	most := askMost
	if !l.pushed {
		most = 1 // another in the same queue would come no sooner, and hold up everybody's
	}
	due := max(l.proven+silence, l.asked+max(askEvery, l.askRest))
	if now >= due {
		if l.asking < most {
			l.ask()
		}
		due = now + askEvery
	}
	l.doubting.Reset(due - now)
}

// ask asks discovery for the whole list.
func (l *loop) ask() {
	l.asking++
	l.asked = l.clock.now()
	disc, at := l.discovery, l.asked
	go func() {
		list, err := disc.list(l.running)
		l.post(func() {
			l.asking--
			if err != nil && !l.pushed {
				l.askRest = min(max(askEvery, 2*l.askRest), askRestMost)
				l.asked = l.clock.now() + time.Duration(rand.Int64N(int64(l.askRest))) - l.askRest/2
			} else {
				l.askRest = 0
			}
			switch {
			case disc != l.discovery: // it has moved since
			case err == nil:
				l.takeNews(list, at)
			case errors.Is(err, errMalformed): // other troubles are the watch's to tell
				log.Printf("whole list: %v", err)
			}
		})
	}()
}

// newsAfter is how soon after a watch begins to answer its first news is here, if the agent has any.
const newsAfter = 20 * time.Millisecond

// hear notes that what discovery's agent holds is known.
func (l *loop) hear() {
	if !l.heard {
		l.heard = true
		close(l.told)
	}
}

func (l *loop) removeServer(id string) {
	if s := l.servers[id]; s != nil {
		s.usable.Store(false)
		l.upstream.dropIdle(s)
		delete(l.servers, id)
	}
}

// Where the list comes unasked, a watch that breaks is opened again after a rest: a short one, doubled up to
// rewatchMost as long as watches break at once. Elsewhere the module says.
const (
	rewatchFirst = 50 * time.Millisecond
	rewatchMost  = time.Second
)

// restAfter is the rest after a watch that lasted for so long.
func (l *loop) restAfter(lasted time.Duration) time.Duration {
	if lasted > rewatchMost {
		l.rest = 0
	}
	l.rest = min(max(rewatchFirst, 2*l.rest), rewatchMost)
	return l.rest
}

// moveDiscovery follows the list at another address from now on, if it was followed at all. The old
// address closes its connections soon, and a watch that waits for that falls behind.
func (l *loop) moveDiscovery(d *discovery) {
	l.discovery = d
	if l.watching {
		l.subscribe()
		l.doubt(l.clock.now() + askEvery - silence)
	}
}

// subscribe opens a watch in place of the one before.
func (l *loop) subscribe() {
	if l.elsewhere {
		return
	}
	l.stopWatch()
	ctx, cancel := context.WithCancel(context.Background())
	l.stopWatch, l.watching = cancel, true
	since, disc, begun := l.rev, l.discovery, l.clock.now()
	disc.inTurn.Store(!l.pushed)
	if l.doubting == nil {
		l.doubt(begun + askEvery - silence)
	}
	said := func(f func(at time.Duration)) { // runs f unless a newer watch tells the same
		at := l.clock.now()
		l.post(func() {
			if ctx.Err() == nil {
				f(at)
			}
		})
	}
	go func() {
		err := disc.watch(ctx, since, func() { l.after(newsAfter, l.hear) },
			func() { said(func(at time.Duration) { l.proven = max(l.proven, at) }) },
			func(list List) { said(func(at time.Duration) { l.takeNews(list, at) }) })
		l.post(func() {
			if ctx.Err() == nil {
				log.Printf("watch: %v", err)
				if errors.Is(err, errMalformed) {
					l.doubt(min(l.proven, l.clock.now()-silence)) // what did not count is asked for at once
				}
				// When to ask is the module's to say where lists are asked for; a watch fallen silent is broken
				// and is opened anew in any case.
				if !l.pushed && err != errSilent {
					l.handle(balancer.SubscriptionFailed{})
				} else {
					l.after(l.restAfter(l.clock.now()-begun), func() {
						if ctx.Err() == nil { // else another was opened meanwhile
							l.subscribe()
						}
					})
				}
			}
		})
	}()
}
