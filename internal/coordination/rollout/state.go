package rollout

import (
	"maps"
	"slices"
)

// Version is one version of the settings. Version 0 is what each node was started with; the registry does not have its
// content.
type Version struct {
	Number   int64     `json:"number"`
	Hash     string    `json:"hash"`              // of the content
	Replaces int64     `json:"replaces"`          // number of the committed version when this one was proposed; of a rollback: the pending version that it replaces
	Stages   []float64 `json:"stages"`            // fraction of the nodes in sync when a stage starts, increasing; the last is 1, all nodes
	BakeMS   int64     `json:"bake_ms,omitempty"` // how long a stage must be ready before the next one, in milliseconds
}

// Timestamp is when something was written to the registry.
type Timestamp struct {
	Revision int64 `json:"rev"`               // the registry's revision
	UnixMS   int64 `json:"wall_ms,omitempty"` // by the writer's clock, for display only, in milliseconds; 0: unknown
}

// Node is what is known of one node.
type Node struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"start"`             // fencing token of its present process
	Unreachable bool   `json:"missing,omitempty"` // its lease has ended
	// OutOfSyncSince is when the node was last in sync, or first registered. It is nil while the node is in sync.
	OutOfSyncSince *Timestamp `json:"since,omitempty"`
	// HighestPossibleVersion is the target version that the node had at OutOfSyncSince. While it is not in sync, the node may
	// run RunningVersion, HighestPossibleVersion, or a version that was its target in between.
	HighestPossibleVersion int64 `json:"may_run,omitempty"`
	// Syncing: the node is reachable, and this incarnation has not yet reported that it runs its target version.
	Syncing bool `json:"catching_up,omitempty"`

	Reported            bool   `json:"known,omitempty"`   // this incarnation has reported its running version
	RunningVersion      int64  `json:"running"`           // as last reported, by this or an earlier incarnation
	AcknowledgedVersion int64  `json:"acked,omitempty"`   // the version that this incarnation has acknowledged; 0: none
	TargetVersion       int64  `json:"told"`              // the version that the node is to run
	Violation           string `json:"fault,omitempty"`   // the rule that its last report breaks; empty: none
	RejectReason        string `json:"refused,omitempty"` // why it cannot run the pending version; empty: it has not rejected it
}

// InSync reports whether the node is reachable and runs its target version as far as it has reported.
func (n *Node) InSync() bool { return !n.Unreachable && !n.Syncing }

// State is the rollout of one site. Its fields are exported for encoding and for reading; only its methods may change
// them.
type State struct {
	Committed     Version          `json:"committed"`         // the target of all nodes, unless a version is pending
	Pending       *Version         `json:"pending,omitempty"` // proposed, and possibly the target of some nodes; nil: none
	StartedStages int              `json:"stage"`             // number of stages of Pending that have started
	HaltReason    string           `json:"halted,omitempty"`  // why no stage of Pending starts any more; empty: not halted
	Hashes        map[int64]string `json:"hashes"`            // by the number of each version that a node may run or get
	HighestNumber int64            `json:"highest"`           // the highest version number ever given
	Nodes         map[string]*Node `json:"nodes"`             // by ID
	// LostZones are the zones of which all nodes became unreachable and none has been in sync since, with the time at
	// which the last of them became unreachable.
	LostZones map[string]Timestamp `json:"lost,omitempty"`
}

// New returns a State without nodes, in which version 0 is committed.
func New() *State { return &State{Hashes: map[int64]string{}, Nodes: map[string]*Node{}} }

// Clone returns a deep copy, except for the stages of versions, which never change.
func (s *State) Clone() *State {
	c := *s
	if s.Pending != nil {
		pending := *s.Pending
		c.Pending = &pending
	}
	c.Hashes, c.Nodes, c.LostZones = maps.Clone(s.Hashes), map[string]*Node{}, maps.Clone(s.LostZones)
	if c.Hashes == nil {
		c.Hashes = map[int64]string{}
	}
	for id, n := range s.Nodes {
		node := *n
		c.Nodes[id] = &node
	}
	return &c
}

// MigrateLegacy completes a State that was stored by a build without the fields on synchronization: a reachable node that
// has not reported is syncing, and a zone without a reachable node is lost. It changes nothing else, and nothing when it
// is called again.
func (s *State) MigrateLegacy() {
	for _, n := range s.Nodes {
		n.Syncing = n.Syncing || !n.Reported && !n.Unreachable
		if n.Unreachable && n.OutOfSyncSince == nil {
			n.OutOfSyncSince, n.HighestPossibleVersion = &Timestamp{}, n.TargetVersion
		}
	}
	s.updateLostZones(Timestamp{})
}

// nodeIDs returns the IDs of all nodes in ascending order. Every decision that depends on an order uses this one.
func (s *State) nodeIDs() []string { return slices.Sorted(maps.Keys(s.Nodes)) }

// NeededVersions returns the numbers of the versions whose content nodes may still ask for.
func (s *State) NeededVersions() map[int64]bool {
	needed := map[int64]bool{s.Committed.Number: true}
	if s.Pending != nil {
		needed[s.Pending.Number] = true
	}
	for _, n := range s.Nodes {
		needed[n.TargetVersion] = true
	}
	return needed
}
