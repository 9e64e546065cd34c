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
	w.Apply(state.Op{Kind: state.SetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Whole: &whole}}, ColdFrom: 0.5, WarmMS: 1}})
	for i := range units {
		w.Apply(state.Op{Kind: state.Register, Entry: w.entry(fmt.Sprintf("s%02d", i), "v1", 0)})
	}
	return w
}

func (w *world) entry(uid, version string, boot float64) *state.Entry {
	return &state.Entry{UID: uid, Endpoint: "x:1", State: state.Serving, Tier: "web", Zone: uid[2:], Capacity: 1, Version: version, BootMS: boot}
}

func (w *world) view() View {
	return View{Units: w.Units(), Outs: w.Ledger().Outs(), Permits: w.Ledger().Permits(), Records: w.Records("")}
}

func (w *world) plan(t interface{ Fatal(...any) }, text string) *Plan {
	p, _, err := Parse("plan.toml", []byte(text), w.Units())
	if err != nil {
		t.Fatal(err)
	}
	w.enter(p)
	return p
}

func (w *world) enter(p *Plan) {
	value, _ := json.Marshal(p)
	w.Apply(state.Op{Kind: state.Put, Key: PlanPrefix + p.Name, Value: value, IfMod: state.Absent})
}

// follow carries orders out, the first so many of them, and gives how many there were.
func (w *world) follow(m *Machine, most int) int {
	orders := m.Next(w.view(), w.now)
	for _, o := range orders[:min(most, len(orders))] {
		if a, _ := w.Apply(o.Op); a.Fault != "" {
			break
		}
		m.Granted(o)
	}
	return len(orders)
}

// agent begins a unit's permit and starts its next version. Each is a step of its own.
func (w *world) agent(uid string, starts bool) {
	p := w.Ledger().Permit(uid)
	if p == nil {
		return
	}
	if !p.Begun {
		w.Apply(state.Op{Kind: state.Begin, UID: uid, Token: p.Token})
		return
	}
	e := w.Get(uid)
	switch {
	case e == nil:
	case e.Version == p.To && e.State == state.Draining:
		w.Apply(state.Op{Kind: state.Update, UID: uid, Token: e.Token, State: state.Serving})
	case starts && e.Version != p.To:
		w.Apply(state.Op{Kind: state.Register, Entry: w.entry(uid, p.To, e.BootMS+1)})
	}
}

func (w *world) warm(uid string) {
	if e := w.Get(uid); e != nil && e.Cold > 0 {
		zero := 0.0
		w.Apply(state.Op{Kind: state.Warm, UID: uid, Token: e.Token, Cold: &zero})
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
		machines := []*Machine{{Holder: "a"}, {Holder: "b"}}
		back := false
		turn := func() {
			uid := w.Units()[rapid.IntRange(0, len(w.Units())-1).Draw(t, "unit")].UID
			i := rapid.IntRange(0, 1).Draw(t, "controller")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				w.follow(machines[i], rapid.IntRange(0, 5).Draw(t, "orders"))
			case 2:
				machines[i] = &Machine{Holder: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))}
			case 3, 4:
				w.agent(uid, true)
			case 5:
				w.warm(uid)
			case 6:
				if pt := w.Ledger().Permit(uid); pt != nil {
					w.Apply(state.Op{Kind: state.Return, UID: uid, Token: pt.Token}) // it lapsed, if it had not begun
				}
			case 7:
				if !back && rapid.IntRange(0, 9).Draw(t, "back") == 0 {
					back = true
					w.Apply(HaltOp("p", "taken back"))
					w.enter(Back(p, ProgressOf(w.view(), "p")))
				}
			}
			w.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			if u := w.Ledger().Uses()[0]; u.Out > u.May+1e-6 {
				t.Fatalf("%+v", u)
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "turns") {
			turn()
		}
		end := &Machine{Holder: "end"}
		for i := 0; len(Running(w.view())) > 0 || len(w.Ledger().Permits()) > 0; i++ {
			if i > 1000 {
				t.Fatalf("it does not come to its end: %+v", w.view())
			}
			w.follow(end, 1000)
			for _, u := range w.Units() {
				w.agent(u.UID, true)
				w.warm(u.UID)
				if pt := w.Ledger().Permit(u.UID); pt != nil {
					w.Apply(state.Op{Kind: state.Return, UID: u.UID, Token: pt.Token})
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
	m := &Machine{Holder: "a"}
	w.follow(m, 10)
	w.agent("s00", false)
	w.follow(m, 10)
	e := w.Get("s00")
	w.Apply(state.Op{Kind: state.Expire, UID: "s00", Token: e.Token}) // its new version ends again and again
	if w.now = 9 * time.Second; w.follow(m, 10) > 0 && Halt(w.view(), "p") != "" {
		t.Error("it halted before its time")
	}
	w.now = 11 * time.Second
	if w.follow(m, 10); !strings.Contains(Halt(w.view(), "p"), "s00 has not come back within 10000 ms") {
		t.Fatalf("halt %q", Halt(w.view(), "p"))
	}
	w.enter(Back(p, ProgressOf(w.view(), "p")))
	w.follow(m, 10)
	if pt := w.Ledger().Permit("s00"); pt == nil || pt.To != "v1" || !pt.Begun {
		t.Fatalf("permit %+v", pt)
	}
	w.Apply(state.Op{Kind: state.Register, Entry: w.entry("s00", "v1", 5)})
	w.warm("s00")
	for range 3 {
		w.follow(m, 10)
	}
	if len(Running(w.view())) > 0 || len(w.Ledger().Permits()) > 0 || w.versions()[0] != "v1" {
		t.Errorf("%+v", w.view())
	}
}
