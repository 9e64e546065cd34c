package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
)

// TestMain runs a replica instead of the tests if FAULTTEST_REPLICA is set.
func TestMain(m *testing.M) {
	if os.Getenv("FAULTTEST_REPLICA") == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := replica.Serve(ctx, os.Args[len(os.Args)-1], logger, func(string) {}); err != nil {
		panic(err)
	}
}

func replicaCommand(t *testing.T) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", "FAULTTEST_REPLICA=1", self}
}

// startCluster starts a cluster of three replicas, which is closed at the end of the test. The returned client uses all of
// them and the addresses in more.
func startCluster(t *testing.T, more ...string) (*cluster.Cluster, *client.Client) {
	t.Helper()
	c, err := cluster.New(replicaCommand(t), 3, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	cl, err := client.New(client.Options{Endpoints: append(c.Addresses(), more...)})
	if err != nil {
		t.Fatal(err)
	}
	return c, cl
}

func runFaults(t *testing.T, opt Options) *Result {
	t.Helper()
	opt.ReplicaCommand = replicaCommand(t)
	r, err := Run(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With one, three and five replicas under faults, writes and consistent reads are linearizable, watches have no gaps and
// never go back, and the registry accepts writes afterwards.
func TestFaults(t *testing.T) {
	for seed, replicas := range map[uint64]int{1: 3, 2: 3, 3: 1, 4: 5} {
		t.Run(fmt.Sprint(replicas, " replicas, seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := runFaults(t, Options{Seed: seed, Replicas: replicas})
			if len(r.Violations) > 0 {
				t.Errorf("violations %v, after the faults %v", r.Violations, r.Faults)
			}
			if r.Writes-r.UnknownWrites < 10 || r.Reads < 10 || r.WatchEvents < 10 {
				t.Errorf("too few operations for a meaningful check: %+v", r)
			}
		})
	}
}

// corruptingProxy returns a function for Options.Proxy, which starts a proxy in front of a replica. The proxy replaces each
// response body, or each line of a watch, by the result of corrupt.
func corruptingProxy(t *testing.T, corrupt func(q *http.Request, body []byte) []byte) func(string) string {
	t.Helper()
	return func(address string) string {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		proxy.FlushInterval = -1
		proxy.ErrorLog = log.New(io.Discard, "", 0)
		proxy.ModifyResponse = func(resp *http.Response) error {
			if resp.Request.URL.Query().Get("follow") != "" {
				body := resp.Body
				pr, pw := io.Pipe()
				go corruptLines(pw, body, func(line []byte) []byte { return corrupt(resp.Request, line) })
				resp.Body = pr
				return nil
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			text = corrupt(resp.Request, text)
			resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
			resp.Header.Set("Content-Length", fmt.Sprint(len(text)))
			return err
		}
		srv := httptest.NewServer(proxy)
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
}

// corruptLines copies lines through corrupt until either end is closed.
func corruptLines(to *io.PipeWriter, from io.ReadCloser, corrupt func(line []byte) []byte) {
	defer from.Close()
	for lines := bufio.NewReader(from); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			to.CloseWithError(err)
			return
		}
		if _, err := to.Write(corrupt(line)); err != nil {
			return
		}
	}
}

// The checks detect a replica that returns an old state for consistent reads, and one that drops changes from its watches.
func TestChecksFindViolations(t *testing.T) {
	var mu sync.Mutex
	var old []byte
	reads, lines := 0, 0
	for name, c := range map[string]struct {
		corrupt func(q *http.Request, body []byte) []byte
		want    string
	}{
		"stale": {func(q *http.Request, body []byte) []byte {
			if q.URL.Query().Get("consistent") == "" {
				return body
			}
			mu.Lock()
			defer mu.Unlock()
			if reads++; reads%20 == 1 || old == nil {
				old = body
			}
			return old
		}, "not linearizable"},
		"dropped": {func(q *http.Request, body []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			if q.URL.Query().Get("follow") != "" && len(body) > 1 && !bytes.Contains(body, []byte(`"all":true`)) {
				if lines++; lines%7 == 0 {
					return nil
				}
			}
			return body
		}, "missed the write"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runFaults(t, Options{Seed: 9, Replicas: 1, Duration: time.Second, Proxy: corruptingProxy(t, c.corrupt)})
			if !strings.Contains(strings.Join(r.Violations, "\n"), c.want) {
				t.Errorf("want %q, got %v", c.want, r.Violations)
			}
		})
	}
}
