package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// process is a node as it is, and what the model knows of it beside the Book.
type process struct {
	id, zone string
	start    int64
	running  int64  // version
	content  string // hash
	out      bool   // by the leader's word
	inTouch  bool   // it was not out, and has said that it runs what it is told, since it last started or came back
	acked    int64  // the version that this start has acknowledged, while it was in touch
	told     int64  // at the last look
}

// model is a Book and the processes that it is about, with a count of its own of who is in touch and which zones are lost.
type model struct {
	t         *rapid.T
	b         *State
	nodes     map[string]*process
	names     []string
	lost      map[string]bool
	contents  map[int64]string // by number, as proposed
	withdrawn map[int64]bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, b: New(), nodes: map[string]*process{}, lost: map[string]bool{}, contents: map[int64]string{0: ""}, withdrawn: map[int64]bool{}}
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	for i := range rapid.IntRange(zones, 7).Draw(t, "nodes") {
		p := &process{id: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), start: 1}
		m.nodes[p.id] = p
		m.set(p)
	}
	m.names = m.b.ids()
	return m
}

// set tells the Book of a process, and counts which zones are lost.
func (m *model) set(p *process) {
	m.b.SetNode(p.id, p.zone, p.start, p.out, Timestamp{Revision: 1})
	p.inTouch = p.inTouch && !p.out
	all := true
	for _, o := range m.nodes {
		all = all && (o.zone != p.zone || o.out)
	}
	m.lost[p.zone] = m.lost[p.zone] || all
}

// hears has a process do what it is told, and say so.
func (m *model) hears(p *process) {
	n := m.b.Nodes[p.id]
	if n.TargetVersion > p.running {
		if m.withdrawn[n.TargetVersion] {
			m.t.Fatalf("told version %d, which was withdrawn", n.TargetVersion)
		}
		p.running, p.content = n.TargetVersion, m.contents[n.TargetVersion]
	}
	m.says(p)
}

// says has a process say what it runs.
func (m *model) says(p *process) {
	if err := m.b.Report(p.id, p.start, p.running, p.content); err != nil || m.b.Nodes[p.id].Violation != "" {
		m.t.Fatalf("%v %s", err, m.b.Nodes[p.id].Violation)
	}
	if !p.out && p.running == m.b.Nodes[p.id].TargetVersion {
		p.inTouch, m.lost[p.zone] = true, false
	}
}

// quorum counts acknowledgments of those in touch.
func (m *model) quorum(number int64) bool {
	acked, all := map[string]int{}, map[string]int{}
	for _, p := range m.nodes {
		for _, of := range []string{p.zone, ""} {
			all[of]++
			if p.acked == number && p.inTouch {
				acked[of]++
			}
		}
	}
	for of := range all {
		if 2*acked[of] <= all[of] && !m.lost[of] {
			return false
		}
	}
	return true
}

// quorate says that those who are heard can be a quorum.
func (m *model) quorate() bool {
	heard, all := map[string]int{}, map[string]int{}
	for _, p := range m.nodes {
		for _, of := range []string{p.zone, ""} {
			all[of]++
			if !p.out {
				heard[of]++
			}
		}
	}
	for of := range all {
		if 2*heard[of] <= all[of] && (of == "" || heard[of] > 0) {
			return false
		}
	}
	return true
}

