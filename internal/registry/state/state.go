// Package state is the registry's data: entries of servers under one order of revisions. It is pure: the same
// commands in the same order give the same State, on every replica and after every replay. Time and leases are
// elsewhere; what they lead to arrives as commands.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"umberbank/internal/coordination/disruption"
)

// Server states, in discovery's words.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only among changes
)

// Instance is one server. It is never changed once it is in a State: a change puts another in its place. The first
// fields are the form that nodes read; the rest they pass over.
type Instance struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Rack        int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartTimeMS float64 `json:"boot_ms"`

	Role        string `json:"role,omitempty"` // "" a server; see the Roles
	Tier        string `json:"tier,omitempty"` // whose budget it counts in; "": none
	Region      string `json:"region,omitempty"`
	Version     string `json:"version,omitempty"`
	TTLMS       int64  `json:"ttl_ms,omitempty"`  // of its lease; 0: it has none, and stays until it is removed
	Token       int64  `json:"token,omitempty"`   // of the process that holds it: the revision of its registration
	ModRevision int64  `json:"mod,omitempty"`     // revision of its last change
	Suspect     bool   `json:"suspect,omitempty"` // its lease has ended, but so have too many others' to believe it

	WarmUpDeficit float64 `json:"cold,omitempty"` // share of its capacity that it surely lacks after its start
}

// Kinds of writes.
const (
	OpRegister  = "register" // by a server, which gets a token
	OpUpdate    = "update"   // by the token's holder, or by an operator with none
	OpRemove    = "remove"
	OpExpire    = "expire"  // by the leader, for a lease that has ended
	OpSuspect   = "suspect" // by the leader, for one that it does not believe
	OpTrust     = "trust"   // and for one that was renewed after all
	OpSetMember = "member"  // where a replica's writers and readers call
	OpNoop      = "nothing" // a write that only takes its place in the order
)

// Op is one write.
type Op struct {
	Kind          string    `json:"kind"`
	ID            string    `json:"id,omitempty"` // a repeat with the same one changes nothing and gets the same answer
	Instance      *Instance `json:"entry,omitempty"`
	UID           string    `json:"uid,omitempty"`
	Token         int64     `json:"token,omitempty"`   // 0: an operator's
	IfModRevision int64     `json:"if_mod,omitempty"`  // only if the entry is of this revision; 0: whatever it is; or Absent
	Fence         *Fence    `json:"fence,omitempty"`   // only as long as its holder has its lease
	WallTimeMS    int64     `json:"wall_ms,omitempty"` // Unix time by the leader's clock as it writes of leases, for people alone; 0: not said
	// What Update sets; absent: as it is.
	State    string   `json:"state,omitempty"`
	Capacity *float64 `json:"capacity,omitempty"`
	// What Member sets; an empty address takes the replica out.
	Address string `json:"address,omitempty"`
	// What the writes of agree.go set; UID names the unit.
	Limits        *disruption.Limits `json:"limits,omitempty"`
	Incarnation   int64              `json:"start,omitempty"` // token of the unit's start
	Holder        string             `json:"holder,omitempty"`
	Plan          string             `json:"plan,omitempty"`
	TargetVersion string             `json:"to,omitempty"`
	ReplacesPlan  string             `json:"over,omitempty"` // the plan whose begun permit this one takes the place of
	WarmUpDeficit *float64           `json:"cold,omitempty"`
	Ejected       []string           `json:"avoids,omitempty"`
	Key           string             `json:"key,omitempty"`
	// What writes about versions of nodes' settings set; Token is a node's start, Value the content.
	Number       int64           `json:"number,omitempty"`
	Hash         string          `json:"hash,omitempty"`
	Replaces     int64           `json:"replaces,omitempty"`
	Stages       []float64       `json:"stages,omitempty"`
	Stage        int             `json:"stage,omitempty"`
	BakeMS       int64           `json:"bake_ms,omitempty"`
	RejectReason string          `json:"refused,omitempty"`
	Value        json.RawMessage `json:"value,omitempty"`
}

// Result is what became of a write.
type Result struct {
	Revision int64  `json:"rev"` // of the State after it
	Token    int64  `json:"token,omitempty"`
	Code     string `json:"fault,omitempty"` // one of the Faults; "": done
	Reason   string `json:"why,omitempty"`   // what more there is to say of a Fault
}

// Faults.
const (
	CodeFenced   = "fenced"    // another process holds the entry
	CodeConflict = "conflict"  // the entry is of another revision
	CodeNotFound = "not-found" // there is no such entry
	CodeInvalid  = "bad"       // the write makes no sense
)

// Bounds of a write's fields.
const (
	maxText     = 256
	maxRecord   = 1 << 20
	maxRemember = 1 << 16 // writes whose answers are kept for repeats
	epochShift  = 40      // a revision is an epoch and a count in it
)

