package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httputil"
	"reflect"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// A watch catches up with the state from any revision, however many events it has missed: by the events since then, by one
// event with the latest state of each instance, or by the full list.
func TestBroadcaster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		b := newBroadcaster(s.Revision())
		type reader struct {
			rev  int64
			held map[string]*state.Instance
		}
		readers := []*reader{{held: map[string]*state.Instance{}}, {rev: 7, held: map[string]*state.Instance{}}, {rev: s.Revision(), held: map[string]*state.Instance{}}}
		catchUp := func(r *reader) {
			missed, err := b.eventsSince(r.rev)
			if err != nil {
				t.Fatal(err)
			}
			if missed.fullList {
				text, revision, err := b.encodedList(func() (int64, []*state.Instance) { return s.Revision(), s.Instances() })
				if err != nil {
					t.Fatal(err)
				}
				missed.frames, missed.revision = [][]byte{chunk(text)}, revision
			}
			for _, frame := range missed.frames {
				var event api.WatchEvent
				text, err := io.ReadAll(httputil.NewChunkedReader(io.MultiReader(bytes.NewReader(frame), strings.NewReader("0\r\n\r\n"))))
				if err != nil {
					t.Fatal(err)
				}
				if err := json.Unmarshal(text, &event); err != nil {
					t.Fatal(err)
				}
				if event.FullList {
					r.held = map[string]*state.Instance{}
				}
				for _, e := range event.Instances {
					r.held[e.UID] = e
					if e.State == state.Deleted {
						delete(r.held, e.UID)
					}
				}
			}
			r.rev = missed.revision
			if r.rev != s.Revision() || len(r.held) != s.Len() {
				t.Fatalf("reader has %d instances at revision %d, state has %d at %d", len(r.held), r.rev, s.Len(), s.Revision())
			}
			for uid, e := range r.held {
				if !reflect.DeepEqual(e, s.Get(uid)) {
					t.Fatalf("%s of the reader differs from the state", uid)
				}
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			n := rapid.SampledFrom([]int{1, 2, maxEventsBehind, maxEventsBehind + 5}).Draw(t, "lines")
			for range n {
				uid := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "uid"))
				op := state.Op{Kind: state.OpRemove, UID: uid}
				if rapid.Bool().Draw(t, "register") {
					op = state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "a:1", State: state.Serving, StartTimeMS: float64(s.Revision())}}
				}
				if _, changed := s.Apply(op); changed != nil {
					if err := b.publish(s.Revision(), []*state.Instance{changed}); err != nil {
						t.Fatal(err)
					}
				}
			}
			if rapid.IntRange(0, 20).Draw(t, "restore") == 0 {
				s = state.RestoreBackup(s, s)
				b.reset(s.Revision())
			}
			catchUp(readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")])
		}
		for _, r := range readers {
			catchUp(r)
		}
	})
}

// BenchmarkChange measures the cost of a change on a replica, from the log entry to the event that all watches send. The cost
// should not grow with the list.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFSM()
			apply := func(ops ...state.Op) {
				text, err := json.Marshal(command{Ops: ops})
				if err != nil {
					b.Fatal(err)
				}
				if result := f.Apply(&raft.Log{Type: raft.LogCommand, Data: text}).(commandResult); result.err != nil || result.results[0].Code != "" {
					b.Fatalf("%+v", result)
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
