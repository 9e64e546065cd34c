package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// What processes of a site have agreed on beside the list: limits of what may be out, permits, and records. It is
// changed by writes under the same revisions, and as pure.

// Roles of entries. Those that are no servers stay out of the list that nodes read.
const (
	RoleNode       = "node"       // a node's process, which can be taken out as a server can; its Kind is the tier that it sends to
	RoleController = "controller" // whoever acts for all that could; see Op.Fence
)

// Kinds of writes about what is agreed.
const (
	OpSetLimits     = "limits"
	OpGrantPermit   = "permit" // for one start of one unit
	OpBeginPermit   = "begin"  // the unit is taken out from now on; a server drains with it
	OpReturnPermit  = "return" // a permit that has not begun
	OpDecommission  = "gone"   // a unit that will not come back, or not soon
	OpWarmUp        = "warm"   // by the leader: how cold a unit still is
	OpReportEjected = "avoid"  // by a node: which servers it keeps out for their health
	OpPutRecord     = "put"    // a record, or with no value its end

	OpPropose     = "propose"  // a version of nodes' settings, against the one that it replaces
	OpAcknowledge = "ack"      // by a node: it could run what is proposed, or why not
	OpReport      = "report"   // by a node: what it runs
	OpAdvance     = "commit"   // the next stage's nodes are to run it; the answer's Token is the version in force
	OpWithdraw    = "withdraw" // what no node was told to run
	OpRollback    = "go-back"  // the old content as a new version
	OpHalt        = "halt"     // the version under way
)

// Faults of writes about what is agreed.
const (
	CodeOverBudget = "over-budget"
	CodeHalted     = "halted"
	CodeNoPermit   = "no-permit"
	CodeNotReady   = "not-yet" // Reason says what is missing
)

// Absent as Op.IfModRevision means that there must be no such entry or record.
const Absent = -1

// HaltKeyPrefix begins the key of the record that halts a plan: while it stands nothing of the plan begins.
const HaltKeyPrefix = "halt/"

// Fence names an entry that must be held by a token, for a write to count: whoever has lost its lease writes in vain.
type Fence struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// Record is something agreed on, under a key.
type Record struct {
	Key         string          `json:"key"`
	ModRevision int64           `json:"mod"` // revision of its last change
	Value       json.RawMessage `json:"value"`
}

// agreed is that part of a State.
type agreed struct {
	limits  *disruption.Limits // nil: none, and nobody counts
	ledger  *disruption.Budget
	missing map[string]*Instance // that nobody hears from, or that took themselves out: out until back or declared gone
	records map[string]*Record
	avoids  map[string][]string // by node
	avoided map[string]int      // by server: how many nodes avoid it
	nodes   map[string]int      // by the tier that they send to, how many there are
	book    *rollout.State      // of the versions of nodes' settings
	configs map[int64]json.RawMessage
}

func newAgreed() agreed {
	return agreed{ledger: disruption.NewBudget(), missing: map[string]*Instance{}, records: map[string]*Record{},
		avoids: map[string][]string{}, avoided: map[string]int{}, nodes: map[string]int{}, book: rollout.New(), configs: map[int64]json.RawMessage{}}
}

// Budget is what may be out and what is. It must not be changed.
func (s *State) Budget() *disruption.Budget { return s.ledger }

// Limits are those in force; nil: none.
func (s *State) Limits() *disruption.Limits { return s.limits }

// Record gives a record, or nil.
func (s *State) Record(key string) *Record { return s.records[key] }

// Records are all records whose keys begin so, by key.
func (s *State) Records(prefix string) []*Record {
	l := []*Record{}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if strings.HasPrefix(key, prefix) {
			l = append(l, s.records[key])
		}
	}
	return l
}

// Units are the entries that count in a budget, the missing with them, by uid.
func (s *State) Units() []*Instance {
	l := []*Instance{}
	for _, from := range []map[string]*Instance{s.entries, s.missing} {
		for _, e := range from {
			if e.Tier != "" && e.Role != RoleController {
				l = append(l, e)
			}
		}
	}
	slices.SortFunc(l, func(a, b *Instance) int { return compare(a.UID, b.UID) })
	return l
}

// Unreachable gives an entry that is out as nobody hears from it, or nil.
func (s *State) Unreachable(uid string) *Instance { return s.missing[uid] }

// fenced says that a write's fence holds no more.
func (s *State) fenced(f *Fence) bool {
	if f == nil {
		return false
	}
	e := s.entries[f.UID]
	return e == nil || e.Token != f.Token
}

// Rollout is which versions of their settings nodes run. It must not be changed.
func (s *State) Rollout() *rollout.State { return s.book }

