package state

import (
	"bytes"
	"encoding/json"
	"testing"

	"umberbank/internal/golden"
)

// The files under testdata were written by the build of revision f63bdca. ops.jsonl is a sequence of writes of every kind,
// answers.jsonl has the result of each, snapshot.json is the State after them, and agreed*.json are views of that State.

func replayGolden(t *testing.T) *State {
	t.Helper()
	s := New()
	results := golden.Lines(t, "testdata/answers.jsonl")
	for i, line := range golden.Lines(t, "testdata/ops.jsonl") {
		op := golden.Decode[Op](t, line)
		golden.Encodes(t, op, line)
		result, _ := s.Apply(op)
		golden.Encodes(t, result, results[i])
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
		t.Errorf("snapshot after all writes differs\n got %s\nwant %s", snapshot, want)
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
			t.Errorf("kind is %q, want %q", kind, want)
		}
		if !seen[want] {
			t.Errorf("ops.jsonl has no write of kind %q", want)
		}
	}
}

func TestGoldenSnapshot(t *testing.T) {
	text := golden.Read(t, "testdata/snapshot.json")
	s, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, reencoded) {
		t.Errorf("loaded snapshot encodes differently\n got %s\nwant %s", reencoded, text)
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
		t.Error("unreachable units are not those of the snapshot")
	}
	if s.Record(HaltKeyPrefix+"web-v2") == nil || s.Record("plan/web-v2") == nil || s.Record("release/web-v2") == nil || s.Record("note") == nil {
		t.Errorf("records: %v", s.Records(""))
	}
	r := s.Rollout()
	if r.Committed.Number != 1 || r.Pending == nil || r.Pending.Number != 4 || r.HaltReason == "" || r.HighestNumber != 4 || len(r.Nodes) != 6 {
		t.Errorf("rollout: %+v", r)
	}
	if _, lost := r.LostZones["c"]; !lost || !r.Nodes["n2"].Unreachable || !r.Nodes["n5"].Syncing || r.Nodes["n4"].RejectReason == "" || r.Nodes["n3"].Violation == "" {
		t.Errorf("lost zones %v, nodes %+v", r.LostZones, r.Nodes)
	}
	for _, number := range []int64{1, 3, 4} {
		if s.Settings(number) == nil {
			t.Errorf("content of version %d is missing", number)
		}
	}
	if len(s.replies.results) == 0 || len(s.ejections.byNode) == 0 {
		t.Error("results for repeated writes, or ejections, are missing")
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
		t.Errorf("restored State differs\n got %s\nwant %s", text, want)
	}
}

func TestGoldenCoordinationView(t *testing.T) {
	s := replayGolden(t)
	for file, view := range map[string]CoordinationView{
		"agreed.json":       s.CoordinationView(false, ""),
		"agreed-units.json": s.CoordinationView(true, "controller"),
		"agreed-unit.json":  s.UnitView("s1"),
		"agreed-node.json":  s.NodeView("n0", map[int64]bool{1: true}),
	} {
		t.Run(file, func(t *testing.T) {
			golden.Encodes(t, view, golden.Read(t, "testdata/"+file))
			golden.RoundTrip[CoordinationView](t, "testdata/"+file)
		})
	}
}

func TestGoldenEncodings(t *testing.T) {
	golden.RoundTripFull[Op](t, "testdata/op-full.json")
	golden.RoundTripFull[Result](t, "testdata/answer-full.json")
	golden.RoundTripFull[Record](t, "testdata/record-full.json")
	golden.RoundTripFull[CoordinationView](t, "testdata/agreed-full.json")
}
