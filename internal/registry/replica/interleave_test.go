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

// apply applies writes as raft does: on one goroutine at a time, in the order of the log.
func apply(f *fsm, order *modelcheck.Mutex, ops ...state.Op) []state.Result {
	text, err := json.Marshal(command{Ops: ops})
	if err != nil {
		panic(err)
	}
	order.Lock()
	defer order.Unlock()
	return f.Apply(&raft.Log{Type: raft.LogCommand, Data: text}).(commandResult).results
}

func enter(uid string) state.Op {
	return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Tier: "web", Capacity: 1}}
}

// A writer publishes, or restores a backup, while readers follow. Each reader comes to the last revision, whatever it had
// missed, and none waits through a change.
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
				if waitsForLater { // the planted fault
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
				apply(f, order, enter("a"))
				if restore {
					backup, _ := f.state.Snapshot()
					order.Lock()
					text, _ := json.Marshal(command{Restore: backup})
					f.Apply(&raft.Log{Type: raft.LogCommand, Data: text})
					order.Unlock()
				}
				apply(f, order, enter("b"))
			})
			x.Go("reader", func() { follow(f, func() int64 { return want }, waitsForLater) })
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false, false))
	modelcheck.Check(t, modelcheck.Options{}, body(true, false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "no thread can proceed: reader at wait for", body(false, true))
}

// A whole list and the revision that it is given at belong together, while entries come.
func TestInterleaveFullList(t *testing.T) {
	body := func(twice bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			x.Go("writer", func() { apply(f, order, enter("a")); apply(f, order, enter("b")) })
			for i := range 2 {
				x.Go(fmt.Sprint("reader ", i), func() {
					text, rev, err := f.events.encodedList(func() (rev int64, l []*state.Instance) {
						f.read(func(s *state.State) { rev, l = s.Revision(), s.Instances() })
						if twice { // the planted fault
							f.read(func(s *state.State) { l = s.Instances() })
						}
						return rev, l
					})
					var m api.WatchEvent
					if err != nil || json.Unmarshal(text, &m) != nil || int64(len(m.Instances)) != rev-1<<40 || m.Revision != rev {
						modelcheck.Failf("%d entries at revision %d", len(m.Instances), rev-1<<40)
					}
				})
			}
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "entries at revision", body(true))
}

// An agent begins its permit and acts, while the permit expires, an operator halts the release, and somebody else requests
// a permit for another unit, where one of two may be unavailable. Never do both act, and the agent never acts on a permit that
// it began after the halt.
func TestInterleavePermit(t *testing.T) {
	body := func(readsOnly bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			half := 0.5
			apply(f, order, state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &half}}}})
			apply(f, order, enter("a"), enter("b"))
			permit := apply(f, order, state.Op{Kind: state.OpGrantPermit, UID: "a", Incarnation: f.state.Get("a").Token, Holder: "c", Plan: "p", TargetVersion: "v2"})[0]
			acted := map[string]bool{}
			act := func(uid string) {
				modelcheck.Step(&acted, "act")
				acted[uid] = true
			}
			x.Go("agent", func() {
				if readsOnly { // the planted fault: a read in place of the write
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
					modelcheck.Failf("both are out")
				}
			})
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "both are out", body(true))
}