// step does one thing of those that happen to nodes and versions.
func (m *model) step() {
	t, b := m.t, m.b
	p := m.nodes[rapid.SampledFrom(m.names).Draw(t, "node")]
	switch rapid.IntRange(0, 18).Draw(t, "what") {
	case 0:
		if v, err := b.Propose(fmt.Sprint("c", b.HighestNumber+1), b.Committed.Number, []float64{0.4, 1}); err == nil {
			m.contents[v.Number] = v.Hash
			for _, o := range m.nodes {
				if o.inTouch && o.running != b.Committed.Number {
					t.Fatalf("version %d is proposed while %s is in touch and runs %d", v.Number, o.id, o.running)
				}
			}
		}
	case 1, 2, 3:
		if b.Pending != nil {
			err := b.Acknowledge(p.id, p.start, b.Pending.Number, b.Pending.Hash, "")
			if (err == nil) != p.inTouch {
				t.Fatalf("in touch %v, and its acknowledgment: %v", p.inTouch, err)
			}
			if err == nil {
				p.acked = b.Pending.Number
			}
		}
	case 4, 5:
		m.commit()
	case 6, 7, 8:
		m.hears(p)
	case 9: // a restart, with what it kept
		p.start++
		p.inTouch, p.acked = false, 0
		m.set(p)
		if err := b.Report(p.id, p.start-1, b.Nodes[p.id].TargetVersion, ""); err == nil {
			t.Fatal("the word of an earlier start is taken")
		}
	case 10, 13:
		p.out = !p.out
		m.set(p)
	case 11:
		if b.Pending != nil && b.Withdraw(b.Pending.Number) == nil {
			m.withdrawn[b.HighestNumber] = true
		}
	case 12:
		if v, err := b.Rollback(); err == nil {
			m.contents[v.Number] = v.Hash
		}
	case 14:
		m.says(p) // before it has looked
	case 15, 16, 17:
		m.round()
	case 18:
		m.round()
		m.commit()
	}
}

// commit asks for the next stage.
func (m *model) commit() error {
	if m.b.Pending == nil {
		return nil
	}
	number := m.b.Pending.Number
	err := m.b.Advance(number, m.b.Stage)
	if err == nil && !m.quorum(number) {
		m.t.Fatalf("version %d was told without a quorum", number)
	}
	return err
}

// round has everybody who is heard do what they are told, and acknowledge what is proposed.
func (m *model) round() {
	for _, id := range m.names {
		p := m.nodes[id]
		if p.out {
			continue
		}
		m.hears(p)
		if v := m.b.Pending; v != nil {
			if err := m.b.Acknowledge(id, p.start, v.Number, v.Hash, ""); err != nil {
				m.t.Fatal(err)
			}
			p.acked = v.Number
		}
	}
}

// check looks at what must hold after every step.
func (m *model) check() {
	run := map[string]bool{}
	for id, n := range m.b.Nodes {
		p := m.nodes[id]
		if p.inTouch {
			run[p.content] = true
		}
		if n.InSync() != p.inTouch || n.InSync() != (n.OutOfSyncSince == nil) {
			m.t.Fatalf("%s is in touch: %v, by the book %+v", id, p.inTouch, n)
		}
		if n.TargetVersion < p.told || n.TargetVersion < m.b.Committed.Number {
			m.t.Fatalf("%s is told version %d, after %d, with %d in force", id, n.TargetVersion, p.told, m.b.Committed.Number)
		}
		p.told = n.TargetVersion
		if _, lost := m.b.LostZones[p.zone]; lost != m.lost[p.zone] {
			m.t.Fatalf("zone %s is lost: %v, by the book %v", p.zone, m.lost[p.zone], m.b.LostZones)
		}
	}
	if len(run) > 2 {
		m.t.Fatalf("%d contents run among nodes in touch: %v", len(run), run)
	}
}