// NodeSettings is the content of a version; nil: it is not known.
func (s *State) Settings(number int64) json.RawMessage { return s.configs[number] }

// rollout carries out a write about the versions of nodes' settings.
func (s *State) rollout(op Op) Result {
	var err error
	var v *rollout.Version
	switch op.Kind {
	case OpPropose:
		if len(op.Value) == 0 || len(op.Value) > maxRecord || !json.Valid(op.Value) {
			return Result{Code: CodeInvalid}
		}
		if v, err = s.book.Propose(ContentHash(op.Value), op.Replaces, op.Stages); err == nil {
			s.configs[v.Number], v.BakeMS = op.Value, op.BakeMS
		}
	case OpRollback:
		content := s.configs[s.book.Committed.Number]
		if v, err = s.book.Rollback(); err == nil {
			s.configs[v.Number] = content
		}
	case OpAcknowledge:
		err = s.book.Acknowledge(op.UID, op.Token, op.Number, op.Hash, op.RejectReason)
	case OpReport:
		err = s.book.Report(op.UID, op.Token, op.Number, op.Hash)
	case OpAdvance:
		err = s.book.Advance(op.Number, op.Stage)
	case OpWithdraw:
		err = s.book.Withdraw(op.Number)
	case OpHalt:
		err = s.book.Halt(op.Holder)
	}
	if err != nil {
		return Result{Code: CodeNotReady, Reason: err.Error()}
	}
	s.rev++
	wants := s.book.NeededVersions()
	maps.DeleteFunc(s.configs, func(n int64, _ json.RawMessage) bool { return !wants[n] })
	a := Result{}
	switch {
	case v != nil:
		a.Token = v.Number
	case op.Kind == OpAdvance:
		a.Token = s.book.Committed.Number
	}
	return a
}

// ContentHash is what a version's content is known by. It is of the text as it stands.
func ContentHash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// agree carries out a write about what is agreed.
func (s *State) agree(op Op) (Result, *Instance) {
	switch op.Kind {
	case OpPropose, OpRollback, OpAcknowledge, OpReport, OpAdvance, OpWithdraw, OpHalt:
		return s.rollout(op), nil
	case OpSetLimits:
		if op.Limits == nil || op.Limits.Validate() != nil {
			return Result{Code: CodeInvalid}, nil
		}
		s.rev++
		s.limits = op.Limits
		s.ledger.SetLimits(*op.Limits)
		return Result{}, nil
	case OpGrantPermit:
		return s.permit(op), nil
	case OpBeginPermit:
		return s.begin(op)
	case OpReturnPermit:
		if !s.ledger.Return(op.UID, op.Token) {
			return Result{Code: CodeNoPermit}, nil
		}
		s.rev++
		return Result{}, nil
	case OpDecommission:
		if s.entries[op.UID] != nil {
			return s.change(Op{Kind: OpRemove, UID: op.UID})
		}
		if s.missing[op.UID] == nil {
			return Result{Code: CodeNotFound}, nil
		}
		s.forget(op.UID)
		s.rev++
		return Result{}, nil
	case OpReportEjected:
		return s.avoid(op), nil
	case OpPutRecord:
		return s.putRecord(op), nil
	}
	return Result{Code: CodeInvalid}, nil
}

func (s *State) permit(op Op) Result {
	had := s.ledger.Permit(op.UID)
	p, err := s.ledger.Grant(disruption.Permit{Unit: op.UID, Incarnation: op.Incarnation, Token: s.rev + 1, Holder: op.Holder, Plan: op.Plan, TargetVersion: op.TargetVersion}, op.ReplacesPlan)
	if err != nil {
		return Result{Code: CodeOverBudget, Reason: err.Error()}
	}
	if had != p {
		s.rev++
	}
	return Result{Token: p.Token}
}

// begin lets a permit's holder take its unit out. What has begun can begin again, halted or not, as its first answer
// may have been lost.
func (s *State) begin(op Op) (Result, *Instance) {
	p := s.ledger.Permit(op.UID)
	if p != nil && !p.Begun && p.Plan != "" && s.records[HaltKeyPrefix+p.Plan] != nil {
		return Result{Code: CodeHalted}, nil
	}
	begun := p != nil && p.Begun
	p, err := s.ledger.Begin(op.UID, op.Token)
	switch {
	case errors.Is(err, disruption.ErrUnitRestarted):
		return Result{Code: CodeFenced, Reason: err.Error()}, nil
	case err != nil:
		return Result{Code: CodeNoPermit, Reason: err.Error()}, nil
	case begun:
		return Result{Token: p.Token}, nil
	}
	e := s.entries[op.UID]
	if e == nil || e.Role != "" {
		s.rev++
		return Result{Token: p.Token}, nil
	}
	drained := *e
	drained.State = Draining
	return Result{Token: p.Token}, s.put(drained)
}

