//go:build interleave

package replica

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/hashicorp/raft"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/modelcheck"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// apply applies ops like raft, from one goroutine at a time and in the order of the log.
func apply(f *fsm, order *modelcheck.Mutex, ops ...state.Op) []state.Result {
	text, err := json.Marshal(command{Ops: ops})
	if err != nil {
		panic(err)
	}
	order.Lock()
	defer order.Unlock()
	return f.Apply(&raft.Log{Type: raft.LogCommand, Data: text}).(commandResult).results
}

func registerUnit(uid string) state.Op {
	return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Tier: "web", Capacity: 1}}
}

// A writer publishes changes, or restores a backup, while a reader follows. The reader reaches the last revision whatever it has
// missed, and is never left waiting after a change.
func TestInterleaveBroadcaster(t *testing.T) {
	follow := func(f *fsm, last func() int64, waitsForLater bool) {
		since := int64(1) << 40
		for since != last() {
			missed, err := f.events.eventsSince(since)
			switch {
			case err != nil:
				modelcheck.Failf("%v", err)
			case missed.fullList:
				if _, since, err = f.events.encodedList(f.list); err != nil {
					modelcheck.Failf("%v", err)
				}
			case len(missed.frames) > 0:
				since = missed.revision
			default:
				if waitsForLater { // the injected fault
					_, missed.next = f.events.current()
				}
				modelcheck.Wait(missed.next)
			}
		}
	}
	body := func(restore, waitsForLater bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			want := int64(1)<<40 + 2
			if restore {
				want = int64(2)<<40 + 1
			}
			x.Go("writer", func() {
				apply(f, order, registerUnit("a"))
				if restore {
					backup, _ := f.state.Snapshot()
					order.Lock()
					text, _ := json.Marshal(command{Restore: backup})
					f.Apply(&raft.Log{Type: raft.LogCommand, Data: text})
					order.Unlock()
				}
				apply(f, order, registerUnit("b"))
			})
			x.Go("reader", func() { follow(f, func() int64 { return want }, waitsForLater) })
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false, false))
	modelcheck.Check(t, modelcheck.Options{}, body(true, false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "no thread can proceed: reader at wait for", body(false, true))
}

// The full list always matches the revision that is returned with it, while instances are registered.
func TestInterleaveFullList(t *testing.T) {
	body := func(readsTwice bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			x.Go("writer", func() { apply(f, order, registerUnit("a")); apply(f, order, registerUnit("b")) })
			for i := range 2 {
				x.Go(fmt.Sprint("reader ", i), func() {
					text, rev, err := f.events.encodedList(func() (rev int64, l []*state.Instance) {
						f.read(func(s *state.State) { rev, l = s.Revision(), s.Instances() })
						if readsTwice { // the injected fault
							f.read(func(s *state.State) { l = s.Instances() })
						}
						return rev, l
					})
					var event api.WatchEvent
					if err != nil || json.Unmarshal(text, &event) != nil || int64(len(event.Instances)) != rev-1<<40 || event.Revision != rev {
						modelcheck.Failf("%d instances at revision %d", len(event.Instances), rev-1<<40)
					}
				})
			}
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "instances at revision", body(true))
}

// An agent begins its permit and takes its unit out of service, while the permit expires, an operator halts the release, and
// another holder requests a permit for the other unit. Only one of the two units may be unavailable. The test checks that the
// two holders never both take their units out of service.
func TestInterleavePermit(t *testing.T) {
	body := func(readsOnly bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			half := 0.5
			apply(f, order, state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &half}}}})
			apply(f, order, registerUnit("a"), registerUnit("b"))
			permit := apply(f, order, state.Op{Kind: state.OpGrantPermit, UID: "a", Incarnation: f.state.Get("a").Token, Holder: "c", Plan: "p", TargetVersion: "v2"})[0]
			acted := map[string]bool{}
			act := func(uid string) {
				modelcheck.Step(&acted, "act")
				acted[uid] = true
			}
			x.Go("agent", func() {
				if readsOnly { // the injected fault: a read in place of the write
					may := false
					f.read(func(s *state.State) { may = s.Budget().Permit("a") != nil && s.Record(state.HaltKeyPrefix+"p") == nil })
					if may {
						act("a")
					}
					return
				}
				if apply(f, order, state.Op{Kind: state.OpBeginPermit, UID: "a", Token: permit.Token})[0].Code == "" {
					act("a")
				}
			})
			x.Go("expiry", func() { apply(f, order, state.Op{Kind: state.OpReturnPermit, UID: "a", Token: permit.Token}) })
			x.Go("operator", func() {
				apply(f, order, state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + "p", Value: json.RawMessage(`{}`)})
			})
			x.Go("other", func() {
				p := apply(f, order, state.Op{Kind: state.OpGrantPermit, UID: "b", Incarnation: f.state.Get("b").Token, Holder: "d"})[0]
				if p.Code == "" && apply(f, order, state.Op{Kind: state.OpBeginPermit, UID: "b", Token: p.Token})[0].Code == "" {
					act("b")
				}
			})
			x.Finally(func() {
				if acted["a"] && acted["b"] {
					modelcheck.Failf("both units are out of service")
				}
			})
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "both units are out of service", body(true))
}

