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

// site is the State of a registry with a simulated clock. Its methods simulate the controllers and the agents of the units.
type site struct {
	*state.State
	now time.Duration
}

func newSite(units int, total float64) *site {
	s := &site{State: state.New()}
	s.Apply(state.Op{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &total}}, InitialFraction: 0.5, WarmUpMS: 1}})
	for i := range units {
		s.Apply(state.Op{Kind: state.OpRegister, Instance: s.instance(fmt.Sprintf("s%02d", i), "v1", 0)})
	}
	return s
}

func (s *site) instance(uid, version string, startTimeMS float64) *state.Instance {
	return &state.Instance{UID: uid, Endpoint: "x:1", State: state.Serving, Tier: "web", Zone: uid[2:], Capacity: 1, Version: version, StartTimeMS: startTimeMS}
}

func (s *site) view() View {
	return View{Units: s.Units(), Unavailable: s.Budget().UnavailableUnits(), Permits: s.Budget().Permits(), Records: s.Records("")}
}

// storePlanFile parses a plan file and stores its plan.
func (s *site) storePlanFile(t rapid.TB, text string) *Plan {
	t.Helper()
	p, _, err := ParsePlan("plan.toml", []byte(text), s.Units())
	if err != nil {
		t.Fatal(err)
	}
	s.storePlan(p)
	return p
}

func (s *site) storePlan(p *Plan) {
	value, _ := json.Marshal(p)
	s.Apply(state.Op{Kind: state.OpPutRecord, Key: PlanKeyPrefix + p.Name, Value: value, IfModRevision: state.Absent})
}

// applyWrites applies at most the given number of a scheduler's next writes, up to the first that fails. It returns how many
// writes the scheduler requested.
func (s *site) applyWrites(scheduler *Scheduler, limit int) int {
	writes := scheduler.NextWrites(s.view(), s.now)
	for _, w := range writes[:min(limit, len(writes))] {
		if result, _ := s.Apply(w.Op); result.Code != "" {
			break
		}
		scheduler.WriteApplied(w)
	}
	return len(writes)
}

// runAgent takes the next step of a unit's agent: it begins the permit, starts the target version if canStart is set, or sets a
// draining unit that runs the target version to serving.
func (s *site) runAgent(uid string, canStart bool) {
	p := s.Budget().Permit(uid)
	if p == nil {
		return
	}
	if !p.Begun {
		s.Apply(state.Op{Kind: state.OpBeginPermit, UID: uid, Token: p.Token})
		return
	}
	instance := s.Get(uid)
	switch {
	case instance == nil:
	case instance.Version == p.TargetVersion && instance.State == state.Draining:
		s.Apply(state.Op{Kind: state.OpUpdate, UID: uid, Token: instance.Token, State: state.Serving})
	case canStart && instance.Version != p.TargetVersion:
		s.Apply(state.Op{Kind: state.OpRegister, Instance: s.instance(uid, p.TargetVersion, instance.StartTimeMS+1)})
	}
}

func (s *site) warmUp(uid string) {
	if instance := s.Get(uid); instance != nil && instance.WarmUpDeficit > 0 {
		zero := 0.0
		s.Apply(state.Op{Kind: state.OpWarmUp, UID: uid, Token: instance.Token, WarmUpDeficit: &zero})
	}
}

func (s *site) versions() (versions []string) {
	for _, u := range s.Units() {
		versions = append(versions, u.Version)
	}
	return slices.Compact(slices.Sorted(slices.Values(versions)))
}

const twoStagePlanFile = "name = \"p\"\nversion = \"v2\"\nbake = \"1s\"\nback_within = \"1h\"\n[[stage]]\ntier = \"web\"\nshare = 0.2\n[[stage]]\ntier = \"web\"\nshare = 1.0\n"

