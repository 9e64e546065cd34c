package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// process is a node as it is, and what the model knows of it beside the State.
type process struct {
	id, zone     string
	incarnation  int64
	running      int64  // version
	content      string // hash
	unreachable  bool   // as the registry's leader has written
	inSync       bool   // reachable, and it has reported that it runs its target, since it last started or came back
	acknowledged int64  // the version that this incarnation has acknowledged, while it was in sync
	target       int64  // at the last check
}

// model is a State and the processes that it is about. It keeps track by itself of who is in sync and which zones are lost.
type model struct {
	t         *rapid.T
	state     *State
	nodes     map[string]*process
	names     []string
	lost      map[string]bool
	contents  map[int64]string // by number, as proposed
	withdrawn map[int64]bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, state: New(), nodes: map[string]*process{}, lost: map[string]bool{}, contents: map[int64]string{0: ""}, withdrawn: map[int64]bool{}}
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	for i := range rapid.IntRange(zones, 7).Draw(t, "nodes") {
		p := &process{id: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), incarnation: 1}
		m.nodes[p.id] = p
		m.set(p)
	}
	m.names = m.state.nodeIDs()
	return m
}

// set records a process in the State, and keeps track of which zones are lost.
func (m *model) set(p *process) {
	m.state.SetNode(p.id, p.zone, p.incarnation, p.unreachable, Timestamp{Revision: 1})
	p.inSync = p.inSync && !p.unreachable
	all := true
	for _, o := range m.nodes {
		all = all && (o.zone != p.zone || o.unreachable)
	}
	m.lost[p.zone] = m.lost[p.zone] || all
}

// applyTarget has a process run its target version, and report that.
func (m *model) applyTarget(p *process) {
	n := m.state.Nodes[p.id]
	if n.TargetVersion > p.running {
		if m.withdrawn[n.TargetVersion] {
			m.t.Fatalf("the target is version %d, which was withdrawn", n.TargetVersion)
		}
		p.running, p.content = n.TargetVersion, m.contents[n.TargetVersion]
	}
	m.report(p)
}

// report has a process report what it runs.
func (m *model) report(p *process) {
	if err := m.state.Report(p.id, p.incarnation, p.running, p.content); err != nil || m.state.Nodes[p.id].Violation != "" {
		m.t.Fatalf("%v %s", err, m.state.Nodes[p.id].Violation)
	}
	if !p.unreachable && p.running == m.state.Nodes[p.id].TargetVersion {
		p.inSync, m.lost[p.zone] = true, false
	}
}

// isQuorum counts the acknowledgements of the nodes in sync.
func (m *model) isQuorum(number int64) bool {
	acknowledged, all := map[string]int{}, map[string]int{}
	for _, p := range m.nodes {
		for _, of := range []string{p.zone, ""} {
			all[of]++
			if p.acknowledged == number && p.inSync {
				acknowledged[of]++
			}
		}
	}
	for of := range all {
		if 2*acknowledged[of] <= all[of] && !m.lost[of] {
			return false
		}
	}
	return true
}

// canBeQuorum reports whether the reachable nodes can be a quorum.
func (m *model) canBeQuorum() bool {
	reachable, all := map[string]int{}, map[string]int{}
	for _, p := range m.nodes {
		for _, of := range []string{p.zone, ""} {
			all[of]++
			if !p.unreachable {
				reachable[of]++
			}
		}
	}
	for of := range all {
		if 2*reachable[of] <= all[of] && (of == "" || reachable[of] > 0) {
			return false
		}
	}
	return true
}

// step does one thing of those that happen to nodes and versions.
func (m *model) step() {
	t, s := m.t, m.state
	p := m.nodes[rapid.SampledFrom(m.names).Draw(t, "node")]
	switch rapid.IntRange(0, 18).Draw(t, "what") {
	case 0:
		if v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, []float64{0.4, 1}); err == nil {
			m.contents[v.Number] = v.Hash
			for _, o := range m.nodes {
				if o.inSync && o.running != s.Committed.Number {
					t.Fatalf("version %d is proposed while %s is in sync and runs %d", v.Number, o.id, o.running)
				}
			}
		}
	case 1, 2, 3:
		if s.Pending != nil {
			err := s.Acknowledge(p.id, p.incarnation, s.Pending.Number, s.Pending.Hash, "")
			if (err == nil) != p.inSync {
				t.Fatalf("in sync %v, and its acknowledgment: %v", p.inSync, err)
			}
			if err == nil {
				p.acknowledged = s.Pending.Number
			}
		}
	case 4, 5:
		_ = m.advance() // it may have no quorum
	case 6, 7, 8:
		m.applyTarget(p)
	case 9: // a restart, with what it kept
		p.incarnation++
		p.inSync, p.acknowledged = false, 0
		m.set(p)
		if err := s.Report(p.id, p.incarnation-1, s.Nodes[p.id].TargetVersion, ""); err == nil {
			t.Fatal("the word of an earlier start is taken")
		}
	case 10, 13:
		p.unreachable = !p.unreachable
		m.set(p)
	case 11:
		if s.Pending != nil && s.Withdraw(s.Pending.Number) == nil {
			m.withdrawn[s.HighestNumber] = true
		}
	case 12:
		if v, err := s.Rollback(); err == nil {
			m.contents[v.Number] = v.Hash
		}
	case 14:
		m.report(p) // before it has polled
	case 15, 16, 17:
		m.round()
	case 18:
		m.round()
		_ = m.advance() // it may have no quorum
	}
}

