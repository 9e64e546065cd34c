package follower

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"umberbank/internal/node/config"
	"umberbank/internal/registry/state"
)

// roundRegistry is a registry in this process without a clock: in each round it answers every node that has an older
// revision, and then applies all their writes together.
type roundRegistry struct {
	st    *state.State
	mu    sync.Mutex // of ops and counts
	ops   []state.Op
	nodes []*Follower
	revs  []int64

	bytes, messages map[string]int // by node, both ways, without headers
}

// ServeHTTP queues writes for the end of the round.
func (r *roundRegistry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	text, err := io.ReadAll(q.Body)
	var c struct{ Ops []state.Op }
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil || len(c.Ops) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.ops = append(r.ops, c.Ops...)
	r.mu.Unlock()
	answer := `{"answers":[{"rev":` + strconv.FormatInt(r.st.Revision(), 10) + `}]}`
	r.count(c.Ops[0].UID, len(text)+len(answer))
	io.WriteString(w, answer)
}

func (r *roundRegistry) count(node string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[node] += bytes
	r.messages[node]++
}

// play plays rounds until no node has anything to receive or write, and returns how many there were.
func (r *roundRegistry) play(t *testing.T) (rounds int) {
	t.Helper()
	for ; ; rounds++ {
		updated := false
		for i, f := range r.nodes {
			if r.revs[i] == r.st.Revision() {
				continue
			}
			updated = true
			has := map[int64]bool{}
			for _, text := range strings.Split(f.knownVersions(), ",") {
				n, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				has[n] = true
			}
			text, err := json.Marshal(r.st.NodeView(f.Name, has))
			if err != nil {
				t.Fatal(err)
			}
			r.count(f.Name, len(text))
			var a state.CoordinationView
			if err := json.Unmarshal(text, &a); err != nil {
				t.Fatal(err)
			}
			r.revs[i] = a.Revision
			f.handle(t.Context(), a.NodeSettings, a.Revision)
		}
		if !updated {
			return rounds
		}
		r.mu.Lock()
		ops := r.ops
		r.ops = nil
		r.mu.Unlock()
		for _, op := range ops {
			if a, _ := r.st.Apply(op); a.Code != "" {
				t.Fatalf("%s of %s: %s %s", op.Kind, op.UID, a.Code, a.Reason)
			}
		}
	}
}

// A version costs each node as many messages and bytes whether there are 10 nodes, 100 or 1,000.
func TestVersionCostsNoMoreWithNodes(t *testing.T) {
	t.Parallel()
	type cost struct{ bytes, messages, rounds int }
	costs := map[int]cost{}
	for _, n := range []int{10, 100, 1000} {
		r := &roundRegistry{st: state.New(), revs: make([]int64, n), bytes: map[string]int{}, messages: map[string]int{}}
		server := httptest.NewServer(r)
		defer server.Close()
		for i := range n {
			name := fmt.Sprintf("n%04d", i)
			e := &state.Instance{UID: name, Endpoint: "10.0.0.1:3000", Role: state.RoleNode, Tier: "front", Zone: fmt.Sprint("z", i%7), State: state.Serving, StartTimeMS: 1e12, TTLMS: 2000}
			if a, _ := r.st.Apply(state.Op{Kind: state.OpRegister, Instance: e}); a.Code != "" {
				t.Fatal(a.Code)
			}
			f, err := New(Options{Name: name, Rollout: config.Rollout{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, ByAgent: true},
				Validate: func(json.RawMessage) error { return nil }, Apply: func(json.RawMessage) error { return nil }, Notify: func(Event) {}}, Version{})
			if err != nil {
				t.Fatal(err)
			}
			r.nodes = append(r.nodes, f)
		}
		r.play(t) // they say what they run
		clear(r.bytes)
		clear(r.messages)
		a, _ := r.st.Apply(state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{"limits":{"max-attempts":4}}`), Stages: []float64{1}})
		rounds := r.play(t)
		if a, _ := r.st.Apply(state.Op{Kind: state.OpAdvance, Number: a.Token}); a.Code != "" {
			t.Fatalf("%d nodes: %s %s", n, a.Code, a.Reason)
		}
		rounds += r.play(t)
		if !r.st.Rollout().Converged() || r.st.Rollout().Committed.Number != a.Token {
			t.Fatalf("%d nodes: version %d is not in force", n, a.Token)
		}
		most := cost{rounds: rounds}
		for _, f := range r.nodes {
			most.bytes, most.messages = max(most.bytes, r.bytes[f.Name]), max(most.messages, r.messages[f.Name])
		}
		costs[n] = most
	}
	if costs[10].messages < 4 || costs[100] != costs[10] || costs[1000] != costs[10] {
		t.Errorf("a version costs a node %+v", costs)
	}
	t.Logf("a version costs a node %+v", costs)
}
