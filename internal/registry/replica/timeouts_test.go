package replica

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"umberbank/internal/registry/api"
)

// startImpatientLeader starts a leader whose timeouts for reading from clients are short.
func startImpatientLeader(t *testing.T, timeout time.Duration) *Replica {
	t.Helper()
	cfg := replicaConfig(t, t.TempDir())
	cfg.readTimeout, cfg.idleTimeout = timeout, timeout
	return startConfiguredLeader(t, cfg)
}

// Guards against a peer that holds its connection and a goroutine for good, because a part of its request never arrives or it sends
// nothing more: each connection is closed, after a response if the head has arrived.
func TestPeersThatStopSending(t *testing.T) {
	t.Parallel()
	r := startImpatientLeader(t, 200*time.Millisecond)
	for name, c := range map[string]struct {
		message string
		status  int // of the last response; zero for none
	}{
		"nothing":                        {"", 0},
		"half a head":                    {"GET " + api.PathStatus + " HTTP/1.1\r\n", 0},
		"no body":                        {"POST " + api.PathWrite + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", http.StatusBadRequest},
		"half a body":                    {"POST " + api.PathWrite + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", http.StatusBadRequest},
		"no body of a GET":               {"GET " + api.PathStatus + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", http.StatusOK},
		"no body at an unknown path":     {"POST /registry HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", http.StatusNotFound},
		"no body, unknown expectation":   {"POST " + api.PathWrite + " HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 9\r\n\r\n", http.StatusExpectationFailed},
		"no further request":             {"GET " + api.PathStatus + " HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusOK},
		"no further request after error": {"GET /registry HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dialReplica(t, r)
			io.WriteString(conn, c.message)
			reader := bufio.NewReader(conn)
			if c.status != 0 {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil || resp.StatusCode != c.status {
					t.Fatalf("got %+v, %v, want status %d", resp, err, c.status)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Fatal(err)
				}
			}
			if n, err := io.Copy(io.Discard, reader); n > 0 || err != nil {
				t.Errorf("%d more bytes, %v, want a close", n, err)
			}
		})
	}
}

// The timeout for reading a request does not end a poll that waits for longer.
func TestReadTimeoutEndsNoPoll(t *testing.T) {
	t.Parallel()
	const wait = time.Second
	r := startImpatientLeader(t, wait/10)
	start := time.Now()
	resp, err := http.Get(fmt.Sprintf("http://%s%s?after=%d&wait_ms=%d", r.Addr(), api.PathCoordination, int64(1)<<40, wait.Milliseconds()))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if elapsed := time.Since(start); resp.StatusCode != http.StatusOK || elapsed < wait {
		t.Errorf("got status %d after %v, want 200 after %v", resp.StatusCode, elapsed, wait)
	}
}
