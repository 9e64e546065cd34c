package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/discovery"
)

// The staleness bound. Once nothing has confirmed for discovery.SilenceTimeout that the list is current, because watches are silent,
// break, are rejected or deliver malformed messages, the complete list is polled every pollInterval, beside whatever watch there is,
// until a response or a watch confirms it again. So discovery, from when it can be reached, is heard after SilenceTimeout +
// pollInterval and the time of one response at the most: 2.75 s and that, of the 6 s within which a change has to be known (docs/fleet-test.md),
// however many watches go wrong in a row. Before a process has any confirmation, and after its discovery has moved, the first poll goes
// out after pollInterval alone.
const (
	pollInterval = 250 * time.Millisecond
	// maxPolls are in flight at once at the most.
	maxPolls = int(discovery.FetchTimeout / pollInterval)
	// maxPollBackoff is the longest pause between polls that fail, where discovery serves calls one after the other: with the silence
	// and one response it stays under the 6 s.
	maxPollBackoff = time.Second
	// emptyWatchDelay is how soon after a watch begins to answer its first update is here, if the agent has any.
	emptyWatchDelay = 20 * time.Millisecond
)

// Where discovery pushes the list, a watch that breaks is opened again after a pause: minRewatchDelay, doubled up to maxRewatchDelay as long as
// watches break at once. Elsewhere the balancer says when.
const (
	minRewatchDelay = 50 * time.Millisecond
	maxRewatchDelay = time.Second
)

// watcher follows the endpoint list of discovery for the event loop: by one watch at a time, and by polls while nothing confirms that
// the list is current. It is part of the loop, and runs on its goroutine.
type watcher struct {
	loop   *loop
	client *discovery.Client
	// pushed says that the node watches by itself; else it does when the balancer subscribes.
	pushed bool
	// external says that the list comes from a registry, and discovery is not called.
	external bool

	revision int64 // of the list that the node has
	cached   bool  // and that is from before the start of the process

	firstAnswer chan struct{} // closed once the list of discovery's agent is known
	answered    bool          // it is closed

	stop         context.CancelFunc // ends the watch
	watching     bool               // a watch was opened; a broken one is opened again
	rewatchDelay time.Duration      // before the last watch that was opened again

	confirmedAt time.Duration // clock time at which the list was surely current
	polledAt    time.Duration // clock time of the last poll
	polls       int           // in flight
	pollBackoff time.Duration // before the next poll, where discovery serves calls one after the other and the last have failed
	pollTimer   *time.Timer   // for the next look whether a poll is due; nil before the first watch
}

func newWatcher(l *loop, client *discovery.Client, pushed bool) *watcher {
	return &watcher{loop: l, client: client, pushed: pushed, firstAnswer: make(chan struct{}), stop: func() {}}
}

// reconfigure follows the list at an address from now on. w.pushed must be set before.
func (w *watcher) reconfigure(addr string) {
	if addr != w.client.Addr {
		w.setClient(discovery.NewClient(addr))
	} else if w.pushed && !w.watching {
		w.subscribe()
	}
}

// setClient follows the list of another client from now on, if it was followed at all. The old address closes its connections soon, and
// a watch that waits for that falls behind.
func (w *watcher) setClient(client *discovery.Client) {
	w.client = client
	if w.watching {
		w.subscribe()
		w.setConfirmed(w.loop.now() + pollInterval - discovery.SilenceTimeout)
	}
}

// updated notes the revision of an update that the loop applies.
func (w *watcher) updated(revision int64, cached bool) {
	w.revision, w.cached = revision, cached
	if !cached {
		w.noteAnswer()
	}
}

// noteAnswer records that the list of discovery's agent is known.
func (w *watcher) noteAnswer() {
	if !w.answered {
		w.answered = true
		close(w.firstAnswer)
	}
}

// receive applies what discovery has said, of the clock time at, unless it is older than what the node has: calls overtake each other. A
// list from before the start is replaced by any complete one.
func (w *watcher) receive(u discovery.Update, at time.Duration) {
	w.confirm(at)
	if w.cached && u.Full || u.Revision > w.revision {
		w.loop.applyUpdate(u, false)
	} else {
		w.noteAnswer()
	}
}

// confirm notes that the list was current at a clock time.
func (w *watcher) confirm(at time.Duration) { w.confirmedAt = max(w.confirmedAt, at) }

// setConfirmed sets the clock time at which the list was current, so that a poll is sent SilenceTimeout after that.
func (w *watcher) setConfirmed(at time.Duration) {
	w.confirmedAt = at
	if w.pollTimer == nil {
		w.pollTimer = w.loop.after(0, w.pollIfDue)
	} else {
		w.pollTimer.Reset(0)
	}
}

