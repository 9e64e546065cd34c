package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"umberbank/internal/coordination/disruption"
)

func half() *disruption.Limits {
	v := 0.5
	return &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Whole: &v}}, ColdFrom: 0.4, WarmMS: 1000}
}

// site is a State with limits and so many units of capacity 1, s0 and on, all warm.
func site(units int) *State {
	s := New()
	s.Apply(Op{Kind: SetLimits, Limits: half()})
	for i := range units {
		s.Apply(Op{Kind: Register, Entry: &Entry{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}})
	}
	return s
}

// TestPermits walks through what may befall permits. Each step says what the write should come to.
func TestPermits(t *testing.T) {
	s := site(4)
	start := func(uid string) int64 { return s.Get(uid).Token }
	token := map[string]int64{}
	step := func(what string, op Op, fault string) {
		t.Helper()
		a, _ := s.Apply(op)
		if a.Fault != fault {
			t.Errorf("%s: %+v, want %q", what, a, fault)
		}
		if op.Kind == Permit && a.Fault == "" {
			token[op.UID] = a.Token
		}
	}
	ask := func(uid string) Op {
		return Op{Kind: Permit, UID: uid, Start: start(uid), Holder: "me", Plan: "p", To: "v2"}
	}
	out := func(want float64) {
		t.Helper()
		if u := s.Ledger().Uses(); u[0].Out != want {
			t.Errorf("%v of %v out, want %v", u[0].Out, u[0].Capacity, want)
		}
	}
	step("the first", ask("s0"), "")
	step("once more", ask("s0"), "")
	step("the second", ask("s1"), "")
	step("one too many", ask("s2"), OverBudget)
	out(2)
	step("a wrong token", Op{Kind: Begin, UID: "s0", Token: 1}, NoPermit)
	step("it begins", Op{Kind: Begin, UID: "s0", Token: token["s0"]}, "")
	if s.Get("s0").State != Draining {
		t.Error("a server that is taken out does not drain")
	}
	step("a halt", Op{Kind: Put, Key: HaltPrefix + "p", Value: json.RawMessage(`{}`)}, "")
	step("what had begun may begin again", Op{Kind: Begin, UID: "s0", Token: token["s0"]}, "")
	step("nothing else begins", Op{Kind: Begin, UID: "s1", Token: token["s1"]}, Halted)
	step("it is given back", Op{Kind: Return, UID: "s1", Token: token["s1"]}, "")
	step("what has begun is not", Op{Kind: Return, UID: "s0", Token: token["s0"]}, NoPermit)
	out(1)

	step("its lease ends", Op{Kind: Expire, UID: "s0", Token: start("s0")}, "")
	out(1)
	again := &Entry{UID: "s0", Endpoint: "10.0.0.1:3000", State: Serving, Tier: "web", Capacity: 1, Version: "v1"}
	step("the same process comes back", Op{Kind: Register, Entry: again}, "")
	if s.Get("s0").State != Draining || s.Ledger().Permit("s0") == nil {
		t.Error("a unit that is being taken out came back and serves")
	}
	next := *again
	next.BootMS, next.Version = 5, "v2"
	step("its next start", Op{Kind: Register, Entry: &next}, "")
	if s.Get("s0").Cold != 0.6 || s.Ledger().Permit("s0") == nil {
		t.Errorf("a start that is cold by %v frees its permit", s.Get("s0").Cold)
	}
	out(1)
	warm := 0.0
	step("it is warm", Op{Kind: Warm, UID: "s0", Token: start("s0"), Cold: &warm}, "")
	out(0)

	step("a crash", Op{Kind: Expire, UID: "s3", Token: start("s3")}, "")
	step("another", Op{Kind: Remove, UID: "s2", Token: start("s2")}, "")
	out(2)
	step("faults have taken all that may be out", ask("s1"), OverBudget)
	step("one is declared gone", Op{Kind: Gone, UID: "s3"}, "")
	out(1)
	step("which is not there twice", Op{Kind: Gone, UID: "s3"}, NotFound)
	step("a drain without a permit counts", Op{Kind: Update, UID: "s1", State: Draining}, "")
	out(2)
	if o := s.Ledger().Outs(); len(o) != 2 || o[0].Unit != "s1" || o[0].Permitted || o[0].Why != "draining" {
		t.Errorf("out: %+v", o)
	}

	step("a controller", Op{Kind: Register, IfMod: Absent, Entry: &Entry{UID: "c", Endpoint: "one", State: Serving, Role: Controller, BootMS: 1}}, "")
	step("another one", Op{Kind: Register, IfMod: Absent, Entry: &Entry{UID: "c", Endpoint: "two", State: Serving, Role: Controller, BootMS: 2}}, Conflict)
	lead := &Fence{"c", start("c")}
	step("it acts", Op{Kind: Put, Key: "k", Value: json.RawMessage(`1`), Fence: lead}, "")
	step("its lease ends", Op{Kind: Expire, UID: "c", Token: lead.Token}, "")
	step("it acts no more", Op{Kind: Put, Key: "k", Value: json.RawMessage(`2`), Fence: lead}, Fenced)
	step("a record that is there", Op{Kind: Put, Key: "k", Value: json.RawMessage(`2`), IfMod: Absent}, Conflict)
	step("no JSON", Op{Kind: Put, Key: "k", Value: json.RawMessage(`{`)}, Bad)
}

