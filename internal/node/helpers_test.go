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

// sendCommand sends a command to the control server and returns the complete response.
func sendCommand(t *testing.T, n *Node, line string) string {
	t.Helper()
	c := nodetest.Dial(t, n.control.Addr().String())
	io.WriteString(c, line)
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("command %q: %v", line, err)
	}
	return string(b)
}

// startWithControl runs a node with a control server, and waits until it serves.
func startWithControl(t *testing.T, cfg config.Config) *Node {
	t.Helper()
	cfg.Control = "127.0.0.1:0"
	n := startNode(t, cfg, nil)
	for end := time.Now().Add(nodetest.Timeout); sendCommand(t, n, "check\n") != "ok\n"; {
		if time.Now().After(end) {
			t.Fatal("the node does not serve in time")
		}
	}
	return n
}

// callOnLoop calls f on the node's event loop and returns its result.
func callOnLoop[T any](t *testing.T, n *Node, f func() T) T {
	t.Helper()
	result := make(chan T, 1)
	n.loop.post(func() { result <- f() })
	return nodetest.Wait(t, result)
}

// blockLoop blocks the node's event loop until release is called.
func blockLoop(t *testing.T, n *Node) (release func()) {
	t.Helper()
	unblock, blocked := make(chan struct{}), make(chan struct{})
	n.loop.post(func() { close(blocked); <-unblock })
	nodetest.Wait(t, blocked)
	return func() { close(unblock) }
}

// delayDials delays the node's dials until proceed is closed. Each dial sends to began first.
func delayDials(n *Node, began, proceed chan struct{}) {
	dial := n.loop.pool.Dial
	n.loop.pool.Dial = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		began <- struct{}{}
		<-proceed
		return dial(ctx, addr, timeout)
	}
}

// newUnstartedNode returns a node that is not running. The test runs it with runNode or Run.
func newUnstartedNode(t *testing.T, cfg config.Config) *Node {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

var response503 = clientResponse{status: http.StatusServiceUnavailable}

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
		Connections: simwire.Connections{IdleTimeout: time.Minute, ConnectTimeout: nodetest.Timeout}}
}

func servingEntry(uid, addr string) discovery.Entry {
	return discovery.Entry{UID: uid, Address: addr, Zone: "a", State: "SERVING", Weight: 1}
}

// startNode runs a node until the test ends. It uses b for its decisions, or a balancer.Balancer if b is nil.
func startNode(t *testing.T, cfg config.Config, b requestBalancer) *Node {
	t.Helper()
	if b == nil {
		defaultBalancer, err := balancer.New(cfg.Settings, cfg.Seed)
		if err != nil {
			t.Fatal(err)
		}
		b = defaultBalancer
	}
	n, err := newNode(cfg, b)
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

// balancerFunc implements requestBalancer with a function that handles the events.
type balancerFunc func(e balancer.Event) []balancer.Action

func (f balancerFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

func (balancerFunc) EjectedCount(time.Duration) int { return 0 }

func (balancerFunc) Snapshot(time.Duration) balancer.Snapshot { return balancer.Snapshot{} }

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

func requestStatus(t *testing.T, n *Node, method, path string) int {
	t.Helper()
	resp, _ := nodetest.Do(t, newRequest(t, n, method, path, ""))
	return resp.StatusCode
}

// newTestPool returns a pool that allows one connection.
func newTestPool(cfg config.Config) *upstream.Pool {
	return upstream.NewPool(upstream.Options{
		Connections:    cfg.Connections,
		MaxConnections: 1,
		Metrics:        &metrics.Metrics{},
		Budget:         bodybudget.New(16 << 20),
	})
}
