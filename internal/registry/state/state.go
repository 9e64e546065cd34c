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

// Entry is one server. It is never changed once it is in a State: a change puts another in its place. The first
// fields are the form that nodes read; the rest they pass over.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Rack     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`

	Role    string `json:"role,omitempty"` // "" a server; see the Roles
	Tier    string `json:"tier,omitempty"` // whose budget it counts in; "": none
	Region  string `json:"region,omitempty"`
	Version string `json:"version,omitempty"`
	TTLMS   int64  `json:"ttl_ms,omitempty"`  // of its lease; 0: it has none, and stays until it is removed
	Token   int64  `json:"token,omitempty"`   // of the process that holds it: the revision of its registration
	Mod     int64  `json:"mod,omitempty"`     // revision of its last change
	Suspect bool   `json:"suspect,omitempty"` // its lease has ended, but so have too many others' to believe it

	Cold float64 `json:"cold,omitempty"` // share of its capacity that it surely lacks after its start
}

// Kinds of writes.
const (
	Register = "register" // by a server, which gets a token
	Update   = "update"   // by the token's holder, or by an operator with none
	Remove   = "remove"
	Expire   = "expire"  // by the leader, for a lease that has ended
	Suspect  = "suspect" // by the leader, for one that it does not believe
	Trust    = "trust"   // and for one that was renewed after all
	Member   = "member"  // where a replica's writers and readers call
	Nothing  = "nothing" // a write that only takes its place in the order
)

