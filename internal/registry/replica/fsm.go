package replica

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/state"
)

// command is the data of one log entry. It has writes that are applied together, or a backup.
type command struct {
	Ops     []state.Op      `json:"ops,omitempty"`
	Restore json.RawMessage `json:"restore,omitempty"` // a backup that replaces the state
}

// commandResult is the result of applying a command.
type commandResult struct {
	results []state.Result
	err     error
}

// fsm applies the log to the state and publishes the changes. Raft calls its exported methods from one goroutine.
type fsm struct {
	events    *broadcaster
	onApplied func(state.OpKind, state.Code) // called for each write

	mu    checkedsync.RWMutex
	state *state.State
}

func newFSM() *fsm {
	s := state.New()
	return &fsm{state: s, events: newBroadcaster(s.Revision()), onApplied: func(state.OpKind, state.Code) {}}
}

// read calls view with the state under the read lock. view must not retain or change the state.
func (f *fsm) read(view func(*state.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	view(f.state)
}

// list returns all instances and their revision.
func (f *fsm) list() (revision int64, instances []*state.Instance) {
	f.read(func(s *state.State) { revision, instances = s.Revision(), s.Instances() })
	return revision, instances
}

// Apply applies one log entry.
func (f *fsm) Apply(entry *raft.Log) any { return f.ApplyBatch([]*raft.Log{entry})[0] }

// ApplyBatch applies log entries that were committed together, and publishes one event for them.
func (f *fsm) ApplyBatch(entries []*raft.Log) []any {
	b := batch{results: make([]any, len(entries))}
	f.mu.Lock()
	before := f.state.Revision()
	for i, e := range entries {
		if e.Type == raft.LogCommand {
			b.results[i] = f.applyCommand(e, &b)
		}
	}
	revision := f.state.Revision()
	f.mu.Unlock()
	// Only this goroutine changes the state, so events are published in the order of changes.
	switch {
	case b.restored:
		f.events.reset(revision)
	case revision != before: // also if no instance has changed, so that watches reach the new revision
		if err := f.events.publish(revision, b.changed); err != nil {
			f.events.reset(revision) // watches get the full list instead
		}
	}
	return b.results
}

// batch collects the effects of log entries that are applied together.
type batch struct {
	results  []any
	changed  []*state.Instance
	restored bool // the state was replaced; changed has only the later changes
}

// applyCommand applies one command. f.mu must be held.
func (f *fsm) applyCommand(entry *raft.Log, b *batch) commandResult {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return commandResult{err: fmt.Errorf("log entry %d: %w", entry.Index, err)}
	}
	if c.Restore != nil {
		backup, err := state.Load(c.Restore)
		if err == nil {
			f.state = state.RestoreBackup(backup, f.state)
			b.restored, b.changed = true, nil
		}
		return commandResult{err: err}
	}
	var result commandResult
	for _, op := range c.Ops {
		opResult, changed := f.state.Apply(op)
		result.results = append(result.results, opResult)
		f.onApplied(op.Kind, opResult.Code)
		if changed != nil {
			b.changed = append(b.changed, changed)
		}
	}
	return result
}

// Snapshot encodes the state.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Snapshot()
	return snapshot(text), err
}

// Restore replaces the state by a snapshot and closes the reader.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := state.Load(text)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state = s
	f.mu.Unlock()
	f.events.reset(s.Revision())
	return nil
}

// snapshot is an encoded state. The snapshot store of raft adds a checksum.
type snapshot []byte

// Persist writes the snapshot to the sink, which it closes or, after an error, cancels.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel() //nolint:errcheck // the first error is returned
		return err
	}
	return sink.Close()
}

// Release does nothing, because the snapshot is in memory.
func (s snapshot) Release() {}