// Nodes answer, activate, restart, go out of touch and come back in any order, while versions are proposed, committed, halted,
// withdrawn and taken back. At most two contents run at a time among nodes in touch, by the model's own count of who is; no
// node is told a lower number than before, or than what is in force; nothing is told without a quorum of all and of each zone
// that is not lost; a version withdrawn is never told; an earlier start's word is worth nothing.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// Whatever came after the first version, if those who are heard are a quorum of all and of every zone but those of which nobody
// is, three more come into force without a word of the others; and when these come back, they run what is in force before
// they count.
func TestDeadHoldUpNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		b := m.b
		m.round()
		if _, err := b.Propose("c1", 0, []float64{1}); err != nil {
			t.Fatal(err)
		}
		m.contents[1] = "c1"
		m.round()
		if err := m.commit(); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			m.step()
		}
		for _, id := range m.names { // back, until there is a quorum
			if p := m.nodes[id]; p.out && !m.quorate() {
				p.out = false
				m.set(p)
			}
		}
		m.round()
		pass := func() error {
			for range 4 { // as many as a version may have stages, and one more
				if m.round(); b.Pending == nil {
					return nil
				}
				if err := m.commit(); err != nil {
					return err
				}
			}
			return fmt.Errorf("version %d is still under way", b.Pending.Number)
		}
		if b.Pending != nil { // whatever was under way is taken back, or brought to its end
			if b.Withdraw(b.Pending.Number) != nil {
				if v, err := b.Rollback(); err == nil {
					m.contents[v.Number] = v.Hash
				}
			}
			if err := pass(); err != nil {
				t.Fatalf("what was under way: %v", err)
			}
		}
		for range 3 {
			v, err := b.Propose(fmt.Sprint("c", b.HighestNumber+1), b.Committed.Number, []float64{0.4, 1})
			if err != nil {
				t.Fatal(err)
			}
			m.contents[v.Number] = v.Hash
			if err := pass(); err != nil {
				t.Fatal(err)
			}
			m.check()
		}
		for _, id := range m.names {
			if p := m.nodes[id]; p.out {
				p.out = false
				m.set(p)
				m.says(p)
				if p.inTouch {
					t.Fatalf("%s is in touch with version %d", id, p.running)
				}
				m.hears(p)
			}
			m.check()
		}
		if !b.Converged() || len(b.OutOfSync()) > 0 {
			t.Fatalf("everybody is back: %+v", b)
		}
	})
}

// site is a Book with nodes in touch, so many in each zone, named after it.
func site(t *testing.T, zones string, each int) *State {
	b := New()
	for _, z := range zones {
		for i := range each {
			id := fmt.Sprintf("%c%d", z, i)
			b.SetNode(id, string(z), 1, false, Timestamp{Revision: 1})
			if err := b.Report(id, 1, 0, ""); err != nil {
				t.Fatal(err)
			}
		}
	}
	return b
}

// version brings one version into force, with a word only of those who are heard.
func version(b *State, stages ...float64) error {
	v, err := b.Propose(fmt.Sprint("c", b.HighestNumber+1), b.Committed.Number, stages)
	for err == nil && b.Pending != nil {
		for _, id := range b.ids() {
			if n := b.Nodes[id]; !n.Unreachable {
				b.Report(id, n.Incarnation, n.TargetVersion, b.Hashes[n.TargetVersion])
				b.Acknowledge(id, n.Incarnation, v.Number, v.Hash, "")
			}
		}
		err = b.Advance(v.Number, b.Stage)
	}
	for _, id := range b.ids() {
		if n := b.Nodes[id]; !n.Unreachable {
			b.Report(id, n.Incarnation, n.TargetVersion, b.Hashes[n.TargetVersion])
		}
	}
	return err
}

func out(b *State, ids ...string) {
	for _, id := range ids {
		b.SetNode(id, b.Nodes[id].Zone, b.Nodes[id].Incarnation, true, Timestamp{Revision: 9, UnixMS: 1000})
	}
}

