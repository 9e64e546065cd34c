// Package follower makes a node run the versions of settings that its site has committed. docs/oncall/settings-by-agreement.md
// describes rollouts for operators.
//
// A Follower registers its node, validates each version that is proposed and acknowledges or rejects it, and runs what the node
// is to run. Its invariants:
//
//   - It never runs a version with a lower number than the one that it runs.
//   - A version is saved before it is run, so that a process that dies in between starts with it. A save that
//     fails is logged, and the version runs all the same.
//   - It is in sync only by the registry's view after its own report of the version that it runs; what the registry knew before
//     that was about an earlier process.
//
// It runs beside the node's event loop on a goroutine of its own; traffic never waits for it. While the registry cannot be reached
// the node goes on with its last target, for as long as that lasts.
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
	// pollTimeout is how long the registry may delay its response to a poll while there is nothing new.
	pollTimeout = time.Second
	// retryDelay is the pause after a registration that failed.
	retryDelay = 300 * time.Millisecond
	// maxBackoff is the longest pause between calls that fail.
	maxBackoff = 300 * time.Millisecond
)

// Options say whose settings a Follower follows: a node's, or what stands for one in a test. All but Log and Dial must be set.
type Options struct {
	Name     string
	Addr     func() string // where the node listens
	Rollout  config.Rollout
	Validate func(settings json.RawMessage) error // why the node cannot run settings; nil: it can
	Apply    func(settings json.RawMessage) error // runs settings from now on
	Notify   func(Event)
	Log      *slog.Logger    // nil: slog.Default
	Dial     client.DialFunc // nil: the system's
}

// Follower follows the versions of one node. Its methods but InSync belong to the goroutine of Run.
type Follower struct {
	Options
	writer *client.Client
	lease  *client.LeaseHolder // of the node's entry; nil: not registered, or an agent holds the entry

	running   Version
	proposed  Version // the version that was validated last
	rejection string  // why that cannot be run; "": it can

	reportedAt  int64         // revision of the registry's log with this process's report of what it runs; 0: there is none
	inSync      bool          // by the registry's view since then
	firstInSync chan struct{} // closed when inSync is true for the first time
}

// New returns a Follower of a node that runs a version, which is zero if it runs what it was started with.
func New(options Options, running Version) (*Follower, error) {
	writer, err := client.New(client.Options{Endpoints: options.Rollout.Endpoints, MaxBackoff: maxBackoff, Dial: options.Dial})
	if err != nil {
		return nil, err
	}
	options.Log = cmp.Or(options.Log, slog.Default())
	return &Follower{Options: options, writer: writer, running: running, firstInSync: make(chan struct{})}, nil
}

// RunStandalone runs a new Follower without a saved version, as hollow nodes of the lab do. It returns when ctx ends or another process
// has registered the node's name.
func RunStandalone(ctx context.Context, options Options) error {
	f, err := New(options, Version{})
	if err != nil {
		return err
	}
	f.Run(ctx)
	return ctx.Err()
}

// InSync is closed once the registry has counted the node as in sync for the first time. Any goroutine may wait for it.
func (f *Follower) InSync() <-chan struct{} { return f.firstInSync }

// RunningVersion is the version that the node runs.
func (f *Follower) RunningVersion() Version { return f.running }

// Run follows until ctx ends, or until another process has registered the node's name, which is logged.
func (f *Follower) Run(ctx context.Context) {
	f.notify(Event{Kind: Running, Version: f.running})
	var revision int64 // of the registry's log, as last seen; 0: ask anew
	for ctx.Err() == nil {
		if err := f.register(ctx); err != nil {
			if errors.Is(err, client.ErrFenced) {
				f.Log.Error("agreed: fenced by another process of this node", "error", err)
				return
			}
			sleep(ctx, retryDelay)
			continue
		}
		agreed, err := f.writer.PollCoordination(ctx, url.Values{"node": {f.Name}, "has": {f.knownVersions()}}, revision, pollTimeout)
		if err != nil {
			revision = 0
			continue
		}
		revision = agreed.Revision
		if f.isThisIncarnation(agreed.NodeSettings) {
			f.handle(ctx, agreed.NodeSettings, revision)
		}
	}
}

// isThisIncarnation reports whether the registry's view is of this start of the node, and not of an earlier process.
func (f *Follower) isThisIncarnation(view *state.NodeSettings) bool {
	return view != nil && view.Node != nil && (f.lease == nil || view.Node.Incarnation == f.lease.Token(f.Name))
}

// knownVersions returns the numbers of the versions whose settings it has, which the registry need not send.
func (f *Follower) knownVersions() string {
	return strconv.FormatInt(f.running.Number, 10) + "," + strconv.FormatInt(f.proposed.Number, 10)
}

// handle does what the registry's view of this node asks for, as of a revision, and reports what came of it.
func (f *Follower) handle(ctx context.Context, view *state.NodeSettings, revision int64) {
	incarnation := view.Node.Incarnation
	f.updateInSync(view, revision)
	if view.Target.Number > f.running.Number {
		f.Activate(view.Target)
	}
	f.report(ctx, view, incarnation)
	f.validateProposed(ctx, view, incarnation)
}

// report tells the registry which version the node runs, unless it knows.
func (f *Follower) report(ctx context.Context, view *state.NodeSettings, incarnation int64) {
	node := view.Node
	hasCaughtUp := node.Syncing && !node.Unreachable && node.Violation == "" && view.Target.Number == f.running.Number
	if node.Reported && !hasCaughtUp && node.RunningVersion == f.running.Number && f.reportedAt != 0 {
		return
	}
	answer, err := f.writer.WriteOne(ctx, state.Op{Kind: state.OpReport, UID: f.Name, Token: incarnation, Number: f.running.Number, Hash: f.running.Hash})
	if err == nil && answer.Code == "" {
		f.reportedAt = answer.Revision
	} // else another view tells whether it was heard
}

// validateProposed validates the version that is proposed, and acknowledges or rejects it, unless that is done.
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
	// Whether it was heard shows in the next view.
	_, _ = f.writer.WriteOne(ctx, state.Op{Kind: state.OpAcknowledge, UID: f.Name, Token: incarnation, Number: p.Number, Hash: p.Hash,
		RejectReason: f.rejection})
}

// validate says why the node cannot run a version; "": it can.
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

// updateInSync notes whether the registry counts this node as in sync, and closes firstInSync the first time that it does.
func (f *Follower) updateInSync(view *state.NodeSettings, revision int64) {
	node := view.Node
	confirmed := node.InSync() && node.Reported && node.RunningVersion == f.running.Number && f.reportedAt > 0 && revision >= f.reportedAt
	if confirmed && !f.inSync {
		f.longestRenewal() // it is counted anew from here
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

// Activate saves a version for the process after this one and runs it. It ignores content that is missing or has another hash. Errors
// are logged.
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

// notify tells of an event that happens now.
func (f *Follower) notify(e Event) {
	e.Time = monotonicTime()
	f.Notify(e)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
