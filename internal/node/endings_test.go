package node

import (
	"context"
	"net"
	"testing"
	"time"

	"hollyspur"
)

// What has to hold at the instant in which something ends: docs/endings.md. Each test holds one side and lets go in a
// stated order.

// newNodeFor is a node that does not run yet.
func newNodeFor(t *testing.T, cfg Config) *Node {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runNode runs a node until the test ends.
func runNode(t *testing.T, n *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := wait(t, done); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
}

// A connection that comes up only when a keyed request's window is over carries no repeat of it.
func TestKeyedPastItsWindow(t *testing.T) {
	t.Parallel()
	failing, _ := stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	other, got := stub(t, ok, false)
	cfg := testConfig("127.0.0.1:1", serving("a", failing), serving("b", other))
	const window = 50 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Window = window
	}
	n := newNodeFor(t, cfg)
	outcomes := make(chan hollyspur.Outcome, 2)
	n.loop.module = moduleFunc(func(e hollyspur.Event) []hollyspur.Action {
		switch e := e.(type) {
		case hollyspur.Request:
			return []hollyspur.Action{hollyspur.Send{ID: e.ID, Server: "a"}}
		case hollyspur.Outcome:
			if outcomes <- e; e.Attempt == 0 {
				return []hollyspur.Action{hollyspur.Send{ID: e.ID, Server: "b"}}
			}
			return []hollyspur.Action{hollyspur.Fail{ID: e.ID}}
		}
		return nil
	})
	connect := n.loop.upstream.connect
	n.loop.upstream.connect = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		if addr == other {
			time.Sleep(window) // until it is over: a fact of time, nothing is waited for
		}
		return connect(ctx, addr, within)
	}
	runNode(t, n)
	r := newRequest(t, n, "POST", "/send/1", "x")
	r.Header.Set("Idempotency-Key", "k")
	if resp, _ := do(t, r); resp.StatusCode != 502 {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if a, b := wait(t, outcomes), wait(t, outcomes); a.Ending != hollyspur.Failure || b.Ending != hollyspur.Void || len(got) > 0 {
		t.Errorf("outcomes %+v, %+v, %d sent on", a, b, len(got))
	}
}