// Two controllers send writes in random order and are replaced at any step, while agents begin permits and start units, and the
// units warm up. An operator may halt the release and roll it back. No limit may be exceeded. In the end every unit must run the
// new version, or the old one after a rollback.
func TestAnyControllerContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(3, 12).Draw(t, "units"), 0.4)
		p := s.storePlanFile(t, twoStagePlanFile)
		schedulers := []*Scheduler{{Holder: "a"}, {Holder: "b"}}
		rolledBack := false
		step := func() {
			uid := s.Units()[rapid.IntRange(0, len(s.Units())-1).Draw(t, "unit")].UID
			i := rapid.IntRange(0, 1).Draw(t, "controller")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				s.applyWrites(schedulers[i], rapid.IntRange(0, 5).Draw(t, "writes"))
			case 2:
				schedulers[i] = &Scheduler{Holder: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))}
			case 3, 4:
				s.runAgent(uid, true)
			case 5:
				s.warmUp(uid)
			case 6:
				if permit := s.Budget().Permit(uid); permit != nil {
					s.Apply(state.Op{Kind: state.OpReturnPermit, UID: uid, Token: permit.Token}) // no effect if it has begun
				}
			case 7:
				if !rolledBack && rapid.IntRange(0, 9).Draw(t, "roll back") == 0 {
					rolledBack = true
					s.Apply(HaltOp("p", "rolled back"))
					s.storePlan(RollbackPlan(p, ProgressOf(s.view(), "p")))
				}
			}
			s.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			if u := s.Budget().Usages()[0]; u.Unavailable > u.Allowed+1e-6 {
				t.Fatalf("limit exceeded: %+v", u)
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			step()
		}
		end := &Scheduler{Holder: "end"}
		for i := 0; len(ActivePlans(s.view())) > 0 || len(s.Budget().Permits()) > 0; i++ {
			if i > 1000 {
				t.Fatalf("the release has not ended after 1,000 rounds: %+v", s.view())
			}
			s.applyWrites(end, 1000)
			for _, u := range s.Units() {
				s.runAgent(u.UID, true)
				s.warmUp(u.UID)
				if permit := s.Budget().Permit(u.UID); permit != nil {
					s.Apply(state.Op{Kind: state.OpReturnPermit, UID: u.UID, Token: permit.Token})
				}
			}
			s.now += time.Second
		}
		want := "v2"
		if rolledBack {
			want = "v1"
		}
		if v := s.versions(); len(v) != 1 || v[0] != want {
			t.Fatalf("units run %v, want %s", v, want)
		}
	})
}

// A unit that does not recover in time halts its release. The rollback must include the unit, although its new version never
// served.
func TestHaltsOnRecoveryTimeout(t *testing.T) {
	s := newSite(5, 0.4)
	p := s.storePlanFile(t, strings.Replace(twoStagePlanFile, "1h", "10s", 1))
	scheduler := &Scheduler{Holder: "a"}
	s.applyWrites(scheduler, 10)
	s.runAgent("s00", false)
	s.applyWrites(scheduler, 10)
	instance := s.Get("s00")
	s.Apply(state.Op{Kind: state.OpExpire, UID: "s00", Token: instance.Token}) // its new version crashes repeatedly
	if s.now = 9 * time.Second; s.applyWrites(scheduler, 10) > 0 && HaltReason(s.view(), "p") != "" {
		t.Error("the release halted before the timeout")
	}
	s.now = 11 * time.Second
	if s.applyWrites(scheduler, 10); !strings.Contains(HaltReason(s.view(), "p"), "s00 has not come back within 10000 ms") {
		t.Fatalf("halt reason %q, want that s00 has not come back", HaltReason(s.view(), "p"))
	}
	s.storePlan(RollbackPlan(p, ProgressOf(s.view(), "p")))
	s.applyWrites(scheduler, 10)
	if permit := s.Budget().Permit("s00"); permit == nil || permit.TargetVersion != "v1" || !permit.Begun {
		t.Fatalf("permit %+v, want a begun one to v1", permit)
	}
	s.Apply(state.Op{Kind: state.OpRegister, Instance: s.instance("s00", "v1", 5)})
	s.warmUp("s00")
	for range 3 {
		s.applyWrites(scheduler, 10)
	}
	if len(ActivePlans(s.view())) > 0 || len(s.Budget().Permits()) > 0 || s.versions()[0] != "v1" {
		t.Errorf("the rollback has not ended: %+v", s.view())
	}
}

