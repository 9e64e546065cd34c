package state

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// State is the state of the registry at one revision. Use [New] or [Load] to create one.
type State struct {
	revision  int64
	instances map[string]*Instance // by UID
	members   map[string]string    // API addresses of the replicas by ID
	replies   replies
	// writeTimeMS is the WallTimeMS of the write that is being applied.
	writeTimeMS int64

	limits *disruption.Limits // nil if none were set; only nodes count as unreachable then
	budget *disruption.Budget
	// unreachable holds by UID the units whose lease has expired or that have deregistered, and that are not decommissioned.
	unreachable map[string]*Instance
	ejections   ejections
	tierNodes   map[string]int // number of nodes that send requests to a tier, by tier
	records     map[string]*Record

	rollout  *rollout.State
	settings map[int64]json.RawMessage // contents of versions by number
}

// epochShift is the number of low bits of a revision, which count the changes within an epoch.
const epochShift = 40

// New returns an empty State at the first revision of epoch 1.
func New() *State {
	return &State{
		revision: 1 << epochShift, instances: map[string]*Instance{}, members: map[string]string{}, replies: newReplies(),
		budget: disruption.NewBudget(), unreachable: map[string]*Instance{}, ejections: newEjections(), tierNodes: map[string]int{},
		records: map[string]*Record{}, rollout: rollout.New(), settings: map[int64]json.RawMessage{},
	}
}

// Revision returns the revision of the State.
func (s *State) Revision() int64 { return s.revision }

// Epoch returns the epoch of a revision. Only the restore of a backup increases it.
func Epoch(revision int64) int64 { return revision >> epochShift }

// Len returns the number of instances.
func (s *State) Len() int { return len(s.instances) }

// Get returns an instance, or nil if it is not registered.
func (s *State) Get(uid string) *Instance { return s.instances[uid] }

// Instances returns all instances in ascending order of their UIDs.
func (s *State) Instances() []*Instance { return sortedByUID(slices.Collect(maps.Values(s.instances))) }

func sortedByUID(instances []*Instance) []*Instance {
	slices.SortFunc(instances, func(a, b *Instance) int { return strings.Compare(a.UID, b.UID) })
	return instances
}

// Members returns a copy of the API addresses of the replicas by ID.
func (s *State) Members() map[string]string { return maps.Clone(s.members) }

// Apply applies one write. changed is the instance that the write has stored, or the one that it has removed, with the state
// Deleted. It is nil if no instance has changed.
func (s *State) Apply(op Op) (result Result, changed *Instance) {
	if op.ID != "" {
		if first, done := s.replies.get(op.ID); done {
			return first, nil
		}
	}
	s.writeTimeMS = op.WallTimeMS
	result, changed = s.apply(op)
	result.Revision = s.revision
	if op.ID != "" {
		s.replies.add(op.ID, result)
	}
	return result, changed
}

// apply applies a write that is not a repeat. The caller sets the revision of the result.
func (s *State) apply(op Op) (Result, *Instance) {
	if s.isFenced(op.Fence) {
		return Result{Code: CodeFenced}, nil
	}
	switch op.Kind {
	case OpRegister:
		return s.register(op)
	case OpUpdate, OpRemove, OpExpire, OpSuspect, OpTrust, OpWarmUp:
		return s.change(op)
	case OpSetMember:
		s.setMember(op.UID, op.Address)
		return Result{}, nil
	case OpNoop:
		return Result{}, nil
	case OpSetLimits:
		return s.setLimits(op), nil
	case OpGrantPermit:
		return s.grantPermit(op), nil
	case OpBeginPermit:
		return s.beginPermit(op)
	case OpReturnPermit:
		return s.returnPermit(op), nil
	case OpDecommission:
		return s.decommission(op)
	case OpReportEjected:
		return s.reportEjected(op), nil
	case OpPutRecord:
		return s.putRecord(op), nil
	case OpPropose, OpRollback, OpAcknowledge, OpReport, OpAdvance, OpWithdraw, OpHalt:
		return s.applyRollout(op), nil
	}
	return Result{Code: CodeInvalid}, nil
}

// isFenced reports whether a write is rejected because the instance of its fence does not have the fence's token.
func (s *State) isFenced(f *Fence) bool {
	if f == nil {
		return false
	}
	instance := s.instances[f.UID]
	return instance == nil || instance.Token != f.Token
}

func (s *State) setMember(id, address string) {
	if address == "" {
		delete(s.members, id)
	} else {
		s.members[id] = address
	}
}
