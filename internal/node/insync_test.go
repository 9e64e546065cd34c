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

// fakeRegistry is a registry of one replica without leases: a State behind the calls of a follower. gate is called before
// each write and may delay it; nil: nothing is called.
type fakeRegistry struct {
	mu    sync.Mutex
	state *state.State
	wake  chan struct{} // closed with the next change
	gate  func(state.Op)
}

func newFakeRegistry(t *testing.T) (*fakeRegistry, string) {
	t.Helper()
	r := &fakeRegistry{state: state.New(), wake: make(chan struct{})}
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return r, strings.TrimPrefix(s.URL, "http://")
}

// write applies writes.
func (r *fakeRegistry) write(ops ...state.Op) (l []state.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range ops {
		a, _ := r.state.Apply(op)
		l = append(l, a)
	}
	close(r.wake)
	r.wake = make(chan struct{})
	return l
}

// node returns what the rollout state has of a node.
func (r *fakeRegistry) node(uid string) (inTouch bool, running int64) {
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
		if r.gate != nil {
			for _, op := range body.Ops {
				r.gate(op)
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
		r.agreed(w, q)
	}
}

// agreed answers once there is a newer revision than the follower knows, or its wait is over.
func (r *fakeRegistry) agreed(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64) // the client's own
	ms, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	for waits := true; ; {
		r.mu.Lock()
		wake := r.wake
		if r.state.Revision() > after || !waits {
			uid := q.URL.Query().Get("node") + q.URL.Query().Get("unit") // one of them
			text, err := json.Marshal(r.state.NodeView(uid, nil))
			r.mu.Unlock()
			if err == nil {
				w.Write(text)
			}
			return
		}
		r.mu.Unlock()
		select {
		case <-wake:
		case <-over:
			waits = false
		case <-q.Context().Done():
			return
		}
	}
}

// force puts a version in force, acknowledged and reported by two other nodes.
func (r *fakeRegistry) force(t *testing.T, content json.RawMessage) int64 {
	t.Helper()
	var start [2]int64
	ops := []state.Op{}
	for i := range start {
		e := &state.Instance{UID: fmt.Sprint("other", i), Endpoint: "x:1", Role: state.RoleNode, Tier: "front", State: state.Serving, Capacity: 1}
		start[i] = r.write(state.Op{Kind: state.OpRegister, Instance: e})[0].Token
	}
	say := func(kind state.OpKind, number int64, hash string) {
		for i, s := range start {
			ops = append(ops, state.Op{Kind: kind, UID: fmt.Sprint("other", i), Token: s, Number: number, Hash: hash})
		}
	}
	r.mu.Lock()
	was := r.state.Rollout().Committed
	r.mu.Unlock()
	say(state.OpReport, was.Number, was.Hash)
	ops = append(ops, state.Op{Kind: state.OpPropose, Value: content, Replaces: was.Number, Stages: []float64{1}})
	answers := r.write(ops...)
	number := answers[len(answers)-1].Token
	ops = ops[:0]
	say(state.OpAcknowledge, number, state.ContentHash(content))
	ops = append(ops, state.Op{Kind: state.OpAdvance, Number: number})
	say(state.OpReport, number, state.ContentHash(content))
	for _, a := range r.write(ops...) {
		if a.Code != "" {
			t.Fatalf("version %d: %+v", number, a)
		}
	}
	return number
}

// A node starts with a version that an earlier process saved, while another is in force. It serves only once the registry
// has its report that it runs that one; a process that ends before has served nobody. Later its lease ends, two versions
// are put in force, and the node is in sync again with the last, serving all along.
func TestServesOnceInSync(t *testing.T) {
	t.Parallel()
	r, addr := newFakeRegistry(t)
	first := settingsWithAttempts(t, 5)
	r.force(t, first)
	r.force(t, settingsWithAttempts(t, 6))
	keep := filepath.Join(t.TempDir(), "kept")
	text, err := json.Marshal(follower.Version{Number: 1, Hash: state.ContentHash(first), Settings: first})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(keep, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := agreedConfigAt(t, addr, keep)
	reported, let := make(chan state.Op, 1), make(chan struct{})
	r.gate = func(op state.Op) {
		if op.Kind == state.OpReport && op.UID == "n3" {
			select {
			case reported <- op:
			default:
			}
			<-let
		}
	}

	early := newNodeFor(t, cfg)
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- early.Run(ctx) }()
	nodetest.Wait(t, reported)
	end()
	if err := nodetest.Wait(t, done); err != nil || early.serving.Load() {
		t.Errorf("ended before it had caught up: %v, serving %v", err, early.serving.Load())
	}

	if text, err = json.Marshal(follower.Version{Number: 1, Hash: state.ContentHash(first), Settings: first}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(keep, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n := newNodeFor(t, cfg)
	runNode(t, n)
	nodetest.Eventually(t, "it says what it runs", func() bool { return n.running(t) == 6 })
	nodetest.Wait(t, reported)
	if inTouch, _ := r.node("n3"); n.serving.Load() || inTouch {
		t.Errorf("serving %v, in touch %v before its word was taken", n.serving.Load(), inTouch)
	}
	close(let)
	if s := status(t, n, "GET", "/nothing/1"); s != http.StatusNotFound {
		t.Errorf("status %d", s)
	}
	if inTouch, running := r.node("n3"); !inTouch || running != 2 {
		t.Errorf("it serves: in touch %v with version %d", inTouch, running)
	}

	r.mu.Lock()
	start := r.state.Get("n3").Token
	r.mu.Unlock()
	r.write(state.Op{Kind: state.OpExpire, UID: "n3", Token: start})
	r.force(t, settingsWithAttempts(t, 7))
	r.force(t, settingsWithAttempts(t, 8))
	nodetest.Eventually(t, "it is back in touch", func() bool { inTouch, running := r.node("n3"); return inTouch && running == 4 })
	if got := n.running(t); got != 8 {
		t.Errorf("it is in touch with version 4 and makes %d attempts", got)
	}
}

// running is how many attempts a node makes, by which its settings are known.
func (n *Node) running(t *testing.T) int {
	return callOnLoop(t, n, func() int { return n.loop.maxAttempts })
}
