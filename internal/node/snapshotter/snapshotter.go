// Package snapshotter saves the state that the balancer of a node has learned, without blocking the
// event loop, and restores it after a restart. docs/durability.md describes the guarantees,
// docs/oncall/state.md describes the files for operators.
package snapshotter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"umberbank/balancer"
	"umberbank/internal/durable"
)

// Kind is the kind of a node's snapshots in the files of package durable.
const Kind = "node"

const (
	// schema is the version of the payload's format. It must be increased when the format of
	// balancer.Snapshot changes.
	schema = 1
	// maxPayloadBytes is the maximum size of a snapshot, which takes about 100 bytes per server.
	maxPayloadBytes = 8 << 20
	// pauseFactor limits encoding to 1/200 of a core's time: after each snapshot the Snapshotter pauses
	// for at least pauseFactor times as long as encoding took.
	pauseFactor = 200
)

// Snapshotter saves snapshots to one directory. It is not safe for concurrent use.
type Snapshotter struct {
	options   durable.Options
	interval  time.Duration
	store     *durable.Store // nil until the directory has been opened
	lastError string         // the last logged error, which is not logged again; empty after a successful save
}

// New returns a Snapshotter that saves to dir at the given interval. It does not open dir.
func New(dir string, interval time.Duration) *Snapshotter {
	return &Snapshotter{
		options:  durable.Options{Dir: dir, Kind: Kind, Schema: schema, MaxPayload: maxPayloadBytes},
		interval: interval,
	}
}

// Restore returns the newest usable snapshot of an earlier process. found is false if there is none;
// the event must not be used then. Unusable files are logged and skipped, and never prevent a start.
func (s *Snapshotter) Restore(now time.Time) (event balancer.Restore, found bool) {
	snapshot, skipped := durable.Load(s.options, func(stored durable.Snapshot) error {
		event = balancer.Restore{Age: now.Sub(stored.Taken)}
		if err := json.Unmarshal(stored.Payload, &event.Snapshot); err != nil {
			return err
		}
		if event.Age < 0 {
			return fmt.Errorf("taken %v from now: the clock has gone back", -event.Age)
		}
		return event.Snapshot.Validate()
	})
	for _, file := range skipped {
		logSkipped(file)
	}
	if snapshot != nil {
		logRestored(snapshot.Seq, event)
	}
	return event, snapshot != nil
}

// Run saves the snapshots that takeSnapshot returns until ctx ends. takeSnapshot gets a snapshot from
// the event loop, and returns false if the loop has ended.
func (s *Snapshotter) Run(ctx context.Context, takeSnapshot func() (balancer.Snapshot, bool)) {
	defer func() {
		if s.store != nil {
			s.store.Close()
		}
	}()
	for pause := s.interval; ; {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		encoding, err := s.save(takeSnapshot)
		pause = max(s.interval, pauseFactor*encoding)
		s.logError(err)
	}
}

// save saves one snapshot. It returns how long encoding took, without the time spent waiting for the
// disk.
func (s *Snapshotter) save(takeSnapshot func() (balancer.Snapshot, bool)) (encoding time.Duration, err error) {
	if s.store == nil {
		if s.store, err = durable.Open(s.options); err != nil {
			s.store = nil // a predecessor is still running or the disk failed; the next save tries again
			return 0, err
		}
	}
	snapshot, ok := takeSnapshot()
	if !ok {
		return 0, nil
	}
	began := time.Now()
	text, err := json.Marshal(snapshot)
	encoding = time.Since(began)
	if err != nil {
		return encoding, err
	}
	return encoding, s.store.Save(text, began)
}

// logError logs the error of a save, unless the previous save failed with the same error.
func (s *Snapshotter) logError(err error) {
	switch {
	case err == nil:
		s.lastError = ""
	case err.Error() != s.lastError:
		s.lastError = err.Error()
		slog.Error("state: " + s.lastError)
	}
}

// docs/oncall/state.md quotes these log lines, and operators search for them.

func logSkipped(file durable.SkippedFile) {
	slog.Warn(fmt.Sprintf("state: passed over: %v", file))
}

func logRestored(number uint64, event balancer.Restore) {
	slog.Info(fmt.Sprintf("state: snapshot %d, %v old, knows %d servers", number, event.Age.Round(time.Millisecond),
		len(event.Snapshot.Endpoints)))
}

// Describe returns the content of a node's snapshot as indented JSON, for people to read. It fails if
// the snapshot is of another kind, of a newer schema, or invalid.
func Describe(stored durable.Snapshot) ([]byte, error) {
	if stored.Kind != Kind || stored.Schema > schema {
		return nil, errors.New("not a node snapshot of a schema that this version supports")
	}
	var snapshot balancer.Snapshot
	if err := json.Unmarshal(stored.Payload, &snapshot); err != nil {
		return nil, err
	}
	if err := snapshot.Validate(); err != nil {
		return nil, err
	}
	return json.MarshalIndent(snapshot, "", "  ")
}
