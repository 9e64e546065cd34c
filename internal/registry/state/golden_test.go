package state

import (
	"bytes"
	"encoding/json"
	"testing"

	"umberbank/internal/golden"
)

// The files under testdata were written by the build of revision f63bdca: ops.jsonl is a sequence of log entries'
// writes with every kind of write in it, answers.jsonl what each came to, snapshot.json the State after them, and
// agreed*.json what the API tells of that State.

func replayGolden(t *testing.T) *State {
	t.Helper()
	s := New()
	answers := golden.Lines(t, "testdata/answers.jsonl")
	for i, line := range golden.Lines(t, "testdata/ops.jsonl") {
		op := golden.Decode[Op](t, line)
		golden.Encodes(t, op, line)
		answer, _ := s.Apply(op)
		golden.Encodes(t, answer, answers[i])
	}
	return s
}

func TestGoldenWrites(t *testing.T) {
	s := replayGolden(t)
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if want := golden.Read(t, "testdata/snapshot.json"); !bytes.Equal(snapshot, want) {
		t.Errorf("the snapshot after all writes differs\n got %s\nwant %s", snapshot, want)
	}
}

func TestGoldenKindsOfWrites(t *testing.T) {
	seen := map[OpKind]bool{}
	for _, line := range golden.Lines(t, "testdata/ops.jsonl") {
		seen[golden.Decode[Op](t, line).Kind] = true
	}
	for kind, want := range map[OpKind]OpKind{
		OpRegister: "register", OpUpdate: "update", OpRemove: "remove", OpExpire: "expire", OpSuspect: "suspect", OpTrust: "trust", OpSetMember: "member", OpNoop: "nothing",
		OpSetLimits: "limits", OpGrantPermit: "permit", OpBeginPermit: "begin", OpReturnPermit: "return", OpDecommission: "gone", OpWarmUp: "warm", OpReportEjected: "avoid", OpPutRecord: "put",
		OpPropose: "propose", OpAcknowledge: "ack", OpReport: "report", OpAdvance: "commit", OpWithdraw: "withdraw", OpRollback: "go-back", OpHalt: "halt",
	} {
		if kind != want {
			t.Errorf("the kind %q was %q", kind, want)
		}
		if !seen[want] {
			t.Errorf("the golden writes have no %q", want)
		}
	}
}

func TestGoldenSnapshot(t *testing.T) {
	text := golden.Read(t, "testdata/snapshot.json")
	s, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, again) {
		t.Errorf("the snapshot encodes differently\n got %s\nwant %s", again, text)
	}
	if s.Get("s0").State != Draining || s.Get("s6").Suspect != true || s.Get("controller").Role != RoleController {
		t.Errorf("instances: %+v, %+v, %+v", s.Get("s0"), s.Get("s6"), s.Get("controller"))
	}
	if m := s.Members(); len(m) != 2 || m["r2"] != "127.0.0.1:7002" {
		t.Errorf("replicas: %v", m)
	}
	if l := s.Limits(); l == nil || len(l.Tiers) != 2 || *l.Tiers[0].Region != 0.9 || l.InitialFraction != 0.4 || l.WarmUpMS != 8800 || l.PermitExpiryMS != 1500 {
		t.Errorf("limits: %+v", l)
	}
	if p := s.Budget().Permit("s0"); p == nil || !p.Begun || !p.SeenUnavailable || p.Plan != "web-v2-back" || p.TargetVersion != "v1" || p.Holder != "c0" {
		t.Errorf("permit: %+v", p)
	}
	if s.Unreachable("s5") == nil || s.Unreachable("n2") == nil || s.Unreachable("s3") != nil {
		t.Error("the units that nobody hears from are not those of the snapshot")
	}
	if s.Record(HaltKeyPrefix+"web-v2") == nil || s.Record("plan/web-v2") == nil || s.Record("release/web-v2") == nil || s.Record("note") == nil {
		t.Errorf("records: %v", s.Records(""))
	}
	b := s.Rollout()
	if b.Committed.Number != 1 || b.Pending == nil || b.Pending.Number != 4 || b.HaltReason == "" || b.HighestNumber != 4 || len(b.Nodes) != 6 {
		t.Errorf("versions of settings: %+v", b)
	}
	if _, lost := b.LostZones["c"]; !lost || !b.Nodes["n2"].Unreachable || !b.Nodes["n5"].Syncing || b.Nodes["n4"].RejectReason == "" || b.Nodes["n3"].Violation == "" {
		t.Errorf("nodes: lost %v, %+v", b.LostZones, b.Nodes)
	}
	for _, number := range []int64{1, 3, 4} {
		if s.Settings(number) == nil {
			t.Errorf("the content of version %d is not there", number)
		}
	}
	if len(s.replies.results) == 0 || len(s.ejections.byNode) == 0 {
		t.Error("answers to repeats, or what nodes keep out, are not there")
	}
}

func TestGoldenRestored(t *testing.T) {
	load := func() *State {
		s, err := Load(golden.Read(t, "testdata/snapshot.json"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	running := load()
	running.Apply(Op{Kind: OpPutRecord, Key: "later", Value: json.RawMessage(`true`)})
	running.Apply(Op{Kind: OpRemove, UID: "s4"})
	text, err := RestoreBackup(load(), running).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if want := golden.Read(t, "testdata/restored.json"); !bytes.Equal(text, want) {
		t.Errorf("the restored State differs\n got %s\nwant %s", text, want)
	}
}

func TestGoldenAgreed(t *testing.T) {
	s := replayGolden(t)
	for file, answer := range map[string]CoordinationView{
		"agreed.json":       s.CoordinationView(false, ""),
		"agreed-units.json": s.CoordinationView(true, "controller"),
		"agreed-unit.json":  s.UnitView("s1"),
		"agreed-node.json":  s.NodeView("n0", map[int64]bool{1: true}),
	} {
		t.Run(file, func(t *testing.T) {
			golden.Encodes(t, answer, golden.Read(t, "testdata/"+file))
			golden.RoundTrip[CoordinationView](t, "testdata/"+file)
		})
	}
}

func TestGoldenForms(t *testing.T) {
	golden.RoundTripFull[Op](t, "testdata/op-full.json")
	golden.RoundTripFull[Result](t, "testdata/answer-full.json")
	golden.RoundTripFull[Record](t, "testdata/record-full.json")
	golden.RoundTripFull[CoordinationView](t, "testdata/agreed-full.json")
}
