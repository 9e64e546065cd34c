package state

import (
	"encoding/json"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// CoordinationView is what the registry's API tells of budgets, releases and versions as of one revision: all of it, or
// what concerns one unit or node. It refers to the State and must be encoded before the next write.
type CoordinationView struct {
	Revision     int64                        `json:"rev"`
	Limits       *disruption.Limits           `json:"limits,omitempty"`
	Usages       []disruption.Usage           `json:"uses,omitempty"`
	Unavailable  []disruption.UnavailableUnit `json:"outs,omitempty"`
	Permits      []*disruption.Permit         `json:"permits"`
	Records      []*Record                    `json:"records"`
	Units        []*Instance                  `json:"units,omitempty"` // unreachable ones included
	Leader       *Instance                    `json:"lead,omitempty"`  // the elected controller, if the caller has named its UID
	Rollout      *rollout.State               `json:"book,omitempty"`  // nil: no node takes part
	NodeSettings *NodeSettings                `json:"config,omitempty"`
}

// NodeSettings is what one node needs to know of the versions of its settings.
type NodeSettings struct {
	Node    *rollout.Node   `json:"node"`
	Target  VersionContent  `json:"told"`              // the version to run
	Pending *VersionContent `json:"pending,omitempty"` // the version to check and acknowledge; nil: none
}

// VersionContent is a version with its settings, which are nil where the node has them already.
type VersionContent struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// CoordinationView returns the view of everything, with the units only if they are asked for, and with the leader if
// leaderUID names an instance.
func (s *State) CoordinationView(units bool, leaderUID string) CoordinationView {
	v := CoordinationView{
		Revision: s.revision, Limits: s.limits, Usages: s.budget.Usages(), Unavailable: s.budget.UnavailableUnits(),
		Permits: s.budget.Permits(), Records: s.Records(""), Leader: s.instances[leaderUID],
	}
	if len(s.rollout.Nodes) > 0 {
		v.Rollout = s.rollout
	}
	if units {
		v.Units = s.Units()
	}
	return v
}

// UnitView returns the view of one unit and its permit.
func (s *State) UnitView(uid string) CoordinationView {
	v := CoordinationView{Revision: s.revision, Permits: []*disruption.Permit{}, Records: []*Record{}}
	if instance := s.unit(uid); instance != nil {
		v.Units = append(v.Units, instance)
	}
	if p := s.budget.Permit(uid); p != nil {
		v.Permits = append(v.Permits, p)
	}
	return v
}

// NodeView returns the UnitView of a node with its settings. has are the numbers of the versions whose content the node
// has.
func (s *State) NodeView(uid string, has map[int64]bool) CoordinationView {
	v := s.UnitView(uid)
	node := s.rollout.Nodes[uid]
	if node == nil {
		return v
	}
	v.NodeSettings = &NodeSettings{Node: node, Target: s.versionContent(node.TargetVersion, has)}
	if p := s.rollout.Pending; p != nil {
		pending := s.versionContent(p.Number, has)
		v.NodeSettings.Pending = &pending
	}
	return v
}

func (s *State) versionContent(number int64, has map[int64]bool) VersionContent {
	content := VersionContent{Number: number, Hash: s.rollout.Hashes[number]}
	if !has[number] {
		content.Settings = s.settings[number]
	}
	return content
}
