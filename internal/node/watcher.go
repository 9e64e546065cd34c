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

// Limits on the staleness of the endpoint list. If nothing confirms for discovery.SilenceTimeout that the list is current,
// because watches are silent, fail, are rejected or deliver malformed messages, the complete list is polled every
// pollInterval, in addition to any watch, until a poll or a watch confirms it again. A reachable discovery is therefore
// heard within SilenceTimeout + pollInterval (2.75 s) plus the time of one response, however many watches fail in a row.
// A change must be applied within 6 s (docs/fleet-test.md). Before the first confirmation, and after a change of the
// discovery address, the first poll is sent after pollInterval alone.
const (
	pollInterval = 250 * time.Millisecond
	// maxPolls is the maximum number of polls in flight.
	maxPolls = int(discovery.FetchTimeout / pollInterval)
	// maxPollBackoff is the longest delay between failing polls where discovery serves requests one at a time. Together with
	// SilenceTimeout and one response it stays below the limit of 6 s.
	maxPollBackoff = time.Second
	// emptyWatchDelay is how long after the start of a watch's response the first update arrives, if the agent has one.
	emptyWatchDelay = 20 * time.Millisecond
)

// Where discovery pushes the list, a failed watch is reopened after minRewatchDelay. The delay doubles up to
// maxRewatchDelay while watches fail at once. Where the list is polled, the balancer decides when to subscribe again.
const (
	minRewatchDelay = 50 * time.Millisecond
	maxRewatchDelay = time.Second
)

// watcher follows the endpoint list of discovery for the event loop, with one watch at a time, and with polls while nothing
// confirms that the list is current. It is part of the loop and runs on its goroutine.
type watcher struct {
	loop   *loop
	client *discovery.Client
	// pushed is set if the node opens watches itself; otherwise it opens one when the balancer subscribes.
	pushed bool
	// usesRegistry is set if the list comes from a registry; discovery is not used then.
	usesRegistry bool

	revision int64 // the revision of the current list
	cached   bool  // the current list is from before the start of the process

	synced   chan struct{} // closed once the node has the list of its discovery agent
	isSynced bool          // synced is closed

	stop         context.CancelFunc // ends the watch
	watching     bool               // a watch has been opened; it is reopened if it ends
	rewatchDelay time.Duration      // the last delay before a watch was reopened; zero after a watch that lasted

	confirmedAt time.Duration // clock time at which the list was last confirmed as current
	polledAt    time.Duration // clock time of the last poll
	polls       int           // number of polls in flight
	pollBackoff time.Duration // delay before the next poll where discovery serves requests one at a time; zero after a success
	pollTimer   *time.Timer   // runs pollIfDue; nil before the first watch
}

func newWatcher(l *loop, client *discovery.Client, pushed bool) *watcher {
	return &watcher{loop: l, client: client, pushed: pushed, synced: make(chan struct{}), stop: func() {}}
}

// reconfigure switches to the discovery at addr. The caller sets w.pushed first.
func (w *watcher) reconfigure(addr string) {
	if addr != w.client.Addr {
		w.setClient(discovery.NewClient(addr))
	} else if w.pushed && !w.watching {
		w.subscribe()
	}
}

// setClient replaces the discovery client, and the watch if there is one. It does not wait for the old address to close its
// connections, because the list would become stale meanwhile.
func (w *watcher) setClient(client *discovery.Client) {
	w.client = client
	if w.watching {
		w.subscribe()
		w.setConfirmed(w.loop.now() + pollInterval - discovery.SilenceTimeout)
	}
}

// recordUpdate records the revision of an update that the loop applies.
func (w *watcher) recordUpdate(revision int64, cached bool) {
	w.revision, w.cached = revision, cached
	if !cached {
		w.markSynced()
	}
}

// markSynced records that the node has the list of its discovery agent.
func (w *watcher) markSynced() {
	if !w.isSynced {
		w.isSynced = true
		close(w.synced)
	}
}

