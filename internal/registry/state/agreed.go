package state

import (
	"cmp"
	"encoding/json"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// Agreed is what a site has agreed on, as of a revision, or a part of it.
type Agreed struct {
	Rev     int64                `json:"rev"`
	Limits  *disruption.Limits   `json:"limits,omitempty"`
	Uses    []disruption.Use     `json:"uses,omitempty"`
	Outs    []disruption.Out     `json:"outs,omitempty"`
	Permits []*disruption.Permit `json:"permits"`
	Records []*Record            `json:"records"`
	Units   []*Entry             `json:"units,omitempty"` // nodes and servers that count, the missing with them
	Lead    *Entry               `json:"lead,omitempty"`  // who acts, where a lead is asked for
	Book    *rollout.Book        `json:"book,omitempty"`  // of the versions of nodes' settings
	Config  *NodeConfig          `json:"config,omitempty"`
}

// NodeConfig is what one node is to know of the versions of its settings.
type NodeConfig struct {
	Node    *rollout.Node `json:"node"`
	Told    Content       `json:"told"`              // to run
	Pending *Content      `json:"pending,omitempty"` // to look at, and no more
}

// Content is a version with its settings; none where the asker has them.
type Content struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Agreed is all that is agreed, with units only if they are asked for. What it refers to changes with the State.
func (s *State) Agreed(units bool, lead string) Agreed {
	a := Agreed{Rev: s.rev, Limits: s.limits, Uses: s.ledger.Uses(), Outs: s.ledger.Outs(), Permits: s.ledger.Permits(),
		Records: s.Records(""), Lead: s.entries[lead]}
	if len(s.book.Nodes) > 0 {
		a.Book = s.book
	}
	if units {
		a.Units = s.Units()
	}
	return a
}

// AgreedOfUnit is what concerns one unit.
func (s *State) AgreedOfUnit(uid string) Agreed {
	a := Agreed{Rev: s.rev, Permits: []*disruption.Permit{}, Records: []*Record{}}
	if e := cmp.Or(s.entries[uid], s.missing[uid]); e != nil {
		a.Units = append(a.Units, e)
	}
	if p := s.ledger.Permit(uid); p != nil {
		a.Permits = append(a.Permits, p)
	}
	return a
}

// AgreedOfNode is what one node is to know of its settings.
func (s *State) AgreedOfNode(uid string, has map[int64]bool) Agreed {
	a := s.AgreedOfUnit(uid)
	n := s.book.Nodes[uid]
	if n == nil {
		return a
	}
	content := func(number int64) Content {
		c := Content{Number: number, Hash: s.book.Hashes[number]}
		if !has[number] {
			c.Settings = s.configs[number]
		}
		return c
	}
	a.Config = &NodeConfig{Node: n, Told: content(n.Told)}
	if p := s.book.Pending; p != nil {
		c := content(p.Number)
		a.Config.Pending = &c
	}
	return a
}
