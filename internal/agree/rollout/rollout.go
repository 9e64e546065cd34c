// Package rollout decides which version of their settings nodes run. It is pure: what is proposed and what nodes answer goes
// in, one after the other, and the same order gives the same decisions everywhere.
//
// What holds:
//   - A version is told to nodes to run only after a quorum of them has acknowledged that they could: more than half of
//     those of each zone, and of all. Who counts is not who answers but who was ever registered and not declared
//     gone, so no partition makes the quorum smaller; where a zone's quorum is not there, nothing moves on.
//   - An acknowledgment is for one start of one node and one version and hash.
//   - At most two contents run at any time among nodes that are not declared gone: the next version can be proposed only
//     when every node is known to run the last, and what was told to some nodes alone can only be taken back by another
//     version with the old content.
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

// Node is one node's process.
type Node struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Start   int64  `json:"start"` // names its present start
	Missing bool   `json:"missing,omitempty"`
	Known   bool   `json:"known,omitempty"`   // it has said in this start what it runs
	Running int64  `json:"running"`           // by its own word, of this start or an earlier one
	Acked   int64  `json:"acked,omitempty"`   // the version that it has acknowledged in this start
	Told    int64  `json:"told"`              // the version that it was last told to run
	Fault   string `json:"fault,omitempty"`   // what it did that none may
	Refused string `json:"refused,omitempty"` // why it could not take the proposed version
}

// Book is what is decided and known. Its fields are for snapshots; only its methods change it.
type Book struct {
	Committed Version          `json:"committed"`         // told to all nodes
	Pending   *Version         `json:"pending,omitempty"` // proposed, and told to nodes of the first stages
	Stage     int              `json:"stage"`             // how many stages of Pending were told
	Halted    string           `json:"halted,omitempty"`  // why Pending goes no further
	Hashes    map[int64]string `json:"hashes"`            // of every version that some node may run or be told
	Highest   int64            `json:"highest"`           // number that was ever given
	Nodes     map[string]*Node `json:"nodes"`
}

// New returns a Book in which all nodes run what they were started with.
func New() *Book { return &Book{Hashes: map[int64]string{}, Nodes: map[string]*Node{}} }

// Clone is a copy that shares nothing that changes.
func (b *Book) Clone() *Book {
	c := *b
	if b.Pending != nil {
		p := *b.Pending
		c.Pending = &p
	}
	c.Hashes, c.Nodes = maps.Clone(b.Hashes), map[string]*Node{}
	if c.Hashes == nil {
		c.Hashes = map[int64]string{}
	}
	for id, n := range b.Nodes {
		copied := *n
		c.Nodes[id] = &copied
	}
	return &c
}

// SetNode notes a node's process, or that nobody hears from it. A new start has acknowledged nothing.
func (b *Book) SetNode(id, zone string, start int64, missing bool) {
	n := b.Nodes[id]
	if n == nil {
		n = &Node{ID: id, Start: start, Told: b.Committed.Number}
		b.Nodes[id] = n
	}
	if n.Start != start {
		n.Start, n.Known, n.Acked, n.Refused, n.Fault = start, false, 0, "", ""
	}
	n.Zone, n.Missing = zone, missing
}

// Gone forgets a node that is declared gone: whoever says so answers for it that it does not run.
func (b *Book) Gone(id string) { delete(b.Nodes, id) }

// ids are all nodes in the shared order.
func (b *Book) ids() []string { return slices.Sorted(maps.Keys(b.Nodes)) }