// A server counts as out while most of the nodes that send to its tier avoid it.
func TestAvoided(t *testing.T) {
	s := site(2)
	for i := range 3 {
		s.Apply(Op{Kind: Register, Entry: &Entry{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: Node, Tier: "front", Kind: "web", Capacity: 1}})
	}
	avoid := func(i int, l ...string) {
		uid := fmt.Sprint("n", i)
		if a, _ := s.Apply(Op{Kind: Avoid, UID: uid, Token: s.Get(uid).Token, Avoids: l}); a.Fault != "" {
			t.Errorf("%+v", a)
		}
	}
	is := func(want bool, when string) {
		t.Helper()
		if o := s.Ledger().Outs(); (len(o) == 1 && o[0].Unit == "s1" && o[0].Why == "avoided") != want {
			t.Errorf("%s: %+v", when, o)
		}
	}
	avoid(0, "s1", "s1")
	is(false, "one of three")
	avoid(1, "s1")
	is(true, "two of three")
	avoid(0)
	is(false, "one again")
	avoid(2, "s1")
	s.Apply(Op{Kind: Remove, UID: "n2", Token: 0})
	is(false, "one of two, as the third has gone")
	s.Apply(Op{Kind: Remove, UID: "n0", Token: 0})
	is(true, "the one that is left")
}

// Whatever was written, a State read from its snapshot goes on as the one that was kept: the same answers to the same
// writes, whose sums were added up in another order. And a backup that takes a running State's place frees nothing that is out.
func TestSnapshotGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := site(5)
		op := func(s *State) Op {
			uid := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "unit"))
			e := s.Get(uid)
			if e == nil {
				e = &Entry{UID: uid, Endpoint: "x:1", State: Serving, Tier: "web", Capacity: 1, BootMS: rapid.SampledFrom([]float64{0, 7}).Draw(t, "boot")}
			}
			var permit int64
			if p := s.Ledger().Permit(uid); p != nil {
				permit = p.Token
			}
			cold := e.Cold / 2
			again := *e
			again.BootMS++
			return rapid.SampledFrom([]Op{
				{Kind: Register, Entry: e}, {Kind: Register, Entry: &again}, {Kind: Permit, UID: uid, Start: e.Token, Holder: "me", Plan: "p"},
				{Kind: Permit, UID: uid, Start: e.Token, Holder: "me", Plan: "p-back", Over: "p"},
				{Kind: Begin, UID: uid, Token: permit}, {Kind: Return, UID: uid, Token: permit}, {Kind: Expire, UID: uid, Token: e.Token},
				{Kind: Warm, UID: uid, Token: e.Token, Cold: &cold}, {Kind: Gone, UID: uid}, {Kind: Suspect, UID: uid}, {Kind: Trust, UID: uid},
				{Kind: Update, UID: uid, State: Draining}, {Kind: Update, UID: uid, State: Serving},
			}).Draw(t, "op")
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			s.Apply(op(s))
		}
		text, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		read, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 20).Draw(t, "after") {
			o := op(s)
			a, _ := s.Apply(o)
			b, _ := read.Apply(o)
			if a != b {
				t.Fatalf("%+v: %+v, and read from its snapshot %+v", o, a, b)
			}
		}
		if d := cmp.Diff(s.Ledger().Uses(), read.Ledger().Uses()) + cmp.Diff(s.Ledger().Outs(), read.Ledger().Outs()); d != "" {
			t.Fatal(d)
		}
		backup, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		restored := Restored(backup, s)
		for _, p := range s.Ledger().Permits() {
			e := restored.Get(p.Unit)
			if e == nil {
				e = restored.Missing(p.Unit)
			}
			if e == nil || e.BootMS > p.Boot {
				continue // declared gone, or back again
			}
			if restored.Ledger().Permit(p.Unit) == nil {
				t.Fatalf("the permit %+v was lost", p)
			}
			if restored.Missing(p.Unit) == nil && p.Begun && e.State != Draining {
				t.Fatalf("%+v serves, though it may be out", e)
			}
		}
	})
}

