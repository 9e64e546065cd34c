package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// process is the actual state of a node, and what the model records about it independently of the State.
type process struct {
	id, zone     string
	incarnation  int64
	running      int64  // version number
	hash         string // of the version that runs
	unreachable  bool   // as last written by the registry's leader
	inSync       bool   // reachable, and has reported its target version since it last restarted or became reachable
	acknowledged int64  // version that this incarnation acknowledged while it was in sync
	target       int64  // target version at the last check
}

// model is a State and the processes that it describes. It determines independently which nodes are in sync and which zones are
// lost.
type model struct {
	t         *rapid.T
	state     *State
	nodes     map[string]*process
	ids       []string
	lost      map[string]bool
	hashes    map[int64]string // by version number, as proposed
	withdrawn map[int64]bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, state: New(), nodes: map[string]*process{}, lost: map[string]bool{}, hashes: map[int64]string{0: ""}, withdrawn: map[int64]bool{}}
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	for i := range rapid.IntRange(zones, 7).Draw(t, "nodes") {
		p := &process{id: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), incarnation: 1}
		m.nodes[p.id] = p
		m.set(p)
	}
	m.ids = m.state.nodeIDs()
	return m
}

// set records a process in the State, and updates the model's lost zones.
func (m *model) set(p *process) {
	m.state.SetNode(p.id, p.zone, p.incarnation, p.unreachable, Timestamp{Revision: 1})
	p.inSync = p.inSync && !p.unreachable
	allUnreachable := true
	for _, o := range m.nodes {
		allUnreachable = allUnreachable && (o.zone != p.zone || o.unreachable)
	}
	m.lost[p.zone] = m.lost[p.zone] || allUnreachable
}

// applyTarget makes a process run its target version and report it.
func (m *model) applyTarget(p *process) {
	n := m.state.Nodes[p.id]
	if n.TargetVersion > p.running {
		if m.withdrawn[n.TargetVersion] {
			m.t.Fatalf("target version %d was withdrawn", n.TargetVersion)
		}
		p.running, p.hash = n.TargetVersion, m.hashes[n.TargetVersion]
	}
	m.report(p)
}

// report makes a process report the version that it runs.
func (m *model) report(p *process) {
	if err := m.state.Report(p.id, p.incarnation, p.running, p.hash); err != nil || m.state.Nodes[p.id].Violation != "" {
		m.t.Fatalf("report rejected: %v, violation %q", err, m.state.Nodes[p.id].Violation)
	}
	if !p.unreachable && p.running == m.state.Nodes[p.id].TargetVersion {
		p.inSync, m.lost[p.zone] = true, false
	}
}

// isQuorum reports whether a version has a quorum by the model's own count of acknowledgements.
func (m *model) isQuorum(number int64) bool {
	acknowledged, all := map[string]int{}, map[string]int{} // by zone; the empty name stands for all nodes
	for _, p := range m.nodes {
		for _, scope := range []string{p.zone, ""} {
			all[scope]++
			if p.acknowledged == number && p.inSync {
				acknowledged[scope]++
			}
		}
	}
	for scope := range all {
		if 2*acknowledged[scope] <= all[scope] && !m.lost[scope] {
			return false
		}
	}
	return true
}

// quorumPossible reports whether the reachable nodes are a quorum of all nodes and of every zone that has a reachable node.
func (m *model) quorumPossible() bool {
	reachable, all := map[string]int{}, map[string]int{} // by zone; the empty name stands for all nodes
	for _, p := range m.nodes {
		for _, scope := range []string{p.zone, ""} {
			all[scope]++
			if !p.unreachable {
				reachable[scope]++
			}
		}
	}
	for scope := range all {
		if 2*reachable[scope] <= all[scope] && (scope == "" || reachable[scope] > 0) {
			return false
		}
	}
	return true
}

// step draws one event for a random node or the pending version, and checks its effect.
func (m *model) step() {
	t, s := m.t, m.state
	p := m.nodes[rapid.SampledFrom(m.ids).Draw(t, "node")]
	switch rapid.IntRange(0, 18).Draw(t, "event") {
	case 0:
		if v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, []float64{0.4, 1}); err == nil {
			m.hashes[v.Number] = v.Hash
			for _, o := range m.nodes {
				if o.inSync && o.running != s.Committed.Number {
					t.Fatalf("version %d was proposed while %s is in sync and runs version %d", v.Number, o.id, o.running)
				}
			}
		}
	case 1, 2, 3:
		if s.Pending != nil {
			err := s.Acknowledge(p.id, p.incarnation, s.Pending.Number, s.Pending.Hash, "")
			if (err == nil) != p.inSync {
				t.Fatalf("in sync: %v, but the acknowledgement returned %v", p.inSync, err)
			}
			if err == nil {
				p.acknowledged = s.Pending.Number
			}
		}
	case 4, 5:
		_ = m.advance() // fails if the next stage cannot start yet
	case 6, 7, 8:
		m.applyTarget(p)
	case 9: // a restart, after which the node runs the same version
		p.incarnation++
		p.inSync, p.acknowledged = false, 0
		m.set(p)
		if err := s.Report(p.id, p.incarnation-1, s.Nodes[p.id].TargetVersion, ""); err == nil {
			t.Fatal("a report of an earlier incarnation was accepted")
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
			m.hashes[v.Number] = v.Hash
		}
	case 14:
		m.report(p) // without having applied its target
	case 15, 16, 17:
		m.syncReachable()
	case 18:
		m.syncReachable()
		_ = m.advance() // fails if the next stage cannot start yet
	}
}

