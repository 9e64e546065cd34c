// Package follower makes a node run the versions of settings that its site has committed.
// docs/oncall/settings-by-agreement.md describes rollouts for operators.
//
// A Follower registers its node, validates each proposed version and acknowledges or rejects it, and
// runs the node's target version. Its invariants:
//
//   - It never replaces a version with one that has a lower number.
//   - If the configuration sets a file for it, a version is saved before it is run, so that if the process dies
//     in between, the next process starts with that version. A save that fails is logged, and the version runs
//     nevertheless.
//   - It counts the node as in sync only after it has received a view of the registry that includes this
//     process's own report of its running version. An earlier view may describe an earlier process.
//
// It runs on its own goroutine beside the node's event loop, and traffic never waits for it. While the
// registry cannot be reached, the node keeps running its last target.
package follower

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/url"
	"strconv"
	"time"

	"umberbank/internal/node/config"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

const (
	// pollTimeout is how long the registry may hold a poll while nothing has changed.
	pollTimeout = time.Second
	// retryDelay is the pause after a failed registration.
	retryDelay = 300 * time.Millisecond
	// maxBackoff is the maximum pause between failed requests to the registry.
	maxBackoff = 300 * time.Millisecond
)

// Options configure a Follower for a node, or for a hollow node, which the lab emulates without
// traffic. All fields but Log and Dial must be set.
type Options struct {
	Name     string
	Addr     func() string // returns the address that the node listens on
	Rollout  config.Rollout
	Validate func(settings json.RawMessage) error // returns an error if the node cannot run settings
	Apply    func(settings json.RawMessage) error // makes the node run settings
	Notify   func(Event)
	Log      *slog.Logger    // nil for slog.Default
	Dial     client.DialFunc // nil for the default of the registry's client
}

// Follower follows the versions of one node. All methods but InSync must be called from the goroutine
// of Run.
type Follower struct {
	Options
	writer *client.Client
	lease  *client.LeaseHolder // holds the node's entry; nil until the node is registered, or if an agent holds the entry

	running   Version
	proposed  Version // the last proposed version that was validated, even if it was rejected
	rejection string  // why proposed cannot be run; empty if it can

	reportedAt  int64         // registry revision of this process's last successful report of its running version; zero before the first
	inSync      bool          // whether a view at or after reportedAt has the node in sync
	firstInSync chan struct{} // closed when inSync becomes true for the first time
}

// New returns a Follower of a node. running is the version that the node runs, which is zero if it runs
// the settings that it was started with.
func New(options Options, running Version) (*Follower, error) {
	writer, err := client.New(client.Options{Endpoints: options.Rollout.Endpoints, MaxBackoff: maxBackoff, Dial: options.Dial})
	if err != nil {
		return nil, err
	}
	options.Log = cmp.Or(options.Log, slog.Default())
	return &Follower{Options: options, writer: writer, running: running, firstInSync: make(chan struct{})}, nil
}

// RunStandalone runs a new Follower without a saved version, for the lab's hollow nodes. It returns
// when ctx ends, with the error of ctx, or with a nil error when another process has registered the
// node's name.
func RunStandalone(ctx context.Context, options Options) error {
	f, err := New(options, Version{})
	if err != nil {
		return err
	}
	f.Run(ctx)
	return ctx.Err()
}

// InSync returns a channel that is closed once the registry has counted the node as in sync for the
// first time. It may be called from any goroutine.
func (f *Follower) InSync() <-chan struct{} { return f.firstInSync }

// RunningVersion returns the version that the node runs, which is zero for the settings that it was
// started with.
func (f *Follower) RunningVersion() Version { return f.running }

// Run follows the node's versions until ctx ends or another process has registered the node's name. In
// the latter case it logs an error.
func (f *Follower) Run(ctx context.Context) {
	f.notify(Event{Kind: Running, Version: f.running})
	var revision int64 // registry revision of the last view; zero makes the registry respond at once
	for ctx.Err() == nil {
		if err := f.register(ctx); err != nil {
			if errors.Is(err, client.ErrFenced) {
				f.Log.Error("agreed: fenced by another process of this node", "error", err)
				return
			}
			sleep(ctx, retryDelay)
			continue
		}
		view, err := f.writer.PollCoordination(ctx, url.Values{"node": {f.Name}, "has": {f.knownVersions()}}, revision, pollTimeout)
		if err != nil {
			revision = 0
			continue
		}
		revision = view.Revision
		if f.isThisIncarnation(view.NodeSettings) {
			f.handle(ctx, view.NodeSettings, revision)
		}
	}
}

// isThisIncarnation reports whether the registry's view describes this start of the node, and not an
// earlier process. If an agent holds the node's entry, it only reports whether the view describes the
// node at all.
func (f *Follower) isThisIncarnation(view *state.NodeSettings) bool {
	return view != nil && view.Node != nil && (f.lease == nil || view.Node.Incarnation == f.lease.Token(f.Name))
}

