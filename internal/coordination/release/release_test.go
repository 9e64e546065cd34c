package release

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// world is a registry's State on a clock of its own, with agents that follow permits at once and what leases would do.
type world struct {
	*state.State
	now time.Duration
}

func newWorld(units int, whole float64) *world {
	w := &world{State: state.New()}
	w.Apply(state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &whole}}, InitialShare: 0.5, WarmUpMS: 1}})
	for i := range units {
		w.Apply(state.Op{Kind: state.OpRegister, Instance: w.entry(fmt.Sprintf("s%02d", i), "v1", 0)})
	}
	return w
}

func (w *world) entry(uid, version string, boot float64) *state.Instance {
	return &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Tier: "web", Zone: uid[2:], Capacity: 1, Version: version, StartTimeMS: boot}
}

func (w *world) view() View {
	return View{Units: w.Units(), Unavailable: w.Budget().UnavailableUnits(), Permits: w.Budget().Permits(), Records: w.Records("")}
}

func (w *world) plan(t interface{ Fatal(...any) }, text string) *Plan {
	p, _, err := ParsePlan("plan.toml", []byte(text), w.Units())
	if err != nil {
		t.Fatal(err)
	}
	w.enter(p)
	return p
}

func (w *world) enter(p *Plan) {
	value, _ := json.Marshal(p)
	w.Apply(state.Op{Kind: state.OpPutRecord, Key: PlanKeyPrefix + p.Name, Value: value, IfModRevision: state.Absent})
}

// follow carries orders out, the first so many of them, and gives how many there were.
func (w *world) follow(m *Scheduler, most int) int {
	orders := m.NextWrites(w.view(), w.now)
	for _, o := range orders[:min(most, len(orders))] {
		if a, _ := w.Apply(o.Op); a.Code != "" {
			break
		}
		m.PermitGranted(o)
	}
	return len(orders)
}

// agent begins a unit's permit and starts its next version. Each is a step of its own.
func (w *world) agent(uid string, starts bool) {
	p := w.Budget().Permit(uid)
	if p == nil {
		return
	}
	if !p.Begun {
		w.Apply(state.Op{Kind: state.OpBeginPermit, UID: uid, Token: p.Token})
		return
	}
	e := w.Get(uid)
	switch {
	case e == nil:
	case e.Version == p.TargetVersion && e.State == state.Draining:
		w.Apply(state.Op{Kind: state.OpUpdate, UID: uid, Token: e.Token, State: state.Serving})
	case starts && e.Version != p.TargetVersion:
		w.Apply(state.Op{Kind: state.OpRegister, Instance: w.entry(uid, p.TargetVersion, e.StartTimeMS+1)})
	}
}

func (w *world) warm(uid string) {
	if e := w.Get(uid); e != nil && e.WarmUpDeficit > 0 {
		zero := 0.0
		w.Apply(state.Op{Kind: state.OpWarmUp, UID: uid, Token: e.Token, WarmUpDeficit: &zero})
	}
}

func (w *world) versions() (l []string) {
	for _, u := range w.Units() {
		l = append(l, u.Version)
	}
	return slices.Compact(slices.Sorted(slices.Values(l)))
}

const inStages = "name = \"p\"\nversion = \"v2\"\nbake = \"1s\"\nback_within = \"1h\"\n[[stage]]\ntier = \"web\"\nshare = 0.2\n[[stage]]\ntier = \"web\"\nshare = 1.0\n"

// Any number of controllers act in any order, die at any step and are followed by fresh ones; agents begin, start and warm up
// when they like; somebody may halt it and take it back. Never is more out than may be, nothing begins after the halt,
// and when all get their turn every unit runs the new version, or the old one.
func TestAnyControllerGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(3, 12).Draw(t, "units"), 0.4)
		p := w.plan(t, inStages)
		machines := []*Scheduler{{Holder: "a"}, {Holder: "b"}}
		back := false
		turn := func() {
			uid := w.Units()[rapid.IntRange(0, len(w.Units())-1).Draw(t, "unit")].UID
			i := rapid.IntRange(0, 1).Draw(t, "controller")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				w.follow(machines[i], rapid.IntRange(0, 5).Draw(t, "orders"))
			case 2:
				machines[i] = &Scheduler{Holder: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))}
			case 3, 4:
				w.agent(uid, true)
			case 5:
				w.warm(uid)
			case 6:
				if pt := w.Budget().Permit(uid); pt != nil {
					w.Apply(state.Op{Kind: state.OpReturnPermit, UID: uid, Token: pt.Token}) // it lapsed, if it had not begun
				}
			case 7:
				if !back && rapid.IntRange(0, 9).Draw(t, "back") == 0 {
					back = true
					w.Apply(HaltOp("p", "taken back"))
					w.enter(RollbackPlan(p, ProgressOf(w.view(), "p")))
				}
			}
			w.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			if u := w.Budget().Usages()[0]; u.Unavailable > u.Allowed+1e-6 {
				t.Fatalf("%+v", u)
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "turns") {
			turn()
		}
		end := &Scheduler{Holder: "end"}
		for i := 0; len(ActivePlans(w.view())) > 0 || len(w.Budget().Permits()) > 0; i++ {
			if i > 1000 {
				t.Fatalf("it does not come to its end: %+v", w.view())
			}
			w.follow(end, 1000)
			for _, u := range w.Units() {
				w.agent(u.UID, true)
				w.warm(u.UID)
				if pt := w.Budget().Permit(u.UID); pt != nil {
					w.Apply(state.Op{Kind: state.OpReturnPermit, UID: u.UID, Token: pt.Token})
				}
			}
			w.now += time.Second
		}
		want := "v2"
		if back {
			want = "v1"
		}
		if v := w.versions(); len(v) != 1 || v[0] != want {
			t.Fatalf("in the end units run %v, want %s", v, want)
		}
	})
}

// A unit that does not come back halts its release, and taking it back brings the unit back too, though its new
// version never served.
func TestHaltsByItself(t *testing.T) {
	w := newWorld(5, 0.4)
	p := w.plan(t, strings.Replace(inStages, "1h", "10s", 1))
	m := &Scheduler{Holder: "a"}
	w.follow(m, 10)
	w.agent("s00", false)
	w.follow(m, 10)
	e := w.Get("s00")
	w.Apply(state.Op{Kind: state.OpExpire, UID: "s00", Token: e.Token}) // its new version ends again and again
	if w.now = 9 * time.Second; w.follow(m, 10) > 0 && HaltReason(w.view(), "p") != "" {
		t.Error("it halted before its time")
	}
	w.now = 11 * time.Second
	if w.follow(m, 10); !strings.Contains(HaltReason(w.view(), "p"), "s00 has not come back within 10000 ms") {
		t.Fatalf("halt %q", HaltReason(w.view(), "p"))
	}
	w.enter(RollbackPlan(p, ProgressOf(w.view(), "p")))
	w.follow(m, 10)
	if pt := w.Budget().Permit("s00"); pt == nil || pt.TargetVersion != "v1" || !pt.Begun {
		t.Fatalf("permit %+v", pt)
	}
	w.Apply(state.Op{Kind: state.OpRegister, Instance: w.entry("s00", "v1", 5)})
	w.warm("s00")
	for range 3 {
		w.follow(m, 10)
	}
	if len(ActivePlans(w.view())) > 0 || len(w.Budget().Permits()) > 0 || w.versions()[0] != "v1" {
		t.Errorf("%+v", w.view())
	}
}
