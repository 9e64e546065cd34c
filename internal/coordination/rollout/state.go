package rollout

import (
	"maps"
	"slices"
)

// Version is one version of the settings. Version 0 stands for the settings that each node was started with; the registry does
// not store their content.
type Version struct {
	Number int64  `json:"number"`
	Hash   string `json:"hash"` // of the content
	// Replaces is the number of the version that was committed when this one was proposed. For a rollback it is the number
	// of the pending version that it replaces.
	Replaces int64 `json:"replaces"`
	// Stages are increasing fractions of the nodes that are in sync when the stage starts. The last one is 1 and includes all
	// nodes, whether they are in sync or not.
	Stages []float64 `json:"stages"`
	// BakeMS is how long the next stage must be ready before it starts, in milliseconds. It does not apply to the first stage.
	BakeMS int64 `json:"bake_ms,omitempty"`
}

// Timestamp is the time of a write to the registry.
type Timestamp struct {
	Revision int64 `json:"rev"`               // the registry's revision
	UnixMS   int64 `json:"wall_ms,omitempty"` // by the writer's clock, in Unix milliseconds, for display only; zero if unknown
}

// Node is the state of one node as recorded in the registry.
type Node struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"start"`             // fencing token of its current process
	Unreachable bool   `json:"missing,omitempty"` // its lease has ended
	// OutOfSyncSince is when the node went out of sync, or when it first registered. It is nil while the node is in sync, and may
	// be nil for a syncing node after MigrateLegacy.
	OutOfSyncSince *Timestamp `json:"since,omitempty"`
	// HighestPossibleVersion is the target version that the node had at OutOfSyncSince. It is zero while the node is in sync.
	// A node that has received no later target runs RunningVersion, HighestPossibleVersion, or a version between them that
	// was its target.
	HighestPossibleVersion int64 `json:"may_run,omitempty"`
	// Syncing is set when the node is new, has restarted or is reachable again. It is cleared when this incarnation reports
	// that it runs its target version.
	Syncing bool `json:"catching_up,omitempty"`

	Reported            bool   `json:"known,omitempty"`   // this incarnation has reported its running version
	RunningVersion      int64  `json:"running"`           // last reported version, by this or an earlier incarnation
	AcknowledgedVersion int64  `json:"acked,omitempty"`   // version that this incarnation has acknowledged; zero if none
	TargetVersion       int64  `json:"told"`              // version that the node must run
	Violation           string `json:"fault,omitempty"`   // rule that its last report violates; empty if none
	RejectReason        string `json:"refused,omitempty"` // why it rejected the pending version; empty if it has not
}

// InSync reports whether the node is reachable and has reported its target version since it last restarted or became
// reachable. A node remains in sync when its target changes.
func (n *Node) InSync() bool { return !n.Unreachable && !n.Syncing }

// State is the replicated state of the rollout on one site. Its fields are exported for encoding and for reading. Only its
// methods may change them.
type State struct {
	Committed     Version          `json:"committed"`         // the target of all nodes while no version is pending
	Pending       *Version         `json:"pending,omitempty"` // proposed, and possibly the target of some nodes; nil if none
	StartedStages int              `json:"stage"`             // number of stages of Pending that have started
	HaltReason    string           `json:"halted,omitempty"`  // why no further stage of Pending starts; empty if it is not halted
	Hashes        map[int64]string `json:"hashes"`            // hashes of the versions that nodes may run or receive, by number
	HighestNumber int64            `json:"highest"`           // highest version number assigned so far
	Nodes         map[string]*Node `json:"nodes"`             // by ID
	// LostZones are the zones in which all nodes became unreachable and none has been in sync since, with the time at which
	// the last of them became unreachable. The time is zero if the zone was lost by a decommission or by MigrateLegacy.
	LostZones map[string]Timestamp `json:"lost,omitempty"`
}

// New returns a State in which version 0 is committed and there are no nodes.
func New() *State { return &State{Hashes: map[int64]string{}, Nodes: map[string]*Node{}} }

// Clone returns a deep copy. Only Version.Stages and OutOfSyncSince are shared; their contents never change.
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

// MigrateLegacy sets Syncing, OutOfSyncSince, HighestPossibleVersion and LostZones in a State that was stored by a build without
// these fields. A reachable node that has not reported becomes syncing; its OutOfSyncSince stays nil. An unreachable node gets an
// OutOfSyncSince of zero. A zone without a reachable node becomes lost. A second call has no effect.
func (s *State) MigrateLegacy() {
	for _, n := range s.Nodes {
		n.Syncing = n.Syncing || !n.Reported && !n.Unreachable
		if n.Unreachable && n.OutOfSyncSince == nil {
			n.OutOfSyncSince, n.HighestPossibleVersion = &Timestamp{}, n.TargetVersion
		}
	}
	s.updateLostZones(Timestamp{})
}

// nodeIDs returns the IDs of all nodes in ascending order. Every decision that depends on an order uses this order, so that all
// replicas decide the same.
func (s *State) nodeIDs() []string { return slices.Sorted(maps.Keys(s.Nodes)) }

// NeededVersions returns the numbers of the versions whose content nodes may still request.
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