// avoid notes which servers a node keeps out. A server counts as out while more than half of the nodes do.
func (s *State) avoid(op Op) Result {
	e := s.entries[op.UID]
	switch {
	case e == nil || e.Role != RoleNode:
		return Result{Code: CodeNotFound}
	case op.Token != e.Token:
		return Result{Code: CodeFenced}
	}
	s.setAvoids(op.UID, op.Ejected)
	s.rev++
	return Result{}
}

func (s *State) setAvoids(node string, avoids []string) {
	touched := s.avoids[node]
	for _, uid := range touched {
		if s.avoided[uid]--; s.avoided[uid] == 0 {
			delete(s.avoided, uid)
		}
	}
	avoids = slices.Compact(slices.Sorted(slices.Values(avoids)))
	if len(avoids) == 0 {
		delete(s.avoids, node)
	} else {
		s.avoids[node] = avoids
	}
	for _, uid := range avoids {
		s.avoided[uid]++
	}
	for _, uid := range append(touched, avoids...) {
		if e := s.entries[uid]; e != nil {
			s.note(e)
		}
	}
}

func (s *State) putRecord(op Op) Result {
	old := s.records[op.Key]
	switch {
	case op.Key == "" || len(op.Key) > maxText || len(op.Value) > maxRecord || len(op.Value) > 0 && !json.Valid(op.Value):
		return Result{Code: CodeInvalid}
	case op.IfModRevision == Absent && old != nil, op.IfModRevision > 0 && (old == nil || old.ModRevision != op.IfModRevision):
		return Result{Code: CodeConflict}
	case len(op.Value) == 0 && old == nil:
		return Result{Code: CodeNotFound}
	}
	s.rev++
	if len(op.Value) == 0 {
		delete(s.records, op.Key)
	} else {
		s.records[op.Key] = &Record{op.Key, s.rev, op.Value}
	}
	return Result{}
}

// note lets the ledger know of an entry as it is now.
func (s *State) note(e *Instance) {
	if e.Tier == "" || e.Role == RoleController {
		return
	}
	if e.Role == RoleNode {
		// Nobody has to be dead for the book: a lease that has ended is enough, believed or not.
		s.book.SetNode(e.UID, e.Zone, e.Token, e.Suspect || s.missing[e.UID] != nil, rollout.Timestamp{Revision: s.rev, UnixMS: s.wall})
	}
	u := disruption.Unit{ID: e.UID, Incarnation: e.Token, StartTimeMS: e.StartTimeMS, Tier: e.Tier, Zone: e.Zone, Region: e.Region, Rack: e.Rack, Capacity: e.Capacity}
	switch {
	case s.missing[e.UID] != nil:
		u.UnavailableShare, u.Reason = 1, disruption.ReasonUnreachable
	case e.Suspect:
		u.UnavailableShare, u.Reason = 1, "suspect"
	case e.State == Draining:
		u.UnavailableShare, u.Reason = 1, "draining"
	case 2*s.avoided[e.UID] > s.nodes[e.Tier]:
		u.UnavailableShare, u.Reason = 1, "avoided"
	case e.WarmUpDeficit > 0:
		u.UnavailableShare, u.Reason = e.WarmUpDeficit, "cold"
	}
	s.ledger.SetUnit(u)
}

// settle notes an entry that was put in place of another, or taken out.
func (s *State) settle(old, e *Instance, declared bool) {
	if e.Role == RoleNode {
		s.countNode(old, -1)
		s.countNode(e, 1)
		if e.State == Deleted || old != nil && old.Token != e.Token { // another process knows nothing yet
			s.setAvoids(e.UID, nil)
		}
	}
	switch {
	case e.Tier == "" || e.Role == RoleController:
	case e.State != Deleted:
		delete(s.missing, e.UID)
		s.note(e)
	case declared || s.limits == nil && e.Role != RoleNode:
		s.forget(e.UID)
	default:
		gone := *e
		gone.State = old.State
		s.missing[e.UID] = &gone
		s.note(&gone)
	}
}

// forget counts a unit no more.
func (s *State) forget(uid string) {
	delete(s.missing, uid)
	s.ledger.Decommission(uid)
	s.book.Decommission(uid)
}

// countNode counts a node in or out, and looks anew at what most nodes avoid.
func (s *State) countNode(e *Instance, n int) {
	if e == nil || e.Role != RoleNode || e.State == Deleted {
		return
	}
	s.nodes[e.Kind] += n
	for uid := range s.avoided {
		if a := s.entries[uid]; a != nil {
			s.note(a)
		}
	}
}