// advance starts the next stage if it can, and checks that a started version has a quorum.
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

// syncReachable makes every reachable node run and report its target version, and acknowledge the pending one.
func (m *model) syncReachable() {
	for _, id := range m.ids {
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

// check checks the invariants that must hold after every step.
func (m *model) check() {
	contents := map[string]bool{}
	for id, n := range m.state.Nodes {
		p := m.nodes[id]
		if p.inSync {
			contents[p.hash] = true
		}
		if n.InSync() != p.inSync || n.InSync() != (n.OutOfSyncSince == nil) {
			m.t.Fatalf("node %s: in sync %v by the model, but the State has %+v", id, p.inSync, n)
		}
		if n.TargetVersion < p.target || n.TargetVersion < m.state.Committed.Number {
			m.t.Fatalf("node %s: target %d, lower than before (%d) or than committed (%d)", id, n.TargetVersion, p.target, m.state.Committed.Number)
		}
		p.target = n.TargetVersion
		if _, lost := m.state.LostZones[p.zone]; lost != m.lost[p.zone] {
			m.t.Fatalf("zone %s: lost %v by the model, but the State has %v", p.zone, m.lost[p.zone], m.state.LostZones)
		}
	}
	if len(contents) > 2 {
		m.t.Fatalf("nodes in sync run %d contents, want at most 2: %v", len(contents), contents)
	}
}

// Nodes acknowledge, apply versions, restart, become unreachable and return in random order, while versions are proposed,
// advanced, withdrawn and rolled back. The model checks that:
//   - nodes in sync run at most two contents at the same time;
//   - no target version decreases or is lower than the committed version;
//   - no stage starts without a quorum of all nodes and of each zone that is not lost;
//   - a withdrawn version never becomes a target;
//   - reports of an earlier incarnation are rejected.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// Unreachable nodes must not block a rollout. After random events, enough nodes become reachable for a quorum of all nodes and
// of every zone with a reachable node. Three more versions must then be committed without the other nodes. When those return,
// they must run the committed version before they count as in sync.
func TestUnreachableNodesDoNotBlockRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		s := m.state
		m.syncReachable()
		if _, err := s.Propose("c1", 0, []float64{1}); err != nil {
			t.Fatal(err)
		}
		m.hashes[1] = "c1"
		m.syncReachable()
		if err := m.advance(); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			m.step()
		}
		for _, id := range m.ids { // make nodes reachable until a quorum is possible
			if p := m.nodes[id]; p.unreachable && !m.quorumPossible() {
				p.unreachable = false
				m.set(p)
			}
		}
		m.syncReachable()
		complete := func() error { // starts all stages of the pending version
			for range 4 { // more iterations than the two stages of a version need
				if m.syncReachable(); s.Pending == nil {
					return nil
				}
				if err := m.advance(); err != nil {
					return err
				}
			}
			return fmt.Errorf("version %d is still pending", s.Pending.Number)
		}
		if s.Pending != nil { // withdraw, roll back or complete it
			if s.Withdraw(s.Pending.Number) != nil {
				if v, err := s.Rollback(); err == nil {
					m.hashes[v.Number] = v.Hash
				}
			}
			if err := complete(); err != nil {
				t.Fatalf("the version that was pending: %v", err)
			}
		}
		for range 3 {
			v, err := s.Propose(fmt.Sprint("c", s.HighestNumber+1), s.Committed.Number, []float64{0.4, 1})
			if err != nil {
				t.Fatal(err)
			}
			m.hashes[v.Number] = v.Hash
			if err := complete(); err != nil {
				t.Fatal(err)
			}
			m.check()
		}
		for _, id := range m.ids {
			if p := m.nodes[id]; p.unreachable {
				p.unreachable = false
				m.set(p)
				m.report(p)
				if p.inSync {
					t.Fatalf("node %s counts as in sync with version %d", id, p.running)
				}
				m.applyTarget(p)
			}
			m.check()
		}
		if !s.Converged() || len(s.OutOfSync()) > 0 {
			t.Fatalf("not converged after all nodes have returned: %+v", s)
		}
	})
}
