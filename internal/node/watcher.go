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
// pollInterval, in addition to any watch, until a poll or a watch confirms it again. If discovery responds to polls, the node
// therefore has the current list within SilenceTimeout + pollInterval (2.75 s) plus the time of one response, however many
// watches fail in a row. A change must be applied within 6 s (docs/fleet-test.md). Before the first confirmation, and after
// a change of the discovery address, the first poll is sent after pollInterval alone.
const (
	pollInterval = 250 * time.Millisecond
	// maxPolls is the maximum number of polls in flight in push mode: one is sent every pollInterval and takes at most
	// FetchTimeout. In poll mode the maximum is 1.
	maxPolls = int(discovery.FetchTimeout / pollInterval)
	// maxPollBackoff is the maximum of the delay after a failed poll in poll mode, before the jitter of up to half the delay.
	maxPollBackoff = time.Second
	// fullQueuePollAge replaces SilenceTimeout in poll mode while discovery rejects requests. Rejected requests cost discovery time
	// as well, and a watch brings the list too.
	fullQueuePollAge = 3500 * time.Millisecond
	// initialUpdateWait is how long the node waits for an update after the start of a watch's response. If none arrives, it
	// assumes that discovery has no newer list.
	initialUpdateWait = 20 * time.Millisecond
)

// In push mode, and after a silent watch in poll mode, a watch that has ended is reopened after minRewatchDelay. The delay
// doubles up to maxRewatchDelay while watches last for at most maxRewatchDelay.
const (
	minRewatchDelay = 50 * time.Millisecond
	maxRewatchDelay = time.Second
	// rejectedRewatchDelay is the mean delay after a watch that was rejected in poll mode, with a jitter of half of it, so that
	// the nodes of a fleet do not use up the capacity of discovery by requests that it rejects.
	rejectedRewatchDelay = time.Second
)

// watcher follows the endpoint list of discovery for the event loop, with one watch at a time, and with polls while nothing
// confirms that the list is current. It is part of the loop and runs on its goroutine.
//
// It has two modes. In push mode the node opens a watch by itself. In poll mode (Settings.PollDiscovery) the node opens a
// watch when the balancer subscribes, and discovery serves the requests of all nodes one at a time. It may reject requests
// while many wait, and rejections cost it time as well. In poll mode the node therefore has one request at a time in its
// queue, does not give that up while it shows to be queued, and pauses after a rejection.
type watcher struct {
	loop   *loop
	client *discovery.Client
	// pushMode is set in push mode, and not set in poll mode.
	pushMode bool
	// usesRegistry is set if the list comes from a registry; discovery is not used then.
	usesRegistry bool

	revision int64 // the revision of the current list
	cached   bool  // the current list is from before the start of the process

	listReady   chan struct{} // closed once the list is as new as that of discovery
	isListReady bool          // listReady is closed

	stop         context.CancelFunc // ends the watch
	watching     bool               // a watch has been opened; it is reopened if it ends
	rewatchDelay time.Duration      // the last delay before a watch was reopened; see nextRewatchDelay
	postponed    bool               // a watch is opened when the poll in flight has ended

	confirmedAt time.Duration // clock time at which the list was last confirmed as current; see setConfirmedAt
	polledAt    time.Duration // clock time from which the delay before the next poll counts; see setPollBackoff
	polls       int           // number of polls in flight
	pollBackoff time.Duration // delay after a failed poll in poll mode; zero after a success
	pollTimer   *time.Timer   // runs pollIfDue; nil before the first watch
}

func newWatcher(l *loop, client *discovery.Client, pushMode bool) *watcher {
	return &watcher{loop: l, client: client, pushMode: pushMode, listReady: make(chan struct{}), stop: func() {}}
}

// reconfigure switches to the discovery at addr. The caller sets w.pushMode first.
func (w *watcher) reconfigure(addr string) {
	if addr != w.client.Addr {
		w.setClient(discovery.NewClient(addr))
	} else if w.pushMode && !w.watching {
		w.subscribe()
	}
}

// setClient replaces the discovery client, and the watch if there is one. It does not wait for the old address to close its
// connections, because the list would become stale meanwhile.
func (w *watcher) setClient(client *discovery.Client) {
	w.client = client
	if w.watching {
		w.subscribe()
		w.setConfirmedAt(w.loop.now() + pollInterval - discovery.SilenceTimeout) // a poll is due after pollInterval
	}
}

