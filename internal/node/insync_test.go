package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/node/follower"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/registry/state"
)

// fakeRegistry is a registry of one replica that serves the requests of a follower from a State. A lease ends only by an
// OpExpire.
type fakeRegistry struct {
	mu          sync.Mutex
	state       *state.State
	changed     chan struct{}  // closed at the next change
	beforeWrite func(state.Op) // called before each write, which it may delay; may be nil
}

func newFakeRegistry(t *testing.T) (*fakeRegistry, string) {
	t.Helper()
	r := &fakeRegistry{state: state.New(), changed: make(chan struct{})}
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return r, strings.TrimPrefix(s.URL, "http://")
}

// write applies operations and returns their results.
func (r *fakeRegistry) write(ops ...state.Op) (results []state.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range ops {
		result, _ := r.state.Apply(op)
		results = append(results, result)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return results
}

// node returns whether the registry counts a node as in sync, and the version that it reported as running.
func (r *fakeRegistry) node(uid string) (inSync bool, running int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.state.Rollout().Nodes[uid]
	return n.InSync(), n.RunningVersion
}

func (r *fakeRegistry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Ops    []state.Op
		Leases []struct {
			UID   string
			Token int64
		}
	}
	if q.Method == http.MethodPost {
		if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	switch q.URL.Path {
	case "/registry/write":
		if r.beforeWrite != nil {
			for _, op := range body.Ops {
				r.beforeWrite(op)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"answers": r.write(body.Ops...)})
	case "/registry/renew":
		unknown := []string{}
		r.mu.Lock()
		for _, l := range body.Leases {
			if e := r.state.Get(l.UID); e == nil || e.Token != l.Token {
				unknown = append(unknown, l.UID)
			}
		}
		r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"unknown": unknown})
	case "/registry/agreed":
		r.serveNodeView(w, q)
	}
}

// serveNodeView responds once there is a newer revision than the follower has, or when the wait that it requested is over.
func (r *fakeRegistry) serveNodeView(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64) // the follower's revision
	ms, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		r.mu.Lock()
		changed := r.changed
		if r.state.Revision() > after || !waiting {
			uid := q.URL.Query().Get("node") + q.URL.Query().Get("unit") // only one of them is set
			text, err := json.Marshal(r.state.NodeView(uid, nil))
			r.mu.Unlock()
			if err == nil {
				w.Write(text)
			}
			return
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-q.Context().Done():
			return
		}
	}
}

// commitVersion proposes and commits a version, which two other nodes acknowledge and report as running.
func (r *fakeRegistry) commitVersion(t *testing.T, content json.RawMessage) int64 {
	t.Helper()
	var tokens [2]int64
	ops := []state.Op{}
	for i := range tokens {
		e := &state.Instance{UID: fmt.Sprint("other", i), Endpoint: "x:1", Role: state.RoleNode, Tier: "front", State: state.Serving, Capacity: 1}
		tokens[i] = r.write(state.Op{Kind: state.OpRegister, Instance: e})[0].Token
	}
	addOps := func(kind state.OpKind, number int64, hash string) {
		for i, token := range tokens {
			ops = append(ops, state.Op{Kind: kind, UID: fmt.Sprint("other", i), Token: token, Number: number, Hash: hash})
		}
	}
	r.mu.Lock()
	previous := r.state.Rollout().Committed
	r.mu.Unlock()
	addOps(state.OpReport, previous.Number, previous.Hash)
	ops = append(ops, state.Op{Kind: state.OpPropose, Value: content, Replaces: previous.Number, Stages: []float64{1}})
	results := r.write(ops...)
	number := results[len(results)-1].Token
	ops = ops[:0]
	addOps(state.OpAcknowledge, number, state.ContentHash(content))
	ops = append(ops, state.Op{Kind: state.OpAdvance, Number: number})
	addOps(state.OpReport, number, state.ContentHash(content))
	for _, result := range r.write(ops...) {
		if result.Code != "" {
			t.Fatalf("version %d: %+v", number, result)
		}
	}
	return number
}

// A node starts with a version that a previous process saved, while a newer version is committed. The node must not serve
// until the registry has received its report that it runs the committed version, and a process that is stopped before that
// report must not have served. Later the node's lease expires and two more versions are committed. The node must then be in
// sync again, with the last version.
func TestServesOnceInSync(t *testing.T) {
	t.Parallel()
	r, addr := newFakeRegistry(t)
	first := settingsWithAttempts(t, 5)
	r.commitVersion(t, first)
	r.commitVersion(t, settingsWithAttempts(t, 6))
	savedPath := filepath.Join(t.TempDir(), "saved")
	text, err := json.Marshal(follower.Version{Number: 1, Hash: state.ContentHash(first), Settings: first})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(savedPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := rolloutConfigAt(t, addr, savedPath)
	reported, release := make(chan state.Op, 1), make(chan struct{})
	r.beforeWrite = func(op state.Op) {
		if op.Kind == state.OpReport && op.UID == "n3" {
			select {
			case reported <- op:
			default:
			}
			<-release
		}
	}

	stopped := newUnstartedNode(t, cfg)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- stopped.Run(ctx) }()
	nodetest.Wait(t, reported)
	stop()
	if err := nodetest.Wait(t, done); err != nil || stopped.serving.Load() {
		t.Errorf("stopped before it was in sync: error %v, serving %v", err, stopped.serving.Load())
	}

	if text, err = json.Marshal(follower.Version{Number: 1, Hash: state.ContentHash(first), Settings: first}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(savedPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n := newUnstartedNode(t, cfg)
	runNode(t, n)
	nodetest.Eventually(t, "the node runs the committed version", func() bool { return n.currentMaxAttempts(t) == 6 })
	nodetest.Wait(t, reported)
	if inSync, _ := r.node("n3"); n.serving.Load() || inSync {
		t.Errorf("before the report was written: serving %v, in sync %v, want false", n.serving.Load(), inSync)
	}
	close(release)
	if s := requestStatus(t, n, "GET", "/nothing/1"); s != http.StatusNotFound {
		t.Errorf("got status %d", s)
	}
	if inSync, running := r.node("n3"); !inSync || running != 2 {
		t.Errorf("while serving: in sync %v with version %d, want true with version 2", inSync, running)
	}

	r.mu.Lock()
	token := r.state.Get("n3").Token
	r.mu.Unlock()
	r.write(state.Op{Kind: state.OpExpire, UID: "n3", Token: token})
	r.commitVersion(t, settingsWithAttempts(t, 7))
	r.commitVersion(t, settingsWithAttempts(t, 8))
	nodetest.Eventually(t, "the node is in sync again", func() bool { inSync, running := r.node("n3"); return inSync && running == 4 })
	if got := n.currentMaxAttempts(t); got != 8 {
		t.Errorf("in sync with version 4: got %d attempts, want 8", got)
	}
}

// currentMaxAttempts returns the maximum number of attempts in the current settings, which identifies the settings that the
// node runs.
func (n *Node) currentMaxAttempts(t *testing.T) int {
	return callOnLoop(t, n, func() int { return n.loop.maxAttempts })
}
