package state

import (
	"encoding/json"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// CoordinationView is the registry API's view of budgets, releases and versions of settings at one revision, either of
// everything or of one unit or node. It shares data with the State and must be encoded before the next write.
type CoordinationView struct {
	Revision     int64                        `json:"rev"`
	Limits       *disruption.Limits           `json:"limits,omitempty"`
	Usages       []disruption.Usage           `json:"uses,omitempty"`
	Unavailable  []disruption.UnavailableUnit `json:"outs,omitempty"`
	Permits      []*disruption.Permit         `json:"permits"`
	Records      []*Record                    `json:"records"`
	Units        []*Instance                  `json:"units,omitempty"`  // including unreachable ones
	Leader       *Instance                    `json:"lead,omitempty"`   // the elected controller; nil unless the caller names it
	Rollout      *rollout.State               `json:"book,omitempty"`   // nil if it has no nodes, or in a UnitView or NodeView
	NodeSettings *NodeSettings                `json:"config,omitempty"` // nil except in a NodeView
}

// NodeSettings is the part of the rollout of settings that concerns one node.
type NodeSettings struct {
	Node    *rollout.Node   `json:"node"`
	Target  VersionContent  `json:"told"`              // the version to run
	Pending *VersionContent `json:"pending,omitempty"` // the version to check and acknowledge; nil if there is none
}

// VersionContent is a version with its settings. Settings is nil if the node already has them, or if the registry does not have
// them, as for version 0.
type VersionContent struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// CoordinationView returns the view of everything. It has the units only if units is set. Its Leader is the instance with the
// UID leaderUID, or nil if there is none.
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

// NodeView returns the UnitView of a node with its settings. has contains the numbers of the versions whose content the node
// already has. NodeSettings is nil if the rollout does not have the node.
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
