package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httputil"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"umberbank/internal/registry/state"
)

// Whatever a reader holds, and however many changes it missed, it comes to what the State holds: by the changes since,
// by one message of the latest, or by the whole list.
func TestHub(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		h := newHub(s.Revision())
		type reader struct {
			rev  int64
			held map[string]*state.Instance
		}
		readers := []*reader{{held: map[string]*state.Instance{}}, {rev: 7, held: map[string]*state.Instance{}}, {rev: s.Revision(), held: map[string]*state.Instance{}}}
		catchUp := func(r *reader) {
			lines, rev, whole, _, err := h.after(r.rev)
			if err != nil {
				t.Fatal(err)
			}
			if whole {
				text, at, err := h.wholeList(func() (int64, []*state.Instance) { return s.Revision(), s.Instances() })
				if err != nil {
					t.Fatal(err)
				}
				lines, rev = [][]byte{chunk(text)}, at
			}
			for _, l := range lines {
				var m message
				text, err := io.ReadAll(httputil.NewChunkedReader(io.MultiReader(bytes.NewReader(l), strings.NewReader("0\r\n\r\n"))))
				if err != nil {
					t.Fatal(err)
				}
				if err := json.Unmarshal(text, &m); err != nil {
					t.Fatal(err)
				}
				if m.All {
					r.held = map[string]*state.Instance{}
				}
				for _, e := range m.Targets {
					r.held[e.UID] = e
					if e.State == state.Deleted {
						delete(r.held, e.UID)
					}
				}
			}
			r.rev = rev
			if r.rev != s.Revision() || len(r.held) != s.Len() {
				t.Fatalf("holds %d entries at %d, the State %d at %d", len(r.held), r.rev, s.Len(), s.Revision())
			}
			for uid, e := range r.held {
				if !reflect.DeepEqual(e, s.Get(uid)) {
					t.Fatalf("%s differs", uid)
				}
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			n := rapid.SampledFrom([]int{1, 2, maxBehind, maxBehind + 5}).Draw(t, "lines")
			for range n {
				uid := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "uid"))
				op := state.Op{Kind: state.OpRemove, UID: uid}
				if rapid.Bool().Draw(t, "register") {
					op = state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "a:1", State: state.Serving, StartTimeMS: float64(s.Revision())}}
				}
				if _, changed := s.Apply(op); changed != nil {
					if err := h.publish(s.Revision(), []*state.Instance{changed}); err != nil {
						t.Fatal(err)
					}
				}
			}
			if rapid.IntRange(0, 20).Draw(t, "restore") == 0 {
				s = state.RestoreBackup(s, s)
				h.reset(s.Revision())
			}
			catchUp(readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")])
		}
		for _, r := range readers {
			catchUp(r)
		}
	})
}