// pollIfDue polls if nothing has confirmed for too long that the list that the node has is current.
func (w *watcher) pollIfDue() {
	now := w.loop.now()
	limit := maxPolls
	if !w.pushed {
		limit = 1 // another would wait behind it in the same queue, and delay all nodes
	}
	due := max(w.confirmedAt+discovery.SilenceTimeout, w.polledAt+max(pollInterval, w.pollBackoff))
	if now >= due {
		if w.polls < limit {
			w.poll()
		}
		due = now + pollInterval
	}
	w.pollTimer.Reset(due - now)
}

// poll asks discovery for the complete list.
func (w *watcher) poll() {
	w.polls++
	w.polledAt = w.loop.now()
	client, at := w.client, w.polledAt
	go func() {
		u, err := client.Fetch(w.loop.running)
		w.loop.post(func() {
			w.polls--
			w.setPollBackoff(err)
			switch {
			case client != w.client: // it has moved since
			case err == nil:
				w.receive(u, at)
			case errors.Is(err, discovery.ErrMalformed): // the watch reports other errors
				logPollFailed(err)
			}
		})
	}()
}

// setPollBackoff sets the pause before the next poll by the result of the last.
func (w *watcher) setPollBackoff(err error) {
	if err == nil || w.pushed {
		w.pollBackoff = 0
		return
	}
	w.pollBackoff = min(max(pollInterval, 2*w.pollBackoff), maxPollBackoff)
	jitter := time.Duration(rand.Int64N(int64(w.pollBackoff))) - w.pollBackoff/2
	w.polledAt = w.loop.now() + jitter
}

// subscribe opens a watch in place of the one before.
func (w *watcher) subscribe() {
	if w.external {
		return
	}
	w.stop()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop, w.watching = cancel, true
	revision, client, began := w.revision, w.client, w.loop.now()
	client.SetSerialized(!w.pushed)
	if w.pollTimer == nil {
		w.setConfirmed(began + pollInterval - discovery.SilenceTimeout)
	}
	handler := w.watchHandler(ctx)
	go func() {
		err := client.Watch(ctx, revision, handler)
		w.loop.post(func() {
			if ctx.Err() == nil {
				w.watchEnded(ctx, err, began)
			}
		})
	}()
}

// watchHandler returns the handler of the watch that ends with ctx. What comes after that is dropped: a newer watch brings the same.
func (w *watcher) watchHandler(ctx context.Context) discovery.Handler {
	post := func(f func(at time.Duration)) {
		at := w.loop.now()
		w.loop.post(func() {
			if ctx.Err() == nil {
				f(at)
			}
		})
	}
	return discovery.Handler{
		Opened:    func() { w.loop.after(emptyWatchDelay, w.noteAnswer) },
		Heartbeat: func() { post(w.confirm) },
		Update:    func(u discovery.Update) { post(func(at time.Duration) { w.receive(u, at) }) },
	}
}

// watchEnded records that the watch with ctx, opened at the clock time began, has ended with err, and arranges for the next one.
func (w *watcher) watchEnded(ctx context.Context, err error, began time.Duration) {
	logWatchEnded(err)
	if errors.Is(err, discovery.ErrMalformed) {
		w.setConfirmed(min(w.confirmedAt, w.loop.now()-discovery.SilenceTimeout)) // what did not count is polled at once
	}
	// Where lists are polled the balancer decides when to subscribe again; after a silent watch the node does at once.
	if !w.pushed && !errors.Is(err, discovery.ErrSilent) {
		w.loop.handle(balancer.SubscriptionFailed{})
		return
	}
	w.loop.after(w.nextRewatchDelay(w.loop.now()-began), func() {
		if ctx.Err() == nil { // else another was opened meanwhile
			w.subscribe()
		}
	})
}

// nextRewatchDelay is the pause after a watch that lasted for so long.
func (w *watcher) nextRewatchDelay(lasted time.Duration) time.Duration {
	if lasted > maxRewatchDelay {
		w.rewatchDelay = 0
	}
	w.rewatchDelay = min(max(minRewatchDelay, 2*w.rewatchDelay), maxRewatchDelay)
	return w.rewatchDelay
}

// The beginnings of these lines are in docs/oncall/discovery.md, and operators search for them.

func logWatchEnded(err error) { slog.Warn(fmt.Sprintf("watch: %v", err)) }

func logPollFailed(err error) { slog.Warn(fmt.Sprintf("whole list: %v", err)) }