// Two nodes acknowledge a version, one restarts, an operator withdraws it, and a controller advances it. No node runs a
// version that is not its target, no version becomes a target without both acknowledgments of incarnations that run, and a
// withdrawn one is run by nobody.
func TestInterleaveRollout(t *testing.T) {
	node := func(uid string, boot float64) state.Op {
		return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: "a", Capacity: 1, StartTimeMS: boot}}
	}
	body := func(eager bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			starts := map[string]int64{}
			for i, a := range apply(f, order, node("n0", 1), node("n1", 1)) {
				starts[fmt.Sprint("n", i)] = a.Token
			}
			for uid, token := range starts {
				apply(f, order, state.Op{Kind: state.OpReport, UID: uid, Token: token})
			}
			v := apply(f, order, state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{}`), Stages: []float64{1}})[0].Token
			hash := state.ContentHash([]byte(`{}`))
			withdrawn, runs := false, map[string]bool{}
			for _, uid := range []string{"n0", "n1"} {
				x.Go(uid, func() {
					apply(f, order, state.Op{Kind: state.OpAcknowledge, UID: uid, Token: starts[uid], Number: v, Hash: hash})
					target := int64(0)
					f.read(func(s *state.State) { target = s.Rollout().Nodes[uid].TargetVersion })
					if target == v || eager { // the planted fault: it runs what it has acknowledged
						modelcheck.Step(&runs, "run")
						if withdrawn {
							modelcheck.Failf("%s runs what was withdrawn", uid)
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
						modelcheck.Failf("advanced, and not committed")
					}
				})
			})
			x.Finally(func() {
				b := f.state.Rollout()
				if b.Committed.Number == v && withdrawn {
					modelcheck.Failf("it is committed and withdrawn")
				}
				if b.Committed.Number != v && len(runs) > 0 {
					modelcheck.Failf("%v run what is no target", runs)
				}
			})
		}
	}
	modelcheck.Check(t, modelcheck.Options{}, body(false))
	modelcheck.CheckFails(t, modelcheck.Options{}, "run", body(true))
}

// Version 1 is committed. The leader writes that n2's lease has expired, n2 returns as the same incarnation or as a new one and
// syncs, and operators and controllers commit one more version and propose a third, in every order. Whoever is in sync when
// that one is proposed runs what was committed. Where n2 is one of three in its zone it delays nothing; where it is alone
// there, what waits for it goes on in the end, by its acknowledgment or as its zone is lost.
func TestInterleaveReachability(t *testing.T) {
	node := func(uid, zone string, boot float64) state.Op {
		return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Role: state.RoleNode, Tier: "front", Zone: zone, Capacity: 1, StartTimeMS: boot}}
	}
	content := func(n int64) json.RawMessage { return json.RawMessage(fmt.Sprint(n)) }
	propose := func(n int64) state.Op {
		return state.Op{Kind: state.OpPropose, Value: content(n), Replaces: n - 1, Stages: []float64{1}}
	}
	body := func(zone string, boot float64, early bool) func(x *modelcheck.Execution) {
		return func(x *modelcheck.Execution) {
			f, order := newFSM(), &modelcheck.Mutex{}
			starts, runs := map[string]int64{}, map[string]int64{}
			say := func(kind state.OpKind, n int64, uids ...string) (l []state.Op) {
				for _, uid := range uids {
					l = append(l, state.Op{Kind: kind, UID: uid, Token: starts[uid], Number: n, Hash: state.ContentHash(content(n))})
				}
				return l
			}
			others := []string{"n0", "n1"}
			all := append(others[:2:2], "n2")
			for i, a := range apply(f, order, node("n0", "a", 1), node("n1", "a", 1), node("n2", zone, 1)) {
				starts[all[i]] = a.Token
			}
			apply(f, order, say(state.OpReport, 0, all...)...)
			apply(f, order, append([]state.Op{propose(1)}, say(state.OpAcknowledge, 1, all...)...)...)
			apply(f, order, append([]state.Op{{Kind: state.OpAdvance, Number: 1}}, say(state.OpReport, 1, all...)...)...)
			for _, uid := range all {
				runs[uid] = 1
			}
			run := func(uid string, n int64) {
				modelcheck.Step(&runs, "run")
				runs[uid] = n
			}
			x.Go("leader", func() { apply(f, order, state.Op{Kind: state.OpExpire, UID: "n2", Token: starts["n2"]}) })
			x.Go("n2", func() {
				start := apply(f, order, node("n2", zone, boot))[0].Token
				target := int64(0)
				f.read(func(s *state.State) { target = s.Rollout().Nodes["n2"].TargetVersion })
				report := state.Op{Kind: state.OpReport, UID: "n2", Token: start, Number: target, Hash: state.ContentHash(content(target))}
				if early { // the planted fault: it says that it runs what it is about to take
					apply(f, order, report)
				}
				run("n2", target)
				apply(f, order, report)
			})
			x.Go("operator and controller", func() {
				ops := append([]state.Op{propose(2)}, say(state.OpAcknowledge, 2, others...)...)
				for _, a := range apply(f, order, ops...) {
					if a.Code != "" {
						modelcheck.Failf("n0 and n1 are held up: %+v", a)
					}
				}
				if a := apply(f, order, state.Op{Kind: state.OpAdvance, Number: 2})[0]; a.Code != "" {
					if zone == "a" {
						modelcheck.Failf("held up: %+v", a)
					}
					return // it waits for the zone's quorum
				}
				run("n0", 2)
				run("n1", 2)
				apply(f, order, say(state.OpReport, 2, others...)...)
				// One step, in which nothing is between what the book says and what nodes run.
				modelcheck.Step(&runs, "look")
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
					modelcheck.Failf("in force %d: %+v", b.Committed.Number, n)
				}
				if v := b.Pending; v != nil && v.Number == 2 {
					apply(f, order, state.Op{Kind: state.OpAcknowledge, UID: "n2", Token: n.Incarnation, Number: 2, Hash: v.Hash})
					if a := apply(f, order, state.Op{Kind: state.OpAdvance, Number: 2})[0]; a.Code != "" {
						modelcheck.Failf("held up in the end: %+v", a)
					}
				}
			})
		}
	}
	for _, zone := range []string{"a", "b"} {
		for _, boot := range []float64{1, 2} { // the same start, or a fresh one
			modelcheck.Check(t, modelcheck.Options{}, body(zone, boot, false))
		}
	}
	modelcheck.CheckFails(t, modelcheck.Options{}, "is in sync and runs version 1", body("a", 1, true))
}