// Op is one write.
type Op struct {
	Kind   string `json:"kind"`
	ID     string `json:"id,omitempty"` // a repeat with the same one changes nothing and gets the same answer
	Entry  *Entry `json:"entry,omitempty"`
	UID    string `json:"uid,omitempty"`
	Token  int64  `json:"token,omitempty"`   // 0: an operator's
	IfMod  int64  `json:"if_mod,omitempty"`  // only if the entry is of this revision; 0: whatever it is; or Absent
	Fence  *Fence `json:"fence,omitempty"`   // only as long as its holder has its lease
	WallMS int64  `json:"wall_ms,omitempty"` // Unix time by the leader's clock as it writes of leases, for people alone; 0: not said
	// What Update sets; absent: as it is.
	State    string   `json:"state,omitempty"`
	Capacity *float64 `json:"capacity,omitempty"`
	// What Member sets; an empty address takes the replica out.
	Address string `json:"address,omitempty"`
	// What the writes of agree.go set; UID names the unit.
	Limits *disruption.Limits `json:"limits,omitempty"`
	Start  int64              `json:"start,omitempty"` // token of the unit's start
	Holder string             `json:"holder,omitempty"`
	Plan   string             `json:"plan,omitempty"`
	To     string             `json:"to,omitempty"`
	Over   string             `json:"over,omitempty"` // the plan whose begun permit this one takes the place of
	Cold   *float64           `json:"cold,omitempty"`
	Avoids []string           `json:"avoids,omitempty"`
	Key    string             `json:"key,omitempty"`
	// What writes about versions of nodes' settings set; Token is a node's start, Value the content.
	Number   int64           `json:"number,omitempty"`
	Hash     string          `json:"hash,omitempty"`
	Replaces int64           `json:"replaces,omitempty"`
	Stages   []float64       `json:"stages,omitempty"`
	Stage    int             `json:"stage,omitempty"`
	BakeMS   int64           `json:"bake_ms,omitempty"`
	Refused  string          `json:"refused,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Answer is what became of a write.
type Answer struct {
	Rev   int64  `json:"rev"` // of the State after it
	Token int64  `json:"token,omitempty"`
	Fault string `json:"fault,omitempty"` // one of the Faults; "": done
	Why   string `json:"why,omitempty"`   // what more there is to say of a Fault
}

// Faults.
const (
	Fenced   = "fenced"    // another process holds the entry
	Conflict = "conflict"  // the entry is of another revision
	NotFound = "not-found" // there is no such entry
	Bad      = "bad"       // the write makes no sense
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
	entries map[string]*Entry
	members map[string]string
	answers map[string]Answer // by the writes' ids
	order   []string          // of those ids
	wall    int64             // of the write that is carried out; see Op.WallMS
	agreed
}

// New returns an empty State, of the first epoch.
func New() *State {
	return &State{rev: 1 << epochShift, entries: map[string]*Entry{}, members: map[string]string{}, answers: map[string]Answer{}, agreed: newAgreed()}
}

// Rev is the revision.
func (s *State) Rev() int64 { return s.rev }

// Epoch is the part of a revision that only a restored backup moves on.
func Epoch(rev int64) int64 { return rev >> epochShift }

// Len is how many entries there are.
func (s *State) Len() int { return len(s.entries) }

// Get returns an entry, or nil.
func (s *State) Get(uid string) *Entry { return s.entries[uid] }

// Entries returns all entries in the order of their uids.
func (s *State) Entries() []*Entry {
	l := slices.Collect(maps.Values(s.entries))
	slices.SortFunc(l, func(a, b *Entry) int { return compare(a.UID, b.UID) })
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
func (s *State) Apply(op Op) (a Answer, changed *Entry) {
	if op.ID != "" {
		if a, done := s.answers[op.ID]; done {
			return a, nil
		}
	}
	s.wall = op.WallMS
	a, changed = s.apply(op)
	a.Rev = s.rev
	if op.ID != "" {
		s.remember(op.ID, a)
	}
	return a, changed
}

func (s *State) remember(id string, a Answer) {
	s.answers[id] = a
	s.order = append(s.order, id)
	if len(s.order) > maxRemember {
		delete(s.answers, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *State) apply(op Op) (Answer, *Entry) {
	if s.fenced(op.Fence) {
		return Answer{Fault: Fenced}, nil
	}
	switch op.Kind {
	case Register:
		return s.register(op)
	case Update, Remove, Expire, Suspect, Trust, Warm:
		return s.change(op)
	case SetLimits, Permit, Begin, Return, Gone, Avoid, Put, Propose, GoBack, Ack, Report, Commit, Withdraw, Halt:
		return s.agree(op)
	case Member:
		if op.Address == "" {
			delete(s.members, op.UID)
		} else {
			s.members[op.UID] = op.Address
		}
		return Answer{}, nil
	case Nothing:
		return Answer{}, nil
	}
	return Answer{Fault: Bad}, nil
}

// register enters a server's process. One that started later takes the entry over, and the token of the one before
// is worth nothing from then on; one that started earlier is turned down.
func (s *State) register(op Op) (Answer, *Entry) {
	if op.Entry == nil || op.Entry.check() != nil {
		return Answer{Fault: Bad}, nil
	}
	e := *op.Entry
	if s.taken(&e) {
		e.State = Draining
	}
	old := s.entries[e.UID]
	if old != nil && op.IfMod == Absent {
		return Answer{Fault: Conflict}, nil
	}
	if lost := s.missing[e.UID]; old == nil && lost != nil && lost.BootMS == e.BootMS {
		return s.found(lost, e)
	}
	if old != nil {
		if e.BootMS < old.BootMS {
			return Answer{Fault: Fenced}, nil
		}
		e.Token, e.Mod, e.Suspect, e.Cold = old.Token, old.Mod, false, old.Cold
		if e == *old { // the same process says the same again
			return Answer{Token: old.Token}, nil
		}
		if e.BootMS == old.BootMS {
			return Answer{Token: old.Token}, s.put(e)
		}
	}
	e.Token, e.Cold = s.rev+1, s.cold(&e)
	return Answer{Token: e.Token}, s.put(e)
}

// change changes an entry that is there.
func (s *State) change(op Op) (Answer, *Entry) {
	old := s.entries[op.UID]
	switch {
	case old == nil:
		return Answer{Fault: NotFound}, nil
	case op.Token != 0 && op.Token != old.Token:
		return Answer{Fault: Fenced}, nil
	case op.IfMod != 0 && op.IfMod != old.Mod:
		return Answer{Fault: Conflict}, nil
	}
	e := *old
	switch op.Kind {
	case Remove, Expire:
		e.State = Deleted
		put := s.putIn(e, op.Kind == Remove && op.Token == 0)
		return Answer{Token: e.Token}, put
	case Warm:
		if op.Cold == nil || !(*op.Cold >= 0 && *op.Cold <= e.Cold) {
			return Answer{Fault: Bad}, nil
		}
		e.Cold = *op.Cold
	case Suspect, Trust:
		e.Suspect = op.Kind == Suspect
	case Update:
		if plan, is := s.changing(old); is && op.State == Serving {
			return Answer{Fault: Conflict, Why: "release " + plan + " is changing it"}, nil
		}
		if op.State != "" {
			e.State = op.State
		}
		if op.Capacity != nil {
			e.Capacity = *op.Capacity
		}
		if op.State == Deleted || e.check() != nil {
			return Answer{Fault: Bad}, nil
		}
	}
	if e == *old {
		return Answer{Token: e.Token}, nil
	}
	return Answer{Token: e.Token}, s.put(e)
}

// put puts an entry in place, under the next revision.
func (s *State) put(e Entry) *Entry { return s.putIn(e, false) }

// putIn is put; declared: what is taken out will not come back.
func (s *State) putIn(e Entry, declared bool) *Entry {
	s.rev++
	e.Mod = s.rev
	old := s.entries[e.UID]
	defer func() { s.settle(old, &e, declared) }()
	if e.State == Deleted {
		delete(s.entries, e.UID)
	} else {
		s.entries[e.UID] = &e
	}
	return &e
}

// Check says what is wrong with an entry as a server registers it.
func (e *Entry) Check() error { return e.check() }

func (e *Entry) check() error {
	switch {
	case e.UID == "" || len(e.UID) > maxText:
		return errors.New("uid: missing or too long")
	case e.Endpoint == "" || len(e.Endpoint) > maxText:
		return errors.New("endpoint: missing or too long")
	case e.State != Serving && e.State != Draining:
		return fmt.Errorf("state: %q is neither %s nor %s", e.State, Serving, Draining)
	case e.Role != "" && e.Role != Node && e.Role != Controller:
		return fmt.Errorf("role: %q is none", e.Role)
	case len(e.Tier) > maxText || len(e.Zone) > maxText || len(e.Region) > maxText || len(e.Kind) > maxText || len(e.Version) > maxText:
		return errors.New("a text is too long")
	case e.Capacity < 0 || e.TTLMS < 0 || e.BootMS < 0:
		return errors.New("capacity, ttl and boot time cannot be negative")
	}
	return nil
}

// ---- Snapshots ----

// image is a State as it is kept.
type image struct {
	Rev     int64             `json:"rev"`
	Entries []*Entry          `json:"entries"`
	Members map[string]string `json:"members"`
	Order   []string          `json:"order"`
	Answers []Answer          `json:"answers"` // in that order
	agreedImage
}

// Snapshot is the State as it can be kept and read again.
func (s *State) Snapshot() ([]byte, error) {
	m := image{Rev: s.rev, Entries: s.Entries(), Members: s.members, Order: s.order, agreedImage: s.agreedImage()}
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

// Restored is a backup's State as it goes on after another: in an epoch of its own, later than both, so that no
// revision is given twice and readers see that they must take the whole list. The replicas stay those of the other.
func Restored(backup, running *State) *State {
	epoch := max(Epoch(backup.rev), Epoch(running.rev)) + 1
	s := New()
	s.rev, s.entries, s.members = epoch<<epochShift, maps.Clone(backup.entries), maps.Clone(running.members)
	// Who leads now goes on leading: with the backup's entry whoever led then would, and its fences would hold again.
	maps.DeleteFunc(s.entries, func(_ string, e *Entry) bool { return e.Role == Controller })
	for uid, e := range running.entries {
		if e.Role == Controller {
			s.entries[uid] = e
		}
	}
	s.restored(backup, running)
	return s
}