// Two nodes acknowledge a version, one of them restarts, an operator withdraws the version, and a controller advances it. The
// test checks that no node starts to run the version after its withdrawal, that no node runs it unless it is committed in the
// end, that a successful advance commits it, and that it is not both committed and withdrawn.
func TestInterleaveRollout(t *testing.T) {
	node := func(uid string, startTimeMS float64) state.Op {
		return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: "a", Capacity: 1, StartTimeMS: startTimeMS}}
	}
	body := func(ignoresTarget bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			tokens := map[string]int64{}
			for i, a := range apply(f, order, node("n0", 1), node("n1", 1)) {
				tokens[fmt.Sprint("n", i)] = a.Token
			}
			for uid, token := range tokens {
				apply(f, order, state.Op{Kind: state.OpReport, UID: uid, Token: token})
			}
			v := apply(f, order, state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{}`), Stages: []float64{1}})[0].Token
			hash := state.ContentHash([]byte(`{}`))
			withdrawn, runs := false, map[string]bool{}
			for _, uid := range []string{"n0", "n1"} {
				x.Go(uid, func() {
					apply(f, order, state.Op{Kind: state.OpAcknowledge, UID: uid, Token: tokens[uid], Number: v, Hash: hash})
					target := int64(0)
					f.read(func(s *state.State) { target = s.Rollout().Nodes[uid].TargetVersion })
					if target == v || ignoresTarget { // the injected fault: it runs the version that it has acknowledged
						modelcheck.Step(&runs, "run")
						if withdrawn {
							modelcheck.Failf("%s runs the withdrawn version", uid)
						}
						runs[uid] = true
					}
				})
			}
			x.Go("restart", func() { apply(f, order, node("n1", 2)) })
			x.Go("operator", func() {
				if apply(f, order, state.Op{Kind: state.OpWithdraw, Number: v})[0].Code == "" {
					modelcheck.Step(&runs, "withdrawn")
					withdrawn = true
				}
			})
			x.Go("controller", func() {
				if apply(f, order, state.Op{Kind: state.OpAdvance, Number: v})[0].Code != "" {
					return
				}
				f.read(func(s *state.State) {
					if s.Rollout().Committed.Number != v {
						modelcheck.Failf("version was advanced but not committed")
					}
				})
			})
			x.Finally(func() {
				b := f.state.Rollout()
				if b.Committed.Number == v && withdrawn {
					modelcheck.Failf("version is both committed and withdrawn")
				}
				if b.Committed.Number != v && len(runs) > 0 {
					modelcheck.Failf("%v run a version that is not their target", runs)
				}
			})
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "run", body(true))
}

// Version 1 is committed. Then three things happen in every order. The leader writes that the lease of n2 has expired. n2
// registers again, as the same process or a new one, and reports the version that it runs. An operator and a controller commit
// version 2 and propose version 3. A node that is in sync when version 3 is accepted runs version 2. If n2 is one of three nodes
// in its zone, it delays nothing. If it is the only one, a version that waits for it proceeds in the end, because n2
// acknowledges it or because its zone is lost.
func TestInterleaveReachability(t *testing.T) {
	node := func(uid, zone string, startTimeMS float64) state.Op {
		return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: zone, Capacity: 1, StartTimeMS: startTimeMS}}
	}
	content := func(n int64) json.RawMessage { return json.RawMessage(fmt.Sprint(n)) }
	propose := func(n int64) state.Op {
		return state.Op{Kind: state.OpPropose, Value: content(n), Replaces: n - 1, Stages: []float64{1}}
	}
	body := func(zone string, startTimeMS float64, reportsEarly bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			tokens, runs := map[string]int64{}, map[string]int64{}
			nodeOps := func(kind state.OpKind, n int64, uids ...string) (l []state.Op) {
				for _, uid := range uids {
					l = append(l, state.Op{Kind: kind, UID: uid, Token: tokens[uid], Number: n, Hash: state.ContentHash(content(n))})
				}
				return l
			}
			others := []string{"n0", "n1"}
			all := append(others[:2:2], "n2")
			for i, a := range apply(f, order, node("n0", "a", 1), node("n1", "a", 1), node("n2", zone, 1)) {
				tokens[all[i]] = a.Token
			}
			apply(f, order, nodeOps(state.OpReport, 0, all...)...)
			apply(f, order, append([]state.Op{propose(1)}, nodeOps(state.OpAcknowledge, 1, all...)...)...)
			apply(f, order, append([]state.Op{{Kind: state.OpAdvance, Number: 1}}, nodeOps(state.OpReport, 1, all...)...)...)
			for _, uid := range all {
				runs[uid] = 1
			}
			run := func(uid string, n int64) {
				modelcheck.Step(&runs, "run")
				runs[uid] = n
			}
			x.Go("leader", func() { apply(f, order, state.Op{Kind: state.OpExpire, UID: "n2", Token: tokens["n2"]}) })
			x.Go("n2", func() {
				token := apply(f, order, node("n2", zone, startTimeMS))[0].Token
				target := int64(0)
				f.read(func(s *state.State) { target = s.Rollout().Nodes["n2"].TargetVersion })
				report := state.Op{Kind: state.OpReport, UID: "n2", Token: token, Number: target, Hash: state.ContentHash(content(target))}
				if reportsEarly { // the injected fault: it reports a version before it runs it
					apply(f, order, report)
				}
				run("n2", target)
				apply(f, order, report)
			})
			x.Go("operator and controller", func() {
				ops := append([]state.Op{propose(2)}, nodeOps(state.OpAcknowledge, 2, others...)...)
				for _, a := range apply(f, order, ops...) {
					if a.Code != "" {
						modelcheck.Failf("n0 and n1 are blocked: %+v", a)
					}
				}
				if a := apply(f, order, state.Op{Kind: state.OpAdvance, Number: 2})[0]; a.Code != "" {
					if zone == "a" {
						modelcheck.Failf("version 2 is blocked: %+v", a)
					}
					return // version 2 waits for the quorum of the zone
				}
				run("n0", 2)
				run("n1", 2)
				apply(f, order, nodeOps(state.OpReport, 2, others...)...)
				// A single step, so that nothing happens between reading the rollout and reading what the nodes run.
				modelcheck.Step(&runs, "check")
				if a := apply(f, order, propose(3))[0]; a.Code == "" {
					f.read(func(s *state.State) {
						for uid, n := range s.Rollout().Nodes {
							if n.InSync() && runs[uid] != 2 {
								modelcheck.Failf("%s is in sync and runs version %d", uid, runs[uid])
							}
						}
					})
				}
			})
			x.Finally(func() {
				b := f.state.Rollout()
				n := b.Nodes["n2"]
				if n.TargetVersion < b.Committed.Number || n.InSync() && n.RunningVersion < 1 {
					modelcheck.Failf("committed version %d, node %+v", b.Committed.Number, n)
				}
				if v := b.Pending; v != nil && v.Number == 2 {
					apply(f, order, state.Op{Kind: state.OpAcknowledge, UID: "n2", Token: n.Incarnation, Number: 2, Hash: v.Hash})
					if a := apply(f, order, state.Op{Kind: state.OpAdvance, Number: 2})[0]; a.Code != "" {
						modelcheck.Failf("version 2 is blocked in the end: %+v", a)
					}
				}
			})
		}
	}
	for _, zone := range []string{"a", "b"} {
		for _, startTimeMS := range []float64{1, 2} { // the same process, or a new one
			modelcheck.Check(t, modelcheck.Options{}, body(zone, startTimeMS, false))
		}
	}
	modelcheck.CheckFails(t, modelcheck.Options{}, "is in sync and runs version 1", body("a", 1, true))
}

// A new leader creates its leases while a change is applied. The change is either in the leases, or followed at once.
func TestInterleaveNewLeader(t *testing.T) {
	body := func(readsBeforeChannel bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			want := int64(1)<<40 + 1
			x.Go("writer", func() { apply(f, order, registerUnit("a")) })
			x.Go("leader", func() {
				l := &leaderLoop{Replica: &Replica{fsm: f}}
				l.createLeases()
				if readsBeforeChannel { // the injected fault
					_, l.changed = f.events.current()
				}
				for l.revision != want {
					modelcheck.Wait(l.changed)
					l.applyChanges()
				}
			})
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "no thread can proceed: leader at wait for", body(true))
}
