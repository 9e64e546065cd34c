package release

import (
	"encoding/json"
	"testing"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/golden"
	"umberbank/internal/registry/state"
)

// The golden files were written by the build of revision f63bdca. plan.json is the plan of plan.toml for the units of
// units.json. looks.jsonl has the View and the writes of a Scheduler at three polls, one second apart.

func goldenUnits(t *testing.T) []*state.Instance {
	t.Helper()
	return golden.RoundTrip[[]*state.Instance](t, "testdata/units.json")
}

func TestGoldenPlan(t *testing.T) {
	plan, file, err := ParsePlan("plan.toml", golden.Read(t, "testdata/plan.toml"), goldenUnits(t))
	if err != nil {
		t.Fatal(err)
	}
	golden.Encodes(t, plan, golden.Read(t, "testdata/plan.json"))
	golden.Encodes(t, file.RequiredCapacity, golden.Read(t, "testdata/needs.json"))
	golden.RoundTrip[Plan](t, "testdata/plan.json")
	if plan.MaxConcurrent != 3 || plan.BakeMS != 5000 || plan.RecoveryTimeoutMS != 60000 || len(plan.Stages) != 3 {
		t.Errorf("parsed plan: %+v", plan)
	}
	progress := golden.RoundTrip[Progress](t, "testdata/progress.json")
	golden.Encodes(t, RollbackPlan(plan, progress), golden.Read(t, "testdata/back.json"))
	golden.Encodes(t, HaltOp(plan.Name, "by staff"), golden.Read(t, "testdata/halt.json"))
}

func TestGoldenForms(t *testing.T) {
	golden.RoundTripFull[Plan](t, "testdata/plan-full.json")
	golden.RoundTripFull[Progress](t, "testdata/progress-full.json")
	if PlanKeyPrefix != "plan/" || ProgressKeyPrefix != "release/" || state.HaltKeyPrefix != "halt/" {
		t.Error("the key prefix of a record has changed")
	}
	halt := golden.Decode[state.Op](t, golden.Read(t, "testdata/halt.json"))
	if why := HaltReason(View{Records: []*state.Record{{Key: halt.Key, Value: halt.Value}}}, "web-v2"); why != "by staff" {
		t.Errorf("halt reason %q, want \"by staff\"", why)
	}
}

// goldenPoll is the View of a Scheduler at one poll, and the writes that it returned.
type goldenPoll struct {
	Units       []*state.Instance            `json:"units"`
	Unavailable []disruption.UnavailableUnit `json:"outs"`
	Permits     []*disruption.Permit         `json:"permits"`
	Records     []*state.Record              `json:"records"`
	Writes      []goldenWrite                `json:"orders"`
}

type goldenWrite struct {
	Op      json.RawMessage `json:"op"`
	Reason  string          `json:"why"`
	Applied bool            `json:"granted"` // the registry applied the write
}

func TestGoldenWrites(t *testing.T) {
	scheduler := &Scheduler{Holder: "c0"}
	for i, line := range golden.Lines(t, "testdata/looks.jsonl") {
		poll := golden.Decode[goldenPoll](t, line)
		view := View{Units: poll.Units, Unavailable: poll.Unavailable, Permits: poll.Permits, Records: poll.Records}
		writes := scheduler.NextWrites(view, time.Duration(i)*time.Second)
		if len(writes) != len(poll.Writes) {
			t.Fatalf("poll %d: %d writes, want %d", i, len(writes), len(poll.Writes))
		}
		for k, want := range poll.Writes {
			golden.Encodes(t, writes[k].Op, want.Op)
			if writes[k].Reason != want.Reason {
				t.Errorf("poll %d: reason %q, want %q", i, writes[k].Reason, want.Reason)
			}
			if want.Applied {
				scheduler.WriteApplied(writes[k])
			}
		}
	}
}