// found takes back an entry that was missing, in the same start of the same process.
func (s *State) found(lost *Instance, e Instance) (Result, *Instance) {
	e.Token, e.WarmUpDeficit = lost.Token, lost.WarmUpDeficit
	return Result{Token: e.Token}, s.put(e)
}

// taken says that an entry's start was taken out by a permit: until it starts anew it drains, whatever it says itself.
func (s *State) taken(e *Instance) bool {
	p := s.ledger.Permit(e.UID)
	return p != nil && p.Begun && p.StartTimeMS == e.StartTimeMS && e.Role == ""
}

// changing says that a release is changing a unit: it cannot be told to serve until that is over, or was taken back
// before anything had changed.
func (s *State) changing(e *Instance) (plan string, is bool) {
	p := s.ledger.Permit(e.UID)
	if p == nil || !p.Begun || p.TargetVersion == "" || p.TargetVersion == e.Version {
		return "", false
	}
	return p.Plan, true
}

// cold is how cold an entry is that has just started.
func (s *State) cold(e *Instance) float64 {
	if s.limits == nil || s.limits.WarmUpMS == 0 || e.StartTimeMS == 0 {
		return 0
	}
	return 1 - s.limits.InitialShare
}

// ---- Snapshots ----

// agreedImage is that part of a State as it is kept.
type agreedImage struct {
	Limits  *disruption.Limits   `json:"limits,omitempty"`
	Permits []*disruption.Permit `json:"permits,omitempty"`
	Missing []*Instance          `json:"missing,omitempty"`
	Records []*Record            `json:"records,omitempty"`
	Avoids  map[string][]string  `json:"avoids,omitempty"`

	Book    *rollout.State            `json:"book,omitempty"`
	Configs map[int64]json.RawMessage `json:"configs,omitempty"`
}

func (s *State) agreedImage() agreedImage {
	m := agreedImage{Limits: s.limits, Permits: s.ledger.Permits(), Records: s.Records(""), Avoids: s.avoids, Book: s.book, Configs: s.configs}
	for _, uid := range slices.Sorted(maps.Keys(s.missing)) {
		m.Missing = append(m.Missing, s.missing[uid])
	}
	return m
}

// load puts in place what was kept, once the entries are.
func (s *State) load(m agreedImage) {
	if m.Limits != nil {
		s.limits = m.Limits
		s.ledger.SetLimits(*m.Limits)
	}
	for _, r := range m.Records {
		s.records[r.Key] = r
	}
	if m.Book != nil {
		s.book = m.Book.Clone()
		s.book.MigrateLegacy()
	}
	maps.Copy(s.configs, m.Configs)
	for _, e := range m.Missing {
		if s.entries[e.UID] == nil {
			s.missing[e.UID] = e
		}
	}
	for _, e := range s.entries {
		s.countNode(e, 1)
	}
	for _, e := range s.Instances() {
		s.note(e)
	}
	for _, e := range s.missing {
		s.note(e)
	}
	for node, l := range m.Avoids {
		s.setAvoids(node, l)
	}
	for _, p := range m.Permits {
		s.ledger.Restore(*p)
		if e := cmp.Or(s.entries[p.Unit], s.missing[p.Unit]); e != nil {
			s.note(e) // which ends a permit that a later start has outlived
		}
	}
}

// restored puts in place what is agreed when a backup takes the place of a running State. What is out does not come
// back by a restore, so the permits and the missing of the running one stay, and the backup's beside them where it
// alone knows the unit. So it is with records: the running one's win, and a halt that was lifted since the backup stands
// again.
func (s *State) restored(backup, running *State) {
	m := backup.agreedImage()
	m.Avoids = nil
	if len(running.book.Nodes) > 0 {
		m.Book, m.Configs = running.book, running.configs // what nodes run does not change with the registry
	}
	for _, e := range running.agreedImage().Missing {
		if backup.missing[e.UID] == nil {
			m.Missing = append(m.Missing, e)
		}
	}
	m.Permits = slices.DeleteFunc(m.Permits, func(p *disruption.Permit) bool {
		return running.entries[p.Unit] != nil || running.missing[p.Unit] != nil
	})
	for _, p := range running.ledger.Permits() {
		kept := *p
		kept.SeenUnavailable = false // in the new epoch, not yet
		m.Permits = append(m.Permits, &kept)
		if e := s.entries[p.Unit]; e != nil && p.Begun && p.StartTimeMS >= e.StartTimeMS && e.Role == "" {
			drained := *e
			drained.State, drained.ModRevision = Draining, s.rev
			s.entries[p.Unit] = &drained
		}
	}
	m.Records = append(m.Records, running.Records("")...)
	s.load(m)
}
