package rollout

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func hash(n int64) string { return fmt.Sprint("h", n) }

// process is a node as it is, which the Book knows only by what is said.
type process struct {
	id, zone string
	start    int64
	running  int64  // version
	content  string // hash
}

// Nodes answer, activate, restart, are lost, come back and are declared gone in any order, while versions are proposed, committed,
// halted, withdrawn and taken back. At most two contents run at a time, no node that keeps what it ran goes to a lower
// number, nothing is told to nodes without a quorum in each zone, and a version withdrawn is never run.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		nodes := map[string]*process{}
		for i := range rapid.IntRange(zones, 7).Draw(t, "nodes") {
			p := &process{id: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), start: 1}
			nodes[p.id] = p
			b.SetNode(p.id, p.zone, 1, false)
		}
		contents := map[int64]string{0: ""} // by number, as proposed
		withdrawn := map[int64]bool{}
		names := b.ids()
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			p := nodes[rapid.SampledFrom(names).Draw(t, "node")]
			n := b.Nodes[p.id]
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				if v, err := b.Propose(fmt.Sprint("c", b.Highest+1), b.Committed.Number, []float64{0.4, 1}); err == nil {
					contents[v.Number] = v.Hash
				}
			case 1, 2, 3:
				if b.Pending != nil {
					b.Ack(p.id, p.start, b.Pending.Number, b.Pending.Hash, "")
				}
			case 4, 5:
				before := b.Stage
				if b.Pending == nil {
					break
				}
				number := b.Pending.Number
				if b.Commit(number, before) == nil && (b.Pending == nil || b.Stage > before) {
					// A count of its own of what a quorum is.
					acked, all := map[string]int{}, map[string]int{}
					for _, o := range b.Nodes {
						all[o.Zone]++
						if o.Acked == number && !o.Missing || b.Pending == nil {
							acked[o.Zone]++ // acknowledgments end with the last stage
						}
					}
					for z := range all {
						if 2*acked[z] <= all[z] {
							t.Fatalf("told without a quorum in %s", z)
						}
					}
				}
			case 6, 7, 8: // it hears what it is told, and says what it runs
				if n == nil {
					break
				}
				if n.Told > p.running {
					if withdrawn[n.Told] {
						t.Fatalf("told version %d, which was withdrawn", n.Told)
					}
					p.running, p.content = n.Told, contents[n.Told]
				}
				if err := b.Report(p.id, p.start, p.running, p.content); err != nil || n.Fault != "" {
					t.Fatalf("%v %s", err, n.Fault)
				}
			case 9: // a restart, with what it kept
				p.start++
				b.SetNode(p.id, p.zone, p.start, false)
				if n := b.Nodes[p.id]; n.Acked != 0 || n.Known {
					t.Fatalf("a new start is known: %+v", n)
				}
			case 10:
				if n != nil {
					b.SetNode(p.id, p.zone, p.start, !n.Missing)
				}
			case 11:
				if b.Pending != nil && b.Withdraw(b.Pending.Number) == nil {
					withdrawn[b.Highest] = true
				}
			case 12:
				if v, err := b.Back(); err == nil {
					contents[v.Number] = v.Hash
				}
			}
			run := map[string]bool{}
			for id := range b.Nodes {
				run[nodes[id].content] = true
			}
			if len(run) > 2 {
				t.Fatalf("%d contents run: %v", len(run), run)
			}
		}
	})
}

// The life of a version, step by step, and what is said where it cannot go on.
func TestStepByStep(t *testing.T) {
	b := New()
	zones := []string{"a", "a", "a", "b", "b"}
	for i, z := range zones {
		b.SetNode(fmt.Sprint("n", i), z, 1, false)
	}
	fails := func(err error, want string) {
		t.Helper()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	_, err := b.Propose("x", 0, []float64{1})
	fails(err, "node n0 (zone a) is not known to run version 0")
	for i := range zones {
		fails(b.Report(fmt.Sprint("n", i), 1, 0, ""), "")
	}
	_, err = b.Propose("x", 3, []float64{1})
	fails(err, "version 0 is in force")
	_, err = b.Propose("x", 0, []float64{0.5, 0.4})
	fails(err, "stages[1]")
	v, err := b.Propose("x", 0, []float64{0.4, 1})
	fails(err, "")
	_, err = b.Propose("y", 0, []float64{1})
	fails(err, "under way")
	ack := func(i int) { fails(b.Ack(fmt.Sprint("n", i), 1, v.Number, "x", ""), "") }
	ack(0)
	ack(0) // twice counts once
	ack(3)
	fails(b.Commit(v.Number, 0), "zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed")
	ack(1)
	fails(b.Commit(v.Number, 0), "zone b: 1 of 2")
	fails(b.Ack("n4", 2, v.Number, "x", ""), "start 2")
	fails(b.Ack("n4", 1, v.Number, "z", ""), "not under way")
	ack(4)
	b.SetNode("n4", "b", 1, true) // cut off, and no smaller quorum for it
	fails(b.Commit(v.Number, 0), "zone b: 1 of 2")
	b.SetNode("n4", "b", 2, false) // a restart: its word is worth nothing
	fails(b.Commit(v.Number, 0), "zone b: 1 of 2")
	fails(b.Ack("n4", 2, v.Number, "x", ""), "")
	fails(b.Commit(v.Number, 0), "")
	fails(b.Commit(v.Number, 0), "") // a repeat
	if b.Nodes["n0"].Told != 1 || b.Stage != 1 {
		t.Errorf("%+v", b)
	}
	fails(b.Commit(v.Number, 1), "node n0 (zone a) was told version 1 and is not known to run it")
	fails(b.Withdraw(1), "only going back")
	fails(b.Report("n1", 1, 1, "x"), "") // it runs what it only acknowledged
	if !strings.Contains(b.Halted, "n1 runs version 1, which it was not told to") {
		t.Errorf("halted: %q", b.Halted)
	}
	fails(b.Commit(v.Number, 1), "halted: node n1")
	_, err = b.Back()
	fails(err, "version 0 is what each node was started with")
	// A way back that is halted cannot be withdrawn, as some run what it takes back, but can be begun anew.
	c := New()
	c.SetNode("n0", "a", 1, false)
	c.SetNode("n1", "a", 1, false)
	pass := func() {
		t.Helper()
		for _, id := range c.ids() {
			fails(c.Report(id, 1, c.Nodes[id].Told, c.Hashes[c.Nodes[id].Told]), "")
			if c.Pending != nil {
				fails(c.Ack(id, 1, c.Pending.Number, c.Pending.Hash, ""), "")
			}
		}
	}
	pass()
	c.Propose("x", 0, []float64{1})
	pass()
	fails(c.Commit(1, 0), "")
	pass()
	c.Propose("y", 1, []float64{0.5, 1})
	pass()
	fails(c.Commit(2, 0), "")
	_, err = c.Back()
	fails(err, "")
	fails(c.Halt("by staff"), "")
	fails(c.Withdraw(3), "itself a way back")
	again, err := c.Back()
	fails(err, "")
	pass()
	fails(c.Commit(again.Number, 0), "")
	if c.Committed.Number != 4 || c.Committed.Hash != "x" {
		t.Errorf("in force: %+v", c.Committed)
	}
	fails(b.Ack("n2", 1, 1, "x", "no such class"), "")
	if b.Nodes["n2"].Refused == "" {
		t.Error("a refusal is not kept")
	}
}