// knownVersions returns the numbers, separated by a comma, of the versions whose settings the registry
// need not send.
func (f *Follower) knownVersions() string {
	return strconv.FormatInt(f.running.Number, 10) + "," + strconv.FormatInt(f.proposed.Number, 10)
}

// handle acts on the registry's view of this node at a revision: it runs the target version, reports
// the running version, and validates the proposed version.
func (f *Follower) handle(ctx context.Context, view *state.NodeSettings, revision int64) {
	incarnation := view.Node.Incarnation
	f.updateInSync(view, revision)
	if view.Target.Number > f.running.Number {
		f.Activate(view.Target)
	}
	f.report(ctx, view, incarnation)
	f.validateProposed(ctx, view, incarnation)
}

// report reports the running version to the registry. It does nothing if the view shows that the
// registry has that version, except before this process's first successful report, and when the node
// runs its target and the registry still counts it as syncing.
func (f *Follower) report(ctx context.Context, view *state.NodeSettings, incarnation int64) {
	node := view.Node
	hasCaughtUp := node.Syncing && !node.Unreachable && node.Violation == "" && view.Target.Number == f.running.Number
	if node.Reported && !hasCaughtUp && node.RunningVersion == f.running.Number && f.reportedAt != 0 {
		return
	}
	result, err := f.writer.WriteOne(ctx, state.Op{Kind: state.OpReport, UID: f.Name, Token: incarnation, Number: f.running.Number, Hash: f.running.Hash})
	if err == nil && result.Code == "" {
		f.reportedAt = result.Revision
	} // otherwise a later view shows whether the report was applied
}

// validateProposed validates the proposed version and acknowledges or rejects it. It does nothing if the
// view shows that this is done, if the node runs that version or a later one, or if the view lacks the
// settings that it needs.
func (f *Follower) validateProposed(ctx context.Context, view *state.NodeSettings, incarnation int64) {
	p := view.Pending
	if p == nil || view.Node.AcknowledgedVersion == p.Number || view.Node.RejectReason != "" || p.Number <= f.running.Number {
		return
	}
	if f.proposed.Number != p.Number {
		if p.Settings == nil {
			return
		}
		f.proposed = Version{p.Number, p.Hash, p.Settings}
		f.rejection = f.validate(f.proposed)
	}
	if f.rejection == "" {
		f.notify(Event{Kind: Validated, Version: f.proposed})
	}
	// The next view shows whether the write was applied.
	_, _ = f.writer.WriteOne(ctx, state.Op{Kind: state.OpAcknowledge, UID: f.Name, Token: incarnation, Number: p.Number, Hash: p.Hash,
		RejectReason: f.rejection})
}

// validate returns the reason why the node cannot run a version, or an empty string if it can.
func (f *Follower) validate(v Version) string {
	err := f.Validate(v.Settings)
	if err == nil {
		err = v.verify()
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// updateInSync updates inSync from the registry's view at a revision, and closes firstInSync when the
// node is first in sync.
func (f *Follower) updateInSync(view *state.NodeSettings, revision int64) {
	node := view.Node
	confirmed := node.InSync() && node.Reported && node.RunningVersion == f.running.Number && f.reportedAt > 0 && revision >= f.reportedAt
	if confirmed && !f.inSync {
		f.longestRenewal() // resets the measurement
		f.notify(Event{Kind: InSync, Incarnation: node.Incarnation, Version: f.running})
		select {
		case <-f.firstInSync:
		default:
			close(f.firstInSync)
		}
	}
	if f.inSync && !node.InSync() {
		f.notify(Event{Kind: OutOfSync, Incarnation: node.Incarnation, LongestRenewal: f.longestRenewal(), Version: f.running})
	}
	f.inSync = confirmed || f.inSync && node.InSync()
}

// Activate saves a version, for a restarted process, and runs it. It ignores a version without settings
// or whose hash does not match its settings. Errors are logged. Activate does not compare numbers: the
// caller must not pass a version with a lower number than the running one.
func (f *Follower) Activate(content state.VersionContent) {
	next := Version{content.Number, content.Hash, content.Settings}
	if next.Settings == nil && f.proposed.Number == next.Number {
		next.Settings = f.proposed.Settings
	}
	if next.Settings == nil || next.verify() != nil {
		return
	}
	if f.Rollout.PersistPath != "" {
		if err := next.save(f.Rollout.PersistPath); err != nil {
			f.Log.Error("agreed: saving a version of settings failed", "version", next.Number, "error", err)
		}
	}
	if err := f.Apply(next.Settings); err != nil {
		f.Log.Error("agreed: running a version of settings failed", "version", next.Number, "error", err)
		return
	}
	f.running = next
	f.notify(Event{Kind: Running, Version: next})
}

// notify calls Notify with an event and the current time.
func (f *Follower) notify(e Event) {
	e.Time = monotonicTime()
	f.Notify(e)
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
