// Package snapshotter saves what the balancer of a node has learned, beside its event loop, and restores it in the process after
// it. docs/durability.md says what is promised, docs/oncall/state.md describes it for operators.
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

// Kind names the snapshots of nodes in the files of package durable.
const Kind = "node"

const (
	// schema is the version of the payload's form; another form of balancer.Snapshot needs another.
	schema = 1
	// maxPayloadBytes bounds a snapshot: a server takes some 100 bytes.
	maxPayloadBytes = 8 << 20
	// pauseFactor keeps snapshots from taking more than 1/200 of a core's time: after each one the snapshotter rests for so many
	// times as long as it took.
	pauseFactor = 200
)

// Snapshotter saves snapshots to one directory. It belongs to one goroutine at a time.
type Snapshotter struct {
	options   durable.Options
	interval  time.Duration
	store     *durable.Store // nil: the directory could not be opened so far
	lastError string         // as it was logged; the same one is not logged again
}

// New returns a Snapshotter that saves to a directory at an interval. It opens nothing yet.
func New(dir string, interval time.Duration) *Snapshotter {
	return &Snapshotter{
		options:  durable.Options{Dir: dir, Kind: Kind, Schema: schema, MaxPayload: maxPayloadBytes},
		interval: interval,
	}
}

// Restore reads the newest snapshot of an earlier process that is usable; false: there is none. Files that are not usable are
// logged and never a reason not to start.
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

// Run saves what takeSnapshot returns until ctx ends. takeSnapshot asks the event loop for a snapshot; false: the loop has ended.
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

// save saves once, and returns how long it took to encode the snapshot, which is no waiting for the disk.
func (s *Snapshotter) save(takeSnapshot func() (balancer.Snapshot, bool)) (encoding time.Duration, err error) {
	if s.store == nil {
		if s.store, err = durable.Open(s.options); err != nil {
			s.store = nil // a predecessor that has not ended, or the disk: it is tried again
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

// logError logs the outcome of a save, unless the one before was the same.
func (s *Snapshotter) logError(err error) {
	switch {
	case err == nil:
		s.lastError = ""
	case err.Error() != s.lastError:
		s.lastError = err.Error()
		slog.Error("state: " + s.lastError)
	}
}

// The texts of these lines are in docs/oncall/state.md, and operators search for them.

func logSkipped(file durable.SkippedFile) {
	slog.Warn(fmt.Sprintf("state: passed over: %v", file))
}

func logRestored(number uint64, event balancer.Restore) {
	slog.Info(fmt.Sprintf("state: snapshot %d, %v old, knows %d servers", number, event.Age.Round(time.Millisecond),
		len(event.Snapshot.Endpoints)))
}

// Describe returns what a snapshot of a node holds as indented JSON, for a person. The error says what is wrong with it.
func Describe(stored durable.Snapshot) ([]byte, error) {
	if stored.Kind != Kind || stored.Schema > schema {
		return nil, errors.New("no state of a node that this version knows")
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