// One of 100 goes out of touch, and 300 versions come into force, while what is kept of it stays two numbers: by their hashes it is
// still known, when it is heard again, that it runs what it should not.
func TestOneDeadOfHundred(t *testing.T) {
	b := site(t, "abcd", 25)
	for range 5 {
		if err := version(b, 1); err != nil {
			t.Fatal(err)
		}
	}
	v, err := b.Propose("c6", 5, []float64{1})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range b.ids() {
		if err := b.Acknowledge(id, 1, v.Number, v.Hash, ""); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Advance(v.Number, 0); err != nil {
		t.Fatal(err)
	}
	out(b, "a0")
	for _, id := range b.ids()[1:] {
		if err := b.Report(id, 1, v.Number, v.Hash); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 300 {
		if err := version(b, 0.1, 0.5, 1); err != nil {
			t.Fatalf("version %d: %v", i+1, err)
		}
	}
	n := b.Nodes["a0"]
	if b.Committed.Number != 306 || n.RunningVersion != 5 || n.HighestPossible != 6 || *n.OutOfSyncSince != (Timestamp{9, 1000}) {
		t.Errorf("in force %d, and of the dead is known: %+v", b.Committed.Number, n)
	}
	if len(b.Hashes) > 4 || len(b.NeededVersions()) > 2 {
		t.Errorf("hashes of %d versions are kept, contents of %d", len(b.Hashes), len(b.NeededVersions()))
	}
	for number := int64(5); number <= 6; number++ { // rising, as a node runs them
		hash := fmt.Sprint("c", number)
		for _, said := range []string{hash, "another"} {
			if err := b.Report("a0", 1, number, said); err != nil || (n.Violation == "") != (said == hash) || n.InSync() {
				t.Errorf("version %d, %s: %v, %+v", number, said, err, n)
			}
		}
	}
}

// A zone is lost and back; what is said of it; and the quorum of all is never passed over.
func TestLostZone(t *testing.T) {
	b := site(t, "abc", 3)
	for _, c := range []struct {
		what  string
		do    func()
		fails string
	}{
		{"all are there", func() {}, ""},
		{"two of a zone are out", func() { out(b, "c0", "c1") }, "zone c: 1 of 3 nodes have acknowledged version 2, 2 are needed"},
		{"it is taken back", func() { b.Withdraw(2) }, "zone c: 1 of 3 nodes have acknowledged version 3"},
		{"the zone is lost", func() { b.Withdraw(3); out(b, "c2") }, ""},
		{"one is back, with an old word", func() {
			b.SetNode("c0", "c", 1, false, Timestamp{Revision: 12})
			if err := b.Report("c0", 1, 1, "c1"); err != nil || b.LostZones["c"].Revision != 9 || b.Nodes["c0"].InSync() {
				t.Errorf("%v: lost %v, %+v", err, b.LostZones, b.Nodes["c0"])
			}
			out(b, "c0")
		}, ""},
		{"one has caught up, and the zone counts", func() {
			b.SetNode("c0", "c", 1, false, Timestamp{Revision: 13})
			b.Report("c0", 1, 5, "c5")
			if len(b.LostZones) > 0 {
				t.Errorf("lost: %v", b.LostZones)
			}
		}, "zone c: 1 of 3"},
		{"fresh starts of it", func() {
			b.Withdraw(6)
			for _, id := range []string{"c1", "c2"} {
				b.SetNode(id, "c", 2, false, Timestamp{Revision: 14})
				if b.Nodes[id].InSync() {
					t.Errorf("a fresh start is in touch: %+v", b.Nodes[id])
				}
				b.Report(id, 2, 5, "c5")
			}
		}, ""},
		{"two zones are lost", func() { out(b, "b0", "b1", "b2", "c0", "c1", "c2") }, "3 of 9 nodes have acknowledged version 8, 5 are needed"},
		{"a declared loss", func() {
			b.Withdraw(8)
			for _, id := range []string{"b0", "b1", "b2", "c0"} {
				b.Decommission(id)
			}
			if _, is := b.LostZones["b"]; is {
				t.Errorf("a zone without nodes is lost: %v", b.LostZones)
			}
		}, ""},
	} {
		c.do()
		if err := version(b, 0.4, 1); err != nil && c.fails == "" || c.fails != "" && (err == nil || !strings.Contains(err.Error(), c.fails)) {
			t.Errorf("%s: %v, want %q", c.what, err, c.fails)
		}
	}
}

// A version after which the node that was told it vanishes is shown to one more; when that vanishes too, or more than half of
// several, it goes no further, until they are back, declared gone, or it is taken back.
func TestVanished(t *testing.T) {
	const all = "a0 a1 a2 a3 a4 b0 b1 b2 b3 b4"
	back := func(b *State, id string) {
		b.SetNode(id, "a", b.Nodes[id].Incarnation, false, Timestamp{})
		b.Report(id, b.Nodes[id].Incarnation, 2, "x")
	}
	for name, c := range map[string]struct {
		share float64 // of ten nodes, in the first stage
		then  func(*State)
		told  string // by the next commit, beside those before
		fails string
	}{
		"all run it":         {0.1, func(*State) {}, all, ""},
		"the one goes":       {0.1, func(b *State) { out(b, "a0") }, "a0 a1", ""},
		"it starts again":    {0.1, func(b *State) { b.SetNode("a0", "a", 2, false, Timestamp{}) }, "a0 a1", ""},
		"it is back":         {0.1, func(b *State) { out(b, "a0"); back(b, "a0") }, all, ""},
		"it is gone":         {0.1, func(b *State) { out(b, "a0"); b.Decommission("a0") }, all[3:], ""},
		"so does the second": {0.1, func(b *State) { out(b, "a0"); b.Advance(2, 1); out(b, "a1") }, "a0 a1", "0 of 2 nodes that were told version 2 are in touch and run it, 1 are needed"},
		"the second is slow": {0.1, func(b *State) { out(b, "a0"); b.Advance(2, 1) }, "a0 a1", "node a1 (zone a) was told version 2 and is not known to run it"},
		"the second runs it": {0.1, func(b *State) { out(b, "a0"); b.Advance(2, 1); b.Report("a1", 1, 2, "x") }, all, ""},
		"one of three goes":  {0.3, func(b *State) { out(b, "a0") }, all, ""},
		"two of three go":    {0.3, func(b *State) { out(b, "a0", "a3") }, "a0 a3 b1", "1 of 3 nodes that were told version 2 are in touch and run it, 2 are needed"},
		"one of them is back": {0.3, func(b *State) {
			out(b, "a0", "a3")
			back(b, "a3")
		}, all, ""},
		"it is taken back": {0.3, func(b *State) { out(b, "a0", "a3"); b.Rollback() }, "a0 a3 b1", "version 2 is not under way"},
	} {
		b := site(t, "ab", 5)
		if err := version(b, 1); err != nil {
			t.Fatal(err)
		}
		v, err := b.Propose("x", 1, []float64{c.share, 1})
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range b.ids() {
			if err := b.Acknowledge(id, 1, v.Number, "x", ""); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Advance(2, 0); err != nil {
			t.Fatal(err)
		}
		for _, id := range b.ids() {
			if b.Nodes[id].TargetVersion == 2 {
				b.Report(id, 1, 2, "x")
			}
		}
		c.then(b)
		if err := b.Advance(2, 1); err != nil && c.fails == "" || c.fails != "" && (err == nil || !strings.Contains(err.Error(), c.fails)) {
			t.Errorf("%s: %v, want %q", name, err, c.fails)
		}
		var told []string
		for _, id := range b.ids() {
			if b.Nodes[id].TargetVersion == 2 {
				told = append(told, id)
			}
		}
		if got := strings.Join(told, " "); got != c.told {
			t.Errorf("%s: told %s, want %s", name, got, c.told)
		}
	}
}

// A Book of a build before nodes caught up goes on: who had said what it runs is in touch, whoever had not is to.
func TestComplete(t *testing.T) {
	var b State
	if err := json.Unmarshal([]byte(`{"committed":{"number":3,"hash":"c3","replaces":2,"stages":[1]},"hashes":{"3":"c3"},"highest":3,"nodes":{
		"n0":{"id":"n0","zone":"a","start":1,"known":true,"running":3,"told":3},
		"n1":{"id":"n1","zone":"a","start":1,"running":3,"told":3},
		"n2":{"id":"n2","zone":"b","start":1,"missing":true,"known":true,"running":2,"told":3}}}`), &b); err != nil {
		t.Fatal(err)
	}
	b.MigrateLegacy()
	if n := b.OutOfSync(); len(n) != 2 || n[0].ID != "n1" || n[1].ID != "n2" || n[1].HighestPossible != 3 {
		t.Errorf("out of touch: %+v", n)
	}
	if _, lost := b.LostZones["b"]; !lost || len(b.LostZones) != 1 {
		t.Errorf("lost: %v", b.LostZones)
	}
	c := b.Clone()
	c.MigrateLegacy()
	if d := cmp.Diff(&b, c); d != "" {
		t.Errorf("twice: %s", d)
	}
}

// The life of a version, step by step, and what is said where it cannot go on.
func TestStepByStep(t *testing.T) {
	b := New()
	zones := []string{"a", "a", "a", "b", "b"}
	for i, z := range zones {
		b.SetNode(fmt.Sprint("n", i), z, 1, false, Timestamp{})
	}
	fails := func(err error, want string) {
		t.Helper()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	_, err := b.Propose("x", 0, []float64{1})
	fails(err, "node n0 (zone a) is not known to run version 0")
	for i := range zones {
		fails(b.Report(fmt.Sprint("n", i), 1, 0, ""), "")
	}
	_, err = b.Propose("x", 3, []float64{1})
	fails(err, "version 0 is in force")
	_, err = b.Propose("x", 0, []float64{0.5, 0.4})
	fails(err, "stages[1]")
	v, err := b.Propose("x", 0, []float64{0.4, 1})
	fails(err, "")
	_, err = b.Propose("y", 0, []float64{1})
	fails(err, "under way")
	ack := func(i int) { fails(b.Acknowledge(fmt.Sprint("n", i), 1, v.Number, "x", ""), "") }
	ack(0)
	ack(0) // twice counts once
	ack(3)
	fails(b.Advance(v.Number, 0), "zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed")
	ack(1)
	fails(b.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(b.Acknowledge("n4", 2, v.Number, "x", ""), "start 2")
	fails(b.Acknowledge("n4", 1, v.Number, "z", ""), "not under way")
	ack(4)
	b.SetNode("n4", "b", 1, true, Timestamp{}) // cut off, and no smaller quorum for it
	fails(b.Advance(v.Number, 0), "zone b: 1 of 2")
	b.SetNode("n4", "b", 2, false, Timestamp{}) // a restart: its word is worth nothing
	fails(b.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(b.Acknowledge("n4", 2, v.Number, "x", ""), "node n4 has not caught up with version 0")
	fails(b.Report("n4", 2, 0, ""), "")
	fails(b.Advance(v.Number, 0), "zone b: 1 of 2")
	fails(b.Acknowledge("n4", 2, v.Number, "x", ""), "")
	fails(b.Advance(v.Number, 0), "")
	fails(b.Advance(v.Number, 0), "") // a repeat
	if b.Nodes["n0"].TargetVersion != 1 || b.Stage != 1 {
		t.Errorf("%+v", b)
	}
	fails(b.Advance(v.Number, 1), "node n0 (zone a) was told version 1 and is not known to run it")
	fails(b.Withdraw(1), "only going back")
	fails(b.Report("n1", 1, 1, "x"), "") // it runs what it only acknowledged
	if !strings.Contains(b.HaltReason, "n1 runs version 1, which it was not told to") {
		t.Errorf("halted: %q", b.HaltReason)
	}
	fails(b.Advance(v.Number, 1), "halted: node n1")
	_, err = b.Rollback()
	fails(err, "version 0 is what each node was started with")
	// A way back that is halted cannot be withdrawn, as some run what it takes back, but can be begun anew.
	c := New()
	c.SetNode("n0", "a", 1, false, Timestamp{})
	c.SetNode("n1", "a", 1, false, Timestamp{})
	pass := func() {
		t.Helper()
		for _, id := range c.ids() {
			fails(c.Report(id, 1, c.Nodes[id].TargetVersion, c.Hashes[c.Nodes[id].TargetVersion]), "")
			if c.Pending != nil {
				fails(c.Acknowledge(id, 1, c.Pending.Number, c.Pending.Hash, ""), "")
			}
		}
	}
	pass()
	c.Propose("x", 0, []float64{1})
	pass()
	fails(c.Advance(1, 0), "")
	pass()
	c.Propose("y", 1, []float64{0.5, 1})
	pass()
	fails(c.Advance(2, 0), "")
	_, err = c.Rollback()
	fails(err, "")
	fails(c.Halt("by staff"), "")
	fails(c.Withdraw(3), "itself a way back")
	again, err := c.Rollback()
	fails(err, "")
	pass()
	fails(c.Advance(again.Number, 0), "")
	if c.Committed.Number != 4 || c.Committed.Hash != "x" {
		t.Errorf("in force: %+v", c.Committed)
	}
	fails(b.Acknowledge("n2", 1, 1, "x", "no such class"), "")
	if b.Nodes["n2"].RejectReason == "" {
		t.Error("a refusal is not kept")
	}
}