// recordUpdate records the revision of an update that the loop applies.
func (w *watcher) recordUpdate(revision int64, cached bool) { w.revision, w.cached = revision, cached }

// markListReady records that the list is as new as that of discovery, and that the balancer has it.
func (w *watcher) markListReady() {
	if !w.isListReady {
		w.isListReady = true
		close(w.listReady)
	}
}

// receive handles an update that confirms the list for the clock time confirmedAt. It applies only an update that is newer than
// the current list, because responses may arrive out of order. A complete list always replaces a cached one.
func (w *watcher) receive(u discovery.Update, confirmedAt time.Duration) {
	w.confirm(confirmedAt)
	if w.cached && u.Full || u.Revision > w.revision {
		w.loop.applyUpdate(u, false)
	} else {
		w.markListReady()
	}
}

// confirm records that the list was current at a clock time.
func (w *watcher) confirm(at time.Duration) { w.confirmedAt = max(w.confirmedAt, at) }

// setConfirmedAt sets confirmedAt and reschedules the next poll, which is due SilenceTimeout after confirmedAt. To make a poll
// due earlier, callers pass a time at which nothing confirmed the list.
func (w *watcher) setConfirmedAt(at time.Duration) {
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
	if !w.pushMode {
		limit = 1 // a second poll would wait behind the first in discovery's queue and delay all nodes
	}
	due := max(w.confirmedAt+discovery.SilenceTimeout, w.polledAt+max(pollInterval, w.pollBackoff))
	if !w.pushMode && w.client.QueueIsFull() {
		due = max(due, w.confirmedAt+fullQueuePollAge)
	}
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
			if w.postponed {
				w.subscribe()
			}
			switch {
			case client != w.client: // the discovery address has changed since
			case err == nil:
				w.receive(u, at)
			case errors.Is(err, discovery.ErrMalformed): // other errors are not logged; the watch logs its own errors
				logPollFailed(err)
			}
		})
	}()
}

// setPollBackoff sets the delay before the next poll from the result of the last one. After a failure in poll mode the delay
// counts from now, with a jitter of up to half of it, so that nodes do not poll at the same time.
func (w *watcher) setPollBackoff(err error) {
	if err == nil || w.pushMode {
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
	w.postponed = !w.pushMode && w.polls > 0 && w.client.QueueIsFull() // the poll is in discovery's queue and gets the list first
	if w.postponed {
		return
	}
	w.stop()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop, w.watching = cancel, true
	revision, client, began := w.revision, w.client, w.loop.now()
	client.SetSerialized(!w.pushMode)
	if w.pollTimer == nil {
		w.setConfirmedAt(began + pollInterval - discovery.SilenceTimeout) // a poll is due after pollInterval
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
		Opened:    func() { w.loop.after(initialUpdateWait, w.markListReady) },
		Heartbeat: func() { post(w.confirm) },
		Update:    func(u discovery.Update) { post(func(at time.Duration) { w.receive(u, at) }) },
	}
}

// watchEnded handles the end of the watch with ctx, which was opened at the clock time began, and arranges for the next one.
func (w *watcher) watchEnded(ctx context.Context, err error, began time.Duration) {
	logWatchEnded(err)
	if errors.Is(err, discovery.ErrMalformed) {
		w.setConfirmedAt(min(w.confirmedAt, w.loop.now()-discovery.SilenceTimeout)) // a poll for the dropped update is due now
	}
	var delay time.Duration
	var rejected *discovery.RejectedError
	switch {
	case w.pushMode, errors.Is(err, discovery.ErrSilent):
		delay = w.nextRewatchDelay(w.loop.now() - began)
	case errors.As(err, &rejected):
		delay = rejectedRewatchDelay/2 + rand.N(rejectedRewatchDelay)
	default: // the balancer decides when to subscribe again
		w.loop.handle(balancer.SubscriptionFailed{})
		return
	}
	w.loop.after(delay, func() {
		if ctx.Err() == nil { // otherwise another watch has been opened since
			w.subscribe()
		}
	})
}

// nextRewatchDelay returns the delay before the next watch, given how long the previous one lasted. A watch that lasted
// longer than maxRewatchDelay resets the delay.
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