// A backup in the running State's place does not bring back who led when it was taken: not its fences, whoever leads now.
func TestRestoredLead(t *testing.T) {
	lead := func(s *State, boot float64) *Fence {
		a, _ := s.Apply(Op{Kind: Register, Entry: &Entry{UID: "controller", Endpoint: "c", State: Serving, Role: Controller, BootMS: boot, TTLMS: 1000}})
		return &Fence{"controller", a.Token}
	}
	s := New()
	old := lead(s, 1)
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Op{Kind: Expire, UID: "controller", Token: old.Token})
	for _, name := range []string{"nobody", "another"} {
		running := s.clone(t)
		var now *Fence
		if name == "another" {
			now = lead(running, 2)
		}
		backup, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		r := Restored(backup, running)
		if a, _ := r.Apply(Op{Kind: Nothing, Fence: old}); a.Fault != Fenced {
			t.Errorf("%s leads: the one before acts: %+v", name, a)
		}
		if now == nil {
			continue
		}
		if a, _ := r.Apply(Op{Kind: Nothing, Fence: now}); a.Fault != "" {
			t.Errorf("%s leads, and does no more: %+v", name, a)
		}
	}
}

// clone is a State read from another's snapshot.
func (s *State) clone(t *testing.T) *State {
	t.Helper()
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// fleet is a State with nodes that have said what they run: n0, n2 in zone a, n1, n3 in zone b, and so on.
func fleet(t *testing.T, nodes int) *State {
	t.Helper()
	s := New()
	for i := range nodes {
		e := Entry{UID: fmt.Sprint("n", i), Endpoint: "x:1", State: Serving, Role: Node, Tier: "front", Zone: string("ab"[i%2]), Capacity: 1, BootMS: 1}
		a, _ := s.Apply(Op{Kind: Register, Entry: &e})
		if a, _ = s.Apply(Op{Kind: Report, UID: e.UID, Token: a.Token}); a.Fault != "" {
			t.Fatal(a)
		}
	}
	return s
}

// A node is out of touch from the write that its lease has ended, believed or not, and back in touch only by its own word after
// that; the word of a start before, and what it says while it is not heard, count for nothing.
func TestOutOfTouch(t *testing.T) {
	s := fleet(t, 4)
	start := map[string]int64{}
	for uid, n := range s.Book().Nodes {
		start[uid] = n.Start
	}
	again := *s.Get("n2")
	later := again
	later.BootMS = 2
	report := Op{Kind: Report, UID: "n2", Token: start["n2"]}
	for _, c := range []struct {
		what           string
		op             Op
		fault          string
		inTouch, heard bool
	}{
		{"a lease that is not believed to have ended", Op{Kind: Suspect, UID: "n2", Token: start["n2"], WallMS: 7000}, "", false, false},
		{"its word meanwhile", report, "", false, false},
		{"it is renewed", Op{Kind: Trust, UID: "n2", Token: start["n2"]}, "", false, true},
		{"its word", report, "", true, true},
		{"an end that is believed", Op{Kind: Expire, UID: "n2", Token: start["n2"], WallMS: 8000}, "", false, false},
		{"the same process is back", Op{Kind: Register, Entry: &again}, "", false, true},
		{"it has caught up", report, "", true, true},
		{"a fresh start", Op{Kind: Register, Entry: &later}, "", false, true},
		{"the word of the one before", report, NotYet, false, true},
	} {
		a, _ := s.Apply(c.op)
		n := s.Book().Nodes["n2"]
		if a.Fault != c.fault || n.InTouch() != c.inTouch || n.Missing == c.heard {
			t.Errorf("%s: %+v, %+v", c.what, a, n)
		}
		if c.op.WallMS > 0 && (n.Since.Rev != s.Rev() || n.Since.WallMS != c.op.WallMS) {
			t.Errorf("%s: since %+v at revision %d", c.what, n.Since, s.Rev())
		}
	}
	if a, _ := s.Apply(Op{Kind: Report, UID: "n2", Token: s.Get("n2").Token}); a.Fault != "" || !s.Book().Nodes["n2"].InTouch() {
		t.Errorf("%+v", a)
	}
}

// Whatever befell nodes, a State read from its snapshot knows the same of them, and goes on the same.
func TestSnapshotOfBook(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := fleet(t, 4)
		op := func(s *State) Op {
			uid := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(rt, "node"))
			e := s.Get(uid)
			if e == nil {
				e = s.Missing(uid)
			}
			again, n, v := *e, s.Book().Nodes[uid], s.Book().Pending
			again.BootMS++
			ops := []Op{{Kind: Register, Entry: e}, {Kind: Register, Entry: &again}, {Kind: Expire, UID: uid, Token: e.Token, WallMS: 5}, {Kind: Expire, UID: uid, Token: e.Token},
				{Kind: Suspect, UID: uid}, {Kind: Trust, UID: uid}, {Kind: Report, UID: uid, Token: e.Token, Number: n.Told, Hash: s.Book().Hashes[n.Told]},
				{Kind: Propose, Value: json.RawMessage(fmt.Sprint(s.Book().Highest)), Replaces: s.Book().Committed.Number, Stages: []float64{0.4, 1}}, {Kind: GoBack}}
			if v != nil {
				ops = append(ops, Op{Kind: Ack, UID: uid, Token: e.Token, Number: v.Number, Hash: v.Hash}, Op{Kind: Commit, Number: v.Number, Stage: s.Book().Stage})
			}
			return rapid.SampledFrom(ops).Draw(rt, "op")
		}
		for range rapid.IntRange(0, 60).Draw(rt, "before") {
			s.Apply(op(s))
		}
		text, err := s.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		read, err := Load(text)
		if err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(0, 20).Draw(rt, "after") {
			if d := cmp.Diff(s.Book(), read.Book(), cmpopts.EquateEmpty()); d != "" {
				rt.Fatal(d)
			}
			o := op(s)
			a, _ := s.Apply(o)
			if b, _ := read.Apply(o); a != b {
				rt.Fatalf("%+v: %+v, and read from its snapshot %+v", o, a, b)
			}
		}
		// A backup in the place of the running State takes nothing of what nodes were told back.
		restored := Restored(read, s)
		for uid, n := range s.Book().Nodes {
			if r := restored.Book().Nodes[uid]; r == nil || r.Told != n.Told || r.InTouch() && !n.InTouch() {
				rt.Fatalf("%s: %+v, restored %+v", uid, n, r)
			}
		}
	})
}

func TestRecordsByPrefix(t *testing.T) {
	s := New()
	for _, k := range []string{"b/1", "a/2", "a/1"} {
		s.Apply(Op{Kind: Put, Key: k, Value: json.RawMessage(`{}`)})
	}
	var keys []string
	for _, r := range s.Records("a/") {
		keys = append(keys, r.Key)
	}
	if strings.Join(keys, " ") != "a/1 a/2" {
		t.Errorf("%v", keys)
	}
}
