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
	seen := map[string]bool{}
	for _, line := range golden.Lines(t, "testdata/ops.jsonl") {
		seen[golden.Decode[Op](t, line).Kind] = true
	}
	for kind, want := range map[string]string{
		Register: "register", Update: "update", Remove: "remove", Expire: "expire", Suspect: "suspect", Trust: "trust", Member: "member", Nothing: "nothing",
		SetLimits: "limits", Permit: "permit", Begin: "begin", Return: "return", Gone: "gone", Warm: "warm", Avoid: "avoid", Put: "put",
		Propose: "propose", Ack: "ack", Report: "report", Commit: "commit", Withdraw: "withdraw", GoBack: "go-back", Halt: "halt",
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
	if s.Get("s0").State != Draining || s.Get("s6").Suspect != true || s.Get("controller").Role != Controller {
		t.Errorf("instances: %+v, %+v, %+v", s.Get("s0"), s.Get("s6"), s.Get("controller"))
	}
	if m := s.Members(); len(m) != 2 || m["r2"] != "127.0.0.1:7002" {
		t.Errorf("replicas: %v", m)
	}
	if l := s.Limits(); l == nil || len(l.Tiers) != 2 || *l.Tiers[0].Region != 0.9 || l.ColdFrom != 0.4 || l.WarmMS != 8800 || l.LapseMS != 1500 {
		t.Errorf("limits: %+v", l)
	}
	if p := s.Ledger().Permit("s0"); p == nil || !p.Begun || !p.SeenOut || p.Plan != "web-v2-back" || p.To != "v1" || p.Holder != "c0" {
		t.Errorf("permit: %+v", p)
	}
	if s.Missing("s5") == nil || s.Missing("n2") == nil || s.Missing("s3") != nil {
		t.Error("the units that nobody hears from are not those of the snapshot")
	}
	if s.Record(HaltPrefix+"web-v2") == nil || s.Record("plan/web-v2") == nil || s.Record("release/web-v2") == nil || s.Record("note") == nil {
		t.Errorf("records: %v", s.Records(""))
	}
	b := s.Book()
	if b.Committed.Number != 1 || b.Pending == nil || b.Pending.Number != 4 || b.Halted == "" || b.Highest != 4 || len(b.Nodes) != 6 {
		t.Errorf("versions of settings: %+v", b)
	}
	if _, lost := b.Lost["c"]; !lost || !b.Nodes["n2"].Missing || !b.Nodes["n5"].CatchingUp || b.Nodes["n4"].Refused == "" || b.Nodes["n3"].Fault == "" {
		t.Errorf("nodes: lost %v, %+v", b.Lost, b.Nodes)
	}
	for _, number := range []int64{1, 3, 4} {
		if s.Config(number) == nil {
			t.Errorf("the content of version %d is not there", number)
		}
	}
	if len(s.answers) == 0 || len(s.avoids) == 0 {
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
	running.Apply(Op{Kind: Put, Key: "later", Value: json.RawMessage(`true`)})
	running.Apply(Op{Kind: Remove, UID: "s4"})
	text, err := Restored(load(), running).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if want := golden.Read(t, "testdata/restored.json"); !bytes.Equal(text, want) {
		t.Errorf("the restored State differs\n got %s\nwant %s", text, want)
	}
}

func TestGoldenAgreed(t *testing.T) {
	s := replayGolden(t)
	for file, answer := range map[string]Agreed{
		"agreed.json":       s.Agreed(false, ""),
		"agreed-units.json": s.Agreed(true, "controller"),
		"agreed-unit.json":  s.AgreedOfUnit("s1"),
		"agreed-node.json":  s.AgreedOfNode("n0", map[int64]bool{1: true}),
	} {
		t.Run(file, func(t *testing.T) {
			golden.Encodes(t, answer, golden.Read(t, "testdata/"+file))
			golden.RoundTrip[Agreed](t, "testdata/"+file)
		})
	}
}

func TestGoldenForms(t *testing.T) {
	golden.RoundTripFull[Op](t, "testdata/op-full.json")
	golden.RoundTripFull[Answer](t, "testdata/answer-full.json")
	golden.RoundTripFull[Record](t, "testdata/record-full.json")
	golden.RoundTripFull[Agreed](t, "testdata/agreed-full.json")
}
