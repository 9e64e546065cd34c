package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// snapshot is the stored form of a State, and the form of a backup.
type snapshot struct {
	Revision  int64             `json:"rev"`
	Instances []*Instance       `json:"entries"`
	Members   map[string]string `json:"members"`
	ReplyIDs  []string          `json:"order"`
	Replies   []Result          `json:"answers"` // in the order of ReplyIDs
	coordinationSnapshot
}

// coordinationSnapshot is the part of a snapshot that is not the list of instances.
type coordinationSnapshot struct {
	Limits      *disruption.Limits        `json:"limits,omitempty"`
	Permits     []*disruption.Permit      `json:"permits,omitempty"`
	Unreachable []*Instance               `json:"missing,omitempty"`
	Records     []*Record                 `json:"records,omitempty"`
	Ejected     map[string][]string       `json:"avoids,omitempty"`
	Rollout     *rollout.State            `json:"book,omitempty"`
	Settings    map[int64]json.RawMessage `json:"configs,omitempty"`
}

// Snapshot encodes the State. [Load] reads it.
func (s *State) Snapshot() ([]byte, error) {
	m := snapshot{
		Revision: s.revision, Instances: s.Instances(), Members: s.members, ReplyIDs: s.replies.order,
		coordinationSnapshot: s.coordinationSnapshot(),
	}
	for _, id := range s.replies.order {
		m.Replies = append(m.Replies, s.replies.results[id])
	}
	return json.Marshal(m)
}

func (s *State) coordinationSnapshot() coordinationSnapshot {
	m := coordinationSnapshot{
		Limits: s.limits, Permits: s.budget.Permits(), Records: s.Records(""), Ejected: s.ejections.byNode,
		Rollout: s.rollout, Settings: s.settings,
	}
	for _, uid := range sortedUIDs(s.unreachable) {
		m.Unreachable = append(m.Unreachable, s.unreachable[uid])
	}
	return m
}

// Load decodes what [State.Snapshot] encoded. The error says what is wrong with the text.
func Load(text []byte) (*State, error) {
	var m snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	if Epoch(m.Revision) < 1 || len(m.ReplyIDs) != len(m.Replies) {
		return nil, errors.New("no snapshot of a registry")
	}
	s := New()
	s.revision, s.replies.order = m.Revision, m.ReplyIDs
	for _, e := range m.Instances {
		if err := e.Validate(); err != nil {
			return nil, fmt.Errorf("entry %q: %w", e.UID, err)
		}
		s.instances[e.UID] = e
	}
	maps.Copy(s.members, m.Members)
	for i, id := range m.ReplyIDs {
		s.replies.results[id] = m.Replies[i]
	}
	s.loadCoordination(m.coordinationSnapshot)
	return s, nil
}

// loadCoordination puts the rest of a snapshot in place once the instances are. The order matters: units count with the
// rollout and the nodes in place, and permits are restored beside their units.
func (s *State) loadCoordination(m coordinationSnapshot) {
	if m.Limits != nil {
		s.limits = m.Limits
		s.budget.SetLimits(*m.Limits)
	}
	for _, r := range m.Records {
		s.records[r.Key] = r
	}
	if m.Rollout != nil {
		s.rollout = m.Rollout.Clone()
		s.rollout.MigrateLegacy()
	}
	maps.Copy(s.settings, m.Settings)
	s.loadUnits(m)
	for _, p := range m.Permits {
		s.budget.Restore(*p)
		if e := s.unit(p.Unit); e != nil {
			s.updateUnit(e) // which ends a permit that a later process of the unit has outlived
		}
	}
}

// loadUnits makes all units known to the budget and the rollout.
func (s *State) loadUnits(m coordinationSnapshot) {
	for _, e := range m.Unreachable {
		if s.instances[e.UID] == nil {
			s.unreachable[e.UID] = e
		}
	}
	for _, e := range s.instances {
		s.countNode(e, 1)
	}
	for _, e := range s.Instances() {
		s.updateUnit(e)
	}
	for _, e := range s.unreachable {
		s.updateUnit(e)
	}
	for node, servers := range m.Ejected {
		s.setEjected(node, servers)
	}
}