// receive applies an update that was current at the clock time at, unless it is older than the current list, as responses
// may arrive out of order. A cached list is replaced by any complete one.
func (w *watcher) receive(u discovery.Update, at time.Duration) {
	w.confirm(at)
	if w.cached && u.Full || u.Revision > w.revision {
		w.loop.applyUpdate(u, false)
	} else {
		w.markSynced()
	}
}

// confirm records that the list was current at a clock time.
func (w *watcher) confirm(at time.Duration) { w.confirmedAt = max(w.confirmedAt, at) }

// setConfirmed sets the clock time at which the list was current, which schedules a poll for SilenceTimeout after it.
func (w *watcher) setConfirmed(at time.Duration) {
	w.confirmedAt = at
	if w.pollTimer == nil {
		w.pollTimer = w.loop.after(0, w.pollIfDue)
	} else {
		w.pollTimer.Reset(0)
	}
}

// pollIfDue polls if nothing has confirmed for SilenceTimeout that the list is current.
func (w *watcher) pollIfDue() {
	now := w.loop.now()
	limit := maxPolls
	if !w.pushed {
		limit = 1 // a second poll would wait behind the first in discovery's queue and delay all nodes
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

// poll requests the complete list from discovery.
func (w *watcher) poll() {
	w.polls++
	w.polledAt = w.loop.now()
	client, at := w.client, w.polledAt
	go func() {
		u, err := client.Fetch(w.loop.ctx)
		w.loop.post(func() {
			w.polls--
			w.setPollBackoff(err)
			switch {
			case client != w.client: // the discovery address has changed since
			case err == nil:
				w.receive(u, at)
			case errors.Is(err, discovery.ErrMalformed): // the watch logs other errors
				logPollFailed(err)
			}
		})
	}()
}

// setPollBackoff sets the delay before the next poll from the result of the last one.
func (w *watcher) setPollBackoff(err error) {
	if err == nil || w.pushed {
		w.pollBackoff = 0
		return
	}
	w.pollBackoff = min(max(pollInterval, 2*w.pollBackoff), maxPollBackoff)
	jitter := time.Duration(rand.Int64N(int64(w.pollBackoff))) - w.pollBackoff/2
	w.polledAt = w.loop.now() + jitter
}

// subscribe opens a watch and ends the previous one.
func (w *watcher) subscribe() {
	if w.usesRegistry {
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

// watchHandler returns the handler of the watch that ends with ctx. Messages after that are dropped, because a newer watch
// delivers them too.
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
		Opened:    func() { w.loop.after(emptyWatchDelay, w.markSynced) },
		Heartbeat: func() { post(w.confirm) },
		Update:    func(u discovery.Update) { post(func(at time.Duration) { w.receive(u, at) }) },
	}
}

// watchEnded handles the end of the watch with ctx, which was opened at the clock time began, and arranges for the next one.
func (w *watcher) watchEnded(ctx context.Context, err error, began time.Duration) {
	logWatchEnded(err)
	if errors.Is(err, discovery.ErrMalformed) {
		w.setConfirmed(min(w.confirmedAt, w.loop.now()-discovery.SilenceTimeout)) // polls at once for the dropped update
	}
	// Where lists are polled, the balancer decides when to subscribe again, except after a silent watch.
	if !w.pushed && !errors.Is(err, discovery.ErrSilent) {
		w.loop.handle(balancer.SubscriptionFailed{})
		return
	}
	w.loop.after(w.nextRewatchDelay(w.loop.now()-began), func() {
		if ctx.Err() == nil { // otherwise another watch has been opened since
			w.subscribe()
		}
	})
}

// nextRewatchDelay returns the delay before the next watch, given how long the previous one lasted.
func (w *watcher) nextRewatchDelay(lasted time.Duration) time.Duration {
	if lasted > maxRewatchDelay {
		w.rewatchDelay = 0
	}
	w.rewatchDelay = min(max(minRewatchDelay, 2*w.rewatchDelay), maxRewatchDelay)
	return w.rewatchDelay
}

// Operators search for the prefixes of these lines; see docs/oncall/discovery.md.

func logWatchEnded(err error) { slog.Warn(fmt.Sprintf("watch: %v", err)) }

func logPollFailed(err error) { slog.Warn(fmt.Sprintf("whole list: %v", err)) }