// advance asks for the next stage.
func (m *model) advance() error {
	if m.state.Pending == nil {
		return nil
	}
	number := m.state.Pending.Number
	err := m.state.Advance(number, m.state.StartedStages)
	if err == nil && !m.isQuorum(number) {
		m.t.Fatalf("version %d was started without a quorum", number)
	}
	return err
}

// round has every reachable node run its target version, and acknowledge the pending one.
func (m *model) round() {
	for _, id := range m.names {
		p := m.nodes[id]
		if p.unreachable {
			continue
		}
		m.applyTarget(p)
		if v := m.state.Pending; v != nil {
			if err := m.state.Acknowledge(id, p.incarnation, v.Number, v.Hash, ""); err != nil {
				m.t.Fatal(err)
			}
			p.acknowledged = v.Number
		}
	}
}

// check checks what must hold after every step.
func (m *model) check() {
	run := map[string]bool{}
	for id, n := range m.state.Nodes {
		p := m.nodes[id]
		if p.inSync {
			run[p.content] = true
		}
		if n.InSync() != p.inSync || n.InSync() != (n.OutOfSyncSince == nil) {
			m.t.Fatalf("%s is in sync: %v, in the State %+v", id, p.inSync, n)
		}
		if n.TargetVersion < p.target || n.TargetVersion < m.state.Committed.Number {
			m.t.Fatalf("%s has the target version %d, after %d, with %d in force", id, n.TargetVersion, p.target, m.state.Committed.Number)
		}
		p.target = n.TargetVersion
		if _, lost := m.state.LostZones[p.zone]; lost != m.lost[p.zone] {
			m.t.Fatalf("zone %s is lost: %v, in the State %v", p.zone, m.lost[p.zone], m.state.LostZones)
		}
	}
	if len(run) > 2 {
		m.t.Fatalf("%d contents run among nodes in sync: %v", len(run), run)
	}
}

// Nodes answer, activate, restart, become unreachable and return in any order, while versions are proposed, advanced, halted,
// withdrawn and rolled back. At most two contents run at a time among nodes in sync, by the model's own count of who is; no
// target decreases, or is lower than the committed version; nothing starts without a quorum of all nodes and of each zone
// that is not lost; a withdrawn version is never a target; reports of an earlier incarnation are rejected.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// Whatever came after the first version, if the reachable nodes are a quorum of all and of every zone but those of which no
// node is reachable, three more versions are committed without the others; and when these return, they run the committed
// version before they count.
func TestUnreachableNodesDoNotBlockRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		s := m.state
		m.round()
		if _, err := s.Propose("c1", 0, []float64{1}); err != nil {
			t.Fatal(err)
		}
		m.contents[1] = "c1"
		m.round()
		if err := m.advance(); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			m.step()
		}
		for _, id := range m.names { // back, until there is a quorum
			if p := m.nodes[id]; p.unreachable && !m.canBeQuorum() {
				p.unreachable = false
				m.set(p)
			}
		}
		m.round()
		pass := func() error {
			for range 4 { // as many as a version may have stages, and one more
				if m.round(); s.Pending == nil {
					return nil
				}
				if err := m.advance(); err != nil {
					return err
				}
			}
			return fmt.Errorf("version %d is still under way", s.Pending.Number)
		}
		if s.Pending != nil { // whatever was under way is taken back, or brought to its end
			if s.Withdraw(s.Pending.Number) != nil {
				if v, err := s.Rollback(); err == nil {
					m.contents[v.Number] = v.Hash
				}
			}
			if err := pass(); err != nil {
				t.Fatalf("what was under way: %v", err)
			}
		}
		for range 3 {
			v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, []float64{0.4, 1})
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
			if p := m.nodes[id]; p.unreachable {
				p.unreachable = false
				m.set(p)
				m.report(p)
				if p.inSync {
					t.Fatalf("%s is in sync with version %d", id, p.running)
				}
				m.applyTarget(p)
			}
			m.check()
		}
		if !s.Converged() || len(s.OutOfSync()) > 0 {
			t.Fatalf("everybody is back: %+v", s)
		}
	})
}
