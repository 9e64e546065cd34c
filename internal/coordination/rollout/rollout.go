// Package rollout decides which version of their settings nodes run. It is pure: what is proposed and what nodes answer goes
// in, one after the other, and the same order gives the same decisions everywhere.
//
// What holds:
//   - A version is told to nodes to run only after a quorum of them has acknowledged that they could: more than half of
//     those of each zone, and of all. Who counts is not who answers but who was ever registered and not declared
//     gone, so no partition makes the quorum smaller; where a zone's quorum is not there, nothing moves on. Only a zone
//     that is lost is passed over: all its nodes went out of touch, and none has caught up since. Its nodes count in
//     the quorum of all as those that have not acknowledged.
//   - An acknowledgment is for one start of one node and one version and hash.
//   - A node is out of touch while its lease has ended by the leader's word. Whoever is new or comes back, by the same start or
//     another, catches up: it is in touch from when that start has reported that it runs what it is told, which is
//     never older than what is in force. Only nodes in touch acknowledge, refuse, and are waited for.
//   - At most two contents run at any time among nodes in touch: the next version can be proposed only when each of them is
//     known to run the last, and what was told to some nodes alone can only be taken back by another version with the
//     old content.
//   - A stage is told only when at least half of those told before, and one, are in touch and run it: who vanished is no
//     evidence. In the place of a single one that vanished another is told first.
//   - No node is told to run a lower number than it was told before.
//   - One that runs what nobody told it to, or that could not take what is proposed, halts.
package rollout

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Version is settings under a number. Number 0 is what each node was started with.
type Version struct {
	Number   int64     `json:"number"`
	Hash     string    `json:"hash"` // of its content
	Replaces int64     `json:"replaces"`
	Stages   []float64 `json:"stages"`            // shares of all nodes, rising; the last is 1
	BakeMS   int64     `json:"bake_ms,omitempty"` // a stage must stand so long before the next, in milliseconds
}

// Timestamp is when something was written.
type Timestamp struct {
	Revision int64 `json:"rev"`               // the registry's revision
	UnixMS   int64 `json:"wall_ms,omitempty"` // Unix time by the writer's clock, for people alone; 0: it did not say
}

