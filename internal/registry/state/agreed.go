package state

import (
	"cmp"
	"encoding/json"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// CoordinationView is what a site has agreed on, as of a revision, or a part of it.
type CoordinationView struct {
	Revision     int64                        `json:"rev"`
	Limits       *disruption.Limits           `json:"limits,omitempty"`
	Usages       []disruption.Usage           `json:"uses,omitempty"`
	Unavailable  []disruption.UnavailableUnit `json:"outs,omitempty"`
	Permits      []*disruption.Permit         `json:"permits"`
	Records      []*Record                    `json:"records"`
	Units        []*Instance                  `json:"units,omitempty"` // nodes and servers that count, the missing with them
	Leader       *Instance                    `json:"lead,omitempty"`  // who acts, where a lead is asked for
	Rollout      *rollout.State               `json:"book,omitempty"`  // of the versions of nodes' settings
	NodeSettings *NodeSettings                `json:"config,omitempty"`
}

// NodeSettings is what one node is to know of the versions of its settings.
type NodeSettings struct {
	Node    *rollout.Node   `json:"node"`
	Target  VersionContent  `json:"told"`              // to run
	Pending *VersionContent `json:"pending,omitempty"` // to look at, and no more
}

// VersionContent is a version with its settings; none where the asker has them.
type VersionContent struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// CoordinationView is all that is agreed, with units only if they are asked for. What it refers to changes with the State.
func (s *State) CoordinationView(units bool, lead string) CoordinationView {
	a := CoordinationView{Revision: s.rev, Limits: s.limits, Usages: s.ledger.Usages(), Unavailable: s.ledger.UnavailableUnits(), Permits: s.ledger.Permits(),
		Records: s.Records(""), Leader: s.entries[lead]}
	if len(s.book.Nodes) > 0 {
		a.Rollout = s.book
	}
	if units {
		a.Units = s.Units()
	}
	return a
}

// UnitView is what concerns one unit.
func (s *State) UnitView(uid string) CoordinationView {
	a := CoordinationView{Revision: s.rev, Permits: []*disruption.Permit{}, Records: []*Record{}}
	if e := cmp.Or(s.entries[uid], s.missing[uid]); e != nil {
		a.Units = append(a.Units, e)
	}
	if p := s.ledger.Permit(uid); p != nil {
		a.Permits = append(a.Permits, p)
	}
	return a
}

// NodeView is what one node is to know of its settings.
func (s *State) NodeView(uid string, has map[int64]bool) CoordinationView {
	a := s.UnitView(uid)
	n := s.book.Nodes[uid]
	if n == nil {
		return a
	}
	content := func(number int64) VersionContent {
		c := VersionContent{Number: number, Hash: s.book.Hashes[number]}
		if !has[number] {
			c.Settings = s.configs[number]
		}
		return c
	}
	a.NodeSettings = &NodeSettings{Node: n, Target: content(n.TargetVersion)}
	if p := s.book.Pending; p != nil {
		c := content(p.Number)
		a.NodeSettings.Pending = &c
	}
	return a
}
