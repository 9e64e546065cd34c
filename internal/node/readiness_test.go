package node

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"umberbank/internal/node/config"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/node/processlock"
	"umberbank/internal/registry/state"
)

// Guards against a node that is never ready after a restart, because its file has a key that the version in force lacks.
func TestVersionLacksKeyOfFile(t *testing.T) {
	t.Parallel()
	r, addr := newFakeRegistry(t)
	r.commitVersion(t, settingsWithAttempts(t, 5))
	text := rolloutConfigText(addr, filepath.Join(t.TempDir(), "saved"))
	cfg, err := config.Parse([]byte(strings.Replace(text, `"settings":{`, `"settings":{"new-key":1,`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	n := newUnstartedNode(t, cfg)
	runNode(t, n)
	nodetest.Eventually(t, "the node is ready", n.serving.Load)
	if inSync, running := r.node("n3"); !inSync || running != 1 || n.currentMaxAttempts(t) != 5 {
		t.Errorf("in sync %v with version %d, %d attempts, want version 1 with 5", inSync, running, n.currentMaxAttempts(t))
	}
}

// Guards against requests that a node takes and never answers while it is not ready: each gets a 503 before its time is over, and
// so does the readiness check.
func TestNotReadyRejects(t *testing.T) {
	t.Parallel()
	n := newUnstartedNode(t, rolloutConfig(t, filepath.Join(t.TempDir(), "saved")))
	runNode(t, n)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"a request":                     {head("GET", "/read/1", ""), http.StatusServiceUnavailable},
		"a short time":                  {strings.Replace(head("GET", "/read/1", ""), "15000m", "100m", 1), http.StatusServiceUnavailable},
		"a class that is not known yet": {head("GET", "/later/1", ""), http.StatusServiceUnavailable},
		"a body":                        {head("POST", "/read/1", "Content-Length: 2\r\n") + "ab", http.StatusServiceUnavailable},
		"the readiness check":           {"GET " + readinessPath + " HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusServiceUnavailable},
		"no request of the protocol":    {"GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, c.request)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("got %+v, %v, want status %d", resp, err, c.status)
			}
		})
	}
	if n.serving.Load() {
		t.Error("the node counts as serving")
	}
	if text := n.loop.metrics.JSON(); strings.Contains(text, `"later"`) {
		t.Errorf("a class that a peer has made up is counted: %s", text)
	}
}

// A request that arrives before the node is ready is handled as soon as it is.
func TestRequestWaitsUntilReady(t *testing.T) {
	t.Parallel()
	r, addr := newFakeRegistry(t)
	r.commitVersion(t, settingsWithAttempts(t, 5))
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	r.beforeWrite = func(op state.Op) {
		if op.Kind == state.OpReport && op.UID == "n3" {
			<-released
		}
	}
	n := newUnstartedNode(t, rolloutConfigAt(t, addr, filepath.Join(t.TempDir(), "saved")))
	runNode(t, n)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/nothing/1", ""))
	nodetest.Eventually(t, "the node has accepted the connection", func() bool { return n.frontend.conns.Load() > 0 })
	release()
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("got %+v, %v, want status 404", resp, err)
	}
}

// A node that is stopped before it is ready rejects the requests that wait.
func TestStopBeforeReady(t *testing.T) {
	t.Parallel()
	n := newUnstartedNode(t, rolloutConfig(t, filepath.Join(t.TempDir(), "saved")))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	nodetest.Eventually(t, "the node has accepted the connection", func() bool { return n.frontend.conns.Load() > 0 })
	stop()
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %+v, %v, want status 503", resp, err)
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Error(err)
	}
}

// While a predecessor accepts connections from the same socket, a node that is not in sync accepts none of them.
func TestNotReadyBesidePredecessor(t *testing.T) {
	t.Parallel()
	n := newUnstartedNode(t, rolloutConfig(t, filepath.Join(t.TempDir(), "saved")))
	t.Cleanup(func() { n.listener.Close() })
	var err error
	if n.lock, err = processlock.Open(t.TempDir(), "n3"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.lock.Close() })
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if n.awaitAccepting(stopped) {
		t.Error("the node accepts connections beside its predecessor")
	}
	n.awaitPredecessor(t.Context())
	if !n.awaitAccepting(t.Context()) {
		t.Error("the node accepts no connections although its predecessor has exited")
	}
}
