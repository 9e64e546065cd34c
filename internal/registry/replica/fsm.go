package replica

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/state"
)

// command is the data of one entry of the log: writes that are applied together.
type command struct {
	Ops     []state.Op      `json:"ops,omitempty"`
	Restore json.RawMessage `json:"restore,omitempty"` // a backup that replaces the state
}

// commandResult is what Apply returns for a command.
type commandResult struct {
	results []state.Result
	err     error
}

// fsm applies the log to the state and publishes what changes. Raft calls its exported methods from one goroutine.
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

// read calls view with the state, which it must not keep or change.
func (f *fsm) read(view func(*state.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	view(f.state)
}

// list returns all instances and the revision that they are of.
func (f *fsm) list() (revision int64, instances []*state.Instance) {
	f.read(func(s *state.State) { revision, instances = s.Revision(), s.Instances() })
	return revision, instances
}

// Apply applies one entry of the log.
func (f *fsm) Apply(entry *raft.Log) any { return f.ApplyBatch([]*raft.Log{entry})[0] }

// ApplyBatch applies entries of the log that were committed together, and publishes one event for them.
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
	case revision != before: // an event even if no instance changes, for watches to go on from its revision
		if err := f.events.publish(revision, b.changed); err != nil {
			f.events.reset(revision) // watches take the full list instead
		}
	}
	return b.results
}

// batch is what entries of the log that are applied together lead to.
type batch struct {
	results  []any
	changed  []*state.Instance
	restored bool // the state was replaced; changed is what changed since
}

// applyCommand applies one command. f.mu is held.
func (f *fsm) applyCommand(entry *raft.Log, b *batch) commandResult {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return commandResult{err: fmt.Errorf("entry %d of the log: %w", entry.Index, err)}
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
		answer, changed := f.state.Apply(op)
		result.results = append(result.results, answer)
		f.onApplied(op.Kind, answer.Code)
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

// Restore replaces the state by a snapshot.
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

// snapshot is an encoded state. Raft's store adds the checksum.
type snapshot []byte

// Persist writes the snapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel() //nolint:errcheck // the first error counts
		return err
	}
	return sink.Close()
}

// Release frees nothing: the snapshot is in memory.
func (s snapshot) Release() {}