// Propose puts a version forward, with the next number, against the version that it replaces.
func (b *Book) Propose(hash string, replaces int64, stages []float64) (*Version, error) {
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
	for _, id := range b.ids() {
		if n := b.Nodes[id]; !n.Known || n.Running != b.Committed.Number {
			return nil, fmt.Errorf("node %s (zone %s) is not known to run version %d: wait for it, or declare it gone", id, n.Zone, b.Committed.Number)
		}
	}
	return b.put(hash, replaces, stages), nil
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

func (b *Book) put(hash string, replaces int64, stages []float64) *Version {
	b.Highest++
	b.Pending = &Version{Number: b.Highest, Hash: hash, Replaces: replaces, Stages: stages}
	b.Stage, b.Halted = 0, ""
	b.Hashes[b.Highest] = hash
	for _, n := range b.Nodes {
		n.Acked, n.Refused = 0, ""
	}
	return b.Pending
}

// Withdraw takes a proposed version back that no node was told to run. It leaves no trace but its number, which is not
// given again.
func (b *Book) Withdraw(number int64) error {
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
func (b *Book) spread() bool {
	for _, n := range b.Nodes {
		if n.Told > b.Committed.Number {
			return true
		}
	}
	return false
}

func (b *Book) drop() {
	delete(b.Hashes, b.Pending.Number)
	b.Pending, b.Stage, b.Halted = nil, 0, ""
	for _, n := range b.Nodes {
		n.Acked, n.Refused = 0, ""
	}
}

// Back proposes the old content anew, in the place of a version that was told to some nodes, or of a way back from one that
// was halted. It goes to those first.
func (b *Book) Back() (*Version, error) {
	if b.Pending == nil || b.Stage == 0 && !b.spread() {
		return nil, errors.New("no version was told to nodes and not to all")
	}
	if b.Committed.Number == 0 {
		return nil, errors.New("version 0 is what each node was started with, which the registry does not have: halt, mend, and go on, or declare the nodes gone")
	}
	return b.put(b.Hashes[b.Committed.Number], b.Pending.Number, []float64{1}), nil
}

// Report notes what a node's start says that it runs.
func (b *Book) Report(id string, start, number int64, hash string) error {
	n := b.Nodes[id]
	if n == nil || n.Start != start {
		return fmt.Errorf("start %d of node %s is not the one that runs", start, id)
	}
	n.Known, n.Running, n.Fault = true, number, ""
	switch want := b.Hashes[number]; {
	case number > n.Told:
		n.Fault = fmt.Sprintf("node %s runs version %d, which it was not told to", id, number)
	case number != 0 && want != "" && want != hash:
		n.Fault = fmt.Sprintf("node %s runs version %d with the hash %.12s, which is %.12s", id, number, hash, want)
	}
	if n.Fault != "" && b.Pending != nil && b.Halted == "" {
		b.Halted = n.Fault
	}
	if n.Fault == "" {
		b.prune()
	}
	return nil
}

// prune forgets versions that no node can run or be told any more.
func (b *Book) prune() {
	least := b.Committed.Number
	for _, n := range b.Nodes {
		least = min(least, n.Told, n.Running)
	}
	maps.DeleteFunc(b.Hashes, func(number int64, _ string) bool { return number < least })
}

// Ack notes that a node's start could run the proposed version, or why not.
func (b *Book) Ack(id string, start, number int64, hash, refused string) error {
	n := b.Nodes[id]
	switch {
	case n == nil || n.Start != start:
		return fmt.Errorf("start %d of node %s is not the one that runs", start, id)
	case b.Pending == nil || b.Pending.Number != number || b.Pending.Hash != hash:
		return fmt.Errorf("version %d (%.12s) is not under way", number, hash)
	case refused != "":
		n.Refused, n.Acked = refused, 0
		if b.Halted == "" {
			b.Halted = fmt.Sprintf("node %s could not take version %d: %s", id, number, refused)
		}
	default:
		n.Acked, n.Refused = number, ""
	}
	return nil
}

// Quorum says in which zone acknowledgments are missing; nil: in none.
func (b *Book) Quorum() error {
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
			if n.Acked == b.Pending.Number && !n.Missing {
				c.acked++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if c := zones[name]; 2*c.acked <= c.all {
			return fmt.Errorf("zone %s: %d of %d nodes have acknowledged version %d, %d are needed", name, c.acked, c.all, b.Pending.Number, c.all/2+1)
		}
	}
	if 2*whole.acked <= whole.all {
		return fmt.Errorf("%d of %d nodes have acknowledged version %d, %d are needed", whole.acked, whole.all, b.Pending.Number, whole.all/2+1)
	}
	return nil
}

// Commit tells the next stage's nodes to run the proposed version, if a quorum has acknowledged it and the nodes of the
// stages before run it. stage is how many were told when the caller looked: a repeat changes nothing.
func (b *Book) Commit(number int64, stage int) error {
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
	case b.Halted != "":
		return errors.New("halted: " + b.Halted)
	}
	if err := b.Ready(); err != nil {
		return err
	}
	ids := b.ids()
	told := 0
	for _, id := range ids {
		if b.Nodes[id].Told == number {
			told++
		}
	}
	// Who was told what is taken back comes first, then evenly along the order.
	var left []string
	for _, id := range ids {
		if t := b.Nodes[id].Told; t != number && t > b.Committed.Number {
			left = append(left, id)
		}
	}
	for _, id := range ids {
		if b.Nodes[id].Told <= b.Committed.Number {
			left = append(left, id)
		}
	}
	want := int(math.Ceil(b.Pending.Stages[b.Stage]*float64(len(ids))-1e-9)) - told
	if b.Stage == len(b.Pending.Stages)-1 {
		want = len(left)
	}
	for i := range min(max(want, 0), len(left)) {
		b.Nodes[left[i*len(left)/want]].Told = number
	}
	if b.Stage++; b.Stage == len(b.Pending.Stages) {
		b.Committed, b.Pending, b.Stage = *b.Pending, nil, 0
		for _, n := range b.Nodes {
			n.Told, n.Acked = b.Committed.Number, 0
		}
	}
	return nil
}

// Ready says why the next stage's nodes cannot be told yet; nil: they can.
func (b *Book) Ready() error {
	if err := b.Quorum(); err != nil {
		return err
	}
	return b.behind()
}

// behind says which node of the stages told so far does not run what it was told; nil: none.
func (b *Book) behind() error {
	if b.Stage == 0 {
		return nil
	}
	for _, id := range b.ids() {
		if n := b.Nodes[id]; n.Told == b.Pending.Number && (!n.Known || n.Running != n.Told) {
			return fmt.Errorf("node %s (zone %s) was told version %d and is not known to run it", id, n.Zone, n.Told)
		}
	}
	return nil
}

// Settled says that every node is known to run what is in force.
func (b *Book) Settled() bool {
	for _, n := range b.Nodes {
		if !n.Known || n.Running != b.Committed.Number {
			return false
		}
	}
	return b.Pending == nil
}

// Halt halts the version under way.
func (b *Book) Halt(why string) error {
	if b.Pending == nil {
		return errors.New("no version is under way")
	}
	if b.Halted == "" {
		b.Halted = why
	}
	return nil
}

// Wants are the numbers whose content nodes may ask for.
func (b *Book) Wants() map[int64]bool {
	l := map[int64]bool{b.Committed.Number: true}
	if b.Pending != nil {
		l[b.Pending.Number] = true
	}
	for _, n := range b.Nodes {
		l[n.Told] = true
	}
	return l
}
