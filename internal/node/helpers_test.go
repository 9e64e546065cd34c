package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/config"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/node/upstream"
	"umberbank/internal/simwire"
)

// sendCommand sends an operator's command and returns the complete answer.
func sendCommand(t *testing.T, n *Node, line string) string {
	t.Helper()
	c := nodetest.Dial(t, n.control.Addr().String())
	io.WriteString(c, line)
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("call %q: %v", line, err)
	}
	return string(b)
}

// startControlled runs a node with a second address, and waits until it serves.
func startControlled(t *testing.T, cfg config.Config) *Node {
	t.Helper()
	cfg.Control = "127.0.0.1:0"
	n := startNode(t, cfg, nil)
	for end := time.Now().Add(nodetest.Limit); sendCommand(t, n, "check\n") != "ok\n"; {
		if time.Now().After(end) {
			t.Fatal("the node never serves")
		}
	}
	return n
}

// callOnLoop returns the result of f, called on the node's event loop.
func callOnLoop[T any](t *testing.T, n *Node, f func() T) T {
	t.Helper()
	said := make(chan T, 1)
	n.loop.post(func() { said <- f() })
	return nodetest.Wait(t, said)
}

// holdLoop blocks the node's event loop until release is called.
func holdLoop(t *testing.T, n *Node) (release func()) {
	t.Helper()
	held, busy := make(chan struct{}), make(chan struct{})
	n.loop.post(func() { close(busy); <-held })
	nodetest.Wait(t, busy)
	return func() { close(held) }
}

// delayDials delays the node's dials until gate is closed; each sends to began first.
func delayDials(n *Node, began, gate chan struct{}) {
	dial := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		began <- struct{}{}
		<-gate
		return dial(ctx, addr, within)
	}
}

// newNodeFor returns a node that does not run yet.
func newNodeFor(t *testing.T, cfg config.Config) *Node {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

var answer503 = answer{status: http.StatusServiceUnavailable}

const readRequest = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n"

func head(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 15000m\r\n" + more + "\r\n"
}

func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;ext=1\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Trailer: t\r\n\r\n"
}

func testConfig(discoveryAddr string, targets ...discovery.Entry) config.Config {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{Name: name, Effect: e, IdempotencyScope: balancer.ScopeAll, IdempotencyWindow: 10 * time.Second,
			LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}
	}
	return config.Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discoveryAddr, Seed: 1, Sockets: 256,
		InitialList: discovery.Update{Revision: 7, Full: true, Entries: targets},
		Settings: balancer.Settings{
			Classes: []balancer.Class{class("read", balancer.Idempotent), class("send", balancer.WithIdempotencyKey),
				class("order", balancer.NonIdempotent)},
			Replicas: 1, MaxAttempts: 6, Cancellation: true, PollDiscovery: true,
			PollInterval: 160 * time.Millisecond, Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second},
		Connections: simwire.Connections{IdleTimeout: time.Minute, ConnectTimeout: nodetest.Limit}}
}

func serving(uid, addr string) discovery.Entry {
	return discovery.Entry{UID: uid, Address: addr, Zone: "a", State: "SERVING", Weight: 1}
}

// startNode runs a node until the test ends. Its decisions are a balancer.Balancer if d is nil.
func startNode(t *testing.T, cfg config.Config, d requestBalancer) *Node {
	t.Helper()
	if d == nil {
		b, err := balancer.New(cfg.Settings, cfg.Seed)
		if err != nil {
			t.Fatal(err)
		}
		d = b
	}
	n, err := newNode(cfg, d)
	if err != nil {
		t.Fatal(err)
	}
	runNode(t, n)
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
		if err := nodetest.Wait(t, done); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
}

// decisionsFunc implements decisions with a function of a test.
type decisionsFunc func(e balancer.Event) []balancer.Action

func (f decisionsFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

func (decisionsFunc) EjectedCount(time.Duration) int { return 0 }

func (decisionsFunc) Snapshot(time.Duration) balancer.Snapshot { return balancer.Snapshot{} }

func newRequest(t *testing.T, n *Node, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", "c-1")
	r.Header.Set("X-Time-Left", "10000m")
	return r
}

func status(t *testing.T, n *Node, method, path string) int {
	t.Helper()
	resp, _ := nodetest.Do(t, newRequest(t, n, method, path, ""))
	return resp.StatusCode
}

// newTestPool returns a pool of one connection.
func newTestPool(cfg config.Config) *upstream.Pool {
	return upstream.NewPool(upstream.Options{
		Connections:    cfg.Connections,
		MaxConnections: 1,
		Metrics:        &metrics.Metrics{},
		Budget:         bodybudget.New(16 << 20),
	})
}
