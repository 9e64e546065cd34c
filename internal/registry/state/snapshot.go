package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

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

// coordinationSnapshot is the part of a snapshot that concerns budgets, releases and versions of settings.
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
	stored := snapshot{
		Revision: s.revision, Instances: s.Instances(), Members: s.members, ReplyIDs: s.replies.order,
		coordinationSnapshot: s.coordinationSnapshot(),
	}
	for _, id := range s.replies.order {
		stored.Replies = append(stored.Replies, s.replies.results[id])
	}
	return json.Marshal(stored)
}

func (s *State) coordinationSnapshot() coordinationSnapshot {
	stored := coordinationSnapshot{
		Limits: s.limits, Permits: s.budget.Permits(), Records: s.Records(""), Ejected: s.ejections.byNode,
		Rollout: s.rollout, Settings: s.settings,
	}
	for _, uid := range sortedUIDs(s.unreachable) {
		stored.Unreachable = append(stored.Unreachable, s.unreachable[uid])
	}
	return stored
}

// Load decodes a State that [State.Snapshot] has encoded.
func Load(text []byte) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	if key := stored.nullElement(); key != "" {
		return nil, fmt.Errorf("%s: an element is null", key)
	}
	if Epoch(stored.Revision) < 1 || len(stored.ReplyIDs) != len(stored.Replies) {
		return nil, errors.New("no snapshot of a registry")
	}
	s := New()
	s.revision, s.replies.order = stored.Revision, stored.ReplyIDs
	for _, instance := range stored.Instances {
		if err := instance.Validate(); err != nil {
			return nil, fmt.Errorf("entry %q: %w", instance.UID, err)
		}
		s.instances[instance.UID] = instance
	}
	maps.Copy(s.members, stored.Members)
	for i, id := range stored.ReplyIDs {
		s.replies.results[id] = stored.Replies[i]
	}
	s.loadCoordination(stored.coordinationSnapshot)
	return s, nil
}

// nullElement returns the key of a list or map with an element that is null, or an empty string if there is none. JSON decodes
// such an element as a nil pointer.
func (s *snapshot) nullElement() string {
	switch {
	case slices.Contains(s.Instances, nil):
		return "entries"
	case slices.Contains(s.Permits, nil):
		return "permits"
	case slices.Contains(s.Unreachable, nil):
		return "missing"
	case slices.Contains(s.Records, nil):
		return "records"
	}
	if s.Rollout != nil {
		for _, node := range s.Rollout.Nodes {
			if node == nil {
				return "book.nodes"
			}
		}
	}
	return ""
}

// loadCoordination loads stored into a State that already has its instances. The order matters: units are added after the
// rollout is loaded, because adding a node also updates the rollout, and permits are restored after their units.
func (s *State) loadCoordination(stored coordinationSnapshot) {
	if stored.Limits != nil {
		s.limits = stored.Limits
		s.budget.SetLimits(*stored.Limits)
	}
	for _, r := range stored.Records {
		s.records[r.Key] = r
	}
	if stored.Rollout != nil {
		s.rollout = stored.Rollout.Clone()
		s.rollout.MigrateLegacy()
	}
	maps.Copy(s.settings, stored.Settings)
	s.loadUnits(stored)
	for _, p := range stored.Permits {
		s.budget.Restore(*p)
		if instance := s.unit(p.Unit); instance != nil {
			s.updateUnit(instance) // ends the permit if the unit is available and was seen unavailable or has restarted
		}
	}
}

// loadUnits adds all units to the budget, and nodes also to the rollout. Then it loads the ejections.
func (s *State) loadUnits(stored coordinationSnapshot) {
	for _, instance := range stored.Unreachable {
		if s.instances[instance.UID] == nil {
			s.unreachable[instance.UID] = instance
		}
	}
	for _, instance := range s.instances {
		s.countNode(instance, 1)
	}
	for _, instance := range s.Instances() {
		s.updateUnit(instance)
	}
	for _, instance := range s.unreachable {
		s.updateUnit(instance)
	}
	for node, servers := range stored.Ejected {
		s.setEjected(node, servers)
	}
}
