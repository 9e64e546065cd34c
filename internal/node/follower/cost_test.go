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

// roundRegistry is an in-process registry without a clock, which works in rounds: in each round it
// responds to every node that has an older revision, and then applies all of their writes.
type roundRegistry struct {
	st    *state.State
	mu    sync.Mutex // protects ops, bytes and messages
	ops   []state.Op
	nodes []*Follower
	revs  []int64 // the revision that each node has

	bytes, messages map[string]int // sent and received by each node, without headers
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
	response := `{"answers":[{"rev":` + strconv.FormatInt(r.st.Revision(), 10) + `}]}`
	r.count(c.Ops[0].UID, len(text)+len(response))
	io.WriteString(w, response)
}

func (r *roundRegistry) count(node string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[node] += bytes
	r.messages[node]++
}

// runRounds runs rounds until no node has anything to receive or write, and returns the number of
// rounds.
func (r *roundRegistry) runRounds(t *testing.T) (rounds int) {
	t.Helper()
	for ; ; rounds++ {
		updated := false
		for i, f := range r.nodes {
			if r.revs[i] == r.st.Revision() {
				continue
			}
			updated = true
			known := map[int64]bool{}
			for _, text := range strings.Split(f.knownVersions(), ",") {
				n, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				known[n] = true
			}
			text, err := json.Marshal(r.st.NodeView(f.Name, known))
			if err != nil {
				t.Fatal(err)
			}
			r.count(f.Name, len(text))
			var view state.CoordinationView
			if err := json.Unmarshal(text, &view); err != nil {
				t.Fatal(err)
			}
			r.revs[i] = view.Revision
			f.handle(t.Context(), view.NodeSettings, view.Revision)
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

// A rollout of a version costs each node the same number of messages and bytes with 10, 100 and 1,000
// nodes.
func TestRolloutCostIndependentOfNodes(t *testing.T) {
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
		r.runRounds(t) // each node reports its running version
		clear(r.bytes)
		clear(r.messages)
		a, _ := r.st.Apply(state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{"limits":{"max-attempts":4}}`), Stages: []float64{1}})
		rounds := r.runRounds(t)
		if a, _ := r.st.Apply(state.Op{Kind: state.OpAdvance, Number: a.Token}); a.Code != "" {
			t.Fatalf("%d nodes: %s %s", n, a.Code, a.Reason)
		}
		rounds += r.runRounds(t)
		if !r.st.Rollout().Converged() || r.st.Rollout().Committed.Number != a.Token {
			t.Fatalf("%d nodes: version %d is not committed and running on all nodes", n, a.Token)
		}
		highest := cost{rounds: rounds}
		for _, f := range r.nodes {
			highest.bytes, highest.messages = max(highest.bytes, r.bytes[f.Name]), max(highest.messages, r.messages[f.Name])
		}
		costs[n] = highest
	}
	if costs[10].messages < 4 || costs[100] != costs[10] || costs[1000] != costs[10] {
		t.Errorf("highest cost of a version for one node, by number of nodes: %+v", costs)
	}
	t.Logf("highest cost of a version for one node, by number of nodes: %+v", costs)
}