// A unit that staff keep drained does not hold up the other units of its stage. It is changed once it serves again.
func TestUnitDrainedByStaffDoesNotStallStage(t *testing.T) {
	for _, drained := range []string{"s00", "s04"} {
		t.Run(drained, func(t *testing.T) {
			s := newSite(10, 0.2)
			s.storePlanFile(t, "name = \"p\"\nversion = \"v2\"\nbake = \"1s\"\nback_within = \"1h\"\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")
			s.Apply(state.Op{Kind: state.OpGrantPermit, UID: drained, Incarnation: s.Get(drained).Token, Holder: "staff"})
			permit := s.Budget().Permit(drained)
			s.Apply(state.Op{Kind: state.OpBeginPermit, UID: drained, Token: permit.Token})
			scheduler := &Scheduler{Holder: "a"}
			advance := func() {
				for range 60 {
					s.applyWrites(scheduler, 100)
					for _, u := range s.Units() {
						if s.Budget().Permit(u.UID) != permit {
							s.runAgent(u.UID, true)
							s.warmUp(u.UID)
						}
					}
				}
			}
			advance()
			for _, u := range s.Units() {
				if (u.UID == drained) != (u.Version == "v1") {
					t.Errorf("%s runs %s while staff keep %s drained", u.UID, u.Version, drained)
				}
			}
			s.Apply(state.Op{Kind: state.OpUpdate, UID: drained, State: state.Serving})
			permit = nil
			advance()
			if v := s.versions(); len(v) != 1 || v[0] != "v2" {
				t.Errorf("after %s serves again, units run %v", drained, v)
			}
		})
	}
}

// A release halts once one incarnation of a unit has had the maximum number of permits, as the reason of the halt says.
func TestHaltsAfterMaxPermits(t *testing.T) {
	s := newSite(1, 1)
	s.storePlanFile(t, "name = \"p\"\nversion = \"v2\"\nbake = \"1s\"\nback_within = \"1h\"\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")
	scheduler := &Scheduler{Holder: "a"}
	granted := 0
	for HaltReason(s.view(), "p") == "" && granted <= 2*maxPermitsPerIncarnation {
		s.applyWrites(scheduler, 10)
		if permit := s.Budget().Permit("s00"); permit != nil {
			granted++
			s.Apply(state.Op{Kind: state.OpReturnPermit, UID: "s00", Token: permit.Token}) // its agent has not begun it in time
		}
	}
	want := fmt.Sprintf("s00 was given %d permits", granted)
	if granted != maxPermitsPerIncarnation || !strings.Contains(HaltReason(s.view(), "p"), want) {
		t.Errorf("halted after %d permits: %q, want %d", granted, HaltReason(s.view(), "p"), maxPermitsPerIncarnation)
	}
}

// A stage that names a unit twice is rejected: it would have two steps for that unit.
func TestPlanFileRejectsRepeatedUnit(t *testing.T) {
	s := newSite(2, 1)
	text := "name = \"p\"\nversion = \"v2\"\nbake = \"1s\"\nback_within = \"1h\"\n[[stage]]\nunits = [\"s00\", \"s01\", \"s00\"]\n"
	if _, _, err := ParsePlan("plan.toml", []byte(text), s.Units()); err == nil || !strings.Contains(err.Error(), `"s00" is named twice`) {
		t.Errorf("got %v, want an error that names the unit", err)
	}
}