// What ended leases lead to: few go, a zone that is lost alone goes later, and what ends everywhere is suspected until it
// renews.
func TestGuard(t *testing.T) {
	g := ExpiryGuard{MaxZoneShare: 0.3, MinExpired: 3, Window: 2 * time.Second, ConfirmAfter: 10 * time.Second}
	for name, c := range map[string]struct {
		zones []string // one entry in each zone of the list
		stops func(i int, zone string) bool
		gone  int // in the end
		early int // that are gone 4 s after they stopped
		sus   int // suspects in the end
	}{
		"none":           {slices.Repeat([]string{"a", "b", "c"}, 10), func(int, string) bool { return false }, 0, 0, 0},
		"two":            {slices.Repeat([]string{"a", "b", "c"}, 10), func(i int, _ string) bool { return i < 2 }, 2, 2, 0},
		"a zone":         {slices.Repeat([]string{"a", "b", "c"}, 10), func(_ int, z string) bool { return z == "b" }, 10, 0, 0},
		"two zones":      {slices.Repeat([]string{"a", "b", "c"}, 10), func(_ int, z string) bool { return z != "b" }, 0, 0, 20},
		"everything":     {slices.Repeat([]string{"a", "b", "c"}, 10), func(int, string) bool { return true }, 0, 0, 30},
		"the only zone":  {slices.Repeat([]string{"a"}, 10), func(int, string) bool { return true }, 0, 0, 10},
		"a small zone":   {append(slices.Repeat([]string{"a"}, 10), "b", "b"), func(_ int, z string) bool { return z == "b" }, 2, 2, 0},
		"half of a zone": {slices.Repeat([]string{"a", "b"}, 10), func(i int, z string) bool { return z == "a" && i < 10 }, 5, 0, 0},
	} {
		s := state.New()
		for i, z := range c.zones {
			s.Apply(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", i), Endpoint: "a:1", Zone: z, State: state.Serving, TTLMS: 1000}})
		}
		l := newLeases(g, s.Instances(), 0)
		early := 0
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			for i, z := range c.zones {
				if e := s.Get(fmt.Sprint("s", i)); e != nil && !(now > 5*time.Second && c.stops(i, z)) {
					l.renew(e.UID, e.Token, now)
				}
			}
			for _, op := range l.look(now) {
				if _, changed := s.Apply(op); changed != nil {
					l.hold(changed, now)
				}
			}
			if now == 10*time.Second { // they stopped at 5 s, and their leases ended at 6
				early = len(c.zones) - s.Len()
			}
		}
		suspects := 0
		for _, e := range s.Instances() {
			if e.Suspect {
				suspects++
			}
		}
		if gone := len(c.zones) - s.Len(); gone != c.gone || early != c.early || suspects != c.sus {
			t.Errorf("%s: %d gone and %d of them early, %d suspects; want %d, %d, %d", name, gone, early, suspects, c.gone, c.early, c.sus)
		}
		if c.sus > 0 { // it was the way to the registry: they renew, and are trusted again
			for now := 40 * time.Second; now < 42*time.Second; now += 100 * time.Millisecond {
				for _, e := range s.Instances() {
					l.renew(e.UID, e.Token, now)
				}
				for _, op := range l.look(now) {
					if _, changed := s.Apply(op); changed != nil {
						l.hold(changed, now)
					}
				}
			}
			for _, e := range s.Instances() {
				if e.Suspect {
					t.Errorf("%s: %s is still suspect", name, e.UID)
				}
			}
		}
	}
}

// A leader that stood still blames nobody, and its wall clock is none of its concern.
func TestStalledLeader(t *testing.T) {
	s := state.New()
	s.Apply(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: "a", Endpoint: "a:1", State: state.Serving, TTLMS: 2000}})
	l := newLeases(ExpiryGuard{MaxZoneShare: 0.3, MinExpired: 3, Window: time.Second, ConfirmAfter: time.Second}, s.Instances(), 0)
	if ops := l.look(10 * time.Second); len(ops) > 0 {
		t.Errorf("after a stall of 10 s: %+v", ops)
	}
	if !l.renew("a", s.Get("a").Token, 10*time.Second) || l.renew("a", 1, 10*time.Second) || l.renew("b", 1, 10*time.Second) {
		t.Error("a lease is renewed by its token alone")
	}
}

// What one change costs a replica, from the log to the line that all watchers get: it does not go with the list's length.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFSM()
			apply := func(ops ...state.Op) {
				text, err := json.Marshal(command{Ops: ops})
				if err != nil {
					b.Fatal(err)
				}
				if a := f.Apply(&raft.Log{Type: raft.LogCommand, Data: text}).(answers); a.err != nil || a.list[0].Code != "" {
					b.Fatalf("%+v", a)
				}
			}
			for i := range n {
				apply(state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", State: state.Serving}})
			}
			for i := 0; b.Loop(); i++ {
				capacity := float64(i + 1)
				apply(state.Op{Kind: state.OpUpdate, UID: fmt.Sprint("s", i%n), Capacity: &capacity})
			}
		})
	}
}
