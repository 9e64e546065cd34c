package release

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// View is what a controller knows, as of one revision.
type View struct {
	Units       []*state.Instance
	Unavailable []disruption.UnavailableUnit
	Permits     []*disruption.Permit
	Records     []*state.Record
}

// Write is a write that a Machine wants.
type Write struct {
	state.Op
	Reason string // for who reads the log
}

// Scheduler is one controller's memory. All that it forgets with its process only makes the next one wait longer.
type Scheduler struct {
	Holder string

	seen  map[string]time.Duration // since when a unit is in hand, or a stage stands
	tries map[string]int           // permits asked for a unit's start
}

// mostTries is how often a unit may come back as it was, or not begin, before its release halts.
const mostTries = 20

// mostInHand bounds the permits held at once where neither plan nor budget does.
const mostInHand = 256

func try(plan, unit string, start int64) string { return fmt.Sprintf("%s %s %d", plan, unit, start) }

// PermitGranted notes that an order for a permit was followed.
func (m *Scheduler) PermitGranted(o Write) { m.tries[try(o.Plan, o.UID, o.Incarnation)]++ }

// record reads a record's value; false: there is none.
func record(v View, key string, into any) (mod int64, found bool) {
	for _, r := range v.Records {
		if r.Key == key {
			return r.ModRevision, json.Unmarshal(r.Value, into) == nil
		}
	}
	return 0, false
}

// ActivePlans are the releases that are neither done nor halted, by name.
func ActivePlans(v View) []*Plan {
	var l []*Plan
	for _, r := range v.Records {
		var p Plan
		var pr Progress
		if len(r.Key) <= len(PlanKeyPrefix) || r.Key[:len(PlanKeyPrefix)] != PlanKeyPrefix || json.Unmarshal(r.Value, &p) != nil {
			continue
		}
		if _, begun := record(v, ProgressKeyPrefix+p.Name, &pr); begun && pr.Done || HaltReason(v, p.Name) != "" {
			continue
		}
		l = append(l, &p)
	}
	return l
}

// HaltReason is why a release is halted; "": it is not.
func HaltReason(v View, name string) string {
	var h struct {
		Why string `json:"why"`
	}
	if _, is := record(v, state.HaltKeyPrefix+name, &h); is {
		if h.Why == "" {
			return "halted"
		}
		return h.Why
	}
	return ""
}

// ProgressOf is how far a release has come.
func ProgressOf(v View, name string) (p Progress) {
	record(v, ProgressKeyPrefix+name, &p)
	return p
}

// HaltOp halts a release.
func HaltOp(name, why string) state.Op {
	value, _ := json.Marshal(map[string]string{"why": why}) // of strings: it cannot fail
	return state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + name, Value: value, IfModRevision: state.Absent}
}

// NextWrites gives the orders of now, in order. Each is safe to repeat, and to give beside another controller's, of which the
// fence lets only one through.
func (m *Scheduler) NextWrites(v View, now time.Duration) []Write {
	if m.seen == nil {
		m.seen, m.tries = map[string]time.Duration{}, map[string]int{}
	}
	var orders []Write
	for _, p := range ActivePlans(v) {
		orders = append(orders, m.next(p, v, now)...)
	}
	return orders
}

// since is how long something has been so, as far as this Machine has seen.
func (m *Scheduler) since(what string, is bool, now time.Duration) time.Duration {
	if !is {
		delete(m.seen, what)
		return 0
	}
	at, known := m.seen[what]
	if !known {
		m.seen[what], at = now, now
	}
	return now - at
}

func (m *Scheduler) next(p *Plan, v View, now time.Duration) []Write {
	var done Progress
	mod, found := record(v, ProgressKeyPrefix+p.Name, &done)
	if !found {
		mod = state.Absent
	}
	progress := func(to Progress, why string) Write {
		value, _ := json.Marshal(to) // of numbers and strings: it cannot fail
		return Write{state.Op{Kind: state.OpPutRecord, Key: ProgressKeyPrefix + p.Name, Value: value, IfModRevision: mod}, why}
	}
	if done.Stage >= len(p.Stages) {
		done.Done = true
		return []Write{progress(done, "all stages stand")}
	}
	units := map[string]*state.Instance{}
	for _, u := range v.Units {
		units[u.UID] = u
	}
	out := map[string]disruption.UnavailableUnit{}
	for _, o := range v.Unavailable {
		out[o.Unit] = o
	}
	permits := map[string]*disruption.Permit{}
	inHand := 0
	for _, pt := range v.Permits {
		permits[pt.Unit] = pt
		if pt.Plan == p.Name {
			inHand++
		}
	}
	halt := func(why string) []Write { return []Write{{HaltOp(p.Name, why), why}} }
	var todo []Step
	left := 0
	for _, s := range p.Stages[done.Stage] {
		u, pt := units[s.Unit], permits[s.Unit]
		mine := pt != nil && pt.Plan == p.Name
		if took := m.since(p.Name+" "+s.Unit, mine && pt.Begun, now); took > time.Duration(p.RecoveryTimeoutMS)*time.Millisecond {
			return halt(fmt.Sprintf("%s has not come back within %d ms", s.Unit, p.RecoveryTimeoutMS))
		}
		switch {
		case u == nil, pt == nil && u.Version == s.ToVersion && out[s.Unit].Share == 0:
			continue // declared gone, or changed
		case pt == nil && u.Version != s.ToVersion && out[s.Unit].Reason != disruption.ReasonUnreachable,
			pt != nil && pt.Plan == p.RollsBack && pt.Begun: // on its way to what is taken back
			todo = append(todo, s)
		}
		left++
	}
	stage := fmt.Sprintf("%s stage %d", p.Name, done.Stage)
	if stood := m.since(stage, left == 0, now); left == 0 {
		if stood < time.Duration(p.BakeMS)*time.Millisecond {
			return nil
		}
		done.Stage++
		done.Done = done.Stage == len(p.Stages)
		return []Write{progress(done, fmt.Sprintf("stage %d stands", done.Stage-1))}
	}
	var orders []Write
	asked := slices.Clone(done.Requested)
	for _, s := range todo {
		if inHand >= cmp.Or(p.MaxConcurrent, mostInHand) {
			break
		}
		u := units[s.Unit]
		if m.tries[try(p.Name, s.Unit, u.Token)] > mostTries {
			return halt(fmt.Sprintf("%s was given %d permits and still runs %q", s.Unit, mostTries, u.Version))
		}
		inHand++
		if !slices.Contains(asked, s.Unit) {
			asked = append(asked, s.Unit)
		}
		orders = append(orders, Write{state.Op{Kind: state.OpGrantPermit, UID: s.Unit, Incarnation: u.Token, Holder: m.Holder, Plan: p.Name, TargetVersion: s.ToVersion, ReplacesPlan: p.RollsBack},
			fmt.Sprintf("%s from %q to %q", s.Unit, s.FromVersion, s.ToVersion)})
	}
	if len(asked) > len(done.Requested) {
		// Written before anything is asked: what may have changed must be known to who takes it back.
		done.Requested = asked
		orders = append([]Write{progress(done, "")}, orders...)
	}
	return orders
}
