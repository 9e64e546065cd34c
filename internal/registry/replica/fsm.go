package replica

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/state"
)

// command is one entry of the log: writes that stand together.
type command struct {
	Ops     []state.Op      `json:"ops,omitempty"`
	Restore json.RawMessage `json:"restore,omitempty"` // a backup that takes the State's place
}

// answers is what Apply gives for a command.
type answers struct {
	list []state.Result
	err  error
}

// fsm applies the log to the State and tells the hub. Raft calls it from one goroutine.
type fsm struct {
	hub     *hub
	applied func(kind, fault string) // hears of every write

	mu    checkedsync.RWMutex
	state *state.State
}

func newFSM() *fsm {
	s := state.New()
	return &fsm{state: s, hub: newHub(s.Revision()), applied: func(string, string) {}}
}

// read gives the State to f, which must not keep it.
func (f *fsm) read(look func(*state.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	look(f.state)
}

// Apply applies one entry of the log.
func (f *fsm) Apply(l *raft.Log) any { return f.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch applies entries of the log that were committed together; readers hear of them in one line.
func (f *fsm) ApplyBatch(logs []*raft.Log) []any {
	out := make([]any, len(logs))
	var changed []*state.Instance
	restored := false
	f.mu.Lock()
	before := f.state.Revision()
	for i, l := range logs {
		if l.Type != raft.LogCommand {
			continue
		}
		var c command
		if err := json.Unmarshal(l.Data, &c); err != nil {
			out[i] = answers{err: fmt.Errorf("entry %d of the log: %w", l.Index, err)}
			continue
		}
		if c.Restore != nil {
			backup, err := state.Load(c.Restore)
			if err == nil {
				f.state = state.RestoreBackup(backup, f.state)
				restored, changed = true, nil
			}
			out[i] = answers{err: err}
			continue
		}
		var a answers
		for _, op := range c.Ops {
			answer, entry := f.state.Apply(op)
			a.list = append(a.list, answer)
			f.applied(op.Kind, answer.Code)
			if entry != nil {
				changed = append(changed, entry)
			}
		}
		out[i] = a
	}
	rev := f.state.Revision()
	f.mu.Unlock()
	// Only this goroutine changes the State, so the hub hears of changes in their order.
	if restored {
		f.hub.reset(rev)
	} else if rev != before { // a line even if it changes no entry, for readers to go on from its revision
		if err := f.hub.publish(rev, changed); err != nil {
			f.hub.reset(rev) // readers take the whole list instead
		}
	}
	return out
}

// Snapshot takes the State as it is.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Snapshot()
	return snapshot(text), err
}

// Restore reads a snapshot in the State's place.
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
	f.hub.reset(s.Revision())
	return nil
}

// snapshot is a State's text; raft's store adds the checksum.
type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s snapshot) Release() {}