// State is the registry as of one revision.
type State struct {
	rev     int64
	entries map[string]*Instance
	members map[string]string
	answers map[string]Result // by the writes' ids
	order   []string          // of those ids
	wall    int64             // of the write that is carried out; see Op.WallTimeMS
	agreed
}

// New returns an empty State, of the first epoch.
func New() *State {
	return &State{rev: 1 << epochShift, entries: map[string]*Instance{}, members: map[string]string{}, answers: map[string]Result{}, agreed: newAgreed()}
}

// Revision is the revision.
func (s *State) Revision() int64 { return s.rev }

// Epoch is the part of a revision that only a restored backup moves on.
func Epoch(rev int64) int64 { return rev >> epochShift }

// Len is how many entries there are.
func (s *State) Len() int { return len(s.entries) }

// Get returns an entry, or nil.
func (s *State) Get(uid string) *Instance { return s.entries[uid] }

// Instances returns all entries in the order of their uids.
func (s *State) Instances() []*Instance {
	l := slices.Collect(maps.Values(s.entries))
	slices.SortFunc(l, func(a, b *Instance) int { return compare(a.UID, b.UID) })
	return l
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1 // no two are the same
}

// Members are the replicas' addresses by their ids.
func (s *State) Members() map[string]string { return maps.Clone(s.members) }

// Apply carries out one write. changed is the entry that it has put in place, one that is Deleted included; nil: none.
func (s *State) Apply(op Op) (a Result, changed *Instance) {
	if op.ID != "" {
		if a, done := s.answers[op.ID]; done {
			return a, nil
		}
	}
	s.wall = op.WallTimeMS
	a, changed = s.apply(op)
	a.Revision = s.rev
	if op.ID != "" {
		s.remember(op.ID, a)
	}
	return a, changed
}