// Node is one node's process.
type Node struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"start"`             // names its present start
	Unreachable bool   `json:"missing,omitempty"` // out of touch: nobody hears from it
	// OutOfSyncSince is when it was last in touch, or first heard of, for as long as it is not in touch; nil: it is.
	OutOfSyncSince *Timestamp `json:"since,omitempty"`
	// HighestPossible is the highest version that it had been told then. It may run that, what it has last reported and any that
	// it was told in between; later ones only by a look of its own.
	HighestPossible int64 `json:"may_run,omitempty"`
	// Syncing: it is heard, and this start has not yet reported that it runs what it is told.
	Syncing bool `json:"catching_up,omitempty"`

	Reported       bool   `json:"known,omitempty"`   // it has said in this start what it runs
	RunningVersion int64  `json:"running"`           // by its own word, of this start or an earlier one
	Acknowledged   int64  `json:"acked,omitempty"`   // the version that it has acknowledged in this start
	TargetVersion  int64  `json:"told"`              // the version that it was last told to run
	Violation      string `json:"fault,omitempty"`   // what it did that none may
	RejectReason   string `json:"refused,omitempty"` // why it could not take the proposed version
}

// State is what is decided and known. Its fields are for snapshots; only its methods change it.
type State struct {
	Committed     Version          `json:"committed"`         // told to all nodes
	Pending       *Version         `json:"pending,omitempty"` // proposed, and told to nodes of the first stages
	Stage         int              `json:"stage"`             // how many stages of Pending were told
	HaltReason    string           `json:"halted,omitempty"`  // why Pending goes no further
	Hashes        map[int64]string `json:"hashes"`            // of every version that some node may run or be told
	HighestNumber int64            `json:"highest"`           // number that was ever given
	Nodes         map[string]*Node `json:"nodes"`
	// LostZones are the zones whose nodes all went out of touch and of which none has caught up since, by when the last went.
	LostZones map[string]Timestamp `json:"lost,omitempty"`
}

// InSync says that a node is heard and has caught up.
func (n *Node) InSync() bool { return !n.Unreachable && !n.Syncing }

// New returns a Book in which all nodes run what they were started with.
func New() *State { return &State{Hashes: map[int64]string{}, Nodes: map[string]*Node{}} }

// Clone is a copy that shares nothing that changes.
func (b *State) Clone() *State {
	c := *b
	if b.Pending != nil {
		p := *b.Pending
		c.Pending = &p
	}
	c.Hashes, c.Nodes, c.LostZones = maps.Clone(b.Hashes), map[string]*Node{}, maps.Clone(b.LostZones)
	if c.Hashes == nil {
		c.Hashes = map[int64]string{}
	}
	for id, n := range b.Nodes {
		copied := *n
		c.Nodes[id] = &copied
	}
	return &c
}

// MigrateLegacy fills in what a Book lacks that was kept before nodes caught up: whoever has not said what it runs is to do so, and
// zones of which nobody was heard are lost.
func (b *State) MigrateLegacy() {
	for _, n := range b.Nodes {
		n.Syncing = n.Syncing || !n.Reported && !n.Unreachable
		if n.Unreachable && n.OutOfSyncSince == nil {
			n.OutOfSyncSince, n.HighestPossible = &Timestamp{}, n.TargetVersion
		}
	}
	b.countZones(Timestamp{})
}

// SetNode notes a node's process, or that nobody hears from it. A new start has acknowledged nothing. at is when that was
// written.
func (b *State) SetNode(id, zone string, start int64, missing bool, at Timestamp) {
	n := b.Nodes[id]
	if n == nil {
		n = &Node{ID: id, Zone: zone, Incarnation: start, TargetVersion: b.Committed.Number, Syncing: true, OutOfSyncSince: &at, HighestPossible: b.Committed.Number}
		b.Nodes[id] = n
	}
	if n.InSync() && (missing || n.Incarnation != start) {
		n.OutOfSyncSince, n.HighestPossible = &at, n.TargetVersion
	}
	if n.Incarnation != start {
		n.Incarnation, n.Reported, n.Acknowledged, n.RejectReason, n.Violation, n.Syncing = start, false, 0, "", "", true
	}
	if n.Unreachable && !missing {
		n.Reported, n.Syncing = false, true
	}
	n.Zone, n.Unreachable = zone, missing
	b.countZones(at)
}

// countZones notes the zones that are lost from now on, and forgets those that have no node, or one in touch.
func (b *State) countZones(at Timestamp) {
	heard, inTouch := map[string]bool{}, map[string]bool{}
	for _, n := range b.Nodes {
		heard[n.Zone] = heard[n.Zone] || !n.Unreachable
		inTouch[n.Zone] = inTouch[n.Zone] || n.InSync()
	}
	for zone, is := range heard {
		if _, lost := b.LostZones[zone]; !is && !lost {
			if b.LostZones == nil {
				b.LostZones = map[string]Timestamp{}
			}
			b.LostZones[zone] = at
		}
	}
	maps.DeleteFunc(b.LostZones, func(zone string, _ Timestamp) bool {
		_, has := heard[zone]
		return !has || inTouch[zone]
	})
}

// caughtUp notes that a node is in touch from now on, and so its zone is not lost.
func (b *State) caughtUp(n *Node) {
	n.Syncing, n.OutOfSyncSince, n.HighestPossible = false, nil, 0
	delete(b.LostZones, n.Zone)
}

// Decommission forgets a node that is declared gone: whoever says so answers for it that it does not run.
func (b *State) Decommission(id string) {
	delete(b.Nodes, id)
	b.countZones(Timestamp{})
}

// ids are all nodes in the shared order.
func (b *State) ids() []string { return slices.Sorted(maps.Keys(b.Nodes)) }

// Propose puts a version forward, with the next number, against the version that it replaces.
func (b *State) Propose(hash string, replaces int64, stages []float64) (*Version, error) {
	if b.Pending != nil {
		return nil, fmt.Errorf("version %d is under way", b.Pending.Number)
	}
	if replaces != b.Committed.Number {
		return nil, fmt.Errorf("it is to replace version %d, and version %d is in force", replaces, b.Committed.Number)
	}
	if err := checkStages(stages); err != nil {
		return nil, err
	}
	if len(b.Nodes) == 0 {
		return nil, errors.New("there is no node")
	}
	if err := b.unsettled(); err != nil {
		return nil, err
	}
	return b.put(hash, replaces, stages), nil
}

// unsettled says which node in touch is not known to run what is in force, or that none is in touch; nil: neither.
func (b *State) unsettled() error {
	inTouch := 0
	for _, id := range b.ids() {
		n := b.Nodes[id]
		if !n.InSync() {
			continue
		}
		inTouch++
		if !n.Reported || n.RunningVersion != b.Committed.Number {
			return fmt.Errorf("node %s (zone %s) is not known to run version %d: wait for it, or declare it gone", id, n.Zone, b.Committed.Number)
		}
	}
	if ids := b.ids(); inTouch == 0 && len(ids) > 0 {
		return fmt.Errorf("no node is in touch: node %s (zone %s) is not known to run version %d", ids[0], b.Nodes[ids[0]].Zone, b.Committed.Number)
	}
	return nil
}

func checkStages(stages []float64) error {
	last := 0.0
	for i, s := range stages {
		if !(s > last && s <= 1) {
			return fmt.Errorf("stages[%d]: %v is not between the stage before and 1", i, s)
		}
		last = s
	}
	if last != 1 {
		return errors.New("stages: the last is not 1, all nodes")
	}
	return nil
}

func (b *State) put(hash string, replaces int64, stages []float64) *Version {
	b.HighestNumber++
	b.Pending = &Version{Number: b.HighestNumber, Hash: hash, Replaces: replaces, Stages: stages}
	b.Stage, b.HaltReason = 0, ""
	b.Hashes[b.HighestNumber] = hash
	for _, n := range b.Nodes {
		n.Acknowledged, n.RejectReason = 0, ""
	}
	return b.Pending
}

// Withdraw takes a proposed version back that no node was told to run. It leaves no trace but its number, which is not
// given again.
func (b *State) Withdraw(number int64) error {
	switch {
	case b.Pending == nil || b.Pending.Number != number:
		return fmt.Errorf("version %d is not under way", number)
	case b.Stage > 0:
		return fmt.Errorf("version %d was told to nodes: only going back undoes it", number)
	case b.spread():
		return fmt.Errorf("version %d is itself a way back", number)
	}
	b.drop()
	return nil
}

// spread says that some node was told to run what is neither in force nor proposed.
func (b *State) spread() bool {
	for _, n := range b.Nodes {
		if n.TargetVersion > b.Committed.Number {
			return true
		}
	}
	return false
}

func (b *State) drop() {
	delete(b.Hashes, b.Pending.Number)
	b.Pending, b.Stage, b.HaltReason = nil, 0, ""
	for _, n := range b.Nodes {
		n.Acknowledged, n.RejectReason = 0, ""
	}
}

// Rollback proposes the old content anew, in the place of a version that was told to some nodes, or of a way back from one that
// was halted. It goes to those first.
func (b *State) Rollback() (*Version, error) {
	if b.Pending == nil || b.Stage == 0 && !b.spread() {
		return nil, errors.New("no version was told to nodes and not to all")
	}
	if b.Committed.Number == 0 {
		return nil, errors.New("version 0 is what each node was started with, which the registry does not have: halt, mend, and go on, or declare the nodes gone")
	}
	return b.put(b.Hashes[b.Committed.Number], b.Pending.Number, []float64{1}), nil
}

// Report notes what a node's start says that it runs.
func (b *State) Report(id string, start, number int64, hash string) error {
	n := b.Nodes[id]
	if n == nil || n.Incarnation != start {
		return fmt.Errorf("start %d of node %s is not the one that runs", start, id)
	}
	n.Reported, n.RunningVersion, n.Violation = true, number, ""
	switch want := b.Hashes[number]; {
	case number > n.TargetVersion:
		n.Violation = fmt.Sprintf("node %s runs version %d, which it was not told to", id, number)
	case number != 0 && want != "" && want != hash:
		n.Violation = fmt.Sprintf("node %s runs version %d with the hash %.12s, which is %.12s", id, number, hash, want)
	}
	if n.Violation != "" && b.Pending != nil && b.HaltReason == "" {
		b.HaltReason = n.Violation
	}
	if n.Violation == "" {
		if !n.Unreachable && number == n.TargetVersion {
			b.caughtUp(n)
		}
		b.prune()
	}
	return nil
}

// prune forgets versions that no node can run or be told any more. Of a node that is not in touch two numbers stay known, what it
// has last reported and the highest that it was told before, so that one which is away for long keeps no more.
func (b *State) prune() {
	least, kept := b.Committed.Number, map[int64]bool{}
	for _, n := range b.Nodes {
		if n.InSync() {
			least = min(least, n.TargetVersion, n.RunningVersion)
		} else {
			kept[n.RunningVersion], kept[n.HighestPossible] = true, true
		}
	}
	maps.DeleteFunc(b.Hashes, func(number int64, _ string) bool { return number < least && !kept[number] })
}

// Acknowledge notes that a node's start could run the proposed version, or why not. The word of one that is not in touch is not taken.
func (b *State) Acknowledge(id string, start, number int64, hash, refused string) error {
	n := b.Nodes[id]
	switch {
	case n == nil || n.Incarnation != start:
		return fmt.Errorf("start %d of node %s is not the one that runs", start, id)
	case b.Pending == nil || b.Pending.Number != number || b.Pending.Hash != hash:
		return fmt.Errorf("version %d (%.12s) is not under way", number, hash)
	case !n.InSync():
		return fmt.Errorf("node %s has not caught up with version %d", id, n.TargetVersion)
	case refused != "":
		n.RejectReason, n.Acknowledged = refused, 0
		if b.HaltReason == "" {
			b.HaltReason = fmt.Sprintf("node %s could not take version %d: %s", id, number, refused)
		}
	default:
		n.Acknowledged, n.RejectReason = number, ""
	}
	return nil
}

// CheckQuorum says in which zone acknowledgments are missing; nil: in none. Lost zones are passed over, and their nodes count in the
// quorum of all.
func (b *State) CheckQuorum() error {
	if b.Pending == nil {
		return errors.New("no version is under way")
	}
	type count struct{ all, acked int }
	zones := map[string]*count{}
	whole := &count{}
	for _, n := range b.Nodes {
		z := zones[n.Zone]
		if z == nil {
			z = &count{}
			zones[n.Zone] = z
		}
		for _, c := range []*count{z, whole} {
			c.all++
			if n.Acknowledged == b.Pending.Number && n.InSync() {
				c.acked++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if _, lost := b.LostZones[name]; lost {
			continue
		}
		if c := zones[name]; 2*c.acked <= c.all {
			return fmt.Errorf("zone %s: %d of %d nodes have acknowledged version %d, %d are needed", name, c.acked, c.all, b.Pending.Number, c.all/2+1)
		}
	}
	if 2*whole.acked <= whole.all {
		return fmt.Errorf("%d of %d nodes have acknowledged version %d, %d are needed", whole.acked, whole.all, b.Pending.Number, whole.all/2+1)
	}
	return nil
}

// Advance tells the next stage's nodes to run the proposed version, if a quorum has acknowledged it and the nodes of the
// stages before run it; or one more, if the only one that was told has vanished. stage is how many were told when the caller looked: a repeat changes nothing.
func (b *State) Advance(number int64, stage int) error {
	if b.Pending == nil || b.Pending.Number != number {
		if number <= b.Committed.Number {
			return nil // told to all since
		}
		return fmt.Errorf("version %d is not under way", number)
	}
	switch {
	case b.Stage > stage:
		return nil
	case b.Stage < stage:
		return fmt.Errorf("version %d is at stage %d", number, b.Stage)
	case b.HaltReason != "":
		return errors.New("halted: " + b.HaltReason)
	}
	if err := b.CheckReady(); err != nil {
		return err
	}
	instead := b.vanished()
	// Nodes that are not in touch are told with the last stage, or when they come back after it.
	last := b.Stage == len(b.Pending.Stages)-1 && !instead
	ids := slices.DeleteFunc(b.ids(), func(id string) bool { return !last && !b.Nodes[id].InSync() })
	told := 0
	for _, id := range ids {
		if b.Nodes[id].TargetVersion == number {
			told++
		}
	}
	// Who was told what is taken back comes first, then evenly along the order.
	var left []string
	for _, id := range ids {
		if t := b.Nodes[id].TargetVersion; t != number && t > b.Committed.Number {
			left = append(left, id)
		}
	}
	for _, id := range ids {
		if b.Nodes[id].TargetVersion <= b.Committed.Number {
			left = append(left, id)
		}
	}
	want := int(math.Ceil(b.Pending.Stages[b.Stage]*float64(len(ids))-1e-9)) - told
	switch {
	case instead:
		want = 1
	case last:
		want = len(left)
	}
	for i := range min(max(want, 0), len(left)) {
		b.Nodes[left[i*len(left)/want]].TargetVersion = number
	}
	if instead {
		return nil
	}
	if b.Stage++; b.Stage == len(b.Pending.Stages) {
		b.Committed, b.Pending, b.Stage = *b.Pending, nil, 0
		for _, n := range b.Nodes {
			n.TargetVersion, n.Acknowledged = b.Committed.Number, 0
		}
	}
	return nil
}

// CheckReady says why the next stage's nodes cannot be told yet; nil: they can.
func (b *State) CheckReady() error {
	if err := b.CheckQuorum(); err != nil {
		return err
	}
	return b.behind()
}

// behind says which node in touch of the stages told so far does not run what it was told, or that too few of them are in
// touch; nil: neither.
func (b *State) behind() error {
	if b.Stage == 0 {
		return nil
	}
	told, run := 0, 0
	for _, id := range b.ids() {
		n := b.Nodes[id]
		if n.TargetVersion != b.Pending.Number {
			continue
		}
		told++
		switch {
		case !n.InSync():
		case !n.Reported || n.RunningVersion != n.TargetVersion:
			return fmt.Errorf("node %s (zone %s) was told version %d and is not known to run it", id, n.Zone, n.TargetVersion)
		default:
			run++
		}
	}
	if told > 1 && 2*run < told {
		return fmt.Errorf("%d of %d nodes that were told version %d are in touch and run it, %d are needed: wait for the others, go back, or declare them gone",
			run, told, b.Pending.Number, (told+1)/2)
	}
	return nil
}

// vanished says that a single node was told the stages so far, and is not in touch. What it might have shown another is to show,
// once: a version after which two have vanished waits.
func (b *State) vanished() bool {
	var told []*Node
	for _, n := range b.Nodes {
		if n.TargetVersion == b.Pending.Number {
			told = append(told, n)
		}
	}
	return b.Stage > 0 && len(told) == 1 && !told[0].InSync()
}

// Converged says that no version is under way and every node in touch is known to run what is in force.
func (b *State) Converged() bool { return b.Pending == nil && b.unsettled() == nil }

// OutOfSync are the nodes that are not in touch, those that catch up with them, by id.
func (b *State) OutOfSync() []*Node {
	l := []*Node{}
	for _, id := range b.ids() {
		if n := b.Nodes[id]; !n.InSync() {
			l = append(l, n)
		}
	}
	return l
}

// Halt halts the version under way.
func (b *State) Halt(why string) error {
	if b.Pending == nil {
		return errors.New("no version is under way")
	}
	if b.HaltReason == "" {
		b.HaltReason = why
	}
	return nil
}

// NeededVersions are the numbers whose content nodes may ask for.
func (b *State) NeededVersions() map[int64]bool {
	l := map[int64]bool{b.Committed.Number: true}
	if b.Pending != nil {
		l[b.Pending.Number] = true
	}
	for _, n := range b.Nodes {
		l[n.TargetVersion] = true
	}
	return l
}