func (s *State) remember(id string, a Result) {
	s.answers[id] = a
	s.order = append(s.order, id)
	if len(s.order) > maxRemember {
		delete(s.answers, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *State) apply(op Op) (Result, *Instance) {
	if s.fenced(op.Fence) {
		return Result{Code: CodeFenced}, nil
	}
	switch op.Kind {
	case OpRegister:
		return s.register(op)
	case OpUpdate, OpRemove, OpExpire, OpSuspect, OpTrust, OpWarmUp:
		return s.change(op)
	case OpSetLimits, OpGrantPermit, OpBeginPermit, OpReturnPermit, OpDecommission, OpReportEjected, OpPutRecord, OpPropose, OpRollback, OpAcknowledge, OpReport, OpAdvance, OpWithdraw, OpHalt:
		return s.agree(op)
	case OpSetMember:
		if op.Address == "" {
			delete(s.members, op.UID)
		} else {
			s.members[op.UID] = op.Address
		}
		return Result{}, nil
	case OpNoop:
		return Result{}, nil
	}
	return Result{Code: CodeInvalid}, nil
}

// register enters a server's process. One that started later takes the entry over, and the token of the one before
// is worth nothing from then on; one that started earlier is turned down.
func (s *State) register(op Op) (Result, *Instance) {
	if op.Instance == nil || op.Instance.check() != nil {
		return Result{Code: CodeInvalid}, nil
	}
	e := *op.Instance
	if s.taken(&e) {
		e.State = Draining
	}
	old := s.entries[e.UID]
	if old != nil && op.IfModRevision == Absent {
		return Result{Code: CodeConflict}, nil
	}
	if lost := s.missing[e.UID]; old == nil && lost != nil && lost.StartTimeMS == e.StartTimeMS {
		return s.found(lost, e)
	}
	if old != nil {
		if e.StartTimeMS < old.StartTimeMS {
			return Result{Code: CodeFenced}, nil
		}
		e.Token, e.ModRevision, e.Suspect, e.WarmUpDeficit = old.Token, old.ModRevision, false, old.WarmUpDeficit
		if e == *old { // the same process says the same again
			return Result{Token: old.Token}, nil
		}
		if e.StartTimeMS == old.StartTimeMS {
			return Result{Token: old.Token}, s.put(e)
		}
	}
	e.Token, e.WarmUpDeficit = s.rev+1, s.cold(&e)
	return Result{Token: e.Token}, s.put(e)
}

// change changes an entry that is there.
func (s *State) change(op Op) (Result, *Instance) {
	old := s.entries[op.UID]
	switch {
	case old == nil:
		return Result{Code: CodeNotFound}, nil
	case op.Token != 0 && op.Token != old.Token:
		return Result{Code: CodeFenced}, nil
	case op.IfModRevision != 0 && op.IfModRevision != old.ModRevision:
		return Result{Code: CodeConflict}, nil
	}
	e := *old
	switch op.Kind {
	case OpRemove, OpExpire:
		e.State = Deleted
		put := s.putIn(e, op.Kind == OpRemove && op.Token == 0)
		return Result{Token: e.Token}, put
	case OpWarmUp:
		if op.WarmUpDeficit == nil || !(*op.WarmUpDeficit >= 0 && *op.WarmUpDeficit <= e.WarmUpDeficit) {
			return Result{Code: CodeInvalid}, nil
		}
		e.WarmUpDeficit = *op.WarmUpDeficit
	case OpSuspect, OpTrust:
		e.Suspect = op.Kind == OpSuspect
	case OpUpdate:
		if plan, is := s.changing(old); is && op.State == Serving {
			return Result{Code: CodeConflict, Reason: "release " + plan + " is changing it"}, nil
		}
		if op.State != "" {
			e.State = op.State
		}
		if op.Capacity != nil {
			e.Capacity = *op.Capacity
		}
		if op.State == Deleted || e.check() != nil {
			return Result{Code: CodeInvalid}, nil
		}
	}
	if e == *old {
		return Result{Token: e.Token}, nil
	}
	return Result{Token: e.Token}, s.put(e)
}

// put puts an entry in place, under the next revision.
func (s *State) put(e Instance) *Instance { return s.putIn(e, false) }

// putIn is put; declared: what is taken out will not come back.
func (s *State) putIn(e Instance, declared bool) *Instance {
	s.rev++
	e.ModRevision = s.rev
	old := s.entries[e.UID]
	defer func() { s.settle(old, &e, declared) }()
	if e.State == Deleted {
		delete(s.entries, e.UID)
	} else {
		s.entries[e.UID] = &e
	}
	return &e
}

// Validate says what is wrong with an entry as a server registers it.
func (e *Instance) Validate() error { return e.check() }

func (e *Instance) check() error {
	switch {
	case e.UID == "" || len(e.UID) > maxText:
		return errors.New("uid: missing or too long")
	case e.Endpoint == "" || len(e.Endpoint) > maxText:
		return errors.New("endpoint: missing or too long")
	case e.State != Serving && e.State != Draining:
		return fmt.Errorf("state: %q is neither %s nor %s", e.State, Serving, Draining)
	case e.Role != "" && e.Role != RoleNode && e.Role != RoleController:
		return fmt.Errorf("role: %q is none", e.Role)
	case len(e.Tier) > maxText || len(e.Zone) > maxText || len(e.Region) > maxText || len(e.Kind) > maxText || len(e.Version) > maxText:
		return errors.New("a text is too long")
	case e.Capacity < 0 || e.TTLMS < 0 || e.StartTimeMS < 0:
		return errors.New("capacity, ttl and boot time cannot be negative")
	}
	return nil
}

// ---- Snapshots ----

// image is a State as it is kept.
type image struct {
	Rev     int64             `json:"rev"`
	Entries []*Instance       `json:"entries"`
	Members map[string]string `json:"members"`
	Order   []string          `json:"order"`
	Answers []Result          `json:"answers"` // in that order
	agreedImage
}

// Snapshot is the State as it can be kept and read again.
func (s *State) Snapshot() ([]byte, error) {
	m := image{Rev: s.rev, Entries: s.Instances(), Members: s.members, Order: s.order, agreedImage: s.agreedImage()}
	for _, id := range s.order {
		m.Answers = append(m.Answers, s.answers[id])
	}
	return json.Marshal(m)
}

// Load reads what Snapshot wrote.
func Load(text []byte) (*State, error) {
	var m image
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	if Epoch(m.Rev) < 1 || len(m.Order) != len(m.Answers) {
		return nil, errors.New("no snapshot of a registry")
	}
	s := New()
	s.rev, s.order = m.Rev, m.Order
	for _, e := range m.Entries {
		if err := e.check(); err != nil {
			return nil, fmt.Errorf("entry %q: %w", e.UID, err)
		}
		s.entries[e.UID] = e
	}
	for id, a := range m.Members {
		s.members[id] = a
	}
	for i, id := range m.Order {
		s.answers[id] = m.Answers[i]
	}
	s.load(m.agreedImage)
	return s, nil
}

// RestoreBackup is a backup's State as it goes on after another: in an epoch of its own, later than both, so that no
// revision is given twice and readers see that they must take the whole list. The replicas stay those of the other.
func RestoreBackup(backup, running *State) *State {
	epoch := max(Epoch(backup.rev), Epoch(running.rev)) + 1
	s := New()
	s.rev, s.entries, s.members = epoch<<epochShift, maps.Clone(backup.entries), maps.Clone(running.members)
	// Who leads now goes on leading: with the backup's entry whoever led then would, and its fences would hold again.
	maps.DeleteFunc(s.entries, func(_ string, e *Instance) bool { return e.Role == RoleController })
	for uid, e := range running.entries {
		if e.Role == RoleController {
			s.entries[uid] = e
		}
	}
	s.restored(backup, running)
	return s
}
